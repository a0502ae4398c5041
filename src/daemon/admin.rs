//! HTTP server for operators: liveness, readiness, metrics, status and explanations of decisions.
//!
//! Liveness and readiness are open to everyone; the other endpoints are subject to [`Access`].

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use cactustrack_observe::Metrics;
use cactustrack_proxy::{Acceptor, ConnectionBudget};
use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::{Value, json};
use slog::Logger;

use crate::route_query::RouteQuery;

/// Size limit of the read buffer of one connection.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of open connections. Further ones are closed at once, so that clients of the admin
/// endpoints cannot use up the file descriptors of the process.
pub(crate) const MAX_CONNECTIONS: usize = 64;

/// State that the admin endpoints expose.
pub(crate) trait AdminSource {
    /// Returns `Ok` if the instance accepts new requests, otherwise the reason why it does not.
    fn readiness(&self) -> Result<(), String>;

    /// Returns the state of the instance as a JSON document.
    fn status(&self) -> Value;

    /// Returns the decisions about a service, or about one of its upstreams. `None` if the service
    /// or upstream is unknown.
    fn explain(&self, service: &str, upstream: Option<&str>) -> Option<Value>;

    /// Returns where a request would go now, and why. Asking changes no state. `None` if instances
    /// of this kind do not explain routes.
    fn explain_route(&self, _query: &RouteQuery) -> Option<Value> {
        None
    }
}

/// The HTTP server of the admin endpoints.
pub(crate) struct AdminServer {
    listener: Acceptor,
    budget: ConnectionBudget,
    state: Rc<State>,
}

struct State {
    source: Rc<dyn AdminSource>,
    metrics: Metrics,
    access: Access,
    /// Path of the readiness endpoint.
    ready_path: &'static str,
}

/// Access control for metrics, status and explanations.
pub(crate) enum Access {
    /// Every request is rejected.
    Closed,
    /// Every request is allowed.
    Open,
    /// Requests with this value in the `Authorization` header are allowed.
    Authorized(String),
}

/// Default path of the readiness endpoint.
pub(crate) const READY_PATH: &str = "/ready";

impl AdminServer {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        source: Rc<dyn AdminSource>,
        metrics: Metrics,
        access: Access,
        ready_path: &'static str,
        log: Logger,
    ) -> io::Result<Self> {
        let listener = Acceptor::bind(address, "admin", metrics.clone(), log).await?;
        let budget = ConnectionBudget::new(MAX_CONNECTIONS);
        let state = Rc::new(State { source, metrics, access, ready_path });
        Ok(Self { listener, budget, state })
    }

    /// Returns the address of the listener.
    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_address()
    }

    /// Accepts connections until the process ends.
    pub(crate) async fn run(self) {
        loop {
            let stream = self.listener.accept().await;
            let Some(counted) = self.budget.try_add() else { continue };
            let serving = serve(stream, Rc::clone(&self.state));
            let task = async move {
                serving.await;
                drop(counted);
            };
            compio::runtime::spawn(task).detach();
        }
    }
}

async fn serve(stream: TcpStream, state: Rc<State>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let response = state.respond(req.method(), req.uri(), req.headers());
        async move { Ok::<_, Infallible>(response) }
    });
    let _ = http1::Builder::new()
        .timer(CompioTimer)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

impl State {
    fn respond(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Response<Full<Bytes>> {
        if method != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n");
        }
        match uri.path() {
            "/live" => return text_response(StatusCode::OK, "live\n"),
            path if path == self.ready_path => return self.ready(),
            _ => {}
        }
        if !self.is_authorized(headers) {
            return text_response(StatusCode::UNAUTHORIZED, "the admin key is needed\n");
        }
        match uri.path() {
            "/metrics" => self.metrics(),
            "/status" => json_response(&self.source.status()),
            "/route" => self.explain_route(uri.query().unwrap_or_default()),
            path => self.explain(path),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.source.readiness() {
            Ok(()) => text_response(StatusCode::OK, "ready\n"),
            Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n")),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let expected = match &self.access {
            Access::Closed => return false,
            Access::Open => return true,
            Access::Authorized(expected) => expected,
        };
        let provided = headers.get(header::AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        constant_time_eq(provided, expected.as_bytes())
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        match self.metrics.render() {
            Ok(metrics) => text_response(StatusCode::OK, &metrics),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error:#}\n")),
        }
    }

    fn explain(&self, path: &str) -> Response<Full<Bytes>> {
        let Some(rest) = path.strip_prefix("/explain/") else {
            return text_response(StatusCode::NOT_FOUND, "no such page\n");
        };
        let (service, upstream) = match rest.split_once('/') {
            Some((service, upstream)) => (service, Some(upstream)),
            None => (rest, None),
        };
        match self.source.explain(service, upstream) {
            Some(decisions) => json_response(&decisions),
            None => problem(StatusCode::NOT_FOUND, &format!("no service or upstream {rest}")),
        }
    }

    fn explain_route(&self, query: &str) -> Response<Full<Bytes>> {
        let query = match RouteQuery::parse(query) {
            Ok(query) => query,
            Err(error) => return problem(StatusCode::BAD_REQUEST, &format!("{error:#}")),
        };
        match self.source.explain_route(&query) {
            Some(explanation) => json_response(&explanation),
            None => problem(StatusCode::NOT_FOUND, "this instance does not explain routes"),
        }
    }
}

/// Compares two byte strings in a time that depends on their lengths only, so that response times
/// do not reveal how many bytes of a guessed key are correct.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
}

fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

fn problem(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    let mut response = json_response(&json!({"error": error}));
    *response.status_mut() = status;
    response
}

fn json_response(value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
