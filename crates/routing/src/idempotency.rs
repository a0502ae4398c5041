//! The decisions for one non-idempotent request, from its claim to its answer.

use cactustrack_types::Execution;

/// What happened to a claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The key was free and is now claimed for this attempt.
    Granted,
    /// An earlier request with this key runs, or its outcome is not known.
    HeldRunning,
    /// An earlier request with this key was answered with this HTTP status.
    HeldCompleted(u16),
    /// The key was used for another request.
    Mismatch,
    /// The store did not decide. The claim may have been written.
    RecordError,
}

/// What happened to a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The claim was decided.
    Claim(ClaimResult),
    /// A connection to the upstream is ready.
    Connected,
    /// No connection could be opened. `another` tells whether another upstream may be tried.
    ConnectFailed {
        /// True if an upstream remains that was not tried.
        another: bool,
    },
    /// No upstream can be selected.
    NoUpstream,
    /// The first byte of the request is about to be handed to the socket. It must be reported
    /// before the write, because a write that fails may have sent bytes.
    WriteStarted,
    /// The upstream shed the request: 429, or 503 with `Retry-After`.
    Shed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The upstream states that it has not run the request, and another one may be asked.
    Declined,
    /// The head of any other final answer arrived.
    Answer {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The connection to the upstream broke, or its answer was malformed.
    Broken,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerGone,
}

/// What to do with the idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordAction {
    /// Nothing.
    None,
    /// Delete the claim: the request was not run.
    Release,
    /// Record the HTTP status of the answer.
    Complete(u16),
}

/// What to do with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Claim the idempotency key.
    Claim,
    /// Select an upstream and get a connection that is new or was proven within the last second.
    Connect,
    /// Select an upstream that was not tried, and get a connection.
    TryAnother,
    /// Send the request. Said at most once.
    Dispatch,
    /// Wait for the next event.
    Wait,
    /// Forward the answer to the caller.
    Forward,
    /// Answer with a rejection.
    Reject {
        /// HTTP status of the rejection.
        status: u16,
        /// Whether the request may have been run.
        execution: Execution,
        /// HTTP status of the earlier answer, if the request is a repeat of a completed one.
        recorded: Option<u16>,
    },
    /// End without an answer, and close the connection to the upstream.
    Abort,
    /// The event does not fit the state and has no effect.
    Ignore,
}

/// Decision after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// What to do with the idempotency record.
    pub record: RecordAction,
    /// What to do with the request.
    pub next: NextAction,
}

impl Step {
    fn new(record: RecordAction, next: NextAction) -> Self {
        Self { record, next }
    }

    fn only(next: NextAction) -> Self {
        Self::new(RecordAction::None, next)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Claiming,
    Connecting,
    /// Dispatch was decided; no byte was handed to the socket yet.
    Dispatching,
    /// Bytes may have reached the upstream.
    Sent,
    Responded,
    Ended,
}

/// State of one non-idempotent request.
///
/// A request with a key is claimed before an upstream is selected. The claim is released only if
/// the request was certainly not run; otherwise the record stays as running, so that repeats are
/// answered with `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AtMostOnceRequest {
    has_key: bool,
    state: State,
}

impl AtMostOnceRequest {
    /// Starts a request and returns what to do first.
    pub fn new(has_key: bool) -> (Self, Step) {
        let (state, next) = if has_key {
            (State::Claiming, NextAction::Claim)
        } else {
            (State::Connecting, NextAction::Connect)
        };
        (Self { has_key, state }, Step::only(next))
    }

    /// Returns true after a decision that ends the request. Later events are ignored.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Takes an event and returns what to do next.
    pub fn on(&mut self, event: Event) -> Step {
        match self.state {
            State::Claiming => self.on_claiming(event),
            State::Connecting => self.on_connecting(event),
            State::Dispatching => self.on_dispatching(event),
            State::Sent => self.on_sent(event),
            State::Responded => self.on_answered(event),
            State::Ended => Step::only(NextAction::Ignore),
        }
    }

    fn on_claiming(&mut self, event: Event) -> Step {
        match event {
            Event::Claim(result) => self.on_claim(result),
            // The store's answer is not known, so the claim may have been written.
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerGone => self.abort_not_run(),
            _ => Step::only(NextAction::Ignore),
        }
    }

    fn on_claim(&mut self, result: ClaimResult) -> Step {
        match result {
            ClaimResult::Granted => {
                self.state = State::Connecting;
                Step::only(NextAction::Connect)
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
                Step::only(NextAction::Dispatch)
            }
            Event::ConnectFailed { another: true } => Step::only(NextAction::TryAnother),
            Event::ConnectFailed { another: false } => self.reject_not_run(503),
            Event::NoUpstream => self.reject_not_run(503),
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerGone => self.abort_not_run(),
            _ => Step::only(NextAction::Ignore),
        }
    }

    fn on_dispatching(&mut self, event: Event) -> Step {
        match event {
            Event::WriteStarted => {
                self.state = State::Sent;
                Step::only(NextAction::Wait)
            }
            Event::Broken | Event::ConnectFailed { .. } => self.reject_not_run(503),
            Event::DeadlinePassed => self.reject_not_run(504),
            Event::CallerGone => self.abort_not_run(),
            // An upstream may answer before it has read a byte of the request.
            Event::Shed { .. } | Event::Answer { .. } => self.on_sent(event),
            _ => Step::only(NextAction::Ignore),
        }
    }

    fn on_sent(&mut self, event: Event) -> Step {
        match event {
            Event::Shed { .. } => self.reject_not_run(503),
            Event::Declined => {
                self.state = State::Connecting;
                Step::only(NextAction::TryAnother)
            }
            Event::Answer { status } => {
                self.state = State::Responded;
                Step::new(self.if_claimed(RecordAction::Complete(status)), NextAction::Forward)
            }
            Event::Broken => self.reject(502, Execution::Unknown, None),
            Event::DeadlinePassed => self.reject(504, Execution::Unknown, None),
            Event::CallerGone => self.abort(RecordAction::None),
            _ => Step::only(NextAction::Ignore),
        }
    }

    fn on_answered(&mut self, event: Event) -> Step {
        match event {
            // The head was forwarded, so the caller can only learn of the break by an abort.
            Event::Broken | Event::DeadlinePassed | Event::CallerGone => {
                self.abort(RecordAction::None)
            }
            _ => Step::only(NextAction::Ignore),
        }
    }

    fn if_claimed(&self, action: RecordAction) -> RecordAction {
        if self.has_key { action } else { RecordAction::None }
    }

    fn abort(&mut self, record: RecordAction) -> Step {
        self.state = State::Ended;
        Step::new(record, NextAction::Abort)
    }

    fn abort_not_run(&mut self) -> Step {
        self.abort(self.if_claimed(RecordAction::Release))
    }

    fn reject(&mut self, status: u16, execution: Execution, recorded: Option<u16>) -> Step {
        self.state = State::Ended;
        Step::only(NextAction::Reject { status, execution, recorded })
    }

    fn reject_not_run(&mut self, status: u16) -> Step {
        let step = self.reject(status, Execution::NotRun, None);
        Step::new(self.if_claimed(RecordAction::Release), step.next)
    }
}
