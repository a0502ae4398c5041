//! Implementation of the network of the Cap'n Proto RPC library over an authenticated connection.
//!
//! Each RPC message is packed and sent in one frame. The reader and the writer of a connection
//! stop when either fails, when this instance closes the connection, or when the RPC system shuts
//! it down.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use capnp::any_pointer;
use capnp::capability::Promise;
use capnp::message::{Builder, HeapAllocator, Reader};
use capnp::serialize::OwnedSegments;
use capnp::traits::HasTypeId;
use capnp_rpc::rpc_capnp::message as rpc_message;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{IncomingMessage, OutgoingMessage, VatNetwork};
use compio::buf::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use futures::channel::{mpsc, oneshot};
use futures::future::{Either, Shared, select};
use futures::{FutureExt, StreamExt};

use crate::codec;
use crate::counters::{PeerCounters, PeerMethod};
use crate::fault::PeerFault;
use crate::frame::{FrameReader, FrameWriter, HEADER_BYTES, Header};
use crate::handshake::Session;
use crate::peer_capnp::peer;

/// Bytes queued for writing beyond which the connection is closed: four frames of maximum size.
const MAX_BACKLOG_BYTES: usize = 1024 * 1024;
/// Maximum number of concurrently open calls of the peer.
const MAX_OPEN_CALLS: usize = 256;
/// Read buffers with a larger capacity are released after use, to limit the memory of idle
/// connections.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Minimum spare capacity of the buffer for a read.
const MIN_READ_BYTES: usize = 4 * 1024;

/// State shared by the reader, the writer and the owner of a connection.
pub(crate) struct ConnectionState {
    counters: Rc<PeerCounters>,
    writer: RefCell<FrameWriter>,
    queue: mpsc::UnboundedSender<Vec<u8>>,
    backlog_bytes: Cell<usize>,
    calls: RefCell<OpenCalls>,
    last_received: Cell<Instant>,
    close: RefCell<Option<oneshot::Sender<()>>>,
    closed: Shared<oneshot::Receiver<()>>,
}

impl ConnectionState {
    /// Returns true if the connection is closed or about to close.
    pub(crate) fn is_closed(&self) -> bool {
        self.close.borrow().is_none()
    }

    /// Returns the time at which the last frame arrived or, before the first one, the time at which
    /// the connection was opened.
    pub(crate) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Closes the connection. Calls in flight fail.
    pub(crate) fn close(&self) {
        if let Some(close) = self.close.borrow_mut().take() {
            // The receiver is dropped only together with the connection.
            let _ = close.send(());
        }
    }

    /// Records a fault and closes the connection, unless it is already closed.
    fn fail(&self, fault: PeerFault) {
        if !self.is_closed() {
            self.counters.record_fault(fault);
            self.close();
        }
    }

    /// Queues the frame of a message for the writer.
    fn enqueue(&self, message: &Builder<HeapAllocator>) -> Result<(), PeerFault> {
        let payload = codec::pack(message).map_err(|_| PeerFault::Undecodable)?;
        let frame = self.writer.borrow_mut().seal(&payload)?;
        let method = message
            .get_root_as_reader()
            .map_or(PeerMethod::Other, |body| self.calls.borrow_mut().classify_sent(body));
        self.counters.record_sent(method, frame.len());
        self.backlog_bytes.set(self.backlog_bytes.get() + frame.len());
        if self.backlog_bytes.get() > MAX_BACKLOG_BYTES {
            return Err(PeerFault::Backlog);
        }
        // The queue is closed only when the connection is shutting down.
        let _ = self.queue.unbounded_send(frame);
        Ok(())
    }

    /// Decodes the payload of a received frame and records it.
    fn decode(&self, frame_bytes: usize, payload: &[u8]) -> Result<IncomingRpcMessage, PeerFault> {
        self.last_received.set(Instant::now());
        let message = codec::unpack(payload).map_err(|_| PeerFault::Undecodable)?;
        let body: any_pointer::Reader<'_> =
            message.get_root().map_err(|_| PeerFault::Undecodable)?;
        let mut calls = self.calls.borrow_mut();
        let method = calls.classify_received(body);
        self.counters.record_received(method, frame_bytes);
        if calls.received.len() > MAX_OPEN_CALLS {
            return Err(PeerFault::Backlog);
        }
        Ok(IncomingRpcMessage { message })
    }
}

/// Methods of the open calls in each direction, by question id of the RPC protocol.
#[derive(Default)]
struct OpenCalls {
    sent: HashMap<u32, PeerMethod>,
    received: HashMap<u32, PeerMethod>,
}

impl OpenCalls {
    fn classify_sent(&mut self, body: any_pointer::Reader<'_>) -> PeerMethod {
        classify(body, &mut self.sent, &self.received)
    }

    fn classify_received(&mut self, body: any_pointer::Reader<'_>) -> PeerMethod {
        classify(body, &mut self.received, &self.sent)
    }
}

