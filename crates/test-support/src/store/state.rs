//! Keys, revisions, leases and transactions of the fake store, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest number of compares, or of operations in one branch, as in etcd.
const MAX_TXN_OPERATIONS: usize = 128;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write that created the key.
    pub create_revision: i64,
    /// Revision of the last write.
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    pub version: i64,
    /// Id of the attached lease, or 0 if there is none.
    pub lease: i64,
}

/// A single key, or the keys from `key` inclusive to `end` exclusive. As in etcd, an `end` of one
/// zero byte means no upper bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The single key, or the first key of the range.
    pub key: Vec<u8>,
    /// The first key after the range, or `None` for a single key.
    pub end: Option<Vec<u8>>,
}

impl KeyRange {
    /// Returns whether the range contains the key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.key,
            Some(end) => key >= &self.key[..] && (end == b"\0" || key < &end[..]),
        }
    }
}

/// Property of a key that a compare checks, with the value given in the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Number of writes since creation.
    Version(i64),
    /// Revision of creation.
    Create(i64),
    /// Revision of the last write.
    Mod(i64),
    /// The stored value. A missing key never matches.
    Value(Vec<u8>),
}

/// Relation that has to hold between the stored and the given side of a compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Both sides are equal.
    Equal,
    /// The sides differ.
    NotEqual,
    /// The stored side is greater.
    Greater,
    /// The stored side is less.
    Less,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Vec<u8>,
    /// The property that is compared, with the given side.
    pub target: Target,
    /// The relation that has to hold.
    pub relation: Relation,
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// Id of the lease to attach, or 0 for none.
        lease: i64,
    },
    /// Removes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// Response to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResponse {
    /// The key was written.
    Put,
    /// Number of keys that were removed.
    Delete(i64),
    /// The keys with their items, in key order.
    Range(Vec<(Vec<u8>, Item)>),
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Revision of the change.
    pub revision: i64,
    /// The key.
    pub key: Vec<u8>,
    /// The new value, or `None` if the key was removed.
    pub item: Option<Item>,
}

/// An error response with its gRPC status code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusError {
    /// gRPC status code.
    pub code: i64,
    /// Error message.
    pub message: String,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
}

/// The content of the store.
#[derive(Clone, Debug)]
pub struct KvState {
    revision: i64,
    items: BTreeMap<Vec<u8>, Item>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    events: Vec<Event>,
}

impl Default for KvState {
    fn default() -> Self {
        let (items, leases) = (BTreeMap::new(), BTreeMap::new());
        Self { revision: 1, items, leases, next_lease: 1000, events: Vec::new() }
    }
}

