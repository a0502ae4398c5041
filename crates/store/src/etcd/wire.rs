//! JSON mapping of the etcd v3 messages that the client uses.
//!
//! Keys and values are base64, 64-bit integers are strings, and fields with default values are
//! omitted, as the protobuf JSON mapping specifies.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use crate::{
    Compare, KeyValue, LeaseId, Operation, OperationResponse, Revision, Txn, TxnResponse,
    WatchEvent,
};

/// Describes why a response does not follow the JSON mapping.
pub(crate) type DecodeError = String;

/// gRPC status codes of errors that the store returns only before it applies anything.
///
/// After any other code, such as `UNAVAILABLE` and `DEADLINE_EXCEEDED`, a write may have taken
/// effect or may still do so.
const NOT_APPLIED_CODES: [i64; 9] = [
    3,  // INVALID_ARGUMENT
    5,  // NOT_FOUND
    6,  // ALREADY_EXISTS
    7,  // PERMISSION_DENIED
    8,  // RESOURCE_EXHAUSTED
    9,  // FAILED_PRECONDITION
    11, // OUT_OF_RANGE
    12, // UNIMPLEMENTED
    16, // UNAUTHENTICATED
];

pub(crate) fn encode_range(key: &str, end: Option<&str>) -> Value {
    let mut range = json!({ "key": base64(key.as_bytes()) });
    if let Some(end) = end {
        range["range_end"] = base64(end.as_bytes());
    }
    range
}

pub(crate) fn encode_txn(txn: &Txn) -> Value {
    json!({
        "compare": txn.compares.iter().map(encode_compare).collect::<Vec<_>>(),
        "success": txn.then.iter().map(encode_operation).collect::<Vec<_>>(),
        "failure": txn.otherwise.iter().map(encode_operation).collect::<Vec<_>>(),
    })
}

pub(crate) fn encode_lease_grant(ttl: Duration) -> Value {
    let secs = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
    json!({ "TTL": secs.max(1).to_string() })
}

pub(crate) fn encode_keep_alive(lease: LeaseId) -> Value {
    json!({ "ID": lease.to_string() })
}

pub(crate) fn encode_watch(key: &str, revision: Revision) -> Value {
    json!({ "create_request": {
        "key": base64(key.as_bytes()),
        "start_revision": revision.to_string(),
    } })
}

