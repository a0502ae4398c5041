//! Load balancing, retry budget and admission control based on a view that the fleet shares.
//!
//! A single instance sends too few requests to detect a faulty upstream or to estimate the load of
//! an upstream. Instances therefore notify each other of the start and the end of every attempt
//! ([`message`]). From these notices each instance derives, without a coordinator:
//!
//! * the number of requests in flight at each upstream from the whole fleet ([`load`]),
//! * the probability that an upstream is faulty ([`suspicion`]). Failures reported by instances
//!   with faulty links are discounted ([`observers`]), rejections that the upstreams of a service
//!   have in common are no evidence ([`rejections`]), and attempts that wait for too long count as
//!   evidence before they end ([`pending`]),
//! * the rate of attempts at each service ([`attempt_rate`]), which determines when upstreams
//!   without requests are tried again ([`trial`]), from totals that the notices state
//!   ([`attempt_totals`]).
//!
//! The retry budget ([`budget`]) of the fleet is kept without notices: each instance limits its
//! retries and hedges by its own requests. [`suspension`] detects that these are older than the
//! clock of the process shows.
//!
//! [`placement`] computes the expected loss of a request at an upstream, [`selection`] selects the
//! upstream with the smallest one, and [`admission`] rejects requests that would wait for too long.
//! [`batching`] decides when notices are sent.
//! [`catalog`] holds the listed upstreams and those that take no requests by their own word
//! ([`withdrawal`]), prefers the newest known writes of upstreams to older ones in the store
//! ([`newest_writes`]), keeps entries that expired in an [`outage`] of the store for a while, and
//! [`discovery`] is the interface to the store that lists them. A
//! [`revision`] is a position in the store's history. A few instances watch the store and [`relay`] its
//! changes to the others.
//!
//! [`quota`] bounds the requests of client accounts over the whole fleet.
//!
//! [`freshness`] decides whether the configuration in force is recent enough to trust its API keys.
//!
//! [`shutdown`] plans the end of an instance.
//!
//! This crate performs no I/O and reads no clock.

pub mod admission;
pub mod attempt_rate;
pub mod attempt_totals;
pub mod batching;
pub mod budget;
pub mod catalog;
pub mod discovery;
pub mod failure_share;
pub mod freshness;
pub mod hedge;
pub mod load;
pub mod message;
pub mod newest_writes;
pub mod observers;
pub mod outage;
pub mod peers;
pub mod pending;
pub mod placement;
pub mod progress;
pub mod quota;
mod records;
pub mod rejections;
pub mod relay;
mod report_window;
pub mod revision;
pub mod selection;
pub mod service_times;
pub mod shutdown;
pub mod split;
pub mod suspension;
pub mod suspicion;
pub mod trial;
pub mod view;
pub mod withdrawal;
