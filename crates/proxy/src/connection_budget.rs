//! Limit on the open connections of callers and to upstreams together.
//!
//! Both use the file descriptors of the process. A process that runs out of them can neither open a
//! connection to an upstream or to the store nor accept one, not even a question for its readiness.

use std::cell::Cell;
use std::rc::Rc;

/// Number of connections that may be open at the same time. Clones share the count.
#[derive(Clone, Debug)]
pub struct ConnectionBudget(Rc<Counts>);

#[derive(Debug)]
struct Counts {
    max: usize,
    open: Cell<usize>,
}

impl ConnectionBudget {
    /// Creates a budget of `max` connections.
    pub fn new(max: usize) -> Self {
        Self(Rc::new(Counts { max, open: Cell::new(0) }))
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Counts a connection until the returned guard is dropped. `None` if the limit is reached.
    pub fn try_add(&self) -> Option<CountedConnection> {
        let open = self.0.open.get();
        if open >= self.0.max {
            return None;
        }
        self.0.open.set(open + 1);
        Some(CountedConnection(Rc::clone(&self.0)))
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct CountedConnection(Rc<Counts>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
