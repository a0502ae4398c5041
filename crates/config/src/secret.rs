//! Keys that must not appear in logs, findings or debug output.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};

/// Text that is shown only by [`Secret::expose`].
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

/// Why text cannot serve as a secret. The text itself is not part of the error.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SecretError {
    /// The text is too short.
    #[display("the key has {length} characters, at least {minimum} are needed")]
    TooShort {
        /// Length of the text, in characters.
        length: usize,
        /// Smallest length, in characters.
        minimum: usize,
    },
    /// The file that holds the text cannot be read.
    #[display("{} cannot be read: {reason}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What failed.
        reason: String,
    },
}

impl Secret {
    /// Smallest length in characters. 32 hexadecimal digits carry 128 bits, the customary lower
    /// bound for a key of HMAC-SHA-256 that is not guessed by trial.
    pub const MIN_CHARS: usize = 32;

    /// Checks the length and wraps the text.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let length = text.chars().count();
        if length < Self::MIN_CHARS {
            return Err(SecretError::TooShort { length, minimum: Self::MIN_CHARS });
        }
        Ok(Self(text.into()))
    }

    /// Returns the text. The caller must not log it.
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

/// Where a secret comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SecretSource {
    /// The settings file holds the secret.
    Inline(Secret),
    /// Another file holds the secret; white space around it is ignored.
    File(PathBuf),
}

impl SecretSource {
    /// Returns the secret, reading a file through `read` if necessary.
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
