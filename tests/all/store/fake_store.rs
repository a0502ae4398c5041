//! Tests of the fake store: transactions against a reference model, and leases.

use std::time::{Duration, Instant};

use cactustrack_test_support::store::state::{
    Compare, Item, KeyRange, KvState, Op, OpResponse, Relation, Target,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Reference model that keeps all items in an unordered list and applies each rule to single keys.
#[derive(Default)]
struct ReferenceModel {
    revision: i64,
    items: Vec<(Vec<u8>, Item)>,
}

impl ReferenceModel {
    fn find(&self, key: &[u8]) -> Option<&Item> {
        self.items.iter().find(|(found, _)| found == key).map(|(_, item)| item)
    }

    fn holds(&self, compare: &Compare) -> bool {
        let item = self.find(&compare.key);
        let (found, given) = match &compare.target {
            Target::Version(given) => (item.map_or(0, |item| item.version), *given),
            Target::Create(given) => (item.map_or(0, |item| item.create_revision), *given),
            Target::Mod(given) => (item.map_or(0, |item| item.mod_revision), *given),
            Target::Value(given) => {
                return item.is_some_and(|item| match compare.relation {
                    Relation::Equal => item.value == *given,
                    Relation::NotEqual => item.value != *given,
                    Relation::Greater => item.value > *given,
                    Relation::Less => item.value < *given,
                });
            }
        };
        match compare.relation {
            Relation::Equal => found == given,
            Relation::NotEqual => found != given,
            Relation::Greater => found > given,
            Relation::Less => found < given,
        }
    }

    fn is_in(key: &[u8], range: &KeyRange) -> bool {
        match &range.end {
            None => key == range.key,
            Some(end) => key >= range.key.as_slice() && key < end.as_slice(),
        }
    }

    fn apply(&mut self, op: &Op, revision: i64) -> (OpResponse, bool) {
        match op {
            Op::Range(range) => {
                let mut found: Vec<_> =
                    self.items.iter().filter(|(key, _)| Self::is_in(key, range)).cloned().collect();
                found.sort_by(|a, b| a.0.cmp(&b.0));
                (OpResponse::Range(found), false)
            }
            Op::Delete(range) => {
                let before = self.items.len();
                self.items.retain(|(key, _)| !Self::is_in(key, range));
                let removed = before - self.items.len();
                (OpResponse::Delete(i64::try_from(removed).unwrap_or(i64::MAX)), removed > 0)
            }
            Op::Put { key, value, lease } => {
                let (create_revision, version) = match self.find(key) {
                    Some(old) => (old.create_revision, old.version + 1),
                    None => (revision, 1),
                };
                self.items.retain(|(found, _)| found != key);
                let (value, lease) = (value.clone(), *lease);
                let item = Item { value, create_revision, mod_revision: revision, version, lease };
                self.items.push((key.clone(), item));
                (OpResponse::Put, true)
            }
        }
    }

    fn txn(
        &mut self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> (bool, Vec<OpResponse>) {
        let succeeded = compares.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { then } else { otherwise };
        let revision = self.revision + 1;
        let results: Vec<_> = ops.iter().map(|op| self.apply(op, revision)).collect();
        if results.iter().any(|(_, is_write)| *is_write) {
            self.revision = revision;
        }
        (succeeded, results.into_iter().map(|(response, _)| response).collect())
    }
}

fn any_key() -> impl Strategy<Value = Vec<u8>> {
    prop::sample::select(vec![b"a".to_vec(), b"ab".to_vec(), b"b".to_vec(), b"c".to_vec()])
}

fn any_range() -> impl Strategy<Value = KeyRange> {
    (any_key(), prop::option::of(any_key())).prop_map(|(key, end)| KeyRange { key, end })
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (any_key(), vec(0u8..3, 0..2)).prop_map(|(key, value)| Op::Put { key, value, lease: 0 }),
        1 => any_range().prop_map(Op::Delete),
        1 => any_range().prop_map(Op::Range),
    ]
}

fn any_compare() -> impl Strategy<Value = Compare> {
    let target = prop_oneof![
        (0i64..3).prop_map(Target::Version),
        (0i64..8).prop_map(Target::Create),
        (0i64..8).prop_map(Target::Mod),
        vec(0u8..3, 0..2).prop_map(Target::Value),
    ];
    let relation = prop::sample::select(vec![
        Relation::Equal,
        Relation::NotEqual,
        Relation::Greater,
        Relation::Less,
    ]);
    (any_key(), target, relation).prop_map(|(key, target, relation)| Compare {
        key,
        target,
        relation,
    })
}

proptest! {
    /// Guards against tests that pass only because the fake store is more lenient than etcd.
    #[test]
    fn transactions_agree_with_a_reference_model(
        txns in vec((vec(any_compare(), 0..3), vec(any_op(), 0..4), vec(any_op(), 0..4)), 1..12),
    ) {
        let mut state = KvState::new();
        let mut model = ReferenceModel { revision: state.revision(), ..ReferenceModel::default() };
        for (compares, then, otherwise) in txns {
            match state.txn(&compares, &then, &otherwise) {
                Ok(response) => prop_assert_eq!(response, model.txn(&compares, &then, &otherwise)),
                Err(error) => prop_assert!(error.message.contains("duplicate key")),
            }
            prop_assert_eq!(state.revision(), model.revision);
        }
    }
}

/// Guards against leases that outlive their TTL or remove keys of other leases.
#[test]
fn keys_expire_with_their_lease() {
    let (mut state, start) = (KvState::new(), Instant::now());
    let ttl = Duration::from_secs(10);
    let (short, kept) = (state.grant(ttl, start), state.grant(ttl, start));
    let put = |key: &[u8], lease| Op::Put { key: key.to_vec(), value: vec![], lease };
    let ops = [put(b"a", short), put(b"b", kept), put(b"c", 0), put(b"d", short)];
    state.txn(&[], &ops, &[]).unwrap();
    state.txn(&[], &[put(b"d", 0)], &[]).unwrap();
    assert_eq!(state.keep_alive(kept, start + ttl / 2), ttl);
    state.expire(start + ttl - Duration::from_millis(1));
    assert_eq!(state.leases(), [short, kept]);
    let revision = state.revision();
    state.expire(start + ttl);
    assert_eq!((state.leases(), state.revision()), (vec![kept], revision + 1));
    let all = KeyRange { key: vec![0], end: Some(vec![0]) };
    let keys: Vec<_> = state.range(&all).into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, [b"b", b"c", b"d"]);
    assert_eq!(state.keep_alive(short, start), Duration::ZERO);
    let error = state.txn(&[], &[put(b"a", 0), put(b"e", short)], &[]).unwrap_err();
    assert_eq!((error.code, state.range(&all).len()), (5, 3), "nothing is applied");
}
