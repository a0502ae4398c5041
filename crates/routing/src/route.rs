//! Maps host and path to a service and a request class.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cactustrack_types::{Configuration, Delivery, RequestClass, Route, ServiceId};
use derive_more::{Display, Error};
use http::header::HOST;
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Uri};
use rapidhash::fast::RandomState;

/// Host of routes that apply to any host.
const ANY_HOST: &str = "*";

/// The route that a request takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Service that the request goes to.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Time given to a request whose caller names none.
    pub timeout: Duration,
    /// Longest time that a caller may ask for.
    pub max_timeout: Duration,
    /// Rules beyond the service and the class.
    pub delivery: Arc<Delivery>,
}

impl From<&Route> for RouteMatch {
    fn from(route: &Route) -> Self {
        Self {
            service: route.service.clone(),
            class: route.class,
            timeout: route.timeout.0,
            max_timeout: route.max_timeout.0,
            delivery: Arc::new(route.delivery.clone()),
        }
    }
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum RouteError {
    /// Neither the request target nor a `Host` header names the host.
    #[display("the request names no host")]
    MissingHost,
    /// The request has more than one `Host` header.
    #[display("the request has several Host headers")]
    DuplicateHost,
    /// The host contains characters that a host name cannot have, its port is no number, or the
    /// request target names another host than the header.
    #[display("the host is invalid")]
    InvalidHost,
    /// The path does not start with `/`.
    #[display("the path does not start with a slash")]
    NotAbsolute,
    /// The path has a segment `.` or `..`, with or without parameters after `;`.
    #[display("the path has a dot segment")]
    DotSegment,
    /// The path has an empty segment.
    #[display("the path has an empty segment")]
    EmptySegment,
    /// The path contains `%2f`, `%5c` or a backslash.
    #[display("the path has an encoded slash or a backslash")]
    HiddenSlash,
    /// The path contains `%2e`.
    #[display("the path has an encoded dot")]
    EncodedDot,
    /// The path contains a control character, a space or a byte outside ASCII, or an encoded
    /// control character.
    #[display("the path has an invalid character")]
    InvalidCharacter,
    /// The path contains `%` without two hexadecimal digits after it.
    #[display("the path has an invalid percent escape")]
    InvalidEscape,
    /// No route covers the host and path.
    #[display("no route covers this host and path")]
    NoRoute,
}

impl RouteError {
    /// HTTP status of the rejection. The request was not run.
    pub fn status(self) -> u16 {
        if self == Self::NoRoute { 404 } else { 400 }
    }
}

/// Routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<Box<str>, RouteMatch, RandomState>,
    /// Distinct prefix lengths in bytes, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, route: RouteMatch) {
        let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
        self.by_prefix.entry(prefix.into()).or_insert(route);
        if let Err(at) = self.lengths.binary_search_by(|len| prefix.len().cmp(len)) {
            self.lengths.insert(at, prefix.len());
        }
    }

    fn find(&self, path: &str) -> Option<&RouteMatch> {
        let bytes = path.as_bytes();
        let skipped = self.lengths.partition_point(|&len| len > bytes.len());
        self.lengths[skipped..]
            .iter()
            .filter(|&&len| len == bytes.len() || bytes[len] == b'/')
            .find_map(|&len| {
                let route = self.by_prefix.get(&path[..len])?;
                let is_below = len < bytes.len();
                (is_below || !route.delivery.subtree_only).then_some(route)
            })
    }
}

/// Routes of a configuration, indexed by host and by length of the path prefix.
///
/// Routes of the request's host take precedence over routes of `*`, also if the prefix of the
/// latter is longer. A slash at the end of a prefix has no meaning. Of two routes with the same
/// host and prefix the first one applies.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Box<str>, HostRoutes, RandomState>,
    any: HostRoutes,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for route in &configuration.routes {
            let routes = if &*route.host == ANY_HOST {
                &mut table.any
            } else {
                let host = route.host.to_ascii_lowercase();
                table.hosts.entry(host.into_boxed_str()).or_default()
            };
            routes.insert(&route.path_prefix, route.into());
        }
        table
    }

    /// Finds the route with the longest prefix of `path` on segment borders.
    ///
    /// `host` may have a port and capital letters. A query after `?` is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the host or the path is malformed or ambiguous, or if no route covers them.
    pub fn find(&self, host: &str, path: &str) -> Result<RouteMatch, RouteError> {
        let host = normalize_host(host)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        check_path(path)?;
        let of_host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.hosts.get(host.to_ascii_lowercase().as_str())
        } else {
            self.hosts.get(host)
        };
        of_host
            .and_then(|routes| routes.find(path))
            .or_else(|| self.any.find(path))
            .cloned()
            .ok_or(RouteError::NoRoute)
    }
}

