//! Digests that replace the API keys of client accounts.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes. 128 bits make it infeasible to find a second key with the same
/// digest, and keep a configuration with many accounts small enough for a few datagrams.
const DIGEST_BYTES: usize = 16;

/// Truncated SHA-256 digest of an API key, displayed as hexadecimal digits.
///
/// Configurations hold digests in place of keys, so that no key is kept in memory, logged or sent to
/// other instances.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

/// Error for text that is not a valid [`ApiKeyDigest`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid digest of an API key: expected 32 hexadecimal digits")]
pub struct ApiKeyDigestError;

impl ApiKeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ApiKeyDigest {
    type Err = ApiKeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // `from_str_radix` also accepts a sign.
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hexadecimal {
            return Err(ApiKeyDigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ApiKeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for ApiKeyDigest {
    type Error = ApiKeyDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ApiKeyDigest> for String {
    fn from(digest: ApiKeyDigest) -> Self {
        digest.to_string()
    }
}
