//! Digests by which two instances find the entries in which their views differ.

use rapidhash::v3::rapidhash_v3;

use crate::identity::{Identity, MemberStatus};

/// Number of buckets of a digest. With 800 members a bucket holds about 12 entries, and the bucket
/// digests take about 300 bytes of a message.
pub(crate) const BUCKET_COUNT: usize = 64;

/// Returns the bucket of a member.
pub(crate) fn bucket_of(id: &str) -> usize {
    let count = BUCKET_COUNT as u64;
    usize::try_from(rapidhash_v3(id.as_bytes()) % count).unwrap_or(0)
}

/// Digest of all entries that are not gone, updated incrementally. It does not depend on the order
/// of the changes.
#[derive(Clone, Debug)]
pub(crate) struct Digest {
    buckets: [u32; BUCKET_COUNT],
}

impl Digest {
    pub(crate) fn new() -> Self {
        Self { buckets: [0; BUCKET_COUNT] }
    }

    /// Adds a statement, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, identity: &Identity, status: MemberStatus) {
        if status != MemberStatus::Gone {
            self.buckets[bucket_of(&identity.id)] ^= entry_digest(identity, status);
        }
    }

    /// Returns the digest of each bucket.
    pub(crate) fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the digest over all buckets.
    pub(crate) fn root(&self) -> u64 {
        let mut bytes = [0; 4 * BUCKET_COUNT];
        for (to, bucket) in bytes.chunks_exact_mut(4).zip(&self.buckets) {
            to.copy_from_slice(&bucket.to_le_bytes());
        }
        rapidhash_v3(&bytes)
    }
}

fn entry_digest(identity: &Identity, status: MemberStatus) -> u32 {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(identity.id.as_bytes());
    bytes.extend_from_slice(&identity.incarnation.0.to_le_bytes());
    bytes.extend_from_slice(&identity.seq.to_le_bytes());
    bytes.push(status as u8);
    let hash = rapidhash_v3(&bytes);
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
