//! Streams response bodies from upstreams to callers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_types::Outcome;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, select};
use futures::{FutureExt, SinkExt};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::body::BodyAborted;
use crate::body_deadline::BodyDeadline;
use crate::exchange::UpstreamResponse;
use crate::handler::Proxy;
use crate::retryable::retry_after;
use crate::{ResponseBody, ResponseKind};

/// Shortest silence of an upstream within a body that counts against it when the deadline passes.
/// Shorter ones occur on links that are in use.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Result of reading a body: a frame, `None` at its end, or the error of its connection.
type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

type FrameTx = mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>;

/// Fetches the remainder of a truncated response.
pub(crate) trait Resume {
    /// Returns a response whose body starts at byte `offset` of the original body, or `None` if it
    /// cannot be fetched.
    fn resume(&self, offset: u64) -> futures::future::LocalBoxFuture<'_, Option<UpstreamResponse>>;
}

/// Result of forwarding a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    Complete,
    Truncated,
    /// The deadline passed while more data of the upstream was awaited for this time.
    DeadlinePassed {
        silence: Duration,
    },
    /// The caller took no data for too long.
    CallerStalled,
    CallerDisconnected,
}

/// Returns a body with the frames of the response, which a task reads from the upstream. A small
/// body that has already arrived needs no task.
pub(crate) fn relay(
    proxy: &Rc<Proxy>,
    mut response: UpstreamResponse,
    deadline: BodyDeadline,
    resume: Option<Box<dyn Resume>>,
) -> ResponseBody {
    if response.body.is_end_stream() {
        complete(response);
        return ResponseBody::full(Bytes::new());
    }
    let size = response.body.size_hint();
    let first = match response.body.frame().now_or_never() {
        Some(Some(Ok(frame))) if response.body.is_end_stream() && frame.is_data() => {
            complete(response);
            return ResponseBody::full(frame.into_data().unwrap_or_default());
        }
        first => first,
    };
    // At most one frame is in the channel and one in hyper, so that a slow caller applies
    // backpressure to the upstream.
    let (tx, rx) = mpsc::channel(0);
    let (alive_tx, alive_rx) = oneshot::channel();
    let proxy = Rc::clone(proxy);
    let forwarder = Forwarder { proxy, deadline, tx, caller: alive_rx, offset: 0 };
    compio::runtime::spawn(forwarder.run(response, first, resume)).detach();
    ResponseBody::relayed(rx, size, alive_tx)
}

/// Forwards the body of one response to its caller.
struct Forwarder {
    proxy: Rc<Proxy>,
    deadline: BodyDeadline,
    tx: FrameTx,
    /// Resolves when the caller disconnects.
    caller: oneshot::Receiver<()>,
    /// Number of bytes forwarded.
    offset: u64,
}

impl Forwarder {
    async fn run(
        mut self,
        mut response: UpstreamResponse,
        mut first: Option<FrameResult>,
        resume: Option<Box<dyn Resume>>,
    ) {
        loop {
            let end = self.forward_frames(&mut response, first.take()).await;
            if end == BodyEnd::Complete {
                return complete(response);
            }
            let attempt = response.close();
            let service = attempt.target().service.clone();
            match end {
                BodyEnd::Complete | BodyEnd::CallerDisconnected => return,
                BodyEnd::CallerStalled => {
                    attempt.abandon();
                    return self.abort(&service, "the caller takes no data").await;
                }
                BodyEnd::DeadlinePassed { silence } => {
                    if silence >= MIN_SILENCE {
                        attempt.finish(Outcome::CutShort);
                    } else {
                        attempt.abandon();
                    }
                    return self.abort(&service, "deadline passed").await;
                }
                BodyEnd::Truncated => attempt.finish(Outcome::CutShort),
            }
            let resumed = match &resume {
                Some(resume) => resume.resume(self.offset).await,
                None => None,
            };
            let Some(next) = resumed else { return self.abort(&service, "truncated").await };
            response = next;
        }
    }