/// Returns the method to which a message belongs, and updates the open calls. `questions` are the
/// calls made by the sender of the message, `answers` those made by its receiver.
fn classify(
    body: any_pointer::Reader<'_>,
    questions: &mut HashMap<u32, PeerMethod>,
    answers: &HashMap<u32, PeerMethod>,
) -> PeerMethod {
    let message = body.get_as::<rpc_message::Reader<'_>>();
    match message.map(rpc_message::Reader::which) {
        Ok(Ok(rpc_message::Call(Ok(call)))) => {
            let method = method_of(call.get_interface_id(), call.get_method_id());
            questions.insert(call.get_question_id(), method);
            method
        }
        Ok(Ok(rpc_message::Return(Ok(answer)))) => {
            answers.get(&answer.get_answer_id()).copied().unwrap_or(PeerMethod::Other)
        }
        Ok(Ok(rpc_message::Finish(Ok(finish)))) => {
            questions.remove(&finish.get_question_id()).unwrap_or(PeerMethod::Other)
        }
        _ => PeerMethod::Other,
    }
}

fn method_of(interface_id: u64, method_id: u16) -> PeerMethod {
    if interface_id != peer::Client::TYPE_ID {
        return PeerMethod::Other;
    }
    match method_id {
        0 => PeerMethod::Hello,
        1 => PeerMethod::Report,
        2 => PeerMethod::Sync,
        _ => PeerMethod::Other,
    }
}

/// Reads and verifies frames from a stream.
struct FrameSource {
    stream: TcpStream,
    reader: FrameReader,
    buf: Vec<u8>,
}

impl FrameSource {
    /// Returns the size and the payload of the next frame, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<(usize, Vec<u8>)>, PeerFault> {
        if !self.fill(HEADER_BYTES).await? {
            return Ok(None);
        }
        let header = Header::try_from(&self.buf[..HEADER_BYTES]).map_err(|_| PeerFault::Io)?;
        let frame_bytes = HEADER_BYTES + FrameReader::payload_bytes(&header)?;
        if !self.fill(frame_bytes).await? {
            return Err(PeerFault::Truncated);
        }
        let payload = self.buf[HEADER_BYTES..frame_bytes].to_vec();
        self.buf.drain(..frame_bytes);
        if self.buf.is_empty() && self.buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buf = Vec::new();
        }
        self.reader.open(&header, &payload)?;
        Ok(Some((frame_bytes, payload)))
    }

    /// Reads until the buffer holds at least `bytes` bytes. Returns false if the stream ended while
    /// the buffer was empty.
    async fn fill(&mut self, bytes: usize) -> Result<bool, PeerFault> {
        while self.buf.len() < bytes {
            let mut buf = std::mem::take(&mut self.buf);
            buf.reserve(MIN_READ_BYTES.max(bytes - buf.len()));
            let BufResult(result, buf) = self.stream.append(buf).await;
            self.buf = buf;
            match result {
                Ok(0) if self.buf.is_empty() => return Ok(false),
                Ok(0) => return Err(PeerFault::Truncated),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(PeerFault::Io),
            }
        }
        Ok(true)
    }
}

/// Two-party RPC network over one connection.
pub(crate) struct PeerNetwork {
    side: Side,
    state: Rc<ConnectionState>,
    source: Rc<RefCell<Option<FrameSource>>>,
    is_accepted: bool,
    driver: Shared<Promise<(), capnp::Error>>,
}

impl PeerNetwork {
    /// Creates the network of an authenticated stream. `side` is the role of this instance.
    pub(crate) fn new(
        stream: TcpStream,
        session: Session,
        side: Side,
        counters: Rc<PeerCounters>,
    ) -> Self {
        let (queue, queued) = mpsc::unbounded();
        let (close, closed) = oneshot::channel();
        let state = Rc::new(ConnectionState {
            counters,
            writer: RefCell::new(session.writer),
            queue,
            backlog_bytes: Cell::new(0),
            calls: RefCell::default(),
            last_received: Cell::new(Instant::now()),
            close: RefCell::new(Some(close)),
            closed: closed.shared(),
        });
        let source =
            FrameSource { stream: stream.clone(), reader: session.reader, buf: Vec::new() };
        let driver = Promise::from_future(drive_writer(stream, queued, state.clone())).shared();
        let source = Rc::new(RefCell::new(Some(source)));
        Self { side, state, source, is_accepted: false, driver }
    }

    pub(crate) fn state(&self) -> Rc<ConnectionState> {
        self.state.clone()
    }

    fn connection(&self) -> Box<dyn capnp_rpc::Connection<Side>> {
        let peer = match self.side {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        };
        Box::new(PeerConnection { peer, state: self.state.clone(), source: self.source.clone() })
    }
}

