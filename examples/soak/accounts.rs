//! Client accounts of a run, their keys and quotas.

use std::time::Duration;

use derive_more::Display;
use serde_json::{Value, json};

/// Bound after which a removed key must not be accepted any more, of the settings.
pub(crate) const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// Window of the quotas, of the settings.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_TOLERANCE: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// Account with several keys and without a quota.
pub(crate) const OPEN: &str = "open";
/// Account that stays within its quota.
pub(crate) const STEADY: &str = "steady";
/// Account that sends several times its quota for some seconds.
pub(crate) const GREEDY: &str = "greedy";
/// Account whose keys are removed one after another.
pub(crate) const ROTATING: &str = "rotating";

/// Number of keys of [`OPEN`].
pub(crate) const OPEN_KEYS: usize = 3;

/// Number of keys of [`ROTATING`] that are never removed.
pub(crate) const KEPT_KEYS: usize = 3;

/// Quota of [`STEADY`] for each of its callers, which send some 10 requests a second.
const RATE_PER_CALLER: f64 = 16.0;

/// Credential that a caller sends with a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum Credential {
    #[display("no key")]
    Missing,
    #[display("an unknown key")]
    Unknown,
    #[display("key {number} of {account}")]
    Key { account: &'static str, number: usize },
}

impl Credential {
    /// Returns the value of the `Authorization` header.
    pub(crate) fn to_header(self) -> Option<String> {
        match self {
            Self::Missing => None,
            Self::Unknown => Some("Bearer soak-unknown".to_owned()),
            Self::Key { account, number } => Some(format!("Bearer {}", key(account, number))),
        }
    }

    /// Returns the account of a key that the first configuration contains.
    pub(crate) fn account(self) -> Option<&'static str> {
        match self {
            Self::Key { account, .. } => Some(account),
            Self::Missing | Self::Unknown => None,
        }
    }
}

/// Quota of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

impl Quota {
    /// Returns the largest number of requests that may run in a window.
    pub(crate) fn limit(self) -> f64 {
        let quota = self.rate * QUOTA_WINDOW.as_secs_f64() + self.burst;
        quota * (1.0 + QUOTA_TOLERANCE) + QUOTA_SLACK
    }
}

/// A client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Account {
    pub(crate) name: &'static str,
    /// Number of keys in the first configuration.
    pub(crate) keys: usize,
    pub(crate) quota: Option<Quota>,
}

/// Returns the accounts of a run with a number of callers and of key removals.
pub(crate) fn accounts(callers: usize, removals: usize) -> Vec<Account> {
    let rate = RATE_PER_CALLER * callers.div_ceil(4) as f64;
    let steady = Quota { rate, burst: rate / 2.0 };
    let greedy = Quota { rate: 15.0, burst: 10.0 };
    vec![
        Account { name: OPEN, keys: OPEN_KEYS, quota: None },
        Account { name: STEADY, keys: 1, quota: Some(steady) },
        Account { name: GREEDY, keys: 1, quota: Some(greedy) },
        Account { name: ROTATING, keys: removals + KEPT_KEYS, quota: None },
    ]
}

/// Returns the table of accounts of a configuration without the removed keys of [`ROTATING`].
pub(crate) fn table(accounts: &[Account], removed: usize) -> Value {
    let row = |account: &Account| {
        let first = if account.name == ROTATING { removed } else { 0 };
        let keys: Vec<_> = (first..account.keys).map(|number| key(account.name, number)).collect();
        let rate = account.quota.map(|quota| quota.rate);
        json!([account.name, keys, rate, account.quota.map(|quota| quota.burst)])
    };
    let rows: Vec<_> = accounts.iter().map(row).collect();
    json!({"columns": ["name", "api-keys", "rate-per-s", "burst"], "rows": rows})
}

fn key(account: &str, number: usize) -> String {
    format!("soak-{account}-{number}")
}
