//! Publication of configuration versions.
//!
//! The parts of a configuration are written first and are immutable. One conditional transaction
//! then updates `head`, writes the history entry and removes the marker of unused parts. Its
//! conditions make the transaction idempotent: a retry either applies it for the first time, or
//! finds the history entry with the nonce of this publication, or finds the entry of another one.

mod keys;
mod types;

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactustrack_types::Version;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{
    Compare, KeyValue, Operation, OperationResponse, Revision, Store, StoreError, Txn, TxnResponse,
    ValueError, decode_value, encode_value,
};
use keys::Keys;
pub use types::{
    Determination, Head, HistoryEntry, ParsePublicationError, Publication, PublishOutcome,
    RepositoryError, StoredConfiguration, StoredVersion, UnknownPublication,
};

/// Maximum size of a part, in bytes. The store accepts values of up to one megabyte, envelope
/// included.
pub const MAX_PART_BYTES: usize = 999_000;
/// Maximum number of parts of a configuration.
pub const MAX_PARTS: usize = 64;
/// Maximum number of history entries per read, which bounds the size of the response.
pub const MAX_HISTORY_ENTRIES: u64 = 1000;
/// Time after which the parts of an unfinished publication may be removed.
pub const UNUSED_PARTS_RETENTION: Duration = Duration::from_secs(3600);

/// Default number of attempts of a call without a response.
const DEFAULT_MAX_ATTEMPTS: u32 = 5;
/// Default delay before the second attempt. It doubles with each further attempt.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Repository of configuration versions under a key prefix of the store.
#[derive(Clone)]
pub struct ConfigurationRepository {
    store: Rc<dyn Store>,
    keys: Keys,
    max_attempts: u32,
    retry_delay: Duration,
    clock: Rc<dyn Fn() -> SystemTime>,
}

/// Value of a marker of unused parts.
#[derive(Serialize, Deserialize)]
struct UnusedMarker {
    /// Time from which the parts may be removed, in milliseconds since the Unix epoch.
    removable_from_ms: u64,
}

/// A publication that has a marker in the store and is not in force yet.
struct PendingPublication<'a> {
    publication: &'a Publication,
    version: Version,
    nonce: String,
    replaced: Option<Head>,
    marker_revision: Revision,
}

/// Outcome of the transaction that updates `head`.
enum HeadUpdate {
    /// This publication is in force, or was in force until a later one replaced it.
    Committed,
    /// Another publication came into force first.
    Conflict,
    /// The marker and the parts have been removed.
    Expired,
    /// The history has an entry for the next version, which `head` never had.
    HeadBehindHistory,
}

impl ConfigurationRepository {
    /// Creates a repository for the keys under `prefix`.
    pub fn new(store: Rc<dyn Store>, prefix: &str) -> Self {
        Self {
            store,
            keys: Keys::new(prefix),
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            retry_delay: DEFAULT_RETRY_DELAY,
            clock: Rc::new(SystemTime::now),
        }
    }

    /// Sets the number of attempts of a call without a response, and the delay before the second
    /// attempt.
    pub fn with_max_attempts(mut self, max_attempts: u32, delay: Duration) -> Self {
        self.max_attempts = max_attempts.max(1);
        self.retry_delay = delay;
        self
    }

    /// Sets the clock used for history entries and for the expiry of unused parts.
    pub fn with_clock(mut self, clock: Rc<dyn Fn() -> SystemTime>) -> Self {
        self.clock = clock;
        self
    }

    /// Returns the key that changes with each new version, for [`Store::watch`].
    pub fn head_key(&self) -> String {
        self.keys.head()
    }

    /// Reads the version in force.
    ///
    /// The read may return stale data, so instances must ignore a version lower than their own.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read or the value cannot be used.
    pub async fn read_head(&self) -> Result<Option<Head>, RepositoryError> {
        let found = self.store.range(&self.keys.head(), None).await?;
        found.first().map(decode_head).transpose()
    }

