//! [`Store`] implementation for the JSON mapping of the etcd v3 API.

mod wire;

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use compio::time::timeout_at;
use futures::StreamExt;
use serde_json::Value;

use crate::{
    KeyValue, LeaseId, LocalFuture, Revision, Store, StoreError, Txn, TxnResponse, WatchEvent,
};
use wire::{DecodeError, ErrorResponse, WatchMessage};

/// Default timeout of a call, from the first connection attempt to the last byte of the response.
pub const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Default limit on the size of a response, in bytes. Values are at most 1 MB, a third larger in
/// base64, and only a few of them are read in one call.
pub const DEFAULT_MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A store reached through one or more etcd v3 endpoints.
///
/// If a connection to an endpoint fails, the same call tries the next endpoint. After a call
/// without a response, the next call starts with the next endpoint.
#[derive(Debug)]
pub struct EtcdStore {
    endpoints: Vec<String>,
    call_timeout: Duration,
    max_response_bytes: usize,
    preferred: Cell<usize>,
    client: RefCell<cyper::Client>,
}

/// Whether a call may be sent again after it possibly reached the store.
#[derive(Clone, Copy, PartialEq)]
enum Retry {
    /// The call is idempotent, so it may be sent to another endpoint after a broken connection.
    Allowed,
    /// The call is not idempotent, so it is sent at most once.
    Forbidden,
}

impl EtcdStore {
    /// Creates a client for the endpoints, for example `http://10.0.0.1:2379`.
    ///
    /// # Errors
    ///
    /// Fails if `endpoints` is empty or the HTTP client cannot be created.
    pub fn new(endpoints: &[String]) -> Result<Self, StoreError> {
        if endpoints.is_empty() {
            return Err(unreachable("no endpoint is configured"));
        }
        let trimmed = endpoints.iter().map(|url| url.trim_end_matches('/').to_owned()).collect();
        Ok(Self {
            endpoints: trimmed,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
            preferred: Cell::new(0),
            client: RefCell::new(new_client()?),
        })
    }

    /// Sets the timeout of a call.
    pub fn with_call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the limit on the size of a response, in bytes.
    pub fn with_max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }

    /// Makes a call and returns the body of its response.
    async fn call(&self, path: &str, body: &Value, retry: Retry) -> Result<Vec<u8>, StoreError> {
        let deadline = Instant::now() + self.call_timeout;
        let attempt = |endpoint| self.call_endpoint(endpoint, path, body, deadline);
        self.try_endpoints(attempt, deadline, retry).await
    }

    /// Runs `attempt` on one endpoint after the other until one responds.
    async fn try_endpoints<T, F: Future<Output = Result<T, StoreError>>>(
        &self,
        attempt: impl Fn(usize) -> F,
        deadline: Instant,
        retry: Retry,
    ) -> Result<T, StoreError> {
        let first = self.preferred.get();
        let mut last = unreachable("no endpoint is configured");
        for offset in 0..self.endpoints.len() {
            let endpoint = (first + offset) % self.endpoints.len();
            let result = attempt(endpoint).await;
            let Err(err) = result else {
                self.preferred.set(endpoint);
                return result;
            };
            if matches!(err, StoreError::Rejected { .. }) {
                return Err(err);
            }
            self.preferred.set((endpoint + 1) % self.endpoints.len());
            let may_retry = retry == Retry::Allowed || is_unreachable(&err);
            // If an earlier attempt may have reached the store, its error is returned even when a
            // later attempt could not connect.
            if is_unreachable(&last) {
                last = err;
            }
            if !may_retry || Instant::now() >= deadline {
                break;
            }
        }
        Err(last)
    }

    async fn call_endpoint(
        &self,
        endpoint: usize,
        path: &str,
        body: &Value,
        deadline: Instant,
    ) -> Result<Vec<u8>, StoreError> {
        let exchange = async {
            let mut response = self.send(endpoint, path, body).await?;
            self.read_body(&mut response).await
        };
        self.with_deadline(deadline, exchange).await
    }

    /// Runs an exchange with a deadline.
    ///
    /// A timeout may be caused by dead idle connections, so the client is replaced, which drops its
    /// connection pool. Whether the request was sent is unknown, hence `NoResponse`.
    async fn with_deadline<T>(
        &self,
        deadline: Instant,
        exchange: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let Ok(result) = timeout_at(deadline, exchange).await else {
            if let Ok(client) = new_client() {
                *self.client.borrow_mut() = client;
            }
            return Err(no_response("timeout"));
        };
        result
    }

    /// Sends a request and reads the response head. Fails on an error status.
    async fn send(
        &self,
        endpoint: usize,
        path: &str,
        body: &Value,
    ) -> Result<cyper::Response, StoreError> {
        let client = self.client.borrow().clone();
        let url = format!("{}{path}", self.endpoints[endpoint]);
        let mut response = client
            .post(url)
            .and_then(|request| request.header("content-type", "application/json"))
            .map_err(|err| unreachable(err.to_string()))?
            .body(body.to_string())
            .send()
            .await
            .map_err(|err| classify(&err))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let body = self.read_body(&mut response).await?;
        Err(error_response(&wire::decode_error(&body), response.status().as_u16()))
    }

    async fn read_body(&self, response: &mut cyper::Response) -> Result<Vec<u8>, StoreError> {
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            self.append_chunk(&mut body, &chunk.map_err(|err| no_response(err.to_string()))?)?;
        }
        Ok(body)
    }

    fn append_chunk(&self, body: &mut Vec<u8>, chunk: &[u8]) -> Result<(), StoreError> {
        if body.len() + chunk.len() > self.max_response_bytes {
            let limit = self.max_response_bytes;
            return Err(no_response(format!("the response is larger than {limit} bytes")));
        }
        body.extend_from_slice(chunk);
        Ok(())
    }

    async fn open_watch(&self, body: &Value) -> Result<cyper::Response, StoreError> {
        let deadline = Instant::now() + self.call_timeout;
        let attempt =
            |endpoint| self.with_deadline(deadline, self.send(endpoint, "/v3/watch", body));
        self.try_endpoints(attempt, deadline, Retry::Allowed).await
    }

    /// Reads messages of a watch until one contains events.
    async fn read_events(
        &self,
        response: &mut cyper::Response,
    ) -> Result<Vec<WatchEvent>, StoreError> {
        let mut buf = Vec::new();
        while let Some(chunk) = response.next().await {
            self.append_chunk(&mut buf, &chunk.map_err(|err| no_response(err.to_string()))?)?;
            let mut events = Vec::new();
            while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                events.extend(decode_watch_line(line.trim_ascii())?);
            }
            if !events.is_empty() {
                return Ok(events);
            }
        }
        Err(no_response("the store closed the watch"))
    }
}

