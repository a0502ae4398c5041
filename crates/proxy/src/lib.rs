//! The network edge of an instance: serves callers, talks to upstreams and streams bodies.
//!
//! The crate makes no decision on its own. It asks a [`TrafficPolicy`] for the route, for
//! admission and for upstreams, and reports to it how each exchange ended.

mod attempt;
mod body;
mod dialect;
mod exchange;
mod framing;
mod handler;
mod non_idempotent;
mod policy;
mod pool;
mod reject;
mod relay;
mod repeatable;
mod request;
mod resume;
mod server;
mod silence;
mod story;

pub use body::{RequestBody, ResponseBody};
pub use dialect::{DefaultDialect, Dialect, ResponseKind};
pub use handler::{Proxy, ProxyParts};
pub use policy::{Admission, ExtraAttempt, RoutedRequest, SelectionBasis, Target, TrafficPolicy};
pub use pool::{Pool, PoolLimits};
pub use reject::{Rejection, RejectionReason};
pub use server::{Server, ServerLimits, Shutdown};
pub use silence::enable_dead_peer_detection;
