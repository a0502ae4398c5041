//! One exchange with one upstream, up to the head of the answer.

use std::time::{Duration, Instant};

use cactustrack_routing::headers::check_framing;
use cactustrack_types::Outcome;
use http::{HeaderName, HeaderValue, Request, header, response};
use hyper::body::{Body, Incoming};

use crate::attempt::{Attempt, AttemptContext};
use crate::body::UploadState;
use crate::pool::{ConnectError, Connection};
use crate::{Pool, Proxy, RequestBody, ResponseKind, Target};

/// Header of the W3C trace context.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Which connections an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any that is open and idle. If it gives no answer for `silence_timeout`, it is given up, so
    /// that there is time left to ask on another connection.
    Idle {
        /// Wait for the first byte on a connection that was used before, if it is ever given up.
        silence_timeout: Option<Duration>,
    },
    /// Only a new one, or one that was used within [`crate::PoolLimits::recent_age`], since an idle
    /// connection may have gone silent.
    Recent,
}

/// The head of an answer, with what is needed to read its body.
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) attempt: Attempt,
    /// What the answer means for the request.
    pub(crate) kind: ResponseKind,
    /// Outcome that is reported once the body is complete.
    pub(crate) outcome: Outcome,
}

impl UpstreamResponse {
    /// Returns true if the upstream states that it has not run the request.
    pub(crate) fn is_shed(&self) -> bool {
        self.kind.is_not_run()
    }

    /// Returns true if the answer is the upstream's own fault.
    pub(crate) fn is_failure(&self) -> bool {
        self.kind == ResponseKind::Failed
    }

    /// Returns true if the end of the body cannot be told from a broken connection.
    pub(crate) fn is_close_delimited(&self) -> bool {
        let framed = self.head.headers.contains_key(header::CONTENT_LENGTH)
            || self.head.headers.contains_key(header::TRANSFER_ENCODING);
        !framed && !self.body.is_end_stream()
    }
}

/// What went wrong in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The connection limit to the upstream is reached.
    AtLimit,
    /// The upstream could not be connected to.
    Connect,
    /// The connection broke before the head of the answer.
    Broken,
    /// The answer did not come in time.
    TimedOut,
    /// A connection that was used before gave no answer for long, and may have gone silent.
    Silent,
}

/// An exchange that gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// What went wrong.
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

/// Sends a request and waits for the head of the answer until `deadline`.
///
/// # Errors
///
/// Fails if no connection can be opened, the connection breaks or the deadline passes. The failure
/// says whether a byte of the request may have reached the upstream.
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
                Ok(connection) => connection,
                Err(error) => return Err(connect_failure(error, attempt)),
            },
        };
        attempt.on_connection(connection.reused);
        // Some of the time has gone into the connection.
        dialect.prepare_attempt(req.headers_mut(), attempt.target(), time_until(deadline));
        let Some(tx) = connection.tx() else { return Err(Failure::unsent(Cause::Connect)) };
        let sending = tx.try_send_request(req);
        let wait = match reuse {
            Reuse::Idle { silence_timeout: Some(wait) } if connection.reused => {
                time_until(deadline).min(wait)
            }
            _ => time_until(deadline),
        };
        let reply = compio::time::timeout(wait, sending).await;
        match reply {
            Ok(Ok(res)) => {
                let (head, body) = res.into_parts();
                attempt.on_head(&head.headers);
                // An answer with two lengths, or with an interim status as its last one, has no
                // certain end.
                if check_framing(&head.headers).is_err() || head.status.is_informational() {
                    attempt.finish(Outcome::Failed);
                    return Err(Failure::sent(Cause::Broken));
                }
                let kind = dialect.classify(&sent_headers, &head);
                if kind == ResponseKind::Mismatched {
                    attempt.finish(Outcome::Failed);
                    return Err(Failure::sent(Cause::Broken));
                }
                if kind == ResponseKind::Misdirected {
                    attempt.on_misdirected();
                }
                let outcome = Outcome::Ok;
                return Ok(UpstreamResponse { head, body, connection, attempt, kind, outcome });
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The connection closed while it was idle. Nothing was sent.
                Some(unsent) if connection.reused => req = unsent,
                // An upstream that closes each new connection would be asked without end.
                Some(_) => {
                    attempt.finish(Outcome::Refused);
                    return Err(Failure::unsent(Cause::Connect));
                }
                None => {
                    let reused = connection.reused;
                    return Err(broken(pool, attempt, reused, upload.get()));
                }
            },
            Err(_) => return Err(timed_out(pool, attempt, connection.reused, upload.get())),
        }
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
        // A caller that gives little time must not make a healthy upstream look refusing.
        ConnectError::DeadlinePassed => Failure::unsent(Cause::TimedOut),
        ConnectError::Refused | ConnectError::TimedOut => {
            attempt.finish(Outcome::Refused);
            Failure::unsent(Cause::Connect)
        }
    }
}

/// A break on a reused connection may be the connection's fault. The idle ones may share it, so
/// they are closed, and the next request decides the case on a new connection.
fn broken(pool: &Pool, attempt: Attempt, reused: bool, upload: UploadState) -> Failure {
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
        // The policy weighs the elapsed time, since the caller may have asked for a short one.
        drop(attempt);
    }
    Failure::sent(Cause::TimedOut)
}

/// Time until `deadline`, zero if it passed.
pub(crate) fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
