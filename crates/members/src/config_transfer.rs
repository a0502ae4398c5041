//! Transfer of an encoded configuration between instances in bounded messages.

use std::sync::Arc;

use crate::config_sync::ConfigHead;

/// Bytes of the encoded configuration in one message, half of the frame bound between instances.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;
/// Largest encoded configuration that is fetched from a peer. 2,000 routes and 29,000 accounts
/// take about 3 MB uncompressed; the bound protects the 32 MB of memory for control.
pub const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;
/// Largest number of parts. The store holds parts of up to 1 MB.
const MAX_PARTS: usize = 64;

/// An encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigParts {
    /// Version and checksum.
    pub head: ConfigHead,
    /// The parts as stored, in order.
    pub parts: Arc<[Arc<[u8]>]>,
}

/// Asks for a piece of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigWant {
    /// Version and checksum of the wanted configuration.
    pub head: ConfigHead,
    /// Offset in bytes within all parts.
    pub offset: u32,
}

/// A piece of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChunk {
    /// Version and checksum.
    pub head: ConfigHead,
    /// Lengths of all parts in bytes.
    pub part_lengths: Vec<u32>,
    /// Offset in bytes within all parts.
    pub offset: u32,
    /// At most [`MAX_CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

impl ConfigParts {
    /// Returns the piece of this configuration that a peer asks for, if it asks for this version
    /// and an offset within it.
    pub fn chunk(&self, want: &ConfigWant) -> Option<ConfigChunk> {
        let part_lengths: Vec<u32> =
            self.parts.iter().map(|part| u32::try_from(part.len()).ok()).collect::<Option<_>>()?;
        let total: usize = self.parts.iter().map(|part| part.len()).sum();
        let start = usize::try_from(want.offset).ok()?;
        if want.head != self.head || start > total {
            return None;
        }
        let mut bytes = Vec::new();
        let mut part_start = 0;
        for part in self.parts.iter() {
            let skip = start.saturating_sub(part_start).min(part.len());
            let room = MAX_CHUNK_BYTES - bytes.len();
            bytes.extend(part[skip..].iter().take(room));
            part_start += part.len();
        }
        Some(ConfigChunk { head: self.head.clone(), part_lengths, offset: want.offset, bytes })
    }
}

/// Puts the pieces from one peer together.
#[derive(Clone, Debug)]
pub(crate) struct Assembly {
    head: ConfigHead,
    part_lengths: Option<Vec<u32>>,
    bytes: Vec<u8>,
}

/// Result of a piece.
#[derive(Debug)]
pub(crate) enum Progress {
    More(ConfigWant),
    Complete(ConfigParts),
    /// The piece does not fit what was asked for.
    Unusable,
}

impl Assembly {
    pub(crate) fn new(head: ConfigHead) -> Self {
        Self { head, part_lengths: None, bytes: Vec::new() }
    }

    pub(crate) fn head(&self) -> &ConfigHead {
        &self.head
    }

    pub(crate) fn want(&self) -> ConfigWant {
        let offset = u32::try_from(self.bytes.len()).unwrap_or(u32::MAX);
        ConfigWant { head: self.head.clone(), offset }
    }

    pub(crate) fn add(&mut self, chunk: &ConfigChunk) -> Progress {
        let Some(total) = total_bytes(&chunk.part_lengths) else { return Progress::Unusable };
        let lengths = self.part_lengths.get_or_insert_with(|| chunk.part_lengths.clone());
        let fits = chunk.head == self.head
            && *lengths == chunk.part_lengths
            && usize::try_from(chunk.offset).is_ok_and(|offset| offset == self.bytes.len())
            && chunk.bytes.len() <= total - self.bytes.len();
        let advances = !chunk.bytes.is_empty() || total == 0;
        if !fits || !advances {
            return Progress::Unusable;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < total {
            return Progress::More(self.want());
        }
        Progress::Complete(self.split())
    }

    fn split(&self) -> ConfigParts {
        let mut rest = &self.bytes[..];
        let mut parts: Vec<Arc<[u8]>> = Vec::new();
        for length in self.part_lengths.iter().flatten() {
            let length = usize::try_from(*length).unwrap_or(usize::MAX).min(rest.len());
            let (part, tail) = rest.split_at(length);
            parts.push(part.into());
            rest = tail;
        }
        ConfigParts { head: self.head.clone(), parts: parts.into() }
    }
}

fn total_bytes(lengths: &[u32]) -> Option<usize> {
    if lengths.len() > MAX_PARTS {
        return None;
    }
    let total = lengths.iter().map(|length| u64::from(*length)).sum::<u64>();
    usize::try_from(total).ok().filter(|total| *total <= MAX_CONFIGURATION_BYTES)
}
