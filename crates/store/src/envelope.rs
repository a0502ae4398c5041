//! Envelope of stored values: a header line with format version and checksum, then the payload.

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

/// Format version of stored values that this build reads and writes.
pub const VALUE_FORMAT: u32 = 1;

const MAGIC: &str = "cactustrack/";
/// Maximum length of the header line, in bytes. The header of format 1 has 88 bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Error of decoding a stored value.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ValueError {
    /// The value was not written by cactustrack or is damaged.
    #[display("the value is damaged: {reason}")]
    Damaged {
        /// Description of the damage.
        reason: String,
    },
    /// The value was written by a newer build.
    #[display("the value has format {found}, but this build reads only up to {VALUE_FORMAT}")]
    NewerFormat {
        /// Format of the value.
        found: u32,
    },
}

/// Wraps a payload in an envelope.
pub fn encode_value(payload: &[u8]) -> Vec<u8> {
    let mut value = format!("{MAGIC}{VALUE_FORMAT} {}\n", checksum(payload)).into_bytes();
    value.extend_from_slice(payload);
    value
}

/// Verifies the envelope of a stored value and returns the payload.
///
/// # Errors
///
/// Fails if the value is damaged or has a newer format.
pub fn decode_value(value: &[u8]) -> Result<&[u8], ValueError> {
    let end = value.iter().take(MAX_HEADER_BYTES).position(|byte| *byte == b'\n');
    let (header, payload) = match end {
        Some(end) => (&value[..end], &value[end + 1..]),
        None => return Err(damaged("the header is missing")),
    };
    let header =
        std::str::from_utf8(header).map_err(|_| damaged("the header is not valid UTF-8"))?;
    let header = header.strip_prefix(MAGIC).ok_or_else(|| damaged("the header is missing"))?;
    let (format, stored_checksum) =
        header.split_once(' ').ok_or_else(|| damaged("the checksum is missing"))?;
    let found: u32 = format.parse().map_err(|_| damaged("the format is not a number"))?;
    if found > VALUE_FORMAT {
        return Err(ValueError::NewerFormat { found });
    }
    if found != VALUE_FORMAT {
        return Err(damaged("the format is unknown"));
    }
    if stored_checksum != checksum(payload) {
        return Err(damaged("the checksum does not match"));
    }
    Ok(payload)
}

fn damaged(reason: &str) -> ValueError {
    ValueError::Damaged { reason: reason.to_owned() }
}

fn checksum(payload: &[u8]) -> String {
    hex(&Sha256::digest(payload))
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
