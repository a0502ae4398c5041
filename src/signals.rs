//! Signals to the process.
//!
//! compio restores the default action of a signal, which ends the process, as soon as nothing listens
//! for it. Signals come in series, and a second one must not end the process while the first one is
//! handled or while requests in flight finish. Each signal therefore keeps a listener until the end.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};

use compio::signal::unix::signal;
use eyre::{Result, WrapErr};
use futures::FutureExt;
use futures::future::LocalBoxFuture;

type Listening = LocalBoxFuture<'static, io::Result<()>>;

/// Waits for signals. Their default actions stay replaced until it is dropped.
pub(crate) struct Signals(Vec<Listener>);

struct Listener {
    signal: i32,
    next: Listening,
    /// Listens without being asked for the result, which keeps the default action replaced.
    guard: Listening,
    is_guarded: bool,
}

impl Signals {
    /// Creates the listeners of some signals. They are installed when [`Self::next`] is first
    /// polled.
    pub(crate) fn new(signals: &[i32]) -> Self {
        let listener = |number: &i32| Listener {
            signal: *number,
            next: signal(*number).boxed_local(),
            guard: signal(*number).boxed_local(),
            is_guarded: false,
        };
        Self(signals.iter().map(listener).collect())
    }

    /// Waits for the next signal and returns its number.
    ///
    /// # Errors
    ///
    /// Fails if the signals cannot be listened for.
    pub(crate) async fn next(&mut self) -> Result<i32> {
        let next = poll_fn(|cx| {
            for listener in &mut self.0 {
                if let Poll::Ready(received) = listener.poll(cx) {
                    return Poll::Ready(received.map(|()| listener.signal));
                }
            }
            Poll::Pending
        });
        next.await.wrap_err("cannot wait for signals")
    }
}

impl Listener {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_guarded {
            self.is_guarded = true;
            if let Poll::Ready(Err(error)) = self.guard.as_mut().poll(cx) {
                return Poll::Ready(Err(error));
            }
        }
        let polled = self.next.as_mut().poll(cx);
        if polled.is_ready() {
            self.next = signal(self.signal).boxed_local();
        }
        polled
    }
}
