//! State machine that executes a non-idempotent request at most once.
//!
//! It decides what to do with the request and its idempotency record, from the claim of the
//! idempotency key to the response. It performs no I/O: its user carries out each [`Step`] and
//! reports the resulting [`Event`].

use cactustrack_types::Execution;

/// Result of claiming an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The key was free and is now claimed for this request.
    Granted,
    /// An earlier request with this key is in progress, or its outcome is unknown.
    HeldRunning,
    /// An earlier request with this key completed with this HTTP status.
    HeldCompleted(u16),
    /// The key was used for a different request.
    Mismatch,
    /// The store call failed. The claim may have been written.
    RecordError,
}

/// Event in the processing of a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The claim of the idempotency key ended with this result.
    Claim(ClaimResult),
    /// A connection to the upstream is ready.
    Connected,
    /// No connection could be opened.
    ConnectFailed {
        /// True if another upstream may be tried.
        another: bool,
    },
    /// No upstream can be selected.
    NoUpstream,
    /// The first byte of the request is about to be written to the socket.
    ///
    /// This must be reported before the write, because a failed write may have sent bytes.
    WriteStarted,
    /// The upstream shed the request: 429, or 503 with `Retry-After`.
    Shed {
        /// HTTP status of the response.
        status: u16,
    },
    /// The upstream states that it has not executed the request, and another one may be tried.
    Declined,
    /// The head of any other final response arrived.
    ResponseHead {
        /// HTTP status of the response.
        status: u16,
    },
    /// The connection to the upstream failed, or its response was malformed.
    Broken,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Action on the idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordAction {
    /// Leave the record unchanged.
    None,
    /// Delete the claim, because the request was not executed.
    Release,
    /// Record the HTTP status of the response.
    Complete(u16),
}

/// Next action on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Claim the idempotency key.
    Claim,
    /// Select an upstream and obtain a connection that is new or was proven to work within the last
    /// second.
    Connect,
    /// Select an upstream that was not tried, and obtain a connection.
    TryAnother,
    /// Send the request. Returned a second time only after an upstream declined the request.
    Dispatch,
    /// Wait for the next event.
    Wait,
    /// Forward the response to the caller.
    Forward,
    /// Respond with a rejection.
    Reject {
        /// HTTP status of the rejection.
        status: u16,
        /// Whether the request may have been executed.
        execution: Execution,
        /// HTTP status of the earlier response, if the request repeats a completed one.
        recorded: Option<u16>,
    },
    /// End without a response, and close the connection to the upstream.
    Abort,
    /// Do nothing: the event is not expected in this state and has no effect.
    Ignore,
}

/// Decision in response to an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Action on the idempotency record.
    pub record: RecordAction,
    /// Next action on the request.
    pub next: NextAction,
}

impl Step {
    fn new(record: RecordAction, next: NextAction) -> Self {
        Self { record, next }
    }

    fn next_only(next: NextAction) -> Self {
        Self::new(RecordAction::None, next)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Claiming,
    Connecting,
    /// The request is to be sent, but no byte was written to the socket yet.
    Dispatching,
    /// Bytes may have reached the upstream.
    Sent,
    Responded,
    Ended,
}

/// State of a non-idempotent request, which is executed at most once.
///
/// The idempotency key, if the request has one, is claimed before an upstream is selected. The
/// claim is released only if the request was certainly not executed. Otherwise the record stays in
/// the running state, so that repeats are rejected with `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AtMostOnceRequest {
    has_key: bool,
    state: State,
}

impl AtMostOnceRequest {
    /// Creates the state of a new request and returns the first step.
    pub fn new(has_key: bool) -> (Self, Step) {
        let (state, next) = if has_key {
            (State::Claiming, NextAction::Claim)
        } else {
            (State::Connecting, NextAction::Connect)
        };
        (Self { has_key, state }, Step::next_only(next))
    }

