//! Interface of the key-value store: range reads, conditional transactions, leases and watches.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, Error};

/// A boxed future that is not `Send`, since it runs on the thread of its instance.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
/// Revision of the store or of a key. It increases with each write; 0 stands for an absent key.
pub type Revision = i64;
/// Id of a lease.
pub type LeaseId = i64;

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write that created the key.
    pub create_revision: Revision,
    /// Revision of the last write to the key.
    pub mod_revision: Revision,
    /// Lease whose expiry removes the key, or 0.
    pub lease: LeaseId,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last written at this revision; 0 means that the key is absent.
    ModRevision {
        /// The key.
        key: String,
        /// Expected revision of its last write.
        revision: Revision,
    },
    /// The key exists and has this value.
    Value {
        /// The key.
        key: String,
        /// Expected value of the key.
        value: Vec<u8>,
    },
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// Lease to attach, or 0.
        lease: LeaseId,
    },
    /// Removes a key, or all keys from `key` up to but not including `end`.
    Delete {
        /// The key, or the first key of the range.
        key: String,
        /// End of the range.
        end: Option<String>,
    },
    /// Reads a key, or all keys from `key` up to but not including `end`.
    Range {
        /// The key, or the first key of the range.
        key: String,
        /// End of the range.
        end: Option<String>,
    },
}

/// A transaction: runs `then` if all conditions hold, and `otherwise` if not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub then: Vec<Operation>,
    /// Operations to run if a condition fails.
    pub otherwise: Vec<Operation>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn with_compare(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds an operation that runs if all conditions hold.
    pub fn with_then(mut self, operation: Operation) -> Self {
        self.then.push(operation);
        self
    }

    /// Adds an operation that runs if a condition fails.
    pub fn with_otherwise(mut self, operation: Operation) -> Self {
        self.otherwise.push(operation);
        self
    }
}

/// Response to one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResponse {
    /// The key was written.
    Put,
    /// Number of keys that were removed.
    Delete(u64),
    /// The pairs that were read, ordered by key.
    Range(Vec<KeyValue>),
}

/// Response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// True if all conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// One response for each operation that ran.
    pub responses: Vec<OperationResponse>,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the change.
    pub revision: Revision,
    /// The changed key with its new value, or `None` if it was removed.
    pub value: Option<KeyValue>,
}

/// Error of a call to the store. The variants state whether a write may have taken effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the store; nothing was written.
    #[display("the store cannot be reached: {reason}")]
    Unreachable {
        /// Description of the failure.
        reason: String,
    },
    /// The call may have reached the store, but no valid response was received; a write may or may
    /// not have taken effect.
    #[display("no valid response from the store: {reason}")]
    NoResponse {
        /// Description of the failure.
        reason: String,
    },
    /// The store rejected the call; nothing was written.
    #[display("the store rejected the call: {reason}")]
    Rejected {
        /// Reason that the store gave.
        reason: String,
    },
}

/// A key-value store with revisions, leases and watches.
pub trait Store {
    /// Reads a key, or all keys from `key` up to but not including `end`.
    fn range<'a>(
        &'a self,
        key: &'a str,
        end: Option<&'a str>,
    ) -> LocalFuture<'a, Result<Vec<KeyValue>, StoreError>>;

    /// Runs a transaction.
    fn txn(&self, txn: Txn) -> LocalFuture<'_, Result<TxnResponse, StoreError>>;

    /// Grants a lease for `ttl`, rounded up to whole seconds.
    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease and returns its remaining lifetime, or zero if it has expired.
    fn keep_lease_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<Duration, StoreError>>;

    /// Waits up to `wait` for changes to `key` from `revision` on. Returns no events if nothing
    /// changed.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<WatchEvent>, StoreError>>;
}
