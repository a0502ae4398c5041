//! Streams response bodies from upstreams to callers.

use std::future::{pending, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_types::Outcome;
use futures::FutureExt;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, select};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::body_deadline::BodyDeadline;
use crate::caller_queue::{CallerGone, CallerQueue};
use crate::exchange::{UpstreamResponse, time_until};
use crate::handler::Proxy;
use crate::memory_budget::MemoryUse;
use crate::retryable::retry_after;
use crate::{ResponseBody, ResponseKind};

/// Shortest silence of an upstream within a body that counts against it when the deadline passes.
/// Shorter ones occur on links that are in use.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Largest frame of a body: the buffer of a connection to an upstream.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Interval at which a response that is not read ahead, because the memory budget is exhausted,
/// checks for room. It also continues when its caller takes a frame.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Logged reason of the abort after [`BodyEnd::CallerStalled`].
const CALLER_STALLED: &str = "the caller takes no data";

/// Result of reading a body: a frame, `None` at its end, or the error of its connection.
type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

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
            let data = frame.into_data().unwrap_or_default();
            return ResponseBody::full(proxy.memory().count(MemoryUse::Responses, data));
        }
        first => first,
    };
    // At most one frame is in the channel and one in hyper. Without a memory budget, a slow caller
    // thereby applies backpressure to the upstream.
    let (tx, rx) = mpsc::channel(0);
    let (alive_tx, alive_rx) = oneshot::channel();
    let queue = CallerQueue::new(tx, proxy.memory().clone(), deadline);
    let proxy = Rc::clone(proxy);
    let forwarder =
        Forwarder { proxy, deadline, queue, caller: alive_rx, offset: 0, awaiting: None };
    compio::runtime::spawn(forwarder.run(response, first, resume)).detach();
    ResponseBody::relayed(rx, size, alive_tx)
}

/// A wait for the next frame of an upstream.
#[derive(Clone, Copy)]
struct UpstreamWait {
    since: Instant,
    until: Instant,
}

/// What happened first while a caller had not taken all frames.
enum Progress {
    FrameTaken,
    FrameRead(FrameResult),
    TimePassed,
}

/// Forwards the body of one response to its caller.
struct Forwarder {
    proxy: Rc<Proxy>,
    deadline: BodyDeadline,
    queue: CallerQueue,
    /// Resolves when the caller disconnects.
    caller: oneshot::Receiver<()>,
    /// Number of bytes read from upstreams.
    offset: u64,
    /// The wait for the upstream, which continues while the caller takes frames.
    awaiting: Option<UpstreamWait>,
}

impl Forwarder {
    async fn run(
        mut self,
        mut response: UpstreamResponse,
        mut first: Option<FrameResult>,
        resume: Option<Box<dyn Resume>>,
    ) {
        loop {
            let service = response.attempt.target().service.clone();
            let end = self.forward_frames(&mut response, first.take()).await;
            if end == BodyEnd::Complete {
                complete(response);
                return self.deliver_rest(&service, None).await;
            }
            let attempt = response.close();
            match end {
                BodyEnd::Complete | BodyEnd::CallerDisconnected => return,
                BodyEnd::CallerStalled => {
                    attempt.abandon();
                    return self.abort(&service, CALLER_STALLED).await;
                }
                BodyEnd::DeadlinePassed { silence } => {
                    if silence >= MIN_SILENCE {
                        attempt.finish(Outcome::CutShort);
                    } else {
                        attempt.abandon();
                    }
                    return self.deliver_rest(&service, Some("deadline passed")).await;
                }
                BodyEnd::Truncated => attempt.finish(Outcome::CutShort),
            }
            response = match self.resume(resume.as_deref()).await {
                Ok(Some(next)) => next,
                Ok(None) => return self.deliver_rest(&service, Some("truncated")).await,
                Err(BodyEnd::CallerStalled) => return self.abort(&service, CALLER_STALLED).await,
                Err(_) => return,
            };
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
            if self.queue.push(frame).is_err() && !body.is_end_stream() {
                return BodyEnd::CallerDisconnected;
            }
        }
    }

    /// Reads the next frame. While the caller has not taken the frames before, it is read only if
    /// the caller is slow and the memory budget has room.
    async fn next_frame(&mut self, body: &mut Incoming) -> Result<FrameResult, BodyEnd> {
        while let Some(slow_from) = self.queue.slow_from() {
            let now = Instant::now();
            let memory = self.proxy.memory().clone();
            let has_room = memory.allows_reading_ahead(self.queue.held_bytes(), MAX_FRAME_BYTES);
            let reads = has_room && slow_from <= now;
            let wait = reads.then(|| self.upstream_wait(now));
            let next_check = match wait {
                Some(wait) => Some(wait.until),
                None => {
                    // The time in which nothing is read says nothing about the upstream.
                    self.awaiting = None;
                    let next = if has_room { slow_from } else { now + ROOM_CHECK_INTERVAL };
                    memory.is_limited().then_some(next)
                }
            };
            let next_check = next_check.into_iter().chain(self.queue.stalls_at()).min();
            match self.progress(reads.then_some(&mut *body), next_check).await? {
                Progress::FrameRead(frame) => {
                    self.on_upstream_wait_end();
                    return Ok(frame);
                }
                Progress::FrameTaken => {}
                Progress::TimePassed => self.check_time(wait)?,
            }
        }
        self.read(body).await
    }

