//! Spans and the W3C Trace Context.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use prometheus::IntCounter;

/// Maximum number of spans that wait for export. Further spans are dropped and counted.
const MAX_QUEUED_SPANS: usize = 8192;

/// Trace and span ids of the current hop, as carried by the `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace.
    pub trace_id: u128,
    /// Id of the span that is the parent of the next hop's span.
    pub span_id: u64,
    /// True if the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new trace.
    pub fn new_root() -> Self {
        Self { trace_id: rand::random(), span_id: nonzero_span_id(), sampled: true }
    }

    /// Parses the value of a `traceparent` header. Returns `None` if it is invalid, in which case
    /// the Trace Context specification requires a new trace.
    pub fn parse(value: &str) -> Option<Self> {
        let mut fields = value.trim().split('-');
        let version = fields.next()?;
        let trace_id = parse_hex(fields.next()?, 32)?;
        let span_id = parse_hex(fields.next()?, 16)?;
        let flags = parse_hex(fields.next()?, 2)?;
        let known_version = version == "00";
        let valid_version = parse_hex(version, 2)? != 0xff;
        let trailing = fields.next().is_some();
        if !valid_version || trace_id == 0 || span_id == 0 || (known_version && trailing) {
            return None;
        }
        let span_id = u64::try_from(span_id).ok()?;
        Some(Self { trace_id, span_id, sampled: flags & 1 == 1 })
    }

    /// Returns the value of the `traceparent` header.
    pub fn header_value(&self) -> String {
        let flags = u8::from(self.sampled);
        format!("00-{:032x}-{:016x}-{flags:02x}", self.trace_id, self.span_id)
    }

    /// Returns a context for a child of this span.
    pub fn new_child(&self) -> Self {
        Self { span_id: nonzero_span_id(), ..*self }
    }
}

fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let lower_hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != digits || !lower_hex {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

fn nonzero_span_id() -> u64 {
    rand::random::<u64>().max(1)
}

/// Role of a span in a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// The span covers the handling of a request of a caller.
    Server,
    /// The span covers a request to an upstream.
    Client,
}

/// A finished span.
#[derive(Clone, Debug)]
pub struct Span {
    /// Trace id and id of this span.
    pub context: TraceContext,
    /// Id of the parent span, or 0 if there is none.
    pub parent_span_id: u64,
    /// Name of the operation.
    pub name: &'static str,
    /// Role in the hop.
    pub kind: SpanKind,
    /// Start of the span.
    pub start: SystemTime,
    /// End of the span.
    pub end: SystemTime,
    /// Names and values of the attributes.
    pub attributes: Vec<(&'static str, String)>,
    /// True if the operation failed.
    pub is_error: bool,
}

/// A span that has not ended yet.
#[derive(Debug)]
pub struct SpanTimer {
    span: Span,
    started: Instant,
}

impl SpanTimer {
    /// Starts a child span of `parent`, or the root span of a new trace.
    pub fn new(name: &'static str, kind: SpanKind, parent: Option<TraceContext>) -> Self {
        let context = parent.map_or_else(TraceContext::new_root, |parent| parent.new_child());
        let start = SystemTime::now();
        let parent_span_id = parent.map_or(0, |parent| parent.span_id);
        let attributes = Vec::new();
        let span = Span {
            context,
            parent_span_id,
            name,
            kind,
            start,
            end: start,
            attributes,
            is_error: false,
        };
        Self { span, started: Instant::now() }
    }

    /// Returns the context to send to the next hop.
    pub fn context(&self) -> TraceContext {
        self.span.context
    }

    /// Adds an attribute.
    pub fn add(&mut self, name: &'static str, value: impl Into<String>) {
        self.span.attributes.push((name, value.into()));
    }

    /// Ends the span and queues it for export.
    pub fn finish(mut self, is_error: bool, queue: &SpanQueue) {
        self.span.end = self.span.start + self.started.elapsed();
        self.span.is_error = is_error;
        queue.push(self.span);
    }
}

/// Queue of spans that wait for export. Clones share the queue.
#[derive(Clone, Debug)]
pub struct SpanQueue {
    spans: Rc<RefCell<VecDeque<Span>>>,
    dropped: IntCounter,
    enabled: bool,
}

impl SpanQueue {
    /// Creates a queue. Unless it is `enabled`, spans are discarded and not counted.
    pub fn new(enabled: bool, dropped: IntCounter) -> Self {
        Self { spans: Rc::default(), dropped, enabled }
    }

    /// Adds a span. Drops and counts the span if the queue is full.
    pub fn push(&self, span: Span) {
        if !self.enabled || !span.context.sampled {
            return;
        }
        let mut spans = self.spans.borrow_mut();
        if spans.len() >= MAX_QUEUED_SPANS {
            self.dropped.inc();
            return;
        }
        spans.push_back(span);
    }

    /// Removes and returns up to `limit` spans.
    pub fn take(&self, limit: usize) -> Vec<Span> {
        let mut spans = self.spans.borrow_mut();
        let count = spans.len().min(limit);
        spans.drain(..count).collect()
    }

    /// Counts spans that could not be exported.
    pub fn count_dropped(&self, spans: usize) {
        self.dropped.inc_by(u64::try_from(spans).unwrap_or(u64::MAX));
    }
}