impl Store for EtcdStore {
    fn range<'a>(
        &'a self,
        key: &'a str,
        end: Option<&'a str>,
    ) -> LocalFuture<'a, Result<Vec<KeyValue>, StoreError>> {
        Box::pin(async move {
            let request = wire::encode_range(key, end);
            let body = self.call("/v3/kv/range", &request, Retry::Allowed).await?;
            decoded(wire::decode_range(&body))
        })
    }

    fn txn(&self, txn: Txn) -> LocalFuture<'_, Result<TxnResponse, StoreError>> {
        Box::pin(async move {
            let request = wire::encode_txn(&txn);
            let body = self.call("/v3/kv/txn", &request, Retry::Forbidden).await?;
            decoded(wire::decode_txn(&body))
        })
    }

    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<LeaseId, StoreError>> {
        Box::pin(async move {
            let request = wire::encode_lease_grant(ttl);
            let body = self.call("/v3/lease/grant", &request, Retry::Forbidden).await?;
            decoded(wire::decode_lease_grant(&body))
        })
    }

    fn keep_lease_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<Duration, StoreError>> {
        Box::pin(async move {
            let request = wire::encode_keep_alive(lease);
            let body = self.call("/v3/lease/keepalive", &request, Retry::Allowed).await?;
            if let Some(error) = wire::decode_stream_error(&body) {
                return Err(error_response(&error, 200));
            }
            decoded(wire::decode_keep_alive(&body))
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<WatchEvent>, StoreError>> {
        Box::pin(async move {
            let end = Instant::now() + wait;
            let mut response = self.open_watch(&wire::encode_watch(key, revision)).await?;
            // Dropping the response closes the connection, which cancels the watch in the store.
            match timeout_at(end, self.read_events(&mut response)).await {
                Ok(result) => result,
                Err(_) => Ok(Vec::new()),
            }
        })
    }
}

fn decode_watch_line(line: &[u8]) -> Result<Vec<WatchEvent>, StoreError> {
    if line.is_empty() {
        return Ok(Vec::new());
    }
    if let Some(error) = wire::decode_stream_error(line) {
        return Err(error_response(&error, 200));
    }
    match decoded(wire::decode_watch(line))? {
        WatchMessage::Idle => Ok(Vec::new()),
        WatchMessage::Events(events) => Ok(events),
        WatchMessage::Canceled(reason) => Err(StoreError::Rejected { reason }),
    }
}

fn new_client() -> Result<cyper::Client, StoreError> {
    cyper::Client::builder()
        .no_proxy()
        .redirect(cyper::redirect::Policy::none())
        .build()
        .map_err(|err| unreachable(err.to_string()))
}

/// Classifies client errors: only a failed connection attempt proves that nothing was sent.
fn classify(err: &cyper::Error) -> StoreError {
    let reason = describe(err);
    match err {
        cyper::Error::HyperClient(inner) if inner.is_connect() => unreachable(reason),
        _ => no_response(reason),
    }
}

fn describe(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        let cause = inner.to_string();
        if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
        source = inner.source();
    }
    text
}

fn error_response(error: &ErrorResponse, status: u16) -> StoreError {
    let reason = match error.reason.as_str() {
        "" => format!("HTTP status {status}"),
        reason => reason.to_owned(),
    };
    if error.is_not_applied {
        return StoreError::Rejected { reason };
    }
    no_response(reason)
}

fn decoded<T>(result: Result<T, DecodeError>) -> Result<T, StoreError> {
    result.map_err(|reason| no_response(format!("the response cannot be decoded: {reason}")))
}

fn is_unreachable(err: &StoreError) -> bool {
    matches!(err, StoreError::Unreachable { .. })
}

fn unreachable(reason: impl Into<String>) -> StoreError {
    StoreError::Unreachable { reason: reason.into() }
}

fn no_response(reason: impl Into<String>) -> StoreError {
    StoreError::NoResponse { reason: reason.into() }
}
