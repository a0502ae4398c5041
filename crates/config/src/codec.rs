//! Encoding of a configuration for the store.
//!
//! A configuration is serialized as JSON, compressed with zlib and split into parts. Each part
//! starts with a header: magic number, format version, index of the part and number of parts as
//! 32-bit big-endian integers, then the SHA-256 checksum of the JSON text.

use std::fmt;
use std::io::{Read, Write};
use std::str::FromStr;

use cactustrack_types::{CONFIGURATION_FORMAT, Configuration};
use derive_more::{Display, Error};
use flate2::Compression;
use flate2::bufread::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Largest size of the JSON text of a configuration, in bytes. Limits the memory used by decoding.
pub const MAX_CONFIGURATION_BYTES: usize = 64 * 1024 * 1024;
/// Largest size of a part including its header, in bytes. The store accepts values of up to one
/// megabyte; the rest is reserved for the key and the framing of a call.
pub const MAX_PART_BYTES: usize = 950_000;
/// Largest number of parts, which suffices for incompressible JSON text of the largest size.
pub const MAX_PARTS: usize = MAX_CONFIGURATION_BYTES / MAX_PART_BYTES + 2;

const MAGIC: [u8; 4] = *b"CTCF";
const HEADER_BYTES: usize = 48;
const MAX_DATA_BYTES: usize = MAX_PART_BYTES - HEADER_BYTES;

/// SHA-256 checksum of the JSON text of a configuration, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Checksum(pub [u8; 32]);

/// Error for text that is not a valid [`Checksum`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid checksum: expected 64 hexadecimal digits")]
pub struct ChecksumError;

/// An encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedConfiguration {
    /// Checksum of the JSON text.
    pub checksum: Checksum,
    /// Parts in order, each of at most [`MAX_PART_BYTES`] bytes.
    pub parts: Vec<Vec<u8>>,
}

/// A decoded configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// Checksum of its JSON text.
    pub checksum: Checksum,
}

/// Error that prevents a configuration from being encoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EncodeError {
    /// The JSON text exceeds [`MAX_CONFIGURATION_BYTES`].
    #[display("the configuration has {bytes} bytes; the limit is {MAX_CONFIGURATION_BYTES} bytes")]
    Oversized {
        /// Size of the JSON text, in bytes.
        bytes: usize,
    },
    /// Serialization or compression failed.
    #[display("the configuration cannot be encoded: {reason}")]
    Unwritable {
        /// Underlying error.
        reason: String,
    },
}

/// Error that prevents parts from being decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The parts are corrupt, incomplete or do not belong to one configuration.
    #[display("the configuration is corrupt: {reason}")]
    Damaged {
        /// Check that failed.
        reason: String,
    },
    /// The format of the configuration is newer than this build supports.
    #[display(
        "the configuration has format {found}; this build supports formats up to {supported}"
    )]
    NewerFormat {
        /// Format of the parts.
        found: u32,
        /// Newest format that this build supports.
        supported: u32,
    },
    /// The parts or the JSON text exceed a size limit.
    #[display("the configuration exceeds the limit of {limit} bytes")]
    Oversized {
        /// Limit that was exceeded, in bytes.
        limit: usize,
    },
}

/// Encodes a configuration.
pub fn encode(configuration: &Configuration) -> Result<EncodedConfiguration, EncodeError> {
    let unwritable =
        |error: &dyn fmt::Display| EncodeError::Unwritable { reason: error.to_string() };
    let json = serde_json::to_vec(configuration).map_err(|error| unwritable(&error))?;
    if json.len() > MAX_CONFIGURATION_BYTES {
        return Err(EncodeError::Oversized { bytes: json.len() });
    }
    let checksum = Checksum(Sha256::digest(&json).into());
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&json).map_err(|error| unwritable(&error))?;
    let compressed = encoder.finish().map_err(|error| unwritable(&error))?;
    let count = compressed.len().div_ceil(MAX_DATA_BYTES);
    let parts = compressed.chunks(MAX_DATA_BYTES).enumerate().map(|(index, data)| {
        let header = Header { format: configuration.format, index, count, checksum };
        [header.to_bytes().as_slice(), data].concat()
    });
    Ok(EncodedConfiguration { checksum, parts: parts.collect() })
}

