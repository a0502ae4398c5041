//! Types of published configurations and of their publication.

use std::str::FromStr;

use cactustrack_types::Version;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Revision, StoreError, ValueError};

/// The version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version in force.
    pub version: Version,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Number of parts that the encoded configuration is stored in.
    pub part_count: u32,
    /// Unique to the publication that wrote this value.
    pub nonce: String,
    /// Previous version, whose parts are kept.
    pub previous: Option<StoredVersion>,
    /// Revision at which this value was written.
    #[serde(skip)]
    pub revision: Revision,
}

/// A version whose parts are in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// The version.
    pub version: Version,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Number of parts of the encoded configuration.
    pub part_count: u32,
    /// Unique to the publication that wrote the parts.
    pub nonce: String,
}

impl Head {
    /// Returns the version in force without the reference to the previous one.
    pub fn stored_version(&self) -> StoredVersion {
        StoredVersion {
            version: self.version,
            checksum: self.checksum.clone(),
            part_count: self.part_count,
            nonce: self.nonce.clone(),
        }
    }
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that came into force.
    pub version: Version,
    /// Version that it replaced, or 0.
    pub previous_version: Version,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Operator who accepted the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Time of the acceptance, in milliseconds since the Unix epoch, by the clock of the
    /// author's machine.
    pub accepted_at_ms: u64,
    /// Unique to the publication.
    pub nonce: String,
}

/// An encoded configuration as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Version of the configuration.
    pub version: Version,
    /// Checksum given at its publication.
    pub checksum: String,
    /// Parts of the encoded configuration, in order.
    pub parts: Vec<Vec<u8>>,
}

/// A configuration to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The encoded configuration in parts of at most [`crate::MAX_PART_BYTES`].
    pub parts: Vec<Vec<u8>>,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Version in force that the change is based on, or 0 if there was none.
    pub base_version: Version,
    /// Operator who publishes.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The configuration is in force under this version.
    Published {
        /// Assigned version.
        version: Version,
    },
    /// A version other than the base version is in force. Nothing was changed.
    Conflict {
        /// The version in force, if there is one.
        current: Option<Box<Head>>,
        /// The change that brought this version into force.
        change: Option<Box<HistoryEntry>>,
    },
    /// The store did not respond, so the configuration may have come into force or may still do so.
    Unknown(UnknownPublication),
}

/// A publication whose outcome is unknown.
///
/// [`crate::ConfigurationRepository::determine`] determines the outcome.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{version}-{nonce}")]
pub struct UnknownPublication {
    /// Version of the configuration if it was accepted.
    pub version: Version,
    /// Unique to the publication.
    pub nonce: String,
}

impl FromStr for UnknownPublication {
    type Err = ParsePublicationError;

    /// Parses the `Display` form.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (version, nonce) = text.split_once('-').ok_or(ParsePublicationError)?;
        let version = version.parse().map_err(|_| ParsePublicationError)?;
        let is_nonce = !nonce.is_empty() && nonce.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_nonce {
            return Err(ParsePublicationError);
        }
        Ok(Self { version, nonce: nonce.to_owned() })
    }
}

/// Error of parsing an [`UnknownPublication`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected <version>-<nonce> as printed by accept")]
pub struct ParsePublicationError;

/// Determined outcome of an [`UnknownPublication`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Determination {
    /// The configuration was accepted.
    Accepted,
    /// The configuration was not accepted and cannot come into force later.
    NotAccepted,
}

/// Error of reading or publishing a configuration. A failed publication leaves the version in
/// force unchanged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RepositoryError {
    /// The store cannot be used.
    #[display("{_0}")]
    Store(#[error(not(source))] StoreError),
    /// A value of the store cannot be used.
    #[display("{key}: {error}")]
    Value {
        /// Key of the value.
        key: String,
        /// Reason why it cannot be used.
        #[error(not(source))]
        error: ValueError,
    },
    /// The parts of this version are not in the store, or no longer.
    #[display("version {version} is not kept in the store")]
    NotKept {
        /// The version.
        version: Version,
    },
    /// The configuration has too many parts, or a part is too large.
    #[display("the encoded configuration cannot be stored: {reason}")]
    TooLarge {
        /// Limit that is exceeded.
        reason: String,
    },
    /// The parts were removed as unused before `head` was updated, because the publication took
    /// longer than an hour ([`crate::UNUSED_PARTS_RETENTION`]).
    #[display("the publication took too long, and its parts were removed; publish again")]
    Expired,
}

impl From<StoreError> for RepositoryError {
    fn from(err: StoreError) -> Self {
        Self::Store(err)
    }
}
