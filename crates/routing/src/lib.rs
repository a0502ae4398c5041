//! Decisions on the request path: route, deadline, upstream, limits, retries and rejections.
//!
//! The crate performs no I/O and reads no clock. Events carry the current [`std::time::Instant`],
//! and random choices use the generator that the caller passes in. See section 3 of
//! `docs/design.md`.

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
