//! Secret keys, which must not appear in logs, findings or debug output.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};

/// Secret text, which is redacted in all output and returned only by [`Secret::expose`].
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

/// Error for text that cannot be used as a secret. The error does not contain the text.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SecretError {
    /// The text is too short.
    #[display("the key has {length} characters, but at least {minimum} are required")]
    TooShort {
        /// Length of the text, in characters.
        length: usize,
        /// Smallest length, in characters.
        minimum: usize,
    },
    /// The file that contains the secret cannot be read.
    #[display("cannot read {}: {reason}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error.
        reason: String,
    },
}

impl Secret {
    /// Smallest length of a secret, in characters. 32 hexadecimal digits hold 128 bits, the
    /// customary lower bound for an HMAC-SHA-256 key that resists brute-force search.
    pub const MIN_CHARS: usize = 32;

    /// Creates a secret from text of at least [`Secret::MIN_CHARS`] characters.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let length = text.chars().count();
        if length < Self::MIN_CHARS {
            return Err(SecretError::TooShort { length, minimum: Self::MIN_CHARS });
        }
        Ok(Self(text.into()))
    }

    /// Returns the secret text. The caller must not log it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[secret]")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[secret]")
    }
}

/// Source of a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SecretSource {
    /// The secret is part of the settings file.
    Inline(Secret),
    /// The secret is the content of another file, without leading and trailing white space.
    File(PathBuf),
}

impl SecretSource {
    /// Returns the secret. `read` reads the file if the secret is in another file.
    pub fn resolve<R>(&self, read: R) -> Result<Secret, SecretError>
    where
        R: FnOnce(&Path) -> std::io::Result<String>,
    {
        match self {
            Self::Inline(secret) => Ok(secret.clone()),
            Self::File(file) => {
                let text = read(file).map_err(|error| SecretError::Unreadable {
                    file: file.clone(),
                    reason: error.to_string(),
                })?;
                Secret::new(text.trim())
            }
        }
    }
}