    async fn forward_frames(
        &mut self,
        response: &mut UpstreamResponse,
        mut first: Option<FrameResult>,
    ) -> BodyEnd {
        let UpstreamResponse { body, connection, .. } = response;
        loop {
            let read = match first.take() {
                Some(read) => Ok(read),
                None => self.next_frame(body).await,
            };
            let frame = match read {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return BodyEnd::Complete,
                Ok(Some(Err(_))) => return BodyEnd::Truncated,
                // hyper drops the body once it has written Content-Length bytes, which can happen
                // before the end of the upstream's body was read.
                Err(BodyEnd::CallerDisconnected) if body.is_end_stream() => {
                    return BodyEnd::Complete;
                }
                Err(end) => return end,
            };
            connection.on_progress();
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            if !self.deadline.allows(bytes) {
                return BodyEnd::DeadlinePassed { silence: Duration::ZERO };
            }
            self.offset += bytes;
            match self.send(frame).await {
                Err(BodyEnd::CallerDisconnected) if body.is_end_stream() => {}
                Err(end) => return end,
                Ok(()) => {}
            }
        }
    }

    /// Reads the next frame, and waits for it unless it has arrived.
    async fn next_frame(&mut self, body: &mut Incoming) -> Result<FrameResult, BodyEnd> {
        if let Some(frame) = body.frame().now_or_never() {
            return Ok(frame);
        }
        let started = Instant::now();
        let reading = compio::time::timeout(self.deadline.upstream_wait(), body.frame());
        let reading = std::pin::pin!(reading);
        let read = select(reading, &mut self.caller).await;
        self.deadline.on_upstream_wait(started);
        match read {
            Either::Left((Ok(frame), _)) => Ok(frame),
            Either::Left((Err(_), _)) if self.deadline.has_passed() => {
                Err(BodyEnd::DeadlinePassed { silence: started.elapsed() })
            }
            Either::Left((Err(_), _)) => Err(BodyEnd::Truncated),
            Either::Right(_) => Err(BodyEnd::CallerDisconnected),
        }
    }

    /// Hands a frame to the caller's connection, and waits until the one before was taken.
    async fn send(&mut self, frame: Frame<Bytes>) -> Result<(), BodyEnd> {
        let mut sending = self.tx.send(Ok(frame));
        if let Some(sent) = (&mut sending).now_or_never() {
            return sent.map_err(|_| BodyEnd::CallerDisconnected);
        }
        let sent = match self.deadline.caller_wait() {
            Some(wait) => compio::time::timeout(wait, sending).await,
            None => Ok(sending.await),
        };
        sent.map_err(|_| BodyEnd::CallerStalled)?.map_err(|_| BodyEnd::CallerDisconnected)
    }

    /// Ends the body so that the caller can tell that it is incomplete.
    async fn abort(mut self, service: &str, reason: &str) {
        self.proxy.metrics().aborted_responses.with_label_values(&[service]).inc();
        if let Some(suppressed) = self.proxy.log_allowed("response not completed") {
            slog::warn!(self.proxy.log(), "proxy: response not completed"; "service" => service,
                "reason" => reason, "offset" => self.offset, "left_out" => suppressed);
        }
        // Fails if the caller has disconnected, who then needs no notice.
        let _ = self.tx.send(Err(BodyAborted)).await;
    }
}

/// Returns the connection to the pool and reports the outcome of the attempt.
fn complete(response: UpstreamResponse) {
    response.connection.return_to_pool();
    response.attempt.finish(response.outcome);
}

/// Reports `outcome` and discards the body. A short body that has already arrived is read, so that
/// its connection can be reused. Reading a longer one costs more than a new connection.
pub(crate) async fn discard(response: UpstreamResponse, outcome: Outcome) {
    const DISCARD_LIMIT_BYTES: u64 = 16 * 1024;
    if response.is_shed() {
        response.attempt.on_shed(retry_after(&response));
    }
    // After a response to an earlier request, the one to this request is still to come.
    let is_in_step = response.kind != ResponseKind::UnattributedShed;
    let UpstreamResponse { mut body, connection, attempt, .. } = response;
    attempt.finish(outcome);
    let short = body.size_hint().upper().is_some_and(|upper| upper <= DISCARD_LIMIT_BYTES);
    if !short || !is_in_step {
        return;
    }
    while let Some(Some(Ok(_))) = body.frame().now_or_never() {}
    if body.is_end_stream() {
        connection.return_to_pool();
    }
}
