//! Whether the store answers this instance.

use std::cell::{Cell, RefCell};

use futures::channel::oneshot;

/// State of the path to the store, with tasks that wait for it to change.
pub(crate) struct StoreLink {
    is_up: Cell<bool>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl StoreLink {
    /// Starts with a store that is believed to answer.
    pub(crate) fn new() -> Self {
        Self { is_up: Cell::new(true), waiting: RefCell::default() }
    }

    /// Notes that the store answers. Returns true if it did not before.
    pub(crate) fn set_up(&self) -> bool {
        self.set(true)
    }

    /// Notes that the store does not answer. Returns true if it did before.
    pub(crate) fn set_down(&self) -> bool {
        self.set(false)
    }

    /// Waits until the store answers.
    pub(crate) async fn wait_until_up(&self) {
        self.wait_for(true).await;
    }

    /// Waits until the store does not answer.
    pub(crate) async fn wait_until_down(&self) {
        self.wait_for(false).await;
    }

    fn enqueue(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|tx| !tx.is_canceled());
        waiting.push(tx);
        rx
    }

    fn set(&self, is_up: bool) -> bool {
        let is_changed = self.is_up.replace(is_up) != is_up;
        if is_changed {
            // A receiver that is gone no longer waits.
            for tx in self.waiting.take() {
                let _ = tx.send(());
            }
        }
        is_changed
    }

    async fn wait_for(&self, is_up: bool) {
        while self.is_up.get() != is_up {
            let rx = self.enqueue();
            // A sender that was dropped has also ended the wait.
            let _ = rx.await;
        }
    }
}
