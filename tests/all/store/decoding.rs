//! Decoding of malformed responses and stored values.

use std::rc::Rc;
use std::time::Duration;

use cactustrack_store::{
    ConfigurationRepository, IdempotencyRecords, RecordsConfig, Store, StoreIdempotencyRecords,
    Txn, UnknownPublication, decode_value, encode_value,
};
use cactustrack_test_support::store::FakeStoreHandle;
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

use super::support::{Harness, SHORT_TIMEOUT, claim, publication};

/// Valid responses, which the tests corrupt.
fn responses() -> Vec<Value> {
    let header = json!({ "revision": "7" });
    let kv = json!({
        "key": "aGVhZA==", "value": "/w==", "create_revision": "3", "mod_revision": "7",
        "version": "2", "lease": "5",
    });
    vec![
        json!({ "header": header, "kvs": [kv], "count": "1", "more": false }),
        json!({ "header": header, "succeeded": true, "responses": [
            { "response_put": { "header": header } },
            { "response_delete_range": { "deleted": "1" } },
            { "response_range": { "kvs": [kv] } },
        ] }),
        json!({ "result": { "header": header, "created": true, "events": [
            { "type": "PUT", "kv": kv }, { "type": "DELETE", "kv": kv },
        ] } }),
        json!({ "result": { "canceled": true, "compact_revision": "9", "cancel_reason": "c" } }),
        json!({ "result": { "ID": "5", "TTL": "60" }, "ID": "5", "TTL": "60" }),
        json!({ "error": "e", "code": 14, "message": "e" }),
        json!({ "error": { "code": 14, "message": "e" } }),
    ]
}

/// Valid stored values, which the tests corrupt.
fn values() -> Vec<Value> {
    let stored = json!({ "version": 1, "checksum": "c", "part_count": 2, "nonce": "a" });
    vec![
        json!({
            "version": 2, "checksum": "c", "part_count": 2, "nonce": "a", "previous": stored,
        }),
        json!({
            "version": 1, "previous_version": 0, "checksum": "c", "author": "a", "reason": "r",
            "accepted_at_ms": 1_700_000_000_000_u64, "nonce": "a",
        }),
        json!({ "removable_from_ms": 0 }),
        json!({ "claim_id": "1", "fingerprint": "POST /restore", "state": "completed", "status": 200 }),
    ]
}

fn any_node() -> impl Strategy<Value = Value> {
    let texts = vec!["", "aGVhZA==", "/w==", "=", "running", "DELETE", "other", "é\u{0}"];
    prop_oneof![
        1 => Just(Value::Null),
        1 => Just(json!([])),
        1 => Just(json!({})),
        1 => any::<bool>().prop_map(Value::from),
        1 => any::<i64>().prop_map(Value::from),
        1 => any::<u64>().prop_map(Value::from),
        1 => any::<u16>().prop_map(Value::from),
        1 => any::<i64>().prop_map(|number| Value::from(number.to_string())),
        4 => prop::sample::select(texts).prop_map(Value::from),
    ]
}

fn count_nodes(value: &Value) -> usize {
    1 + match value {
        Value::Array(items) => items.iter().map(count_nodes).sum(),
        Value::Object(fields) => fields.values().map(count_nodes).sum(),
        _ => 0,
    }
}

/// Replaces the node with this index in pre-order, where the root has index 0.
fn replace_node(value: &mut Value, index: usize, with: &Value) {
    if index == 0 {
        *value = with.clone();
        return;
    }
    let children: Vec<&mut Value> = match value {
        Value::Array(items) => items.iter_mut().collect(),
        Value::Object(fields) => fields.values_mut().collect(),
        _ => return,
    };
    let mut rest = index - 1;
    for child in children {
        let count = count_nodes(child);
        if rest < count {
            return replace_node(child, rest, with);
        }
        rest -= count;
    }
}

/// Generates templates in which one to three nodes are replaced.
fn corrupted(templates: Vec<Value>) -> impl Strategy<Value = Value> {
    let changes = vec((any::<prop::sample::Index>(), any_node()), 1..4);
    (prop::sample::select(templates), changes).prop_map(|(mut value, changes)| {
        for (index, node) in changes {
            let index = index.index(count_nodes(&value));
            replace_node(&mut value, index, &node);
        }
        value
    })
}

