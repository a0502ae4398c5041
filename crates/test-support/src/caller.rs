//! Stand-in for callers: sends one request on a connection of its own and waits for all of the
//! answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use cyper_core::HyperStream;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;

/// Time after which a caller gives up. It only keeps a broken test from hanging.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    method: String,
    host: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, as far as it arrived.
    pub body: Bytes,
    /// True if the body ended as announced.
    pub is_complete: bool,
}

impl CallResponse {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of the header that states whether a rejected request was run.
    pub fn execution(&self) -> Option<&str> {
        self.headers.get("cactustrack-execution")?.to_str().ok()
    }
}

impl Call {
    /// Creates a GET request.
    pub fn get(host: &str, path: &str) -> Self {
        Self::new("GET", host, path)
    }

    /// Creates a POST request.
    pub fn post(host: &str, path: &str) -> Self {
        Self::new("POST", host, path)
    }

    fn new(method: &str, host: &str, path: &str) -> Self {
        let (method, host, path) = (method.to_owned(), host.to_owned(), path.to_owned());
        Self { method, host, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no head of an answer.
    pub fn send(&self, address: SocketAddr) -> eyre::Result<CallResponse> {
        let runtime = Runtime::new()?;
        runtime.block_on(async {
            compio::time::timeout(CALL_TIMEOUT, self.send_async(address)).await?
        })
    }

    /// Sends the request on the current event loop and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no head of an answer.
    pub async fn send_async(&self, address: SocketAddr) -> eyre::Result<CallResponse> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let (mut tx, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
        let driver = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        let reply = self.exchange(&mut tx).await;
        drop(driver);
        reply
    }

    async fn exchange(
        &self,
        tx: &mut http1::SendRequest<Full<Bytes>>,
    ) -> eyre::Result<CallResponse> {
        let mut req = Request::builder()
            .method(self.method.as_str())
            .uri(&self.path)
            .header("host", &self.host);
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        let res = tx.send_request(req.body(Full::new(self.body.clone()))?).await?;
        let (head, mut body) = res.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        let (status, headers, body) = (head.status, head.headers, Bytes::from(bytes));
        Ok(CallResponse { status, headers, body, is_complete })
    }
}
