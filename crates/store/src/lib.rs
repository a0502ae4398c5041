//! Client of the key-value store: its interface, the etcd client, the repository of configuration
//! versions, and idempotency records.

mod envelope;
mod etcd;
mod idempotency;
mod kv;
pub mod operator;
mod publication;
mod records;

pub use envelope::{VALUE_FORMAT, ValueError, decode_value, encode_value};
pub use etcd::{DEFAULT_CALL_TIMEOUT, DEFAULT_MAX_RESPONSE_BYTES, EtcdStore};
pub use idempotency::{
    Claim, ClaimOutcome, IdempotencyRecords, NoRecords, RecordError, RecordState,
};
pub use kv::{
    Compare, KeyValue, LeaseId, LocalFuture, Operation, OperationResponse, Revision, Store,
    StoreError, Txn, TxnResponse, WatchEvent,
};
pub use publication::{
    ConfigurationRepository, Determination, Head, HistoryEntry, MAX_HISTORY_ENTRIES,
    MAX_PART_BYTES, MAX_PARTS, ParsePublicationError, Publication, PublishOutcome, RepositoryError,
    StoredConfiguration, StoredVersion, UNUSED_PARTS_RETENTION, UnknownPublication,
};
pub use records::{
    LEASE_SHARING_PERIOD, MIN_RECORD_TTL, RecordStats, RecordsConfig, StoreIdempotencyRecords,
};
