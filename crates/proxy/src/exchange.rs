//! Sends a request to an upstream and waits for the head of the response.

use std::time::{Duration, Instant};

use cactustrack_routing::headers::check_framing;
use cactustrack_types::Outcome;
use http::{HeaderName, HeaderValue, Request, StatusCode, header, response};
use hyper::body::{Body, Incoming};

use crate::attempt::{Attempt, AttemptContext};
use crate::body::UploadState;
use crate::pool::{ConnectError, Connection};
use crate::{Dialect, Pool, Proxy, RequestBody, ResponseKind, Target};

/// W3C Trace Context header.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Connections that an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any idle connection. If no response head arrives within `silence_timeout`, the connection is
    /// closed, so that time is left for a retry on another one.
    Idle {
        /// Maximum wait for the response head on a reused connection. `None` waits until the
        /// deadline.
        silence_timeout: Option<Duration>,
    },
    /// Only a new one, or one that has been idle for less than [`crate::PoolLimits::recent_age`],
    /// since an idle connection may have gone silent.
    Recent,
}

/// A response of an upstream whose head has arrived, with what is needed to read its body.
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) attempt: Attempt,
    /// Meaning of the response for the request.
    pub(crate) kind: ResponseKind,
    /// Outcome to report once the body is complete.
    pub(crate) outcome: Outcome,
}

impl UpstreamResponse {
    /// Returns true if the upstream has refused a request, this one or an earlier one.
    pub(crate) fn is_shed(&self) -> bool {
        self.kind.is_refusal()
    }

    /// Returns true if the response states that the request was not executed.
    pub(crate) fn is_not_run(&self) -> bool {
        self.kind.is_not_run()
    }

    /// Closes the connection and returns the attempt.
    pub(crate) fn close(self) -> Attempt {
        self.attempt
    }

    /// Returns true if the response is a failure of the upstream.
    pub(crate) fn is_failure(&self) -> bool {
        matches!(self.kind, ResponseKind::Failed | ResponseKind::Unforwardable)
    }

    /// Returns false if the response must not be forwarded because of what its status would state.
    pub(crate) fn is_forwardable(&self) -> bool {
        self.kind != ResponseKind::Unforwardable
    }

    /// Returns true if the end of the connection marks the end of the body, so that a truncated
    /// body looks complete.
    pub(crate) fn is_close_delimited(&self) -> bool {
        let framed = self.head.headers.contains_key(header::CONTENT_LENGTH)
            || self.head.headers.contains_key(header::TRANSFER_ENCODING);
        !framed && !self.body.is_end_stream()
    }
}

/// Reason why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The limit of connections to the upstream is reached.
    AtLimit,
    /// The limit of all connections is reached, so no other upstream can be reached either.
    OutOfConnections,
    /// No connection to the upstream could be established.
    Connect,
    /// The upstream has left since it was chosen.
    Left,
    /// The connection broke before the response head, or the response is invalid.
    Broken,
    /// The response head did not arrive before the deadline.
    TimedOut,
    /// No response head arrived in time on a reused connection, which may have gone silent.
    Silent,
}

/// An exchange that gave no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Reason for the failure.
    pub(crate) cause: Cause,
    /// True if a byte of the request may have reached the upstream.
    pub(crate) sent: bool,
}

impl Failure {
    fn unsent(cause: Cause) -> Self {
        Self { cause, sent: false }
    }

    fn sent(cause: Cause) -> Self {
        Self { cause, sent: true }
    }
}

