//! Encoding of changes that relays send to the other instances.
//!
//! Changes to the list of upstreams are compressed into datagrams, each of which can be applied by
//! itself. A configuration is compressed and split into parts.

use std::collections::HashMap;
use std::io::{self, Read as _, Write};
use std::time::Instant;

use cactustrack_types::{Configuration, Version};
use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::discovery::{Change, ListedUpstream, Topic};
use crate::message::{
    ConfigurationPart, DatagramError, Delta, ListDifference, ListDigest, ListState, PackedChanges,
    RelayedChange, UpstreamChange, UpstreamEntry, from_ms, to_ms,
};

/// Maximum number of changes to upstreams in a datagram.
const MAX_CHANGES: usize = 64;

/// Maximum size of the compressed changes in a datagram, in bytes.
const MAX_PACKED_BYTES: usize = 1_200;

/// Maximum size of changes after decompression, in bytes. It keeps a malformed datagram from
/// exhausting the memory of an instance.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024;

/// Size of a part of a compressed configuration, in bytes.
const PART_BYTES: usize = 1_200;

/// Maximum number of parts of a configuration that is sent in datagrams. A hub forwards each part
/// to all instances of its failure domain at once, over a link that may be slow.
const MAX_PARTS: usize = 4;

/// The same for a configuration with API keys, whose digests do not compress. A hundred accounts with
/// two keys each fit.
const MAX_PARTS_WITH_KEYS: usize = 8;

/// Maximum size of a configuration after decompression, in bytes. It keeps a malformed datagram
/// from exhausting the memory of an instance.
const MAX_CONFIGURATION_BYTES: u64 = 1 << 20;

/// Changes to a topic that a relay has read from the store.
pub type TopicChanges<'a> = Delta<&'a [Change]>;

/// Splits changes into the bodies of datagrams.
pub fn to_relayed(now: Instant, topic: Topic, delta: &TopicChanges<'_>) -> Vec<RelayedChange> {
    match topic {
        Topic::Upstreams => relayed_upstreams(now, delta),
        Topic::Configuration => relayed_configuration(delta),
    }
}

/// What a relay that has read the whole list of upstreams found to differ from what it knew.
#[derive(Clone, Debug, PartialEq)]
pub struct WholeListReading {
    /// Digest of the list that the relay knew.
    pub base: ListDigest,
    /// The list that it read.
    pub state: ListState,
    /// See [`Delta::recovery_ms`].
    pub recovery_ms: u32,
    /// The differences.
    pub changes: Vec<Change>,
}

impl WholeListReading {
    /// Returns the body of a datagram with the differences. If they do not fit, the receivers have
    /// to read the list from the store.
    pub fn to_relayed(&self, now: Instant) -> RelayedChange {
        let changes: Vec<_> =
            self.changes.iter().filter_map(|change| to_upstream_change(now, change)).collect();
        let content = PackedChanges::new(&changes);
        if content.0.len() > MAX_PACKED_BYTES {
            let revision = self.state.revision;
            return RelayedChange::NewRevision { topic: Topic::Upstreams, revision };
        }
        RelayedChange::UpstreamList(ListDifference {
            base: self.base,
            state: self.state,
            recovery_ms: self.recovery_ms,
            content,
        })
    }
}

fn relayed_upstreams(now: Instant, delta: &TopicChanges<'_>) -> Vec<RelayedChange> {
    let Delta { mut after, revision, recovery_ms, content: changes } = *delta;
    let mut changes: Vec<_> =
        changes.iter().filter_map(|change| to_upstream_change(now, change)).collect();
    changes.sort_by_key(|change| change.revision);
    let mut bodies = Vec::new();
    if changes.is_empty() && after < revision {
        // The store keeps its history for some time only, so instances that know an old revision
        // would have to read the whole list after a lost datagram.
        let content = PackedChanges::new(&[]);
        let delta = Delta { after, revision, recovery_ms, content };
        return vec![RelayedChange::Upstreams(delta)];
    }
    let mut remaining = &changes[..];
    while !remaining.is_empty() {
        let Some((count, content)) = pack_first(remaining) else {
            let topic = Topic::Upstreams;
            bodies.push(RelayedChange::NewRevision { topic, revision });
            return bodies;
        };
        let last = remaining[count - 1].revision;
        remaining = &remaining[count..];
        let until = if remaining.is_empty() { revision } else { last };
        bodies.push(RelayedChange::Upstreams(Delta {
            after,
            revision: until,
            recovery_ms,
            content,
        }));
        after = until;
    }
    bodies
}

/// Packs the first changes, halving their number until they fit in a datagram, and returns that
/// number. Changes of one revision stay together, since a receiver that has reached a revision
/// ignores further changes of it. Returns `None` if those of the first revision do not fit.
fn pack_first(changes: &[UpstreamChange]) -> Option<(usize, PackedChanges)> {
    let mut count = changes.len().min(MAX_CHANGES);
    loop {
        count = end_of_revision(changes, count)?;
        let packed = PackedChanges::new(&changes[..count]);
        if count == 1 || packed.0.len() <= MAX_PACKED_BYTES {
            return Some((count, packed));
        }
        count = (count / 2).max(1);
    }
}

/// Returns the largest number of changes, at most `max`, that does not split a revision. `None` if
/// the first revision has more changes.
fn end_of_revision(changes: &[UpstreamChange], max: usize) -> Option<usize> {
    let is_end = |count: &usize| {
        let next = changes.get(*count).map(|change| change.revision);
        next != Some(changes[*count - 1].revision)
    };
    (1..=max).rev().find(is_end)
}