    /// Reads the configuration of the version in force or of the previous one.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read, a value cannot be used, or the version is not kept.
    pub async fn read(&self, version: Version) -> Result<StoredConfiguration, RepositoryError> {
        let head = self.read_head().await?;
        let kept = head.into_iter().flat_map(|head| [Some(head.stored_version()), head.previous]);
        let stored = kept
            .flatten()
            .find(|stored| stored.version == version)
            .ok_or(RepositoryError::NotKept { version })?;
        let mut parts = Vec::new();
        for index in 0..stored.part_count {
            let key = self.keys.part(version, &stored.nonce, index);
            let found = self.store.range(&key, None).await?;
            // A missing part was removed because newer versions have come into force since.
            let part = found.first().ok_or(RepositoryError::NotKept { version })?;
            parts.push(payload(part)?.to_vec());
        }
        Ok(StoredConfiguration { version, checksum: stored.checksum, parts })
    }

    /// Reads the latest accepted changes, newest first, at most [`MAX_HISTORY_ENTRIES`].
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read or an entry cannot be used.
    pub async fn history(&self, limit: u64) -> Result<Vec<HistoryEntry>, RepositoryError> {
        let Some(head) = self.read_head().await? else {
            return Ok(Vec::new());
        };
        let after = head.version.saturating_add(1);
        let limit = limit.min(MAX_HISTORY_ENTRIES);
        let first = self.keys.history(after.saturating_sub(limit));
        let found = self.store.range(&first, Some(&self.keys.history(after))).await?;
        found.iter().rev().map(decode_json).collect()
    }

    /// Publishes a configuration if the version in force is the one that it is based on.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is known not to have come into force and the reason is not a
    /// conflict.
    pub async fn publish(
        &self,
        publication: &Publication,
    ) -> Result<PublishOutcome, RepositoryError> {
        check_size(publication)?;
        let current = self.current_head().await?;
        if current.as_ref().map_or(0, |head| head.version) != publication.base_version {
            return self.conflict(current).await;
        }
        let pending = self.write_marker(publication, current).await?;
        if let Err(err) = self.write_parts(&pending).await {
            self.remove_parts(&pending).await;
            return Err(err);
        }
        match self.update_head(&pending).await {
            Ok(HeadUpdate::Committed) => {
                // If this fails, the next publication removes the unused parts.
                let _ = self.remove_unused_parts().await;
                Ok(PublishOutcome::Published { version: pending.version })
            }
            Ok(HeadUpdate::Conflict) => {
                self.remove_parts(&pending).await;
                self.conflict(self.current_head().await?).await
            }
            Ok(HeadUpdate::Expired) => Err(RepositoryError::Expired),
            Ok(HeadUpdate::HeadBehindHistory) => {
                self.remove_parts(&pending).await;
                let reason = "the history has a newer version, whose number would be reused";
                Err(damaged(&self.keys.head(), reason))
            }
            Err(StoreError::NoResponse { .. }) => Ok(unknown_outcome(&pending)),
            Err(err) => {
                self.remove_parts(&pending).await;
                Err(err.into())
            }
        }
    }

    /// Determines the outcome of a publication that ended as [`PublishOutcome::Unknown`].
    ///
    /// If it is not in the history, its parts and their marker are removed, so that a delayed
    /// transaction cannot bring it into force later.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be used or the history entry cannot be read. The outcome then
    /// stays unknown.
    pub async fn determine(
        &self,
        unknown: &UnknownPublication,
    ) -> Result<Determination, RepositoryError> {
        let history = self.keys.history(unknown.version);
        let mut txn = Txn::new().with_compare(absent(&history)).with_otherwise(read(&history));
        let marker = self.keys.unused(unknown.version, &unknown.nonce);
        txn.then = self.removal_operations(&marker);
        let response = self.txn_with_retries(&txn).await?;
        if response.succeeded {
            return Ok(Determination::NotAccepted);
        }
        let entry: HistoryEntry =
            first_found(&response).map(decode_json).transpose()?.ok_or_else(|| {
                damaged(&history, "the store reports the entry as present but returns no value")
            })?;
        if entry.nonce == unknown.nonce {
            return Ok(Determination::Accepted);
        }
        Ok(Determination::NotAccepted)
    }

