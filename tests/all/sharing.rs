//! Load balancing, retry budget and admission control based on a view that the fleet shares.

mod admission;
mod attempt_totals;
mod batching;
mod budget;
mod budget_loss;
mod budget_schedules;
mod catalog;
mod catalog_history;
mod even_load;
mod fleet_size;
mod freshness;
mod hedge;
mod hubs;
mod list_differences;
mod load;
mod pending;
mod placement;
mod progress;
mod quota;
mod ranking;
mod rejections;
mod relay;
mod shutdown;
mod suspension;
mod suspicion;
mod upstream_records;
