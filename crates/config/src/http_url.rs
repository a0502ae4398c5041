//! URLs of platform services, which are addressed by IP address.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};

/// An `http` URL whose host is an IP address with a port.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("http://{address}{path}")]
pub struct HttpUrl {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path that starts with `/`, or an empty string.
    pub path: String,
}

/// Error for text that is not a valid [`HttpUrl`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpUrlError {
    /// The scheme is not `http`.
    #[display("the URL does not start with http://")]
    Scheme,
    /// The host is not an IP address with a port.
    #[display("the host is not an IP address with a port")]
    Host,
    /// The path contains characters that are not allowed in a request line.
    #[display("the path contains a space, a control character or a non-ASCII character")]
    Path,
}

impl FromStr for HttpUrl {
    type Err = HttpUrlError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix("http://").ok_or(HttpUrlError::Scheme)?;
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let address = host.parse().map_err(|_| HttpUrlError::Host)?;
        if !path.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(HttpUrlError::Path);
        }
        Ok(Self { address, path: path.to_owned() })
    }
}
