//! Shared state of the fake store: content, active faults, counters and connections.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::channel::mpsc::UnboundedSender;
use futures::future::AbortHandle;

use super::state::{Event, KeyRange, KvState};

/// Behaviour of the fake store at its listening socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Connections are served.
    #[default]
    None,
    /// Connection attempts are refused and open connections are closed.
    Refuse,
    /// Connections are accepted and closed at once.
    Close,
}

/// Numbers of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Number of range calls and of transactions that only read.
    pub reads: u64,
    /// Number of transactions that may write and of lease calls.
    pub writes: u64,
    /// Number of watches that were opened.
    pub watches: u64,
    /// Number of watches that are open now.
    pub open_watches: u64,
    /// Largest number of watches that were open at the same time.
    pub max_open_watches: u64,
}

/// Fault that is applied to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallFault {
    /// The call is served as usual.
    Pass,
    /// The call takes effect when held calls are released.
    Hold,
    /// The connection is closed after the call has taken effect.
    DropResponse,
    /// The connection is closed and the call has no effect.
    Drop,
    /// The call has no effect and an error is returned.
    Fail { code: i64, message: String },
    /// The call takes effect and this body is returned.
    OverrideResponse(Vec<u8>),
}

/// Drops responses to writes of keys with a prefix.
#[derive(Clone, Debug)]
struct DroppedResponses {
    prefix: String,
    remaining: usize,
}

pub(super) struct Watch {
    pub(super) range: KeyRange,
    pub(super) tx: UnboundedSender<(i64, Vec<Event>)>,
    pub(super) next_event: usize,
}

#[derive(Default)]
pub(super) struct Shared {
    pub(super) state: KvState,
    pub(super) counters: StoreCounters,
    pub(super) delay_before: Duration,
    pub(super) delay_after: Duration,
    pub(super) holds_calls: bool,
    pub(super) held_calls: usize,
    pub(super) releases: u64,
    pub(super) outage: Outage,
    pub(super) watches: Vec<Watch>,
    /// State that range calls read from, if it is not the current one.
    stale: Option<KvState>,
    call_faults: VecDeque<CallFault>,
    dropped_responses: Vec<DroppedResponses>,
    connections: Vec<AbortHandle>,
}

impl Shared {
    /// Returns the state that range calls read from.
    pub(super) fn read_state(&self) -> &KvState {
        self.stale.as_ref().unwrap_or(&self.state)
    }

    pub(super) fn next_call_fault(&mut self) -> Option<CallFault> {
        self.call_faults.pop_front()
    }

    /// Returns whether to drop the response to a call that caused the events from `first_event` on.
    pub(super) fn is_response_dropped(&mut self, first_event: usize) -> bool {
        let events = &self.state.events()[first_event..];
        let rule = self.dropped_responses.iter_mut().find(|rule| {
            rule.remaining > 0
                && events.iter().any(|event| event.key.starts_with(rule.prefix.as_bytes()))
        });
        if let Some(rule) = rule {
            rule.remaining -= 1;
            return true;
        }
        false
    }

    pub(super) fn add_connection(&mut self, handle: AbortHandle) {
        self.connections.push(handle);
    }

    pub(super) fn abort_connections(&mut self) {
        for connection in self.connections.drain(..) {
            connection.abort();
        }
    }

    /// Sends new events to the watches and removes watches whose client has disconnected.
    pub(super) fn notify(&mut self) {
        let (revision, events) = (self.state.revision(), self.state.events());
        self.watches.retain_mut(|watch| {
            let new_events: Vec<Event> = events[watch.next_event..]
                .iter()
                .filter(|event| watch.range.contains(&event.key))
                .cloned()
                .collect();
            watch.next_event = events.len();
            new_events.is_empty() || watch.tx.unbounded_send((revision, new_events)).is_ok()
        });
    }

    pub(super) fn expire_leases(&mut self) {
        self.state.expire(Instant::now());
        self.notify();
    }
}

/// Fault controls and counters of a running fake store. Can be used from any thread.
#[derive(Clone)]
pub struct FakeStoreHandle {
    pub(super) shared: Arc<Mutex<Shared>>,
    pub(super) control: UnboundedSender<super::server::OutageCommand>,
}

impl FakeStoreHandle {
    pub(super) fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or ends an outage. Returns when the change has taken effect.
    pub async fn set_outage(&self, outage: Outage) {
        let (tx, rx) = futures::channel::oneshot::channel();
        if self.control.unbounded_send((outage, tx)).is_ok() {
            // An error means that the server has stopped, which is an outage as well.
            let _ = rx.await;
        }
    }

    /// Like [`FakeStoreHandle::set_outage`] for threads without a runtime.
    pub fn set_outage_blocking(&self, outage: Outage) {
        futures::executor::block_on(self.set_outage(outage));
    }

