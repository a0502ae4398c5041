//! Availability of the store for this instance.

use std::cell::{Cell, RefCell};

use futures::channel::oneshot;

/// Availability of the store, with the tasks that wait for it to change.
pub(crate) struct StoreAvailability {
    is_available: Cell<bool>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl StoreAvailability {
    /// Creates the state of a store that is assumed to be available.
    pub(crate) fn new() -> Self {
        Self { is_available: Cell::new(true), waiters: RefCell::default() }
    }

    /// Records that the store responds. Returns true if it was unavailable before.
    pub(crate) fn mark_available(&self) -> bool {
        self.set(true)
    }

    /// Records that the store does not respond. Returns true if it was available before.
    pub(crate) fn mark_unavailable(&self) -> bool {
        self.set(false)
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

    fn set(&self, is_available: bool) -> bool {
        let is_changed = self.is_available.replace(is_available) != is_available;
        if is_changed {
            // Sending fails only if the waiting task has dropped its receiver.
            for tx in self.waiters.take() {
                let _ = tx.send(());
            }
        }
        is_changed
    }

    async fn wait_for(&self, is_available: bool) {
        while self.is_available.get() != is_available {
            let rx = self.add_waiter();
            // A dropped sender ends the wait as well.
            let _ = rx.await;
        }
    }
}
