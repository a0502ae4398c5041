//! Authentication of callers by the API keys of client accounts.

use std::collections::HashMap;
use std::sync::Arc;

use cactustrack_types::{Account, AccountId, ApiKeyDigest, Configuration, Quota};
use derive_more::{Display, Error};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use rapidhash::fast::RandomState;

/// Authentication scheme of API keys (RFC 6750).
pub const BEARER: &str = "Bearer";

/// Maximum length of an API key in bytes. It bounds the work for a request that is not yet
/// authenticated.
const MAX_KEY_BYTES: usize = 512;

/// The client account of an authenticated request.
#[derive(Clone, Debug, PartialEq)]
pub struct Principal {
    /// Name of the account.
    pub account: AccountId,
    /// Priority of the account. Zero is the highest.
    pub priority: u32,
    /// Limit on the requests of the account.
    pub quota: Option<Quota>,
}

impl From<&Account> for Principal {
    fn from(account: &Account) -> Self {
        Self { account: account.id.clone(), priority: account.priority, quota: account.quota }
    }
}

/// Reason why a request is not authenticated.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AuthenticationError {
    /// There is no `Authorization` header.
    #[display("the request has no API key")]
    MissingKey,
    /// There are several `Authorization` headers, or the header holds no bearer token.
    #[display("the Authorization header holds no valid API key")]
    MalformedKey,
    /// The key belongs to no account.
    #[display("the API key is unknown")]
    UnknownKey,
    /// Several accounts list the key, so it belongs to none of them. Callers get the same text as
    /// for an unknown key.
    #[display("the API key is unknown")]
    SharedKey,
}

impl AuthenticationError {
    /// Returns a short name of the reason for metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::MissingKey => "missing",
            Self::MalformedKey => "malformed",
            Self::UnknownKey => "unknown",
            Self::SharedKey => "shared",
        }
    }
}

/// Client accounts of a configuration, indexed by their API keys.
#[derive(Debug, Default)]
pub struct Authenticator {
    /// `None` for a key that several accounts list, which belongs to none of them.
    accounts: HashMap<ApiKeyDigest, Option<Arc<Principal>>, RandomState>,
}

impl Authenticator {
    /// Creates the index for a configuration, or `None` if it requires no API keys.
    pub fn new(configuration: &Configuration) -> Option<Self> {
        if !configuration.requires_api_key {
            return None;
        }
        let mut accounts: HashMap<_, Option<Arc<Principal>>, RandomState> = HashMap::default();
        for account in &configuration.accounts {
            let principal = Arc::new(Principal::from(account));
            for digest in &account.key_digests {
                let owner = accounts.entry(*digest).or_insert_with(|| Some(Arc::clone(&principal)));
                let is_own = owner.as_ref().is_some_and(|known| known.account == account.id);
                if !is_own {
                    *owner = None;
                }
            }
        }
        Some(Self { accounts })
    }

    /// Returns the number of keys that several accounts list. Such a key authenticates nobody.
    pub fn shared_keys(&self) -> usize {
        self.accounts.values().filter(|owner| owner.is_none()).count()
    }

    /// Returns the account of this name, `None` if no key authenticates a caller as it.
    pub fn account(&self, name: &str) -> Option<Arc<Principal>> {
        let mut principals = self.accounts.values().flatten();
        principals.find(|principal| &*principal.account == name).cloned()
    }

    /// Returns the account whose API key a request carries.
    ///
    /// # Errors
    ///
    /// Fails if the request carries no key, a malformed one or one that belongs to no account.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<Arc<Principal>, AuthenticationError> {
        let digest = ApiKeyDigest::of(api_key(headers)?);
        match self.accounts.get(&digest) {
            Some(Some(principal)) => Ok(Arc::clone(principal)),
            Some(None) => Err(AuthenticationError::SharedKey),
            None => Err(AuthenticationError::UnknownKey),
        }
    }
}

/// Returns the API key in the `Authorization` header.
fn api_key(headers: &HeaderMap) -> Result<&[u8], AuthenticationError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(AuthenticationError::MissingKey)?;
    if values.next().is_some() {
        return Err(AuthenticationError::MalformedKey);
    }
    let value = trim_spaces(value.as_bytes());
    let Some((scheme, key)) = value.split_at_checked(BEARER.len()) else {
        return Err(AuthenticationError::MalformedKey);
    };
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER.as_bytes()) && key.starts_with(b" ");
    let key = trim_spaces(key);
    if is_bearer && is_valid_key(key) { Ok(key) } else { Err(AuthenticationError::MalformedKey) }
}

/// Returns true if a caller can send these bytes as an API key: 1 to 512 visible ASCII characters.
pub fn is_valid_key(key: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}

/// Removes spaces around a value. A tab is no space: it makes a key malformed.
fn trim_spaces(mut value: &[u8]) -> &[u8] {
    while let [b' ', rest @ ..] | [rest @ .., b' '] = value {
        value = rest;
    }
    value
}