fn encode_compare(compare: &Compare) -> Value {
    match compare {
        Compare::ModRevision { key, revision } => json!({
            "key": base64(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Value { key, value } => json!({
            "key": base64(key.as_bytes()),
            "target": "VALUE",
            "result": "EQUAL",
            "value": base64(value),
        }),
    }
}

fn encode_operation(operation: &Operation) -> Value {
    match operation {
        Operation::Put { key, value, lease } => {
            let mut put = json!({ "key": base64(key.as_bytes()), "value": base64(value) });
            if *lease != 0 {
                put["lease"] = lease.to_string().into();
            }
            json!({ "request_put": put })
        }
        Operation::Delete { key, end } => {
            json!({ "request_delete_range": encode_range(key, end.as_deref()) })
        }
        Operation::Range { key, end } => {
            json!({ "request_range": encode_range(key, end.as_deref()) })
        }
    }
}

fn base64(bytes: &[u8]) -> Value {
    Value::String(STANDARD.encode(bytes))
}

pub(crate) fn decode_range(body: &[u8]) -> Result<Vec<KeyValue>, DecodeError> {
    parse::<WireRange>(body)?.decode()
}

pub(crate) fn decode_txn(body: &[u8]) -> Result<TxnResponse, DecodeError> {
    let response: WireTxn = parse(body)?;
    Ok(TxnResponse {
        succeeded: response.succeeded,
        revision: response.header.revision,
        responses: response
            .responses
            .into_iter()
            .map(WireOperation::decode)
            .collect::<Result<_, DecodeError>>()?,
    })
}

pub(crate) fn decode_lease_grant(body: &[u8]) -> Result<LeaseId, DecodeError> {
    match parse::<WireLease>(body)?.id {
        0 => Err("the granted lease has no id".into()),
        id => Ok(id),
    }
}

pub(crate) fn decode_keep_alive(body: &[u8]) -> Result<Duration, DecodeError> {
    let response: WireStream<WireLease> = parse(body)?;
    let lease = response.result.ok_or("the response has no result")?;
    Ok(Duration::from_secs(u64::try_from(lease.ttl).unwrap_or(0)))
}

/// One message of a watch.
#[derive(Debug, PartialEq)]
pub(crate) enum WatchMessage {
    /// The watch was created, or nothing has changed.
    Idle,
    /// Changes of the watched key.
    Events(Vec<WatchEvent>),
    /// The store canceled the watch, with its reason.
    Canceled(String),
}

pub(crate) fn decode_watch(message: &[u8]) -> Result<WatchMessage, DecodeError> {
    let message: WireStream<WireWatch> = parse(message)?;
    let watch = message.result.ok_or("the watch message has no result")?;
    if watch.canceled {
        let reason = match watch.compact_revision {
            0 => watch.cancel_reason,
            revision => format!("the history before revision {revision} is compacted"),
        };
        return Ok(WatchMessage::Canceled(reason));
    }
    if watch.events.is_empty() {
        return Ok(WatchMessage::Idle);
    }
    let events = watch.events.into_iter().map(WireEvent::decode).collect::<Result<_, _>>()?;
    Ok(WatchMessage::Events(events))
}

/// An error response of the store.
#[derive(Debug, PartialEq)]
pub(crate) struct ErrorResponse {
    /// Reason that the store gave.
    pub(crate) reason: String,
    /// True if the store is known to have applied nothing.
    pub(crate) is_not_applied: bool,
}

/// Decodes the body of a response with an error status.
pub(crate) fn decode_error(body: &[u8]) -> ErrorResponse {
    let error: WireError = serde_json::from_slice(body).unwrap_or_default();
    let reason = match error.error {
        Value::String(text) if error.message.is_empty() => text,
        _ => error.message,
    };
    ErrorResponse { reason, is_not_applied: NOT_APPLIED_CODES.contains(&error.code) }
}

/// Returns the error of a streamed message that has one instead of a result.
pub(crate) fn decode_stream_error(message: &[u8]) -> Option<ErrorResponse> {
    let message: WireStream<Value> = serde_json::from_slice(message).ok()?;
    message.error.map(|error| decode_error(error.to_string().as_bytes()))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireError {
    error: Value,
    message: String,
    code: i64,
}

#[derive(Deserialize)]
struct WireStream<T> {
    result: Option<T>,
    error: Option<Value>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireHeader {
    #[serde(deserialize_with = "int64")]
    revision: i64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireRange {
    kvs: Vec<WireKeyValue>,
    more: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireTxn {
    header: WireHeader,
    succeeded: bool,
    responses: Vec<WireOperation>,
}

#[derive(Deserialize)]
enum WireOperation {
    #[serde(rename = "response_put")]
    Put(serde::de::IgnoredAny),
    #[serde(rename = "response_delete_range")]
    Delete(WireDeleted),
    #[serde(rename = "response_range")]
    Range(WireRange),
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireDeleted {
    #[serde(deserialize_with = "int64")]
    deleted: i64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireKeyValue {
    #[serde(deserialize_with = "bytes")]
    key: Vec<u8>,
    #[serde(deserialize_with = "bytes")]
    value: Vec<u8>,
    #[serde(deserialize_with = "int64")]
    create_revision: i64,
    #[serde(deserialize_with = "int64")]
    mod_revision: i64,
    #[serde(deserialize_with = "int64")]
    lease: i64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireLease {
    #[serde(rename = "ID", deserialize_with = "int64")]
    id: i64,
    #[serde(rename = "TTL", deserialize_with = "int64")]
    ttl: i64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireWatch {
    canceled: bool,
    cancel_reason: String,
    #[serde(deserialize_with = "int64")]
    compact_revision: i64,
    events: Vec<WireEvent>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireEvent {
    #[serde(rename = "type")]
    kind: String,
    kv: WireKeyValue,
}

impl WireRange {
    fn decode(self) -> Result<Vec<KeyValue>, DecodeError> {
        if self.more {
            return Err("the range response is incomplete".into());
        }
        self.kvs.into_iter().map(WireKeyValue::decode).collect()
    }
}

impl WireOperation {
    fn decode(self) -> Result<OperationResponse, DecodeError> {
        Ok(match self {
            Self::Put(_) => OperationResponse::Put,
            Self::Delete(response) => {
                OperationResponse::Delete(u64::try_from(response.deleted).unwrap_or(0))
            }
            Self::Range(range) => OperationResponse::Range(range.decode()?),
        })
    }
}

impl WireKeyValue {
    fn decode(self) -> Result<KeyValue, DecodeError> {
        Ok(KeyValue {
            key: String::from_utf8(self.key).map_err(|_| "a key is not UTF-8")?,
            value: self.value,
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
            lease: self.lease,
        })
    }
}

impl WireEvent {
    fn decode(self) -> Result<WatchEvent, DecodeError> {
        let revision = self.kv.mod_revision;
        let value = match self.kind.as_str() {
            "" | "PUT" => Some(self.kv.decode()?),
            "DELETE" => None,
            other => return Err(format!("unknown event type {other:?}")),
        };
        Ok(WatchEvent { revision, value })
    }
}

fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

/// Deserializes a 64-bit integer, which the JSON mapping allows as a string or a number.
fn int64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Int64 {
        Text(String),
        Number(i64),
    }
    match Int64::deserialize(deserializer)? {
        Int64::Text(text) => text.parse().map_err(D::Error::custom),
        Int64::Number(number) => Ok(number),
    }
}
