//! Digests by which two instances find out which of their entries differ.

use rapidhash::v3::rapidhash_v3;

use crate::identity::{MemberEntry, MemberStatus};

/// Buckets of a digest. At 800 members a bucket holds about 12 entries, and the buckets of a
/// message take about 300 bytes.
pub(crate) const BUCKET_COUNT: usize = 64;

/// Returns the bucket of a member.
pub(crate) fn bucket_of(id: &str) -> usize {
    let count = BUCKET_COUNT as u64;
    usize::try_from(rapidhash_v3(id.as_bytes()) % count).unwrap_or(0)
}

/// Returns the digest of each bucket, without gone members. The order of entries is irrelevant.
pub(crate) fn buckets<'a>(entries: impl Iterator<Item = &'a MemberEntry>) -> Vec<u32> {
    let mut buckets = vec![0u32; BUCKET_COUNT];
    for entry in entries.filter(|entry| entry.status != MemberStatus::Gone) {
        let id = &entry.identity.id;
        buckets[bucket_of(id)] ^= entry_digest(entry);
    }
    buckets
}

/// Returns the digest over all buckets.
pub(crate) fn root(buckets: &[u32]) -> u64 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|bucket| bucket.to_le_bytes()).collect();
    rapidhash_v3(&bytes)
}

fn entry_digest(entry: &MemberEntry) -> u32 {
    let identity = &entry.identity;
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(identity.id.as_bytes());
    bytes.extend_from_slice(&identity.incarnation.0.to_le_bytes());
    bytes.extend_from_slice(&identity.seq.to_le_bytes());
    bytes.push(entry.status as u8);
    let hash = rapidhash_v3(&bytes);
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
