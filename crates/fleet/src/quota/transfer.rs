//! Transfer of quota shards to another instance.
//!
//! An owner that stops, or that the store does not answer, hands its shards over with the tokens of
//! their accounts. Otherwise they would have no owner until its lease ends, and the next owner would
//! have to assume that all tokens were used. The owner grants nothing after it has released a shard,
//! and the receiver grants only after a claim in the store that expects the revision of the owner's
//! claim. A transfer that is late or arrives twice thus has no effect.
//!
//! An owner that the store does not answer offers its shards first, and releases them only if another
//! instance replies that the store answers it. If the store is down for all, it grants as long as its
//! lease allows.

use std::collections::BTreeMap;
use std::time::Duration;

use cactustrack_types::InstanceId;

use super::ownership::{ReleasedShard, SHARDS, ShardId};
use crate::discovery::Revision;
use crate::message::{QuotaLevel, QuotaTransfer, ShardSet, to_ms};

/// Largest number of accounts whose tokens a transfer states, so that it fits into a datagram.
const MAX_LEVELS: usize = 120;

/// Interval at which a transfer is sent again until the receiver announces the shard.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a transfer is sent to the same instance. The claim of the receiver takes a call to
/// the store, which may not answer the receiver either.
const RECEIVER_TIME: Duration = Duration::from_millis(300);

/// Time after which a transfer ends, whether or not the shard was taken.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_millis(900);

/// Number of instances that an offer is sent to.
pub const MAX_OFFERED: usize = 3;

/// Shards that this instance hands over.
#[derive(Debug, Default)]
pub struct OutgoingTransfers(Vec<Outgoing>);

#[derive(Debug)]
struct Outgoing {
    transfer: QuotaTransfer,
    started: Duration,
    receivers: Vec<InstanceId>,
}

impl OutgoingTransfers {
    /// Adds a shard that was released at `now`. `levels` are the tokens of its accounts, and
    /// `receivers` the instances that may take it, in order of preference.
    pub fn add(
        &mut self,
        now: Duration,
        released: ReleasedShard,
        mut levels: Vec<QuotaLevel>,
        receivers: Vec<InstanceId>,
    ) {
        let ReleasedShard { shard, revision, owned_since } = released;
        let owned = now.saturating_sub(owned_since);
        // The receiver cannot tell an account that was left out from one that has used no tokens.
        let owned_ms = if levels.len() > MAX_LEVELS { 0 } else { to_ms(owned) };
        levels.truncate(MAX_LEVELS);
        let transfer = QuotaTransfer { shard, revision, owned_ms, levels };
        self.0.push(Outgoing { transfer, started: now, receivers });
    }

    /// Ends the transfers of shards that other instances own.
    pub fn remove_taken(&mut self, announced: ShardSet) {
        self.0.retain(|outgoing| announced & (1 << outgoing.transfer.shard) == 0);
    }

    /// Returns the transfers to send now, each with its receiver, and ends those that took too long.
    pub fn due(&mut self, now: Duration) -> Vec<(InstanceId, QuotaTransfer)> {
        let elapsed = |outgoing: &Outgoing| now.saturating_sub(outgoing.started);
        self.0.retain(|outgoing| elapsed(outgoing) < MAX_TRANSFER_TIME);
        let send = |outgoing: &Outgoing| {
            let turn = (elapsed(outgoing).as_millis() / RECEIVER_TIME.as_millis()) as usize;
            let receiver = outgoing.receivers.get(turn)?;
            Some((receiver.clone(), outgoing.transfer.clone()))
        };
        self.0.iter().filter_map(send).collect()
    }

    /// Returns the shards whose transfers are in progress.
    pub fn shards(&self) -> ShardSet {
        self.0.iter().fold(0, |set, outgoing| set | 1 << outgoing.transfer.shard)
    }

    /// Returns true if no transfer is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A transfer to this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incoming {
    /// Content of the transfer.
    pub transfer: QuotaTransfer,
    /// Time at which it arrived.
    pub received: Duration,
}

impl Incoming {
    /// Returns the time since which the accounts without a stated level have used no tokens.
    pub fn owned_since(&self) -> Duration {
        let owned = Duration::from_millis(u64::from(self.transfer.owned_ms));
        self.received.saturating_sub(owned)
    }
}

/// Shards that other instances hand over to this one.
#[derive(Debug, Default)]
pub struct IncomingTransfers {
    waiting: BTreeMap<ShardId, Incoming>,
    /// Revisions at which a claim has failed, because the shard was claimed since.
    outdated: BTreeMap<ShardId, Revision>,
}

impl IncomingTransfers {
    /// Adds a transfer. Returns false if it is malformed, known or outdated.
    pub fn add(&mut self, received: Duration, transfer: QuotaTransfer) -> bool {
        let (shard, revision) = (transfer.shard, transfer.revision);
        let is_outdated = self.outdated.get(&shard).is_some_and(|known| revision <= *known);
        let is_known =
            self.waiting.get(&shard).is_some_and(|known| revision <= known.transfer.revision);
        // A claim that expects no revision would claim a shard that nobody holds.
        if shard >= SHARDS || revision.is_none() || is_outdated || is_known {
            return false;
        }
        self.waiting.insert(shard, Incoming { transfer, received });
        true
    }

    /// Removes and returns the transfers that wait for a claim.
    pub fn take(&mut self) -> Vec<Incoming> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Records that the shard of a transfer is not at its revision any more.
    pub fn on_outdated(&mut self, shard: ShardId, revision: Revision) {
        let known = self.outdated.entry(shard).or_default();
        *known = revision.max(*known);
    }
}
