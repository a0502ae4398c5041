//! The platform's key-value store: interface, adapter, configuration versions and idempotency
//! records.

mod etcd;
mod idempotency;
mod kv;

pub use etcd::{DEFAULT_CALL_TIMEOUT, DEFAULT_MAX_REPLY_BYTES, EtcdStore};
pub use idempotency::{Claim, ClaimOutcome, IdempotencyRecords, RecordError, RecordState};
pub use kv::{
    Compare, KeyValue, LeaseId, LocalFuture, Operation, OperationReply, Revision, Store,
    StoreError, Txn, TxnReply, WatchEvent,
};
