//! Values that describe published configurations.

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
    /// Version that was in force before and whose parts are kept.
    pub previous: Option<StoredVersion>,
    /// Revision of the store at which this value was written.
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
    /// Number of its parts.
    pub part_count: u32,
    /// Unique to the publication that wrote the parts.
    pub nonce: String,
}

impl Head {
    /// The version in force without the reference to the one before.
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
    /// Who accepted the change.
    pub author: String,
    /// Why the change was made.
    pub reason: String,
    /// When the change was accepted, in milliseconds since the Unix epoch, by the clock of the
    /// author's machine.
    pub accepted_at_ms: u64,
    /// Unique to the publication.
    pub nonce: String,
}

/// An encoded configuration as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Its version.
    pub version: Version,
    /// Checksum that was given when it was published.
    pub checksum: String,
    /// Its parts in order.
    pub parts: Vec<Vec<u8>>,
}

/// A configuration to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The encoded configuration in parts of at most [`crate::MAX_PART_BYTES`].
    pub parts: Vec<Vec<u8>>,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Version that the author saw in force, 0 if there was none.
    pub base_version: Version,
    /// Who publishes.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The configuration is in force under this version.
    Published {
        /// Assigned version.
        version: Version,
    },
    /// Another version than the one that the author saw is in force. Nothing was changed.
    Conflict {
        /// The version in force, if there is one.
        current: Option<Box<Head>>,
        /// The change that brought it into force.
        change: Option<Box<HistoryEntry>>,
    },
    /// The store gave no answer, so the configuration may have come into force or still may.
    Unknown(UnknownPublication),
}

/// A publication whose outcome is not known.
///
/// [`crate::ConfigurationRepository::determine`] finds out how it ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{version}-{nonce}")]
pub struct UnknownPublication {
    /// Version that the configuration would have.
    pub version: Version,
    /// Identifies the publication.
    pub nonce: String,
}

impl FromStr for UnknownPublication {
    type Err = ParsePublicationError;

    /// Parses the form that `Display` prints.
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

/// A text does not identify a publication.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected <version>-<nonce> as printed by accept")]
pub struct ParsePublicationError;

/// How a publication of unknown outcome ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Determination {
    /// The configuration was accepted.
    Accepted,
    /// The configuration was not accepted and will not be.
    NotAccepted,
}

/// Why a configuration cannot be read or published. After a failed publication the version in
/// force is the same as before.
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
        /// What is wrong with it.
        #[error(not(source))]
        error: ValueError,
    },
    /// The parts of this version are not, or no longer, in the store.
    #[display("version {version} is not kept in the store")]
    NotKept {
        /// The version.
        version: Version,
    },
    /// The configuration has too many parts, or a part is too large.
    #[display("the encoded configuration cannot be stored: {reason}")]
    TooLarge {
        /// Which bound is exceeded.
        reason: String,
    },
    /// The parts were removed as leftovers before the version could be switched, because the
    /// publication took longer than an hour.
    #[display("the publication took too long, and its parts were removed; publish again")]
    Expired,
}

impl From<StoreError> for RepositoryError {
    fn from(err: StoreError) -> Self {
        Self::Store(err)
    }
}
