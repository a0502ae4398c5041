//! HTTP/1.1 reverse proxy: serves callers, sends requests to upstreams and streams bodies.
//!
//! A [`TrafficPolicy`] makes all decisions. The proxy asks it for routes, admission and upstreams,
//! and reports the outcome of each exchange to it.

mod acceptor;
mod access_log;
mod attempt;
mod body;
mod body_deadline;
mod body_memory;
mod caller_queue;
mod caller_stream;
mod connection_budget;
mod dead_peer;
mod dialect;
mod discard;
mod exchange;
mod framing;
mod handler;
mod memory_budget;
mod non_idempotent;
mod pipeline;
mod policy;
mod pool;
mod read_limit;
mod reject;
mod relay;
mod request;
mod resume;
mod retryable;
mod server;
mod socket_limits;

pub use acceptor::Acceptor;
pub use body::{RequestBody, ResponseBody};
pub use body_memory::BodyMemory;
pub use connection_budget::{ConnectionBudget, CountedConnection};
pub use dead_peer::enable_dead_peer_detection;
pub use dialect::{DefaultDialect, Dialect, ResponseKind, replace_credentials, retry_after};
pub use handler::{Proxy, ProxyParts};
pub use memory_budget::{MemoryBudget, MemoryUse, PressureChange};
pub use policy::{
    Admission, BudgetBasis, CallerIdentity, ExtraAttempt, ExtraDecision, Priority, QuotaToken,
    RoutedRequest, SelectionBasis, Target, TrafficPolicy,
};
pub use pool::{Pool, PoolLimits};
pub use read_limit::{LimitedStream, ReadLimit};
pub use reject::{Rejection, RejectionReason};
pub use server::{Server, ServerLimits, ServerShutdown};
pub use socket_limits::SocketLimits;
