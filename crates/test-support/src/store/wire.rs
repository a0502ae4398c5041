//! JSON encoding of the requests and responses that the fake store supports.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};

use super::state::{Compare, Event, Item, KeyRange, Op, OpResponse, Relation, StatusError, Target};

/// A decoded request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Request {
    Range(KeyRange),
    Txn { compares: Vec<Compare>, then: Vec<Op>, otherwise: Vec<Op> },
    LeaseGrant { ttl_secs: u64 },
    LeaseKeepAlive { lease: i64 },
    Watch { range: KeyRange, start_revision: i64 },
}

impl Request {
    /// Decodes the request that was sent to `path`.
    pub(crate) fn decode(path: &str, body: &[u8]) -> Result<Self, StatusError> {
        let body: Value = serde_json::from_slice(body).map_err(|err| invalid(&err.to_string()))?;
        match path {
            "/v3/kv/range" => Ok(Self::Range(range(&body)?)),
            "/v3/kv/txn" => Ok(Self::Txn {
                compares: list(&body, "compare", compare)?,
                then: list(&body, "success", operation)?,
                otherwise: list(&body, "failure", operation)?,
            }),
            "/v3/lease/grant" => Ok(Self::LeaseGrant {
                ttl_secs: u64::try_from(int(&body, "TTL")?).map_err(|_| invalid("TTL"))?,
            }),
            "/v3/lease/keepalive" => Ok(Self::LeaseKeepAlive { lease: int(&body, "ID")? }),
            "/v3/watch" => {
                let create = &body["create_request"];
                let start_revision = int(create, "start_revision")?;
                Ok(Self::Watch { range: range(create)?, start_revision })
            }
            _ => Err(StatusError { code: 12, message: format!("no such method: {path}") }),
        }
    }

    /// Returns whether the request may write to the store.
    pub(crate) fn is_write(&self) -> bool {
        match self {
            Self::Txn { then, otherwise, .. } => {
                then.iter().chain(otherwise).any(|op| !matches!(op, Op::Range(_)))
            }
            Self::LeaseGrant { .. } | Self::LeaseKeepAlive { .. } => true,
            Self::Range(_) | Self::Watch { .. } => false,
        }
    }
}

fn list<T>(
    body: &Value,
    field: &str,
    decode: impl Fn(&Value) -> Result<T, StatusError>,
) -> Result<Vec<T>, StatusError> {
    body[field].as_array().map_or(&[][..], Vec::as_slice).iter().map(decode).collect()
}

fn range(body: &Value) -> Result<KeyRange, StatusError> {
    let end = bytes(body, "range_end")?;
    Ok(KeyRange { key: bytes(body, "key")?, end: (!end.is_empty()).then_some(end) })
}

fn compare(body: &Value) -> Result<Compare, StatusError> {
    let target = match body["target"].as_str() {
        None | Some("VERSION") => Target::Version(int(body, "version")?),
        Some("CREATE") => Target::Create(int(body, "create_revision")?),
        Some("MOD") => Target::Mod(int(body, "mod_revision")?),
        Some("VALUE") => Target::Value(bytes(body, "value")?),
        Some(other) => return Err(invalid(&format!("target {other}"))),
    };
    let relation = match body["result"].as_str() {
        None | Some("EQUAL") => Relation::Equal,
        Some("NOT_EQUAL") => Relation::NotEqual,
        Some("GREATER") => Relation::Greater,
        Some("LESS") => Relation::Less,
        Some(other) => return Err(invalid(&format!("result {other}"))),
    };
    Ok(Compare { key: bytes(body, "key")?, target, relation })
}

fn operation(body: &Value) -> Result<Op, StatusError> {
    if let Some(put) = body.get("request_put") {
        let (key, value) = (bytes(put, "key")?, bytes(put, "value")?);
        return Ok(Op::Put { key, value, lease: int(put, "lease")? });
    }
    if let Some(delete) = body.get("request_delete_range") {
        return Ok(Op::Delete(range(delete)?));
    }
    match body.get("request_range") {
        Some(read) => Ok(Op::Range(range(read)?)),
        None => Err(invalid("unknown operation")),
    }
}

fn bytes(body: &Value, field: &str) -> Result<Vec<u8>, StatusError> {
    let text = body[field].as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|_| invalid(&format!("{field} is not base64")))
}

fn int(body: &Value, field: &str) -> Result<i64, StatusError> {
    match &body[field] {
        Value::Null => Ok(0),
        Value::String(text) => text.parse().map_err(|_| invalid(field)),
        other => other.as_i64().ok_or_else(|| invalid(field)),
    }
}

fn invalid(message: &str) -> StatusError {
    StatusError { code: 3, message: format!("invalid request: {message}") }
}

pub(crate) fn header(revision: i64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "2" })
}

/// Encodes a range response. Fields with default values are left out, as etcd does.
pub(crate) fn range_response(revision: i64, items: &[(Vec<u8>, Item)]) -> Value {
    let mut response = json!({ "header": header(revision) });
    if !items.is_empty() {
        response["kvs"] = items.iter().map(|(key, item)| key_value(key, item)).collect();
        response["count"] = items.len().to_string().into();
    }
    response
}

pub(crate) fn txn_response(revision: i64, succeeded: bool, responses: &[OpResponse]) -> Value {
    let mut response = json!({ "header": header(revision) });
    if succeeded {
        response["succeeded"] = true.into();
    }
    if !responses.is_empty() {
        response["responses"] =
            responses.iter().map(|response| operation_response(revision, response)).collect();
    }
    response
}

fn operation_response(revision: i64, response: &OpResponse) -> Value {
    match response {
        OpResponse::Put => json!({ "response_put": { "header": header(revision) } }),
        OpResponse::Delete(0) => json!({ "response_delete_range": { "header": header(revision) } }),
        OpResponse::Delete(count) => json!({ "response_delete_range": {
            "header": header(revision), "deleted": count.to_string(),
        } }),
        OpResponse::Range(items) => json!({ "response_range": range_response(revision, items) }),
    }
}

fn key_value(key: &[u8], item: &Item) -> Value {
    let mut kv = Map::new();
    kv.insert("key".into(), STANDARD.encode(key).into());
    kv.insert("create_revision".into(), item.create_revision.to_string().into());
    kv.insert("mod_revision".into(), item.mod_revision.to_string().into());
    kv.insert("version".into(), item.version.to_string().into());
    if !item.value.is_empty() {
        kv.insert("value".into(), STANDARD.encode(&item.value).into());
    }
    if item.lease != 0 {
        kv.insert("lease".into(), item.lease.to_string().into());
    }
    Value::Object(kv)
}

pub(crate) fn watch_created(revision: i64) -> Value {
    json!({ "result": { "header": header(revision), "created": true } })
}

pub(crate) fn watch_events(revision: i64, events: &[Event]) -> Value {
    let events: Vec<Value> = events.iter().map(event).collect();
    json!({ "result": { "header": header(revision), "events": events } })
}

fn event(event: &Event) -> Value {
    match &event.item {
        Some(item) => json!({ "kv": key_value(&event.key, item) }),
        None => json!({ "type": "DELETE", "kv": {
            "key": STANDARD.encode(&event.key),
            "mod_revision": event.revision.to_string(),
        } }),
    }
}

pub(crate) fn error_response(error: &StatusError) -> Value {
    json!({ "error": error.message, "code": error.code, "message": error.message })
}