    /// Reads the next frame, and waits for it unless it has arrived. The caller waits for it, too.
    async fn read(&mut self, body: &mut Incoming) -> Result<FrameResult, BodyEnd> {
        if let Some(frame) = body.frame().now_or_never() {
            self.on_upstream_wait_end();
            return Ok(frame);
        }
        let wait = self.upstream_wait(Instant::now());
        let reading = compio::time::timeout(time_until(wait.until), body.frame());
        let reading = std::pin::pin!(reading);
        match select(reading, &mut self.caller).await {
            Either::Left((Ok(frame), _)) => {
                self.on_upstream_wait_end();
                Ok(frame)
            }
            Either::Left((Err(_), _)) => Err(self.on_upstream_timeout(wait)),
            Either::Right(_) => Err(BodyEnd::CallerDisconnected),
        }
    }

    /// Returns the wait for the upstream in progress, or starts one.
    fn upstream_wait(&mut self, now: Instant) -> UpstreamWait {
        let longest = self.deadline.upstream_wait();
        *self.awaiting.get_or_insert_with(|| UpstreamWait { since: now, until: now + longest })
    }

    fn on_upstream_wait_end(&mut self) {
        if let Some(wait) = self.awaiting.take() {
            self.deadline.on_upstream_wait(wait.since);
        }
    }

    fn on_upstream_timeout(&mut self, wait: UpstreamWait) -> BodyEnd {
        self.on_upstream_wait_end();
        if self.deadline.has_passed() {
            BodyEnd::DeadlinePassed { silence: wait.since.elapsed() }
        } else {
            BodyEnd::Truncated
        }
    }

    /// Fails if the caller has taken no frame in time, or the wait for the upstream is over.
    fn check_time(&mut self, wait: Option<UpstreamWait>) -> Result<(), BodyEnd> {
        let now = Instant::now();
        if self.queue.has_stalled(now) {
            return Err(BodyEnd::CallerStalled);
        }
        match wait {
            Some(wait) if wait.until <= now => Err(self.on_upstream_timeout(wait)),
            _ => Ok(()),
        }
    }

    /// Waits until the caller takes a frame, the body has one, or the time `until`.
    async fn progress(
        &mut self,
        mut body: Option<&mut Incoming>,
        until: Option<Instant>,
    ) -> Result<Progress, BodyEnd> {
        let queue = &mut self.queue;
        let mut timer = std::pin::pin!(async move {
            match until {
                Some(until) => compio::time::sleep(time_until(until)).await,
                None => pending().await,
            }
        });
        let progress = poll_fn(|cx| {
            if let Poll::Ready(taken) = queue.poll_taken(cx) {
                return Poll::Ready(taken.map(|()| Progress::FrameTaken));
            }
            if let Some(body) = &mut body
                && let Poll::Ready(frame) = Pin::new(&mut **body).poll_frame(cx)
            {
                return Poll::Ready(Ok(Progress::FrameRead(frame)));
            }
            timer.as_mut().poll(cx).map(|()| Ok(Progress::TimePassed))
        });
        progress.await.map_err(|CallerGone| BodyEnd::CallerDisconnected)
    }

    /// Waits until the caller has taken all frames.
    async fn deliver(&mut self) -> Result<(), BodyEnd> {
        while !self.queue.is_empty() {
            if let Progress::TimePassed = self.progress(None, self.queue.stalls_at()).await? {
                self.check_time(None)?;
            }
        }
        Ok(())
    }

    /// Fetches the remainder of a truncated response, while the caller takes what is held.
    async fn resume(
        &mut self,
        resume: Option<&dyn Resume>,
    ) -> Result<Option<UpstreamResponse>, BodyEnd> {
        let Some(resume) = resume else { return Ok(None) };
        let fetching = resume.resume(self.offset);
        let delivering = std::pin::pin!(self.deliver());
        match select(fetching, delivering).await {
            Either::Left((response, _)) => Ok(response),
            Either::Right((Ok(()), fetching)) => Ok(fetching.await),
            Either::Right((Err(end), _)) => Err(end),
        }
    }

    /// Delivers what is held, and then ends the body, with an abort if there is a reason for one.
    async fn deliver_rest(mut self, service: &str, reason: Option<&str>) {
        match (self.deliver().await, reason) {
            (Err(BodyEnd::CallerStalled), _) => self.abort(service, CALLER_STALLED).await,
            (Ok(()), Some(reason)) => self.abort(service, reason).await,
            (Ok(()), None) | (Err(_), _) => {}
        }
    }

    /// Ends the body so that the caller can tell that it is incomplete.
    async fn abort(self, service: &str, reason: &str) {
        self.proxy.metrics().aborted_responses.with_label_values(&[service]).inc();
        if let Some(suppressed) = self.proxy.log_allowed("response not completed") {
            slog::warn!(self.proxy.log(), "proxy: response not completed"; "service" => service,
                "reason" => reason, "offset" => self.offset, "left_out" => suppressed);
        }
        self.queue.abort().await;
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