impl KvState {
    /// Creates an empty store at revision 1.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the store.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns all changes so far, in order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the keys of a range with their items, in key order.
    pub fn range(&self, range: &KeyRange) -> Vec<(Vec<u8>, Item)> {
        self.items
            .range(range.key.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect()
    }

    /// Executes a transaction. Returns whether all compares held, and the responses to the
    /// operations of the executed branch.
    ///
    /// # Errors
    ///
    /// Fails for transactions that etcd rejects. Nothing is applied then.
    pub fn txn(
        &mut self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> Result<(bool, Vec<OpResponse>), StatusError> {
        check_txn(compares, then, otherwise)?;
        let succeeded = compares.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { then } else { otherwise };
        self.check_leases(ops)?;
        let events_before = self.events.len();
        let responses = ops.iter().map(|op| self.apply(op)).collect();
        if self.events.len() > events_before {
            self.revision += 1;
        }
        Ok((succeeded, responses))
    }

    fn holds(&self, compare: &Compare) -> bool {
        let item = self.items.get(&compare.key);
        let number = |field: fn(&Item) -> i64| item.map_or(0, field);
        let ordering = match &compare.target {
            Target::Version(given) => number(|item| item.version).cmp(given),
            Target::Create(given) => number(|item| item.create_revision).cmp(given),
            Target::Mod(given) => number(|item| item.mod_revision).cmp(given),
            Target::Value(given) => match item {
                Some(item) => item.value.cmp(given),
                None => return false,
            },
        };
        match compare.relation {
            Relation::Equal => ordering.is_eq(),
            Relation::NotEqual => ordering.is_ne(),
            Relation::Greater => ordering.is_gt(),
            Relation::Less => ordering.is_lt(),
        }
    }

    fn check_leases(&self, ops: &[Op]) -> Result<(), StatusError> {
        for op in ops {
            if let Op::Put { lease, .. } = op
                && *lease != 0
                && !self.leases.contains_key(lease)
            {
                return Err(lease_not_found());
            }
        }
        Ok(())
    }

    fn apply(&mut self, op: &Op) -> OpResponse {
        match op {
            Op::Put { key, value, lease } => {
                self.put(key, value, *lease);
                OpResponse::Put
            }
            Op::Delete(range) => OpResponse::Delete(self.delete(range)),
            Op::Range(range) => OpResponse::Range(self.range(range)),
        }
    }

    /// Writes a key at the next revision. The caller advances the store to that revision.
    fn put(&mut self, key: &[u8], value: &[u8], lease: i64) {
        let revision = self.revision + 1;
        let old = self.items.get(key);
        let item = Item {
            value: value.to_vec(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |old| old.version) + 1,
            lease,
        };
        self.items.insert(key.to_vec(), item.clone());
        self.events.push(Event { revision, key: key.to_vec(), item: Some(item) });
    }

    fn delete(&mut self, range: &KeyRange) -> i64 {
        let keys: Vec<_> = self.range(range).into_iter().map(|(key, _)| key).collect();
        let revision = self.revision + 1;
        for key in &keys {
            self.items.remove(key);
            self.events.push(Event { revision, key: key.clone(), item: None });
        }
        i64::try_from(keys.len()).unwrap_or(i64::MAX)
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, deadline: now + ttl });
        self.next_lease
    }

    /// Renews a lease and returns its time to live, or zero if the lease does not exist.
    pub fn keep_alive(&mut self, lease: i64, now: Instant) -> Duration {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.deadline = now + lease.ttl;
                lease.ttl
            }
            None => Duration::ZERO,
        }
    }

    /// Returns the ids of the leases that have not expired.
    pub fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Expires a lease: removes it and the keys attached to it.
    pub fn expire_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| KeyRange { key: key.clone(), end: None })
            .collect();
        let removed: i64 = attached.iter().map(|key| self.delete(key)).sum();
        if removed > 0 {
            self.revision += 1;
        }
    }

    /// Expires the leases whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        let due: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in due {
            self.expire_lease(lease);
        }
    }
}

fn check_txn(compares: &[Compare], then: &[Op], otherwise: &[Op]) -> Result<(), StatusError> {
    if [compares.len(), then.len(), otherwise.len()].iter().any(|len| *len > MAX_TXN_OPERATIONS) {
        return Err(invalid("too many operations in txn request"));
    }
    check_duplicates(then)?;
    check_duplicates(otherwise)
}

/// Fails if a branch writes a key and writes or deletes it again.
fn check_duplicates(ops: &[Op]) -> Result<(), StatusError> {
    for (index, op) in ops.iter().enumerate() {
        let Op::Put { key, .. } = op else { continue };
        let is_duplicate = ops.iter().enumerate().any(|(other, op)| match op {
            Op::Put { key: second, .. } => other != index && second == key,
            Op::Delete(range) => range.contains(key),
            Op::Range(_) => false,
        });
        if is_duplicate {
            return Err(invalid("duplicate key given in txn request"));
        }
    }
    Ok(())
}

fn invalid(message: &str) -> StatusError {
    StatusError { code: 3, message: format!("etcdserver: {message}") }
}

fn lease_not_found() -> StatusError {
    StatusError { code: 5, message: "etcdserver: requested lease not found".into() }
}
