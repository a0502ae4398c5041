//! Encoding of configuration versions, and of the chunks in which a configuration is transferred.

use cactustrack_members::{ConfigChunk, ConfigHead, ConfigWant, MAX_CHUNK_BYTES};
use capnp::{Error, Result};

use super::{check_length, list_length};
use crate::peer_capnp::{config_chunk, config_head, config_want};

/// Longest checksum in bytes.
const MAX_CHECKSUM_BYTES: usize = 64;
/// Largest number of parts of a configuration.
const MAX_PARTS: u32 = 64;

pub(super) fn write_head(value: &ConfigHead, mut to: config_head::Builder<'_>) {
    to.set_version(value.version);
    to.set_checksum(&value.checksum);
}

pub(super) fn read_head(from: config_head::Reader<'_>) -> Result<ConfigHead> {
    let checksum = from.get_checksum()?;
    if checksum.len() > MAX_CHECKSUM_BYTES {
        return Err(Error::failed("configuration checksum is too long".into()));
    }
    Ok(ConfigHead { version: from.get_version(), checksum: checksum.into() })
}

pub(super) fn write_want(value: &ConfigWant, mut to: config_want::Builder<'_>) {
    to.set_offset(value.offset);
    write_head(&value.head, to.init_head());
}

pub(super) fn read_want(from: config_want::Reader<'_>) -> Result<ConfigWant> {
    Ok(ConfigWant { head: read_head(from.get_head()?)?, offset: from.get_offset() })
}

pub(super) fn write_chunk(value: &ConfigChunk, mut to: config_chunk::Builder<'_>) {
    write_head(&value.head, to.reborrow().init_head());
    to.set_offset(value.offset);
    to.set_bytes(&value.bytes);
    let mut lengths = to.init_part_lengths(list_length(value.part_lengths.len()));
    for (i, length) in (0..lengths.len()).zip(&value.part_lengths) {
        lengths.set(i, *length);
    }
}

pub(super) fn read_chunk(from: config_chunk::Reader<'_>) -> Result<ConfigChunk> {
    let bytes = from.get_bytes()?;
    if bytes.len() > MAX_CHUNK_BYTES {
        return Err(Error::failed("configuration chunk is too long".into()));
    }
    let lengths = from.get_part_lengths()?;
    check_length(lengths.len(), MAX_PARTS)?;
    Ok(ConfigChunk {
        head: read_head(from.get_head()?)?,
        part_lengths: lengths.iter().collect(),
        offset: from.get_offset(),
        bytes: bytes.to_vec(),
    })
}
