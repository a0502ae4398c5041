//! Client of the platform's instance list.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use cactustrack_types::Listing;
use eyre::{Result, WrapErr, ensure};
use http::{StatusCode, header};

/// Maximum accepted size of the list. With 6,600 upstreams and 800 instances at 400 bytes per entry
/// it has about 3 MB.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A boxed future that is not `Send`.
type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The platform's list of upstreams and instances.
pub(crate) trait InstanceList {
    /// Reads the list, which may lag behind. Returns `None` if it has not changed since the last
    /// read.
    fn read(&self) -> LocalFuture<'_, Result<Option<Vec<Listing>>>>;
}

/// An instance list that is served over HTTP as a JSON array.
pub(crate) struct HttpInstanceList {
    url: String,
    /// Entity tag of the list at the last read. With 6,600 upstreams the list exceeds one megabyte,
    /// so conditional requests avoid the transfer of an unchanged list.
    etag: RefCell<Option<String>>,
}

impl HttpInstanceList {
    /// Creates a client of the list at `url`.
    pub(crate) fn new(url: String) -> Self {
        Self { url, etag: RefCell::default() }
    }

    async fn fetch(&self) -> Result<Option<Vec<Listing>>> {
        let client = cyper::Client::new().wrap_err("cannot create an HTTP client")?;
        let mut request = client.get(&self.url)?;
        if let Some(etag) = &*self.etag.borrow() {
            request = request.header("if-none-match", etag)?;
        }
        let response = request.send().await.wrap_err("the HTTP request failed")?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let etag = response.headers().get(header::ETAG).and_then(|etag| etag.to_str().ok());
        let etag = etag.map(str::to_owned);
        ensure!(status.is_success(), "unexpected HTTP status {status}");
        let body = response.bytes().await.wrap_err("the response was truncated")?;
        ensure!(
            body.len() <= MAX_LIST_BYTES,
            "the list has {} bytes, more than the limit of {MAX_LIST_BYTES}",
            body.len()
        );
        let list = serde_json::from_slice(&body).wrap_err("the list is malformed")?;
        *self.etag.borrow_mut() = etag;
        Ok(Some(list))
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> LocalFuture<'_, Result<Option<Vec<Listing>>>> {
        Box::pin(async {
            let reading = compio::time::timeout(READ_TIMEOUT, self.fetch());
            reading.await.wrap_err("no response in time")?
        })
    }
}