impl PackedChanges {
    /// Encodes and compresses changes. Entries repeat the names of a few services and failure
    /// domains, and the links of instances have little bandwidth.
    fn new(changes: &[UpstreamChange]) -> Self {
        // Encoding into a vector fails only for sequences of unknown length, which are not used.
        Self(deflate(&postcard::to_stdvec(changes).unwrap_or_default()))
    }

    /// Decompresses and decodes the changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed.
    pub fn unpack(&self) -> Result<Vec<UpstreamChange>, DatagramError> {
        let bytes = inflate(&self.0, MAX_UNPACKED_BYTES).map_err(|_| DatagramError::Malformed)?;
        postcard::from_bytes(&bytes).map_err(|_| DatagramError::Malformed)
    }
}

fn relayed_configuration(delta: &TopicChanges<'_>) -> Vec<RelayedChange> {
    let Delta { after, recovery_ms, content: changes, .. } = *delta;
    let newest = changes.iter().rev().find_map(|change| match change {
        Change::Configured(configuration, revision) => Some((configuration, *revision)),
        _ => None,
    });
    let Some((configuration, revision)) = newest else { return Vec::new() };
    let new_revision = vec![RelayedChange::NewRevision { topic: Topic::Configuration, revision }];
    let Ok(bytes) = serde_json::to_vec(configuration) else { return new_revision };
    let bytes = deflate(&bytes);
    let parts = bytes.len().div_ceil(PART_BYTES);
    let max = if configuration.requires_api_key { MAX_PARTS_WITH_KEYS } else { MAX_PARTS };
    if parts > max {
        return new_revision;
    }
    let part = |(index, bytes): (usize, &[u8])| {
        let content = ConfigurationPart {
            version: configuration.version,
            index: index as u16,
            count: parts as u16,
            bytes: bytes.to_vec(),
        };
        RelayedChange::Configuration(Delta { after, revision, recovery_ms, content })
    };
    bytes.chunks(PART_BYTES).enumerate().map(part).collect()
}

fn decode_configuration(bytes: &[u8]) -> io::Result<Configuration> {
    Ok(serde_json::from_slice(&inflate(bytes, MAX_CONFIGURATION_BYTES)?)?)
}

fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing into a vector cannot fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

fn inflate(bytes: &[u8], max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut decoded = Vec::new();
    DeflateDecoder::new(bytes).take(max_bytes).read_to_end(&mut decoded)?;
    Ok(decoded)
}

fn to_upstream_change(now: Instant, change: &Change) -> Option<UpstreamChange> {
    match change {
        Change::Listed(upstream) => {
            let cold = upstream.cold_until.map(|until| until.saturating_duration_since(now));
            let entry = UpstreamEntry {
                service: upstream.service.clone(),
                address: upstream.address,
                failure_domain: upstream.failure_domain.clone(),
                slots: upstream.slots,
                incarnation: upstream.incarnation,
                sequence: upstream.sequence,
                leaving: upstream.leaving,
                cold_ms: to_ms(cold.unwrap_or_default()),
            };
            let (id, revision) = (upstream.id.clone(), upstream.revision);
            Some(UpstreamChange { id, revision, entry: Some(entry) })
        }
        Change::Unlisted(id, revision) => {
            Some(UpstreamChange { id: id.clone(), revision: *revision, entry: None })
        }
        Change::Configured(..) => None,
    }
}

/// Converts a relayed change back to the change that the relay read.
pub fn from_upstream_change(now: Instant, change: UpstreamChange) -> Change {
    let UpstreamChange { id, revision, entry } = change;
    let Some(entry) = entry else { return Change::Unlisted(id, revision) };
    let cold = from_ms(entry.cold_ms);
    Change::Listed(ListedUpstream {
        id,
        service: entry.service,
        address: entry.address,
        failure_domain: entry.failure_domain,
        slots: entry.slots,
        incarnation: entry.incarnation,
        sequence: entry.sequence,
        leaving: entry.leaving,
        cold_until: (!cold.is_zero()).then(|| now + cold),
        revision,
    })
}

/// Reassembly of a configuration from its parts. Only the parts of the newest version are kept. All
/// relays send the same parts, so parts from different relays can be combined.
#[derive(Debug, Default)]
pub struct Assembly {
    version: Version,
    parts: HashMap<u16, Vec<u8>>,
}

impl Assembly {
    /// Adds a part and returns the configuration once all its parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the parts together cannot be decoded. They are dropped, so that other
    /// relays can send them again.
    pub fn add(
        &mut self,
        part: ConfigurationPart,
    ) -> Result<Option<Configuration>, MalformedParts> {
        if part.version < self.version {
            return Ok(None);
        }
        if part.version > self.version {
            self.version = part.version;
            self.parts.clear();
        }
        let count = part.count;
        if part.index >= count || usize::from(count) > MAX_PARTS_WITH_KEYS {
            return Ok(None);
        }
        self.parts.insert(part.index, part.bytes);
        let bytes: Option<Vec<&[u8]>> =
            (0..count).map(|index| self.parts.get(&index).map(Vec::as_slice)).collect();
        let Some(bytes) = bytes else { return Ok(None) };
        match decode_configuration(&bytes.concat()) {
            Ok(configuration) => Ok(Some(configuration)),
            Err(error) => {
                self.parts.clear();
                Err(MalformedParts { version: self.version, reason: error.to_string() })
            }
        }
    }
}

/// Error for a configuration whose parts are complete but cannot be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the parts of configuration version {version} cannot be decoded: {reason}")]
pub struct MalformedParts {
    /// Version of the configuration.
    pub version: Version,
    /// Cause of the decoding error.
    pub reason: String,
}
