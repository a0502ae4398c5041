//! HTTP client that acts as a caller: sends one request on its own connection and reads the whole
//! response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use cyper_core::HyperStream;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;

/// Limit of a call, so that a failing test does not hang.
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

/// The response that a caller received.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The part of the body that was received.
    pub body: Bytes,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl CallResponse {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of the header that states whether a rejected request was executed.
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

    /// Sends the request on a new runtime and waits for the response.
    ///
    /// # Errors
    ///
    /// Fails if no response head is received.
    pub fn send(&self, address: SocketAddr) -> eyre::Result<CallResponse> {
        let runtime = Runtime::new()?;
        runtime.block_on(async {
            compio::time::timeout(CALL_TIMEOUT, self.send_async(address)).await?
        })
    }

    /// Sends the request on the current runtime and waits for the response.
    ///
    /// # Errors
    ///
    /// Fails if no response head is received.
    pub async fn send_async(&self, address: SocketAddr) -> eyre::Result<CallResponse> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let (mut tx, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
        let driver = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        let response = self.exchange(&mut tx).await;
        drop(driver);
        response
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