/// Decodes the parts of a configuration, which may be in any order.
pub fn decode<P: AsRef<[u8]>>(parts: &[P]) -> Result<DecodedConfiguration, DecodeError> {
    if parts.len() > MAX_PARTS {
        return Err(DecodeError::Oversized { limit: MAX_PARTS * MAX_PART_BYTES });
    }
    let mut split_parts =
        parts.iter().map(|part| split_header(part.as_ref())).collect::<Result<Vec<_>, _>>()?;
    split_parts.sort_by_key(|(header, _)| header.index);
    let Some(&(first, _)) = split_parts.first() else { return Err(damaged("no parts")) };
    for (index, (header, _)) in split_parts.iter().enumerate() {
        if *header != (Header { index, count: split_parts.len(), ..first }) {
            return Err(damaged("parts are missing or belong to different configurations"));
        }
    }
    let compressed: Vec<u8> =
        split_parts.iter().flat_map(|(_, data)| data.iter().copied()).collect();
    let json = decompress(&compressed)?;
    if Sha256::digest(&json)[..] != first.checksum.0 {
        return Err(damaged("checksum mismatch"));
    }
    let configuration: Configuration = serde_json::from_slice(&json).map_err(damaged)?;
    if configuration.format != first.format {
        return Err(damaged("the format in the header differs from the format in the content"));
    }
    Ok(DecodedConfiguration { configuration, checksum: first.checksum })
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Header {
    format: u32,
    index: usize,
    count: usize,
    checksum: Checksum,
}

impl Header {
    fn to_bytes(self) -> [u8; HEADER_BYTES] {
        let number = |value: usize| u32::try_from(value).unwrap_or(u32::MAX).to_be_bytes();
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..8].copy_from_slice(&self.format.to_be_bytes());
        bytes[8..12].copy_from_slice(&number(self.index));
        bytes[12..16].copy_from_slice(&number(self.count));
        bytes[16..].copy_from_slice(&self.checksum.0);
        bytes
    }
}

fn split_header(part: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
    if part.len() > MAX_PART_BYTES {
        return Err(DecodeError::Oversized { limit: MAX_PART_BYTES });
    }
    let (header, data) = part
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or_else(|| damaged("a part is shorter than its header"))?;
    let (words, checksum) = header.split_at(16);
    let mut words = words.chunks_exact(4).map(|word| word.try_into().unwrap_or([0; 4]));
    let mut next = || words.next().unwrap_or([0; 4]);
    if next() != MAGIC {
        return Err(damaged("the magic number of a part is wrong"));
    }
    let [format, index, count] = [next(), next(), next()].map(u32::from_be_bytes);
    if format > CONFIGURATION_FORMAT {
        return Err(DecodeError::NewerFormat { found: format, supported: CONFIGURATION_FORMAT });
    }
    let checksum = checksum.try_into().map_err(|_| damaged("a part has no checksum"))?;
    let header = Header {
        format,
        index: index as usize,
        count: count as usize,
        checksum: Checksum(checksum),
    };
    Ok((header, data))
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut decoder = ZlibDecoder::new(compressed);
    let mut json = Vec::new();
    let bound = MAX_CONFIGURATION_BYTES as u64 + 1;
    decoder.by_ref().take(bound).read_to_end(&mut json).map_err(damaged)?;
    if json.len() > MAX_CONFIGURATION_BYTES {
        return Err(DecodeError::Oversized { limit: MAX_CONFIGURATION_BYTES });
    }
    if !decoder.into_inner().is_empty() {
        return Err(damaged("trailing data after the compressed text"));
    }
    Ok(json)
}

fn damaged(reason: impl fmt::Display) -> DecodeError {
    DecodeError::Damaged { reason: reason.to_string() }
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Checksum({self})")
    }
}

impl FromStr for Checksum {
    type Err = ChecksumError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (pairs, []) = text.as_bytes().as_chunks::<2>() else { return Err(ChecksumError) };
        let byte = |[high, low]: &[u8; 2]| {
            let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|d| u8::try_from(d).ok());
            Some(digit(*high)? << 4 | digit(*low)?)
        };
        let bytes: Option<Vec<u8>> = pairs.iter().map(byte).collect();
        bytes.and_then(|bytes| bytes.try_into().ok()).map(Self).ok_or(ChecksumError)
    }
}

impl TryFrom<String> for Checksum {
    type Error = ChecksumError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Checksum> for String {
    fn from(checksum: Checksum) -> Self {
        checksum.to_string()
    }
}