fn any_bytes(templates: Vec<Value>) -> impl Strategy<Value = Vec<u8>> {
    let json = corrupted(templates).prop_map(|value| value.to_string().into_bytes()).boxed();
    prop_oneof![
        8 => json.clone(),
        1 => json.clone().prop_map(|body| body[..body.len() / 2].to_vec()),
        1 => (json.clone(), json).prop_map(|(a, b)| [a, b].join(&b'\n')),
        1 => vec(any::<u8>(), 0..64),
    ]
}

fn block_on(test: impl AsyncFnOnce(Harness)) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async { test(Harness::start().await).await });
}

async fn make_all_calls(store: &Rc<dyn Store>, handle: &FakeStoreHandle, body: &[u8]) {
    handle.override_next_response(body);
    let _ = store.range("k", None).await;
    handle.override_next_response(body);
    let _ = store.txn(Txn::new()).await;
    handle.override_next_response(body);
    let _ = store.grant_lease(Duration::from_secs(1)).await;
    handle.override_next_response(body);
    let _ = store.keep_lease_alive(1).await;
    handle.override_next_response(&[body, b"\n"].concat());
    let _ = store.watch("k", 1, SHORT_TIMEOUT).await;
}

async fn read_all_values(store: &Rc<dyn Store>, handle: &FakeStoreHandle, value: &[u8]) {
    let repository =
        ConfigurationRepository::new(store.clone(), "team").with_max_attempts(1, Duration::ZERO);
    for key in ["head", "history/00000000000000000001", "unused/1-a", "part/1-a/0000"] {
        handle.put(&format!("team/{key}"), value);
        let _ = repository.read(1).await;
        let _ = repository.history(u64::MAX).await;
        let unknown = UnknownPublication { version: 1, nonce: "a".into() };
        let _ = repository.determine(&unknown).await;
        let _ = repository.publish(&publication(1, "a")).await;
    }
    let records = StoreIdempotencyRecords::new(store.clone(), "team", RecordsConfig::default());
    let _ = records.claim(&claim("k", "1")).await;
    handle.put(&handle.keys("team/idem/")[0].0.clone(), value);
    let _ = records.claim(&claim("k", "2")).await;
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a panic on a malformed response of the store.
    #[test]
    fn no_response_causes_a_panic(bodies in vec(any_bytes(responses()), 16)) {
        block_on(async |harness| {
            let store: Rc<dyn Store> = harness.store.clone();
            for body in &bodies {
                make_all_calls(&store, &harness.handle(), body).await;
            }
        });
    }

    /// Guards against a panic of an instance or the command line on a malformed stored value.
    #[test]
    fn no_stored_value_causes_a_panic(payload in any_bytes(values()), is_wrapped in prop::bool::weighted(0.9)) {
        let value = if is_wrapped { encode_value(&payload) } else { payload };
        block_on(async |harness| {
            let store: Rc<dyn Store> = harness.store.clone();
            read_all_values(&store, &harness.handle(), &value).await;
        });
    }

    /// Guards against an envelope that alters its payload or accepts a corrupted value.
    #[test]
    fn envelopes_round_trip(payload in vec(any::<u8>(), 0..64), index in any::<prop::sample::Index>()) {
        let mut value = encode_value(&payload);
        prop_assert_eq!(decode_value(&value), Ok(&payload[..]));
        let index = index.index(value.len());
        value[index] ^= 1;
        prop_assert!(decode_value(&value).is_err());
    }
}

/// Guards against arithmetic overflow on a valid head with extreme numbers.
#[test]
fn extreme_versions_cause_no_panic() {
    block_on(async |harness| {
        let head = json!({
            "version": u64::MAX, "checksum": "", "part_count": u32::MAX, "nonce": "n",
            "previous": null,
        });
        let store: Rc<dyn Store> = harness.store.clone();
        harness.handle().put("team/head", &encode_value(head.to_string().as_bytes()));
        let repository = ConfigurationRepository::new(store, "team");
        assert!(repository.history(10).await.unwrap().is_empty());
        repository.read(u64::MAX).await.unwrap_err();
        repository.publish(&publication(u64::MAX, "a")).await.unwrap_err();
    });
}
