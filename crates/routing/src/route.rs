//! Route table, which maps host and path of a request to a service and a request class.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cactustrack_types::{Configuration, Delivery, RequestClass, Route, ServiceId};
use derive_more::{Display, Error};
use http::header::HOST;
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Uri};
use rapidhash::fast::RandomState;

/// Host pattern of routes that apply to any host.
const ANY_HOST: &str = "*";

/// Route that matches a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Service that receives the request.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Timeout of requests without a `Cactustrack-Timeout-Ms` header.
    pub timeout: Duration,
    /// Largest timeout that a caller may request.
    pub max_timeout: Duration,
    /// Delivery rules of the route, such as traffic split and maximum number of attempts.
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

/// Entry of a route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEntry<'a> {
    /// Host of the route, `*` for any host.
    pub host: &'a str,
    /// Path prefix without a trailing slash, empty if all paths match.
    pub path_prefix: &'a str,
    /// The route.
    pub route: &'a RouteMatch,
}

/// Reason why no route is found for a request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum RouteError {
    /// Neither the request target nor a `Host` header contains a host.
    #[display("the request names no host")]
    MissingHost,
    /// The request has more than one `Host` header.
    #[display("the request has several Host headers")]
    DuplicateHost,
    /// The host contains characters that are invalid in a host name, its port is not a number, or
    /// the request target and the `Host` header differ.
    #[display("the host is invalid")]
    InvalidHost,
    /// The path does not start with `/`.
    #[display("the path does not start with a slash")]
    NotAbsolute,
    /// The path has a `.` or `..` segment, with or without parameters after `;`.
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
    /// The path contains a space, a `#`, a control character, plain or percent-encoded, or a byte
    /// outside ASCII.
    #[display("the path has an invalid character")]
    InvalidCharacter,
    /// The path contains a `%` that is not followed by two hexadecimal digits.
    #[display("the path has an invalid percent escape")]
    InvalidEscape,
    /// No route matches the host and path.
    #[display("no route covers this host and path")]
    NoRoute,
}

impl RouteError {
    /// Returns the HTTP status of the rejection. The request was not executed.
    pub fn status(self) -> u16 {
        if self == Self::NoRoute { 404 } else { 400 }
    }
}

/// Routes of one host, indexed by path prefix.
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

    /// Returns the route with its prefix, which has no trailing slash.
    fn find(&self, path: &str) -> Option<(&str, &RouteMatch)> {
        let bytes = path.as_bytes();
        let skipped = self.lengths.partition_point(|&len| len > bytes.len());
        self.lengths[skipped..]
            .iter()
            .filter(|&&len| len == bytes.len() || bytes[len] == b'/')
            .find_map(|&len| {
                let (prefix, route) = self.by_prefix.get_key_value(&path[..len])?;
                let is_below_prefix = len < bytes.len();
                (is_below_prefix || !route.delivery.subtree_only).then_some((&**prefix, route))
            })
    }
}

/// Routes of a configuration, indexed by host and path prefix.
///
/// Routes of the request's host take precedence over routes of `*`, even if the latter have a
/// longer prefix. A trailing slash of a prefix is ignored. Of several routes with the same host and
/// prefix, the first one applies.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Box<str>, HostRoutes, RandomState>,
    any_host: HostRoutes,
}

impl RouteTable {
    /// Builds the table from the routes of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for route in &configuration.routes {
            let routes = if &*route.host == ANY_HOST {
                &mut table.any_host
            } else {
                let host = route.host.to_ascii_lowercase();
                table.hosts.entry(host.into_boxed_str()).or_default()
            };
            routes.insert(&route.path_prefix, route.into());
        }
        table
    }

    /// Returns the route whose prefix is the longest match of `path` on segment boundaries.
    ///
    /// `host` may include a port and is case-insensitive. The query of `path` is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the host or the path is malformed or ambiguous, or if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Result<RouteMatch, RouteError> {
        self.find_entry(host, path).map(|entry| entry.route.clone())
    }

    /// Like [`Self::find`], with the host and the prefix that match.
    ///
    /// # Errors
    ///
    /// Fails if the host or the path is malformed or ambiguous, or if no route matches.
    pub fn find_entry(&self, host: &str, path: &str) -> Result<RouteEntry<'_>, RouteError> {
        let host = normalize_host(host)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        check_path(path)?;
        let host_routes = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.hosts.get_key_value(host.to_ascii_lowercase().as_str())
        } else {
            self.hosts.get_key_value(host)
        };
        let of_host = host_routes.and_then(|(host, routes)| Some((&**host, routes.find(path)?)));
        let found = of_host.or_else(|| Some((ANY_HOST, self.any_host.find(path)?)));
        let (host, (path_prefix, route)) = found.ok_or(RouteError::NoRoute)?;
        Ok(RouteEntry { host, path_prefix, route })
    }
}

/// Returns the host of a request, including its port if it has one.
///
/// The host comes from an absolute request target or the `Host` header. If both are present they
/// must agree, because the upstream may use either.
///
/// # Errors
///
/// Fails if there is no host, if there are several `Host` headers, or if target and header differ.
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

/// Removes the port and a trailing dot, and checks the characters of the host.
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

/// Rejects paths that an upstream could interpret differently from the route table.
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
        // Some servers strip parameters after a semicolon before they resolve dot segments.
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