    /// Reads the version in force within a transaction, which never returns stale data.
    async fn current_head(&self) -> Result<Option<Head>, RepositoryError> {
        let response =
            self.txn_with_retries(&Txn::new().with_then(read(&self.keys.head()))).await?;
        first_found(&response).map(decode_head).transpose()
    }

    async fn conflict(&self, current: Option<Head>) -> Result<PublishOutcome, RepositoryError> {
        let mut change = None;
        if let Some(head) = &current {
            let txn = Txn::new().with_then(read(&self.keys.history(head.version)));
            let response = self.txn_with_retries(&txn).await?;
            change = first_found(&response).map(decode_json).transpose()?.map(Box::new);
        }
        Ok(PublishOutcome::Conflict { current: current.map(Box::new), change })
    }

    async fn write_marker<'a>(
        &self,
        publication: &'a Publication,
        replaced: Option<Head>,
    ) -> Result<PendingPublication<'a>, RepositoryError> {
        let version = publication.base_version.checked_add(1);
        let version = version
            .ok_or_else(|| damaged(&self.keys.head(), "there is no higher version number"))?;
        let nonce = format!("{:016x}", rand::random::<u64>());
        let key = self.keys.unused(version, &nonce);
        let removable_from_ms = self.now_ms() + millis(UNUSED_PARTS_RETENTION);
        let txn = Txn::new()
            .with_compare(absent(&key))
            .with_then(put_json(&key, &UnusedMarker { removable_from_ms }))
            .with_otherwise(read(&key));
        let response = self.txn_with_retries(&txn).await?;
        // The marker already exists if an earlier attempt wrote it and the response was lost.
        let marker_revision =
            first_found(&response).map_or(response.revision, |marker| marker.mod_revision);
        Ok(PendingPublication { publication, version, nonce, replaced, marker_revision })
    }

    async fn write_parts(&self, pending: &PendingPublication<'_>) -> Result<(), RepositoryError> {
        for (index, part) in (0u32..).zip(&pending.publication.parts) {
            let key = self.keys.part(pending.version, &pending.nonce, index);
            let value = encode_value(part);
            let txn = Txn::new()
                .with_compare(self.marker_unchanged(pending))
                .with_then(Operation::Put { key, value, lease: 0 });
            if !self.txn_with_retries(&txn).await?.succeeded {
                return Err(RepositoryError::Expired);
            }
        }
        Ok(())
    }

    async fn update_head(
        &self,
        pending: &PendingPublication<'_>,
    ) -> Result<HeadUpdate, StoreError> {
        let response = self.txn_with_retries(&self.head_update_txn(pending)).await?;
        if response.succeeded {
            return Ok(HeadUpdate::Committed);
        }
        let [head, entry] = &response.responses[..] else {
            let reason = "the transaction response is incomplete".to_owned();
            return Err(StoreError::NoResponse { reason });
        };
        // The history entry is permanent, while `head` may have been replaced again since. An entry
        // that cannot be read is not from this publication, which writes valid entries.
        let entry = first_key(entry).map(decode_json::<HistoryEntry>);
        let head_revision = first_key(head).map_or(0, |kv| kv.mod_revision);
        Ok(match entry {
            Some(Ok(entry)) if entry.nonce == pending.nonce => HeadUpdate::Committed,
            _ if head_revision != pending.replaced_revision() => HeadUpdate::Conflict,
            Some(_) => HeadUpdate::HeadBehindHistory,
            None => HeadUpdate::Expired,
        })
    }

    fn head_update_txn(&self, pending: &PendingPublication<'_>) -> Txn {
        let (head, history) = (self.keys.head(), self.keys.history(pending.version));
        let marker = self.keys.unused(pending.version, &pending.nonce);
        let mut txn = Txn::new()
            .with_compare(unchanged(&head, pending.replaced_revision()))
            .with_compare(absent(&history))
            .with_compare(self.marker_unchanged(pending))
            .with_then(put_json(&head, &pending.head()))
            .with_then(put_json(&history, &pending.history_entry(self.now_ms())))
            .with_then(Operation::Delete { key: marker, end: None })
            .with_otherwise(read(&head))
            .with_otherwise(read(&history));
        if let Some(old) = pending.replaced.as_ref().and_then(|head| head.previous.as_ref()) {
            let marker = self.keys.unused(old.version, &old.nonce);
            txn = txn.with_then(put_json(&marker, &UnusedMarker { removable_from_ms: 0 }));
        }
        txn
    }

    fn marker_unchanged(&self, pending: &PendingPublication<'_>) -> Compare {
        unchanged(&self.keys.unused(pending.version, &pending.nonce), pending.marker_revision)
    }

    /// Removes the parts of a publication that did not come into force.
    ///
    /// If that fails, a later publication removes them as unused parts.
    async fn remove_parts(&self, pending: &PendingPublication<'_>) {
        let marker = self.keys.unused(pending.version, &pending.nonce);
        let mut txn = Txn::new().with_compare(self.marker_unchanged(pending));
        txn.then = self.removal_operations(&marker);
        let _ = self.txn_with_retries(&txn).await;
    }

    /// Removes parts that are no longer kept or never came into force.
    ///
    /// The call that writes a marker may be delayed and arrive after the parts came into force.
    /// Therefore the parts that `head` refers to are kept, and a removal is conditional on the
    /// revision of `head`.
    async fn remove_unused_parts(&self) -> Result<(), RepositoryError> {
        let Some(head) = self.current_head().await? else {
            return Ok(());
        };
        let kept = [Some(head.stored_version()), head.previous.clone()];
        let kept_markers: Vec<String> =
            kept.iter().flatten().map(|kept| self.keys.unused(kept.version, &kept.nonce)).collect();
        let (first, end) = self.keys.unused_range();
        for marker in self.store.range(&first, Some(&end)).await? {
            let is_removable = decode_json::<UnusedMarker>(&marker)
                .is_ok_and(|value| value.removable_from_ms <= self.now_ms());
            if !is_removable {
                continue;
            }
            let mut txn = Txn::new()
                .with_compare(unchanged(&self.keys.head(), head.revision))
                .with_compare(unchanged(&marker.key, marker.mod_revision));
            txn.then = if kept_markers.contains(&marker.key) {
                vec![Operation::Delete { key: marker.key, end: None }]
            } else {
                self.removal_operations(&marker.key)
            };
            self.txn_with_retries(&txn).await?;
        }
        Ok(())
    }

    /// Returns the operations that remove a marker together with its parts.
    fn removal_operations(&self, marker: &str) -> Vec<Operation> {
        let Some(publication) = self.keys.publication_of(marker) else {
            return Vec::new();
        };
        let (first, end) = self.keys.parts_range(publication);
        vec![
            Operation::Delete { key: first, end: Some(end) },
            Operation::Delete { key: marker.to_owned(), end: None },
        ]
    }

    /// Runs an idempotent transaction with retries until the store responds.
    ///
    /// Fails with `NoResponse` if any attempt may have taken effect.
    async fn txn_with_retries(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let mut delay = self.retry_delay;
        let mut failure: Option<StoreError> = None;
        for attempt in 0..self.max_attempts {
            if attempt > 0 {
                compio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            let err = match self.store.txn(txn.clone()).await {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            let is_not_applied = !matches!(err, StoreError::NoResponse { .. });
            if failure.is_none() || !is_not_applied {
                failure = Some(err);
            }
            let is_rejected = matches!(failure, Some(StoreError::Rejected { .. }));
            if is_rejected {
                break;
            }
        }
        Err(failure.unwrap_or(StoreError::Unreachable { reason: "no attempt was made".into() }))
    }

    fn now_ms(&self) -> u64 {
        millis((self.clock)().duration_since(UNIX_EPOCH).unwrap_or_default())
    }
}

impl PendingPublication<'_> {
    fn replaced_revision(&self) -> Revision {
        self.replaced.as_ref().map_or(0, |head| head.revision)
    }

    fn head(&self) -> Head {
        Head {
            version: self.version,
            checksum: self.publication.checksum.clone(),
            part_count: u32::try_from(self.publication.parts.len()).unwrap_or(u32::MAX),
            nonce: self.nonce.clone(),
            previous: self.replaced.as_ref().map(Head::stored_version),
            revision: 0,
        }
    }

    fn history_entry(&self, accepted_at_ms: u64) -> HistoryEntry {
        HistoryEntry {
            version: self.version,
            previous_version: self.publication.base_version,
            checksum: self.publication.checksum.clone(),
            author: self.publication.author.clone(),
            reason: self.publication.reason.clone(),
            accepted_at_ms,
            nonce: self.nonce.clone(),
        }
    }
}