/// Sends a request and waits until `deadline` for the head of the response.
///
/// # Errors
///
/// Fails if no connection can be opened, the connection breaks, the response is invalid or the
/// deadline passes. The failure states whether a byte of the request may have reached the upstream.
pub(crate) async fn exchange(
    proxy: &Proxy,
    context: AttemptContext,
    target: Target,
    mut req: Request<RequestBody>,
    reuse: Reuse,
    deadline: Instant,
) -> Result<UpstreamResponse, Failure> {
    let (pool, dialect) = (proxy.pool(), proxy.dialect());
    let mut attempt = Attempt::new(context, target);
    dialect.prepare_attempt(req.headers_mut(), attempt.target(), time_until(deadline));
    if let Ok(value) = HeaderValue::from_str(&attempt.trace().header_value()) {
        req.headers_mut().insert(TRACEPARENT, value);
    }
    let upload = req.body().upload();
    let sent_headers = req.headers().clone();
    loop {
        let idle = match reuse {
            Reuse::Idle { .. } => pool.take_idle(attempt.target()),
            Reuse::Recent => pool.take_recent(attempt.target()),
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => match connect(pool, &attempt, deadline).await {
                Ok(_) if !attempt.is_accepted() => {
                    attempt.abandon();
                    return Err(Failure::unsent(Cause::Left));
                }
                Ok(connection) => connection,
                Err(error) => return Err(connect_failure(error, attempt)),
            },
        };
        attempt.on_connection(connection.reused);
        // Opening the connection took some of the remaining time.
        dialect.prepare_attempt(req.headers_mut(), attempt.target(), time_until(deadline));
        let Some(tx) = connection.start_exchange(req.body().is_upload()) else {
            return Err(Failure::unsent(Cause::Connect));
        };
        let sending = tx.try_send_request(req);
        let wait = match reuse {
            Reuse::Idle { silence_timeout: Some(wait) } if connection.reused => {
                time_until(deadline).min(wait)
            }
            _ => time_until(deadline),
        };
        let result = compio::time::timeout(wait, sending).await;
        match result {
            Ok(Ok(res)) => {
                connection.on_progress();
                let (head, body) = res.into_parts();
                attempt.on_head(&head.headers);
                // The end of the body is uncertain if the response has two lengths or if its final
                // status is an informational one. A status that HTTP does not define tells the
                // caller nothing.
                if check_framing(&head.headers).is_err() || !is_final(head.status) {
                    attempt.finish(Outcome::Failed);
                    return Err(Failure::sent(Cause::Broken));
                }
                let kind = dialect.classify(&sent_headers, &head, connection.reused);
                if kind == ResponseKind::Mismatched {
                    attempt.finish(Outcome::Failed);
                    return Err(Failure::sent(Cause::Broken));
                }
                report_availability(dialect, &attempt, kind, &head);
                let outcome = Outcome::Ok;
                return Ok(UpstreamResponse { head, body, connection, attempt, kind, outcome });
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The connection was closed while idle. Nothing was sent.
                Some(unsent) if connection.reused => req = unsent,
                // Not retried, since an upstream that closes each new connection would be tried in
                // an endless loop.
                Some(_) => {
                    attempt.finish(Outcome::Refused);
                    return Err(Failure::unsent(Cause::Connect));
                }
                None => {
                    let reused = connection.reused;
                    return Err(connection_broken(pool, attempt, reused, upload.get()));
                }
            },
            Err(_) => return Err(timed_out(pool, attempt, connection.reused, upload.get())),
        }
    }
}

/// Returns true if the status is one of a final response. [`StatusCode`] also holds numbers above
/// 599, which HTTP does not define.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reports what the head of a response states about further requests to its upstream.
fn report_availability(
    dialect: &dyn Dialect,
    attempt: &Attempt,
    kind: ResponseKind,
    head: &response::Parts,
) {
    if kind == ResponseKind::Misdirected {
        attempt.on_misdirected();
        return;
    }
    if dialect.announces_shutdown(&head.headers) {
        attempt.on_leaving();
    }
    if let Some(wait) = dialect.back_off(head) {
        attempt.on_back_off(wait);
    }
}

async fn connect(
    pool: &Pool,
    attempt: &Attempt,
    deadline: Instant,
) -> Result<Connection, ConnectError> {
    let connecting = pool.connect(attempt.target());
    let connected = compio::time::timeout(time_until(deadline), connecting).await;
    connected.unwrap_or(Err(ConnectError::DeadlinePassed))
}

fn connect_failure(error: ConnectError, attempt: Attempt) -> Failure {
    match error {
        ConnectError::AtLimit => Failure::unsent(Cause::AtLimit),
        ConnectError::BudgetExhausted => Failure::unsent(Cause::OutOfConnections),
        // A short deadline of the caller must not count as a refused connection of a healthy
        // upstream.
        ConnectError::DeadlinePassed => Failure::unsent(Cause::TimedOut),
        ConnectError::Refused | ConnectError::TimedOut => {
            attempt.finish(Outcome::Refused);
            Failure::unsent(Cause::Connect)
        }
    }
}

/// Handles a break before the response head. On a reused connection it may be due to the connection
/// and not to the upstream. The idle ones may be affected as well, so they are closed, and the next
/// request on a new connection shows whether the upstream is faulty.
fn connection_broken(pool: &Pool, attempt: Attempt, reused: bool, upload: UploadState) -> Failure {
    if upload == UploadState::Failed {
        attempt.abandon();
    } else if reused {
        pool.close_idle(attempt.target());
        attempt.finish(Outcome::Silent);
    } else {
        attempt.finish(Outcome::Failed);
    }
    Failure::sent(Cause::Broken)
}

fn timed_out(pool: &Pool, attempt: Attempt, reused: bool, upload: UploadState) -> Failure {
    if upload.is_blocked_by_caller() {
        attempt.abandon();
    } else if reused {
        pool.close_idle(attempt.target());
        attempt.finish(Outcome::Silent);
        return Failure::sent(Cause::Silent);
    } else {
        // Reports the elapsed time, which the policy weighs, since the caller's deadline may be
        // short.
        drop(attempt);
    }
    Failure::sent(Cause::TimedOut)
}

/// Returns the time until `deadline`, zero if it has passed.
pub(crate) fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
