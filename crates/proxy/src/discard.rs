//! Reads the body of a refused request, so that its connection stays usable.

use std::time::Duration;

use http::{HeaderMap, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest body that is read. Reading more of it costs more than a new connection of the caller.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024;

/// Time within which the body has to arrive. The response waits for it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a body to its end within limits. hyper closes the connection after a response if the body
/// of its request has not arrived by then, and the requests behind it are lost.
pub(crate) async fn discard_body(headers: &HeaderMap, body: Option<Incoming>) {
    let Some(mut body) = body else { return };
    let is_large = body.size_hint().lower() > MAX_DISCARDED_BYTES;
    // Reading makes hyper ask for a body that the caller sends on request only.
    let is_on_request = headers.contains_key(header::EXPECT);
    if body.is_end_stream() || is_large || is_on_request {
        return;
    }
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, |data| data.len() as u64);
            if read > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // If the time is over, the connection is closed after the response.
    let _ = compio::time::timeout(DISCARD_TIMEOUT, reading).await;
}
