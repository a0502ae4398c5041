//! Transfer of an encoded configuration between instances in bounded messages.

use std::sync::Arc;

use crate::config_sync::ConfigHead;

/// Maximum bytes of an encoded configuration in one message: half of the maximum size of a frame
/// between instances.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;
/// Maximum size of an encoded configuration that is fetched from a peer. 2,000 routes and 29,000
/// client accounts take about 3 MB uncompressed; the bound protects the memory budget of 32 MB for
/// control functions.
pub const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of parts. The store holds parts of up to 1 MB.
const MAX_PARTS: usize = 64;

/// An encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigParts {
    /// Version and checksum.
    pub head: ConfigHead,
    /// The parts as stored, in order.
    pub parts: Arc<[Arc<[u8]>]>,
}

/// Request for a chunk of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigWant {
    /// Version and checksum of the wanted configuration.
    pub head: ConfigHead,
    /// Offset in bytes within all parts.
    pub offset: u32,
}

/// A chunk of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChunk {
    /// Version and checksum.
    pub head: ConfigHead,
    /// Lengths of all parts in bytes.
    pub part_lengths: Vec<u32>,
    /// Offset in bytes within all parts.
    pub offset: u32,
    /// Content, at most [`MAX_CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

impl ConfigParts {
    /// Returns the requested chunk, or `None` if another configuration or an offset beyond the end
    /// is requested.
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
            let free_bytes = MAX_CHUNK_BYTES - bytes.len();
            bytes.extend(part[skip..].iter().take(free_bytes));
            part_start += part.len();
        }
        Some(ConfigChunk { head: self.head.clone(), part_lengths, offset: want.offset, bytes })
    }
}

/// Reassembles a configuration from the chunks of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Assembly {
    head: ConfigHead,
    part_lengths: Option<Vec<u32>>,
    bytes: Vec<u8>,
}

/// Result of adding a chunk.
#[derive(Debug)]
pub(crate) enum Progress {
    More(ConfigWant),
    Complete(ConfigParts),
    /// There is no chunk, or it does not match the request.
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
        let is_match = chunk.head == self.head
            && *lengths == chunk.part_lengths
            && usize::try_from(chunk.offset).is_ok_and(|offset| offset == self.bytes.len())
            && chunk.bytes.len() <= total - self.bytes.len();
        let makes_progress = !chunk.bytes.is_empty() || total == 0;
        if !is_match || !makes_progress {
            return Progress::Unusable;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < total {
            return Progress::More(self.want());
        }
        Progress::Complete(self.split_parts())
    }

    fn split_parts(&self) -> ConfigParts {
        let mut remaining = &self.bytes[..];
        let mut parts: Vec<Arc<[u8]>> = Vec::new();
        for length in self.part_lengths.iter().flatten() {
            let length = usize::try_from(*length).unwrap_or(usize::MAX).min(remaining.len());
            let (part, tail) = remaining.split_at(length);
            parts.push(part.into());
            remaining = tail;
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
