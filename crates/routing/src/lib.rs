//! Request-path decisions: routing, deadlines, load balancing, concurrency limits, retries and
//! rejections.
//!
//! The crate performs no I/O and does not read the clock. The current [`std::time::Instant`] and
//! the random number generator are passed in as arguments. See section 3 of `docs/design.md`.

pub mod authentication;
pub mod balancer;
pub mod deadline;
pub mod fair_share;
pub mod headers;
pub mod idempotency;
pub mod limits;
pub mod overload;
pub mod range_resume;
pub mod retry;
pub mod route;
pub mod subset;