fn unknown_outcome(pending: &PendingPublication<'_>) -> PublishOutcome {
    PublishOutcome::Unknown(UnknownPublication {
        version: pending.version,
        nonce: pending.nonce.clone(),
    })
}

fn check_size(publication: &Publication) -> Result<(), RepositoryError> {
    let count = publication.parts.len();
    if count == 0 || count > MAX_PARTS {
        let reason = format!("it has {count} parts, but must have 1 to {MAX_PARTS}");
        return Err(RepositoryError::TooLarge { reason });
    }
    if let Some(part) = publication.parts.iter().find(|part| part.len() > MAX_PART_BYTES) {
        let reason = format!("a part has {} bytes, the limit is {MAX_PART_BYTES}", part.len());
        return Err(RepositoryError::TooLarge { reason });
    }
    Ok(())
}

fn absent(key: &str) -> Compare {
    unchanged(key, 0)
}

fn unchanged(key: &str, revision: Revision) -> Compare {
    Compare::ModRevision { key: key.to_owned(), revision }
}

fn read(key: &str) -> Operation {
    Operation::Range { key: key.to_owned(), end: None }
}

fn put_json<T: Serialize>(key: &str, value: &T) -> Operation {
    // The types of this module have string keys only and always serialize.
    let payload = serde_json::to_vec(value).unwrap_or_default();
    Operation::Put { key: key.to_owned(), value: encode_value(&payload), lease: 0 }
}

fn first_found(response: &TxnResponse) -> Option<&KeyValue> {
    response.responses.iter().find_map(first_key)
}

fn first_key(response: &OperationResponse) -> Option<&KeyValue> {
    match response {
        OperationResponse::Range(found) => found.first(),
        _ => None,
    }
}

fn decode_head(kv: &KeyValue) -> Result<Head, RepositoryError> {
    let head: Head = decode_json(kv)?;
    Ok(Head { revision: kv.mod_revision, ..head })
}

fn decode_json<T: DeserializeOwned>(kv: &KeyValue) -> Result<T, RepositoryError> {
    serde_json::from_slice(payload(kv)?)
        .map_err(|err| value_error(&kv.key, ValueError::Damaged { reason: err.to_string() }))
}

fn payload(kv: &KeyValue) -> Result<&[u8], RepositoryError> {
    decode_value(&kv.value).map_err(|err| value_error(&kv.key, err))
}

fn damaged(key: &str, reason: &str) -> RepositoryError {
    value_error(key, ValueError::Damaged { reason: reason.to_owned() })
}

fn value_error(key: &str, error: ValueError) -> RepositoryError {
    RepositoryError::Value { key: key.to_owned(), error }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
