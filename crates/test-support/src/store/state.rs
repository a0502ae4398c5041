//! Keys, revisions, leases and transactions of the stand-in, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest number of guards, or of operations of one branch, as in the original.
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
    /// Attached lease, or 0.
    pub lease: i64,
}

/// Keys from `key` up to `end`, or one key. An end of a zero byte stands for no upper bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The key, or the first key.
    pub key: Vec<u8>,
    /// The first key after the range.
    pub end: Option<Vec<u8>>,
}

impl KeyRange {
    /// Returns true if the range holds the key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.key,
            Some(end) => key >= &self.key[..] && (end == b"\0" || key < &end[..]),
        }
    }
}

/// What a guard compares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Number of writes since creation.
    Version(i64),
    /// Revision of creation.
    Create(i64),
    /// Revision of the last write.
    Mod(i64),
    /// The value. A missing key never matches.
    Value(Vec<u8>),
}

/// How a guard compares the stored with the given side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Both are equal.
    Equal,
    /// Both differ.
    NotEqual,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
}

/// A guard of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Vec<u8>,
    /// What is compared, with the given side.
    pub target: Target,
    /// How it is compared.
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
        /// Lease to attach, or 0.
        lease: i64,
    },
    /// Removes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// Reply to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResponse {
    /// The key was written.
    Put,
    /// This many keys were removed.
    Delete(i64),
    /// The keys in order.
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

/// A refusal with its gRPC status code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// gRPC status code.
    pub code: i64,
    /// Reason.
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

    /// Revision of the store.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Every change so far, in order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the keys of a range in order.
    pub fn range(&self, range: &KeyRange) -> Vec<(Vec<u8>, Item)> {
        self.items
            .range(range.key.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect()
    }

    /// Runs a transaction and returns which branch ran and the replies to its operations.
    ///
    /// # Errors
    ///
    /// Refuses transactions that the original refuses. Nothing is applied then.
    pub fn txn(
        &mut self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> Result<(bool, Vec<OpResponse>), Refusal> {
        check_txn(compares, then, otherwise)?;
        let succeeded = compares.iter().all(|guard| self.holds(guard));
        let ops = if succeeded { then } else { otherwise };
        self.check_leases(ops)?;
        let before = self.events.len();
        let replies = ops.iter().map(|op| self.apply(op)).collect();
        if self.events.len() > before {
            self.revision += 1;
        }
        Ok((succeeded, replies))
    }

    fn holds(&self, guard: &Compare) -> bool {
        let item = self.items.get(&guard.key);
        let number = |get: fn(&Item) -> i64| item.map_or(0, get);
        let ordering = match &guard.target {
            Target::Version(given) => number(|item| item.version).cmp(given),
            Target::Create(given) => number(|item| item.create_revision).cmp(given),
            Target::Mod(given) => number(|item| item.mod_revision).cmp(given),
            Target::Value(given) => match item {
                Some(item) => item.value.cmp(given),
                None => return false,
            },
        };
        match guard.relation {
            Relation::Equal => ordering.is_eq(),
            Relation::NotEqual => ordering.is_ne(),
            Relation::Greater => ordering.is_gt(),
            Relation::Less => ordering.is_lt(),
        }
    }

    fn check_leases(&self, ops: &[Op]) -> Result<(), Refusal> {
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

    /// Writes a key at the next revision. The caller moves the store to that revision.
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

    /// Renews a lease and returns the time it lasts, zero if there is none.
    pub fn keep_alive(&mut self, lease: i64, now: Instant) -> Duration {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.deadline = now + lease.ttl;
                lease.ttl
            }
            None => Duration::ZERO,
        }
    }

    /// Ids of the leases in force.
    pub fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Removes a lease and the keys attached to it.
    pub fn lapse(&mut self, lease: i64) {
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

    /// Removes the leases whose time is up.
    pub fn expire(&mut self, now: Instant) {
        let due: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in due {
            self.lapse(lease);
        }
    }
}

fn check_txn(compares: &[Compare], then: &[Op], otherwise: &[Op]) -> Result<(), Refusal> {
    if [compares.len(), then.len(), otherwise.len()].iter().any(|len| *len > MAX_TXN_OPERATIONS) {
        return Err(invalid("too many operations in txn request"));
    }
    check_duplicates(then)?;
    check_duplicates(otherwise)
}

/// A key may be written only once in a branch.
fn check_duplicates(ops: &[Op]) -> Result<(), Refusal> {
    for (index, op) in ops.iter().enumerate() {
        let Op::Put { key, .. } = op else { continue };
        let is_touched_twice = ops.iter().enumerate().any(|(other, op)| match op {
            Op::Put { key: second, .. } => other != index && second == key,
            Op::Delete(range) => range.contains(key),
            Op::Range(_) => false,
        });
        if is_touched_twice {
            return Err(invalid("duplicate key given in txn request"));
        }
    }
    Ok(())
}

fn invalid(message: &str) -> Refusal {
    Refusal { code: 3, message: format!("etcdserver: {message}") }
}

fn lease_not_found() -> Refusal {
    Refusal { code: 5, message: "etcdserver: requested lease not found".into() }
}