    /// Delays every call before it takes effect.
    ///
    /// A call whose client disconnects still takes effect when the delay has passed.
    pub fn set_delay_before_effect(&self, delay: Duration) {
        self.lock().delay_before = delay;
    }

    /// Holds every call before it takes effect until [`FakeStoreHandle::release_calls`].
    ///
    /// A call whose client disconnects still takes effect when it is released.
    pub fn hold_calls(&self) {
        self.lock().holds_calls = true;
    }

    /// Holds the next call before it takes effect until [`FakeStoreHandle::release_calls`].
    pub fn hold_next_call(&self) {
        self.add_call_faults(1, &CallFault::Hold);
    }

    /// Releases held calls, so that they take effect.
    pub fn release_calls(&self) {
        let mut shared = self.lock();
        shared.holds_calls = false;
        shared.releases += 1;
    }

    /// Returns the number of calls that are held now.
    pub fn held_calls(&self) -> usize {
        self.lock().held_calls
    }

    /// Delays every response after the call has taken effect.
    pub fn set_delay_after_effect(&self, delay: Duration) {
        self.lock().delay_after = delay;
    }

    /// Closes the connection after the next `count` calls that change a key with the prefix, so
    /// that their responses are lost.
    pub fn drop_responses(&self, prefix: &str, count: usize) {
        self.lock()
            .dropped_responses
            .push(DroppedResponses { prefix: prefix.to_owned(), remaining: count });
    }

    /// Removes all rules of [`FakeStoreHandle::drop_responses`].
    pub fn stop_dropping_responses(&self) {
        self.lock().dropped_responses.clear();
    }

    /// Serves the next `count` calls as usual, so that a fault added later applies to the calls
    /// after them.
    pub fn pass_calls(&self, count: usize) {
        self.add_call_faults(count, &CallFault::Pass);
    }

    /// Closes the connection after each of the next `count` calls has taken effect, so that the
    /// responses are lost.
    pub fn drop_next_responses(&self, count: usize) {
        self.add_call_faults(count, &CallFault::DropResponse);
    }

    /// Closes the connection of each of the next `count` calls, which take no effect.
    pub fn drop_calls(&self, count: usize) {
        self.add_call_faults(count, &CallFault::Drop);
    }

    /// Returns an error for the next `count` calls, which take no effect. `code` is a gRPC status
    /// code.
    pub fn fail_calls(&self, count: usize, code: i64, message: &str) {
        self.add_call_faults(count, &CallFault::Fail { code, message: message.to_owned() });
    }

    /// Replaces the response body of the next call. A watch ends after this body.
    pub fn override_next_response(&self, body: &[u8]) {
        self.add_call_faults(1, &CallFault::OverrideResponse(body.to_vec()));
    }

    /// Removes the faults of all further calls, except for the rules by key prefix.
    pub fn clear_call_faults(&self) {
        self.lock().call_faults.clear();
    }

    fn add_call_faults(&self, count: usize, fault: &CallFault) {
        self.lock().call_faults.extend(std::iter::repeat_n(fault.clone(), count));
    }

    /// Serves range calls from a copy of the present state until
    /// [`FakeStoreHandle::stop_stale_reads`].
    pub fn serve_stale_reads(&self) {
        let mut shared = self.lock();
        shared.stale = Some(shared.state.clone());
    }

    /// Serves range calls from the current state again.
    pub fn stop_stale_reads(&self) {
        self.lock().stale = None;
    }

    /// Expires a lease now.
    pub fn expire_lease(&self, lease: i64) {
        let mut shared = self.lock();
        shared.state.expire_lease(lease);
        shared.notify();
    }

    /// Expires all leases now.
    pub fn expire_all_leases(&self) {
        let leases = self.lock().state.leases();
        for lease in leases {
            self.expire_lease(lease);
        }
    }

    /// Returns the numbers of calls since the start.
    pub fn counters(&self) -> StoreCounters {
        self.lock().counters
    }

    /// Returns a copy of the content.
    pub fn state(&self) -> KvState {
        self.lock().state.clone()
    }

    /// Returns the keys that start with the prefix and their values.
    pub fn keys(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let all = KeyRange { key: prefix.into(), end: Some(vec![0]) };
        self.lock()
            .state
            .range(&all)
            .into_iter()
            .take_while(|(key, _)| key.starts_with(prefix.as_bytes()))
            .map(|(key, item)| (String::from_utf8_lossy(&key).into_owned(), item.value))
            .collect()
    }

    /// Writes a key, as another client of the store would.
    pub fn put(&self, key: &str, value: &[u8]) {
        let op = super::state::Op::Put { key: key.into(), value: value.to_vec(), lease: 0 };
        let mut shared = self.lock();
        // A single write without a lease is never rejected.
        let _ = shared.state.txn(&[], &[op], &[]);
        shared.notify();
    }
}
