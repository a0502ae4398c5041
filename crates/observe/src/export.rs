//! Export of spans by OTLP over HTTP with JSON bodies.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr, ensure};
use serde_json::{Value, json};

use crate::{Span, SpanKind, SpanQueue};

const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BATCH_SPANS: usize = 512;

/// Destination of exported spans, and the instance that exports them.
#[derive(Clone, Debug)]
pub struct ExportTarget {
    /// URL of the trace endpoint, such as `http://192.0.2.1:4318/v1/traces`.
    pub endpoint: String,
    /// Name of the instance.
    pub instance: String,
}

/// Sends queued spans until the process ends. A batch that the trace collector does not accept is
/// dropped and counted, so that memory stays bounded while the collector is unavailable.
pub async fn export_spans(target: ExportTarget, queue: SpanQueue) {
    loop {
        compio::time::sleep(EXPORT_INTERVAL).await;
        loop {
            let batch = queue.take(MAX_BATCH_SPANS);
            if batch.is_empty() {
                break;
            }
            if send_batch(&target, &batch).await.is_err() {
                queue.count_dropped(batch.len());
                break;
            }
        }
    }
}

async fn send_batch(target: &ExportTarget, batch: &[Span]) -> Result<()> {
    let body = encode_batch(&target.instance, batch).to_string();
    let client = cyper::Client::new().wrap_err("cannot create an HTTP client")?;
    let request = client
        .post(&target.endpoint)?
        .header("content-type", "application/json")?
        .body(body)
        .send();
    let response = compio::time::timeout(EXPORT_TIMEOUT, request)
        .await
        .wrap_err("the trace collector did not respond in time")??;
    ensure!(
        response.status().is_success(),
        "the trace collector responded with status {}",
        response.status()
    );
    Ok(())
}

fn encode_batch(instance: &str, batch: &[Span]) -> Value {
    let spans: Vec<Value> = batch.iter().map(encode_span).collect();
    json!({"resourceSpans": [{
        "resource": {"attributes": [
            attribute("service.name", "cactustrackd"),
            attribute("service.instance.id", instance),
        ]},
        "scopeSpans": [{"scope": {"name": "cactustrack"}, "spans": spans}],
    }]})
}

fn encode_span(span: &Span) -> Value {
    // The numbers are the values of the enumerations SpanKind and StatusCode of OTLP.
    let kind = match span.kind {
        SpanKind::Server => 2,
        SpanKind::Client => 3,
    };
    let status = if span.is_error { 2 } else { 1 };
    let attributes: Vec<Value> =
        span.attributes.iter().map(|(name, value)| attribute(name, value)).collect();
    let mut encoded = json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "name": span.name,
        "kind": kind,
        "startTimeUnixNano": unix_nanos(span.start),
        "endTimeUnixNano": unix_nanos(span.end),
        "attributes": attributes,
        "status": {"code": status},
    });
    if span.parent_span_id != 0 {
        encoded["parentSpanId"] = Value::from(format!("{:016x}", span.parent_span_id));
    }
    encoded
}

fn attribute(name: &str, value: &str) -> Value {
    json!({"key": name, "value": {"stringValue": value}})
}

fn unix_nanos(time: SystemTime) -> String {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos().to_string()
}
