//! Availability of the store for this instance.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use futures::channel::oneshot;

/// Availability of the store, with the tasks that wait for it to change.
pub(crate) struct StoreAvailability {
    /// Time since which the store does not respond, `None` while it does.
    unavailable_since: Cell<Option<Instant>>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl StoreAvailability {
    /// Creates the state of a store that is assumed to be available.
    pub(crate) fn new() -> Self {
        Self { unavailable_since: Cell::new(None), waiters: RefCell::default() }
    }

    /// Records that the store responds. Returns true if it was unavailable before.
    pub(crate) fn mark_available(&self) -> bool {
        self.set(None)
    }

    /// Records that a call that started at `since` got no response. Returns true if the store was
    /// available before.
    pub(crate) fn mark_unavailable(&self, since: Instant) -> bool {
        self.set(Some(self.unavailable_since.get().unwrap_or(since)))
    }

    /// Returns the time since which the store does not respond, `None` if it does.
    pub(crate) fn unavailable_since(&self) -> Option<Instant> {
        self.unavailable_since.get()
    }

    /// Waits until the store is available.
    pub(crate) async fn wait_until_available(&self) {
        self.wait_for(true).await;
    }

    /// Waits until the store is unavailable.
    pub(crate) async fn wait_until_unavailable(&self) {
        self.wait_for(false).await;
    }

    fn add_waiter(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|tx| !tx.is_canceled());
        waiters.push(tx);
        rx
    }

    fn is_available(&self) -> bool {
        self.unavailable_since.get().is_none()
    }

    fn set(&self, unavailable_since: Option<Instant>) -> bool {
        let was_available = self.is_available();
        self.unavailable_since.set(unavailable_since);
        let is_changed = self.is_available() != was_available;
        if is_changed {
            // Sending fails only if the waiting task has dropped its receiver.
            for tx in self.waiters.take() {
                let _ = tx.send(());
            }
        }
        is_changed
    }

    async fn wait_for(&self, is_available: bool) {
        while self.is_available() != is_available {
            let rx = self.add_waiter();
            // A dropped sender ends the wait as well.
            let _ = rx.await;
        }
    }
}