/// Writes queued frames until a shutdown of the RPC system closes the queue.
async fn drive_writer(
    mut stream: TcpStream,
    mut queued: mpsc::UnboundedReceiver<Vec<u8>>,
    state: Rc<ConnectionState>,
) -> Result<(), capnp::Error> {
    while let Some(mut buf) = queued.next().await {
        while let Ok(frame) = queued.try_recv() {
            buf.extend_from_slice(&frame);
        }
        let bytes = buf.len();
        let write = std::pin::pin!(stream.write_all(buf));
        match select(write, state.closed.clone()).await {
            Either::Left((BufResult(Ok(()), _), _)) => {
                state.backlog_bytes.set(state.backlog_bytes.get().saturating_sub(bytes));
            }
            Either::Left((BufResult(Err(_), _), _)) => state.fail(PeerFault::Io),
            Either::Right(_) => {}
        }
    }
    Ok(())
}

impl VatNetwork<Side> for PeerNetwork {
    fn connect(&mut self, host: Side) -> Option<Box<dyn capnp_rpc::Connection<Side>>> {
        (host != self.side).then(|| self.connection())
    }

    fn accept(&mut self) -> Promise<Box<dyn capnp_rpc::Connection<Side>>, capnp::Error> {
        if self.side == Side::Server && !self.is_accepted {
            self.is_accepted = true;
            return Promise::ok(self.connection());
        }
        Promise::from_future(futures::future::pending())
    }

    fn drive_until_shutdown(&mut self) -> Promise<(), capnp::Error> {
        Promise::from_future(self.driver.clone())
    }
}

/// The connection as seen by the RPC system.
struct PeerConnection {
    peer: Side,
    state: Rc<ConnectionState>,
    source: Rc<RefCell<Option<FrameSource>>>,
}

impl capnp_rpc::Connection<Side> for PeerConnection {
    fn get_peer_vat_id(&self) -> Side {
        self.peer
    }

    fn new_outgoing_message(&mut self, first_segment_words: u32) -> Box<dyn OutgoingMessage> {
        let allocator = HeapAllocator::new().first_segment_words(first_segment_words.max(64));
        Box::new(OutgoingRpcMessage { message: Builder::new(allocator), state: self.state.clone() })
    }

    fn receive_incoming_message(
        &mut self,
    ) -> Promise<Option<Box<dyn IncomingMessage>>, capnp::Error> {
        let (state, shared) = (self.state.clone(), self.source.clone());
        Promise::from_future(async move {
            let Some(mut source) = shared.borrow_mut().take() else {
                return Err(capnp::Error::failed("connection is already being read".into()));
            };
            let received = receive(&state, &mut source).await;
            *shared.borrow_mut() = Some(source);
            received
        })
    }

    fn shutdown(&mut self, _result: capnp::Result<()>) -> Promise<(), capnp::Error> {
        // The reader has ended, so no call waits for a message that is still queued.
        self.state.close();
        self.state.queue.close_channel();
        Promise::ok(())
    }
}

/// Reads the next message. A fault closes the connection.
async fn receive(
    state: &ConnectionState,
    source: &mut FrameSource,
) -> Result<Option<Box<dyn IncomingMessage>>, capnp::Error> {
    let next = std::pin::pin!(source.next());
    let frame = match select(next, state.closed.clone()).await {
        Either::Left((frame, _)) => frame,
        Either::Right(_) => return Err(capnp::Error::disconnected("connection closed".into())),
    };
    let received = frame.and_then(|frame| {
        frame.map(|(frame_bytes, payload)| state.decode(frame_bytes, &payload)).transpose()
    });
    match received {
        Ok(message) => Ok(message.map(|message| Box::new(message) as Box<dyn IncomingMessage>)),
        Err(fault) => {
            state.fail(fault);
            Err(capnp::Error::disconnected(fault.to_string()))
        }
    }
}

/// A message that the RPC system builds and sends over the connection.
struct OutgoingRpcMessage {
    message: Builder<HeapAllocator>,
    state: Rc<ConnectionState>,
}

impl OutgoingMessage for OutgoingRpcMessage {
    fn get_body(&mut self) -> capnp::Result<any_pointer::Builder<'_>> {
        self.message.get_root()
    }

    fn get_body_as_reader(&self) -> capnp::Result<any_pointer::Reader<'_>> {
        self.message.get_root_as_reader()
    }

    fn send(self: Box<Self>) -> (Promise<(), capnp::Error>, Rc<Builder<HeapAllocator>>) {
        let Self { message, state } = *self;
        let sent = match state.enqueue(&message) {
            Ok(()) => Promise::ok(()),
            Err(fault) => {
                state.fail(fault);
                Promise::err(capnp::Error::disconnected(fault.to_string()))
            }
        };
        (sent, Rc::new(message))
    }

    fn take(self: Box<Self>) -> Builder<HeapAllocator> {
        self.message
    }

    fn size_in_words(&self) -> usize {
        self.message.size_in_words()
    }
}

/// A message received from the peer.
struct IncomingRpcMessage {
    message: Reader<OwnedSegments>,
}

impl IncomingMessage for IncomingRpcMessage {
    fn get_body(&self) -> capnp::Result<any_pointer::Reader<'_>> {
        self.message.get_root()
    }
}
