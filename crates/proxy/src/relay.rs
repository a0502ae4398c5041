//! Streams response bodies from upstreams to callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactustrack_types::Outcome;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, select};
use futures::{FutureExt, SinkExt};
use http_body::{Body, Frame};
use http_body_util::BodyExt;

use crate::body::BodyAborted;
use crate::exchange::UpstreamResponse;
use crate::handler::Proxy;
use crate::retryable::retry_after;
use crate::{ResponseBody, ResponseKind};

/// Time without data from the upstream after which a body counts as truncated.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

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
    CallerDisconnected,
}

/// Returns a body with the frames of the response, which a task reads from the upstream. A small
/// body that has already arrived needs no task.
pub(crate) fn relay(
    proxy: &Rc<Proxy>,
    mut response: UpstreamResponse,
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
    let task = run(Rc::clone(proxy), response, first, resume, tx, alive_rx);
    compio::runtime::spawn(task).detach();
    ResponseBody::relayed(rx, size, alive_tx)
}

async fn run(
    proxy: Rc<Proxy>,
    mut response: UpstreamResponse,
    mut first: Option<FrameResult>,
    resume: Option<Box<dyn Resume>>,
    mut tx: FrameTx,
    mut caller: oneshot::Receiver<()>,
) {
    let service = response.attempt.target().service.clone();
    let mut offset = 0;
    loop {
        let forwarding =
            forward_frames(&mut response, first.take(), &mut tx, &mut caller, &mut offset);
        match forwarding.await {
            BodyEnd::Complete => return complete(response),
            BodyEnd::CallerDisconnected => return,
            BodyEnd::Truncated => {}
        }
        response.attempt.finish(Outcome::CutShort);
        let resumed = match &resume {
            Some(resume) => resume.resume(offset).await,
            None => None,
        };
        let Some(next) = resumed else {
            proxy.metrics().aborted_responses.with_label_values(&[&*service]).inc();
            if let Some(suppressed) = proxy.log_allowed("response truncated") {
                slog::warn!(proxy.log(), "proxy: response truncated";
                    "service" => &*service, "offset" => offset, "left_out" => suppressed);
            }
            let _ = tx.send(Err(BodyAborted)).await;
            return;
        };
        response = next;
    }
}

async fn forward_frames(
    response: &mut UpstreamResponse,
    mut first: Option<FrameResult>,
    tx: &mut FrameTx,
    caller: &mut oneshot::Receiver<()>,
    offset: &mut u64,
) -> BodyEnd {
    let UpstreamResponse { body, connection, .. } = response;
    loop {
        let frame = if let Some(read) = first.take() {
            Some(Ok(read))
        } else {
            let reading = compio::time::timeout(STALL_TIMEOUT, body.frame());
            let reading = std::pin::pin!(reading);
            match select(reading, &mut *caller).await {
                Either::Left((frame, _)) => Some(frame),
                Either::Right(_) => None,
            }
        };
        let Some(frame) = frame else {
            // hyper drops the body once it has written Content-Length bytes, which can happen
            // before the end of the upstream's body was read.
            return if body.is_end_stream() {
                BodyEnd::Complete
            } else {
                BodyEnd::CallerDisconnected
            };
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                connection.on_progress();
                *offset += frame.data_ref().map_or(0, |data| data.len() as u64);
                if tx.send(Ok(frame)).await.is_err() && !body.is_end_stream() {
                    return BodyEnd::CallerDisconnected;
                }
            }
            Ok(None) => return BodyEnd::Complete,
            Ok(Some(Err(_))) | Err(_) => return BodyEnd::Truncated,
        }
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