    /// Returns true after the step that ends the request. Later events are ignored.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Processes an event and returns the next step.
    pub fn on(&mut self, event: Event) -> Step {
        match self.state {
            State::Claiming => self.on_claiming(event),
            State::Connecting => self.on_connecting(event),
            State::Dispatching => self.on_dispatching(event),
            State::Sent => self.on_sent(event),
            State::Responded => self.on_responded(event),
            State::Ended => Step::next_only(NextAction::Ignore),
        }
    }

    fn on_claiming(&mut self, event: Event) -> Step {
        match event {
            Event::Claim(result) => self.on_claim(result),
            // The result of the store call is unknown, so the claim may have been written.
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerDisconnected => self.abort_not_run(),
            _ => Step::next_only(NextAction::Ignore),
        }
    }

    fn on_claim(&mut self, result: ClaimResult) -> Step {
        match result {
            ClaimResult::Granted => {
                self.state = State::Connecting;
                Step::next_only(NextAction::Connect)
            }
            ClaimResult::HeldRunning => self.reject(409, Execution::Unknown, None),
            ClaimResult::HeldCompleted(status) => {
                self.reject(409, Execution::Completed, Some(status))
            }
            ClaimResult::Mismatch => self.reject(422, Execution::NotRun, None),
            ClaimResult::RecordError => self.reject_not_run(503),
        }
    }

    fn on_connecting(&mut self, event: Event) -> Step {
        match event {
            Event::Connected => {
                self.state = State::Dispatching;
                Step::next_only(NextAction::Dispatch)
            }
            Event::ConnectFailed { another: true } => Step::next_only(NextAction::TryAnother),
            Event::ConnectFailed { another: false } => self.reject_not_run(503),
            Event::NoUpstream => self.reject_not_run(503),
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerDisconnected => self.abort_not_run(),
            _ => Step::next_only(NextAction::Ignore),
        }
    }

    fn on_dispatching(&mut self, event: Event) -> Step {
        match event {
            Event::WriteStarted => {
                self.state = State::Sent;
                Step::next_only(NextAction::Wait)
            }
            Event::Broken | Event::ConnectFailed { .. } => self.reject_not_run(503),
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerDisconnected => self.abort_not_run(),
            // An upstream may respond before it has read a byte of the request.
            Event::Shed { .. } | Event::ResponseHead { .. } => self.on_sent(event),
            _ => Step::next_only(NextAction::Ignore),
        }
    }

    fn on_sent(&mut self, event: Event) -> Step {
        match event {
            Event::Shed { .. } => self.reject_not_run(503),
            Event::Declined => {
                self.state = State::Connecting;
                Step::next_only(NextAction::TryAnother)
            }
            Event::ResponseHead { status } => {
                self.state = State::Responded;
                Step::new(self.if_has_key(RecordAction::Complete(status)), NextAction::Forward)
            }
            Event::Broken => self.reject(502, Execution::Unknown, None),
            Event::DeadlinePassed => self.reject(504, Execution::Unknown, None),
            Event::CallerDisconnected => self.abort(RecordAction::None),
            _ => Step::next_only(NextAction::Ignore),
        }
    }

    fn on_responded(&mut self, event: Event) -> Step {
        match event {
            // The head was forwarded, so only an abort can signal the failure to the caller.
            Event::Broken | Event::DeadlinePassed | Event::CallerDisconnected => {
                self.abort(RecordAction::None)
            }
            _ => Step::next_only(NextAction::Ignore),
        }
    }

    fn if_has_key(&self, action: RecordAction) -> RecordAction {
        if self.has_key { action } else { RecordAction::None }
    }

    fn abort(&mut self, record: RecordAction) -> Step {
        self.state = State::Ended;
        Step::new(record, NextAction::Abort)
    }

    fn abort_not_run(&mut self) -> Step {
        self.abort(self.if_has_key(RecordAction::Release))
    }

    fn reject(&mut self, status: u16, execution: Execution, recorded: Option<u16>) -> Step {
        self.state = State::Ended;
        Step::next_only(NextAction::Reject { status, execution, recorded })
    }

    fn reject_not_run(&mut self, status: u16) -> Step {
        let step = self.reject(status, Execution::NotRun, None);
        Step::new(self.if_has_key(RecordAction::Release), step.next)
    }
}