/// Returns the host that a request names, with its port if it has one.
///
/// An absolute request target may name the host instead of the `Host` header. If both do, they must
/// agree, because the upstream may decide by either.
///
/// # Errors
///
/// Fails if no host is named, if there are several `Host` headers, or if the names differ.
pub fn request_host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Result<&'a str, RouteError> {
    let mut values = headers.get_all(HOST).iter();
    let header = values.next();
    if values.next().is_some() {
        return Err(RouteError::DuplicateHost);
    }
    let header = header.map(HeaderValue::to_str).transpose();
    let header = header.map_err(|_| RouteError::InvalidHost)?;
    match (uri.authority().map(Authority::as_str), header) {
        (Some(target), Some(header)) if !target.eq_ignore_ascii_case(header) => {
            Err(RouteError::InvalidHost)
        }
        (Some(host), _) | (None, Some(host)) => Ok(host),
        (None, None) => Err(RouteError::MissingHost),
    }
}

/// Removes the port and a final dot.
fn normalize_host(host: &str) -> Result<&str, RouteError> {
    if host.is_empty() {
        return Err(RouteError::MissingHost);
    }
    let (name, rest) = match host.strip_prefix('[').and_then(|inner| inner.find(']')) {
        Some(end) => host.split_at(end + 2),
        None => host.split_at(host.find(':').unwrap_or(host.len())),
    };
    let port_ok = match rest.strip_prefix(':') {
        Some(port) => port.len() <= 5 && port.bytes().all(|b| b.is_ascii_digit()),
        None => rest.is_empty(),
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.is_empty() || !port_ok || !name.bytes().all(is_host_byte) {
        return Err(RouteError::InvalidHost);
    }
    Ok(name)
}

fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'[' | b']' | b':')
}

/// Refuses paths that an upstream could read as another path than the one that was matched.
fn check_path(path: &str) -> Result<(), RouteError> {
    let Some(rest) = path.strip_prefix('/') else {
        return Err(RouteError::NotAbsolute);
    };
    check_bytes(path.as_bytes())?;
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        if segment.is_empty() && segments.peek().is_some() {
            return Err(RouteError::EmptySegment);
        }
        // Some servers remove parameters after a semicolon before they resolve dot segments.
        let name = segment.split_once(';').map_or(segment, |(name, _)| name);
        if name == "." || name == ".." {
            return Err(RouteError::DotSegment);
        }
    }
    Ok(())
}

fn check_bytes(path: &[u8]) -> Result<(), RouteError> {
    for (at, byte) in path.iter().enumerate() {
        match byte {
            b'%' => check_escape(path.get(at + 1..at + 3))?,
            b'\\' => return Err(RouteError::HiddenSlash),
            0..=b' ' | 0x7f.. | b'#' => return Err(RouteError::InvalidCharacter),
            _ => {}
        }
    }
    Ok(())
}

fn check_escape(digits: Option<&[u8]>) -> Result<(), RouteError> {
    let Some(&[high, low]) = digits else {
        return Err(RouteError::InvalidEscape);
    };
    let (Some(high), Some(low)) = (char::from(high).to_digit(16), char::from(low).to_digit(16))
    else {
        return Err(RouteError::InvalidEscape);
    };
    match high * 16 + low {
        0x2f | 0x5c => Err(RouteError::HiddenSlash),
        0x2e => Err(RouteError::EncodedDot),
        0..=0x1f | 0x7f => Err(RouteError::InvalidCharacter),
        _ => Ok(()),
    }
}
