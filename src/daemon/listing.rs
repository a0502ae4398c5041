//! Reads the platform's instance list.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use cactustrack_types::Listing;
use eyre::{Result, WrapErr, ensure};

/// Longest list that is accepted: 6,600 upstreams and 800 instances at 400 bytes an entry are
/// about 3 MB.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A future that stays on the thread of its instance.
type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The platform's list of upstreams and instances.
pub(crate) trait InstanceList {
    /// Reads the list, which may lag.
    fn read(&self) -> LocalFuture<'_, Result<Vec<Listing>>>;
}

/// The list as a JSON array behind a URL.
pub(crate) struct HttpInstanceList {
    url: String,
}

impl HttpInstanceList {
    /// Creates a reader of the list at `url`.
    pub(crate) fn new(url: String) -> Self {
        Self { url }
    }

    async fn fetch(&self) -> Result<Vec<Listing>> {
        let client = cyper::Client::new().wrap_err("cannot create an HTTP client")?;
        let response = client.get(&self.url)?.send().await.wrap_err("cannot reach the list")?;
        let status = response.status();
        ensure!(status.is_success(), "the instance list answered {status}");
        let body = response.bytes().await.wrap_err("the instance list was cut short")?;
        ensure!(body.len() <= MAX_LIST_BYTES, "the instance list has {} bytes", body.len());
        serde_json::from_slice(&body).wrap_err("the instance list is not valid")
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> LocalFuture<'_, Result<Vec<Listing>>> {
        Box::pin(async {
            let reading = compio::time::timeout(READ_TIMEOUT, self.fetch());
            reading.await.wrap_err("the instance list gave no answer")?
        })
    }
}
