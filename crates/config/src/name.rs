//! Validation of names, host names and path prefixes.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error, Into};

/// Error for text that does not have the required format.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub(crate) struct FormatError {
    reason: &'static str,
}

fn check(condition: bool, reason: &'static str) -> Result<(), FormatError> {
    if condition { Ok(()) } else { Err(FormatError { reason }) }
}

/// Name of a team, service, instance, region or failure domain. It has the format of a DNS label,
/// so that it can be used in host names, store keys and metric labels without quoting.
#[derive(Clone, Debug, Into)]
pub(crate) struct Name(Arc<str>);

impl FromStr for Name {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check(is_dns_label(text), "not a valid name")?;
        Ok(Self(text.into()))
    }
}

/// Name of a client account, as sent in a header.
#[derive(Clone, Debug, Into)]
pub(crate) struct AccountName(Arc<str>);

impl FromStr for AccountName {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@".contains(&byte);
        check((1..=128).contains(&text.len()), "not between 1 and 128 characters long")?;
        check(
            text.bytes().all(is_allowed),
            "contains characters other than letters, digits and -_.@",
        )?;
        Ok(Self(text.into()))
    }
}

/// Host name in lower case without a port, or `*`.
#[derive(Clone, Debug, Into)]
pub(crate) struct Host(Arc<str>);

impl FromStr for Host {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text != "*" {
            check(text.len() <= 253, "longer than 253 characters")?;
            check(text.split('.').all(is_dns_label), "not a lowercase host name without a port")?;
        }
        Ok(Self(text.into()))
    }
}

/// Path prefix of a route.
#[derive(Clone, Debug, Into)]
pub(crate) struct PathPrefix(Arc<str>);

impl FromStr for PathPrefix {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check(text.starts_with('/'), "does not start with /")?;
        check(text.len() <= 1024, "longer than 1024 characters")?;
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#%\\".contains(&byte);
        check(
            text.bytes().all(is_allowed),
            "contains a space, ?, #, %, \\ or a non-ASCII character",
        )?;
        if text != "/" {
            let mut segments = text[1..].split('/');
            check(!segments.any(|s| matches!(s, "" | "." | "..")), "has an empty or dot segment")?;
        }
        Ok(Self(text.into()))
    }
}

fn is_dns_label(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=63).contains(&text.len())
        && text.bytes().all(is_allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}
