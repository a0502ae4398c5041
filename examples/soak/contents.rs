//! Documents that the operator and the upstreams have written, so that they can write again what the
//! store has lost.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::store::{FakeStore, StoreCopy};

/// Documents by their keys. A key that was removed has `None`.
type Contents = BTreeMap<String, Option<Value>>;

/// Copy of the store with the documents that are in it.
pub(crate) struct ContentsCopy {
    store: StoreCopy,
    stored: Contents,
}

/// What the operator and the upstreams wrote last, and what the store has of it.
#[derive(Default)]
pub(crate) struct Documents {
    newest: Contents,
    stored: Contents,
    /// Entry that each upstream wrote before its newest one, with the same incarnation.
    older: BTreeMap<String, Value>,
}

impl Documents {
    /// Writes the newest state of a key, or removes it.
    pub(crate) fn write(&mut self, store: &FakeStore, key: &str, value: Option<Value>) {
        let before = self.newest.insert(key.to_owned(), value.clone()).flatten();
        // After a removal, a write of any earlier state may still be executed.
        match (before, &value) {
            (Some(before), Some(_)) => {
                self.older.insert(key.to_owned(), before);
            }
            (None, Some(_)) => {
                self.older.remove(key);
            }
            (_, None) => {}
        }
        self.execute(store, key, value);
    }

    /// Returns the sequence number of the next write of an incarnation of an upstream.
    pub(crate) fn next_seq(&self, key: &str, incarnation: u64) -> u64 {
        let newest = self.newest.get(key).and_then(Option::as_ref);
        let newest = newest.filter(|entry| entry["born"].as_u64() == Some(incarnation));
        newest.and_then(|entry| entry["seq"].as_u64()).unwrap_or_default() + 1
    }

    /// Copies the store.
    pub(crate) fn copy(&self, store: &FakeStore) -> ContentsCopy {
        ContentsCopy { store: store.copy(), stored: self.stored.clone() }
    }

    /// Brings the store back from a copy, and returns the keys whose newest state it lacks.
    pub(crate) fn restore(&mut self, store: &FakeStore, copy: ContentsCopy) -> Vec<String> {
        store.restore(copy.store);
        self.stored = copy.stored;
        self.newest.keys().filter(|key| self.is_lacking(key)).cloned().collect()
    }

    /// Writes the newest state of a key again if the store does not have it.
    pub(crate) fn rewrite(&mut self, store: &FakeStore, key: &str) {
        if !self.is_lacking(key) {
            return;
        }
        let mut newest = self.newest.get(key).cloned().flatten();
        if let Some(seq) = newest.as_mut().and_then(|entry| entry.get_mut("seq")) {
            *seq = json!(seq.as_u64().unwrap_or_default() + 1);
        }
        self.newest.insert(key.to_owned(), newest.clone());
        self.execute(store, key, newest);
    }

    /// Executes the write of an upstream that precedes its newest one, if there is one of the same
    /// incarnation.
    pub(crate) fn write_late(&mut self, store: &FakeStore, key: &str) {
        if let Some(entry) = self.older.get(key).cloned() {
            self.execute(store, key, Some(entry));
        }
    }

    fn is_lacking(&self, key: &str) -> bool {
        let of = |contents: &Contents| contents.get(key).cloned().flatten();
        of(&self.stored) != of(&self.newest)
    }

    fn execute(&mut self, store: &FakeStore, key: &str, value: Option<Value>) {
        match &value {
            Some(value) => store.put(key, value.to_string().as_bytes()),
            None => store.remove(key),
        }
        self.stored.insert(key.to_owned(), value);
    }
}
