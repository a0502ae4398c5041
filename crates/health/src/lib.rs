//! Fleet-wide outlier detection: evidence, verdicts, the ejection plan and a record of decisions.
//!
//! The crate does no I/O. Functions take the current time as an [`std::time::Instant`]; none reads
//! a clock.
//!
//! * [`PendingEvidence`] and [`LatencyClassifier`] run on every instance and produce [`Report`]s.
//! * [`Collector`] runs on the collectors of a service and turns reports into verdicts.
//! * [`EjectionPlanner`] runs on every instance and turns verdicts into weights of upstreams
//!   without taking the service below its floor.
//! * [`DecisionHistory`] keeps recent decisions together with the evidence for them.

mod alarm;
mod baseline;
mod collector;
mod cusum;
mod evidence;
mod explain;
mod floor;
mod latency;
mod observers;
mod planner;
mod readmission;
mod report;
mod upstream;
mod votes;
mod window;

pub use collector::Collector;
pub use cusum::{FAULT_RATES, log_likelihood_ratio};
pub use evidence::{EXCHANGE_INTERVAL, MAX_OK_DELAY, PendingEvidence};
pub use explain::{Action, Decision, DecisionHistory, FloorCapacity};
pub use floor::{FloorCandidate, allocate_weights};
pub use latency::LatencyClassifier;
pub use planner::EjectionPlanner;
pub use report::{Observer, Report, ReportEntry};
pub use votes::VERDICT_LIFETIME;
