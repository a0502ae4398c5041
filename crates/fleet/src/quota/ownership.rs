//! Ownership of quota shards by leases in the store.
//!
//! The store may come back from an older copy, which begins a new era. Claims of an earlier era then
//! prove nothing, so an owner that learns of the new era loses its shards. Until the time to which its
//! lease of the earlier era was valid, no other instance can grant from them. If it claims a shard
//! again before that time, it goes on with the tokens of its accounts. Claims in the store that were made
//! in an earlier era came out of the copy. Whoever holds a shard by one of them may have handed it over
//! since, and its owner may be cut off from the store, so all others wait until that owner's lease has
//! ended by its own clock.

use std::time::Duration;

use cactustrack_types::InstanceId;

use crate::discovery::{Era, FIRST_ERA, HeldShard, Revision, ShardOwner};
use crate::message::{ShardSet, ShortId, hash};
use crate::peers::mix;

/// Number of a quota shard.
pub type ShardId = usize;

/// Number of quota shards. It is the number of bits of a [`ShardSet`].
pub const SHARDS: ShardId = ShardSet::BITS as ShardId;

/// Number of shards for which instances rank alike, so that one instance claims them together. The
/// owners of all shards then need at most 16 leases, whatever the size of the fleet. Each renewal of
/// a lease is a call to the store.
const SHARDS_PER_OWNER: ShardId = 4;

/// Time to live of the lease to which the shards of an instance are attached.
pub const LEASE_TTL: Duration = Duration::from_secs(4);

/// Interval at which an owner renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a renewal may be late before the owner hands its shards over. A store that is
/// slow for all instances must not make owners transfer shards to each other, and the receiver
/// needs the rest of the time to live for its claim.
const TRANSFER_DELAY: Duration = Duration::from_millis(800);

/// Share of the time to live for which an owner may grant. The rest covers clocks that run at
/// different speeds.
const GRANTING_SHARE: f64 = 0.9;

/// Shortest time between two attempts to claim the same shard.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two attempts to claim a shard that another instance holds in the store. An
/// instance that is cut off from all others would otherwise claim every shard twice a second.
const MAX_CLAIM_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which the shards in the store are read after a claim without an answer, which the store
/// may still execute.
const UNCERTAIN_TIME: Duration = Duration::from_secs(30);

/// Interval of the reads after a claim without an answer.
const UNCERTAIN_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the shard of an account. Accounts with the same short id are in the same shard.
pub fn shard_of(account: ShortId) -> ShardId {
    (mix(u64::from(account)) % SHARDS as u64) as ShardId
}

/// Returns the rank of an instance for a shard. The instance with the lowest rank claims it.
fn rank(shard: ShardId, name: &str) -> (u64, &str) {
    let group = shard / SHARDS_PER_OWNER;
    (mix(hash(name.bytes()) ^ mix(group as u64 + 1)), name)
}

/// What this instance knows of the others for a decision on claims.
#[derive(Clone, Debug, Default)]
pub struct Contenders {
    /// Other live instances that may claim shards.
    pub names: Vec<InstanceId>,
    /// Shards that live instances announce.
    pub announced: ShardSet,
}

impl Contenders {
    /// Returns the instances in the order in which they claim a shard.
    pub fn ranked(&self, shard: ShardId) -> Vec<InstanceId> {
        let mut names = self.names.clone();
        names.sort_unstable_by(|one, other| rank(shard, one).cmp(&rank(shard, other)));
        names
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Shard {
    /// Time since which this instance owns the shard.
    owned_since: Option<Duration>,
    /// Revision at which this instance claimed it.
    revision: Revision,
    last_claim: Option<Duration>,
    /// Number of claims in a row that found the shard held by another instance.
    conflicts: u32,
    kept: Option<KeptShard>,
}

/// A shard that this instance owned without interruption up to the beginning of an era.
#[derive(Clone, Copy, Debug)]
struct KeptShard {
    /// Time since which this instance owned the shard.
    owned_since: Duration,
    /// Time until which nobody else can grant from it.
    until: Duration,
}

/// A shard that its owner has given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasedShard {
    /// The shard.
    pub shard: ShardId,
    /// Revision at which it was claimed.
    pub revision: Revision,
    /// Time since which the instance owned it.
    pub owned_since: Duration,
}

/// Right by which an instance may claim a shard that is held in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRight {
    /// The instance holds it by a claim whose answer was lost.
    OwnClaim,
    /// An earlier process of its name held it.
    EarlierProcess,
    /// The entry came out of a copy, and no owner of an earlier era can grant any more.
    FromCopy,
}

/// Shards of this instance and the lease that they are attached to.
#[derive(Clone, Debug)]
pub struct Ownership {
    name: InstanceId,
    /// Highest era of the store that is known, 0 before the first response.
    era: Era,
    /// Time from which no owner of an earlier era can grant.
    free_from: Duration,
    shards: [Shard; SHARDS],
    /// Time until which this instance may grant, `None` without a lease.
    valid_until: Option<Duration>,
    /// Time at which the last successful renewal or lease request was sent.
    renewed_at: Duration,
    is_stopped: bool,
    uncertain_until: Duration,
    last_uncertain_read: Duration,
}

impl Ownership {
    /// Creates the state of an instance that owns no shard.
    pub fn new(name: InstanceId) -> Self {
        Self {
            name,
            era: 0,
            free_from: Duration::ZERO,
            shards: [Shard::default(); SHARDS],
            valid_until: None,
            renewed_at: Duration::ZERO,
            is_stopped: false,
            uncertain_until: Duration::ZERO,
            last_uncertain_read: Duration::ZERO,
        }
    }

    /// Records that the store states an era. Returns the shards that are lost because claims of an
    /// earlier one prove nothing. `now` is a time after the response.
    pub fn on_era(&mut self, now: Duration, era: Era) -> Vec<ShardId> {
        if era <= self.era {
            return Vec::new();
        }
        if self.era > 0 || era > FIRST_ERA {
            // Owners of the earlier era sent their last renewals before this one began.
            self.free_from = now + LEASE_TTL;
        }
        self.era = era;
        let until = self.valid_until;
        for shard in &mut self.shards {
            if let (Some(owned_since), Some(until)) = (shard.owned_since, until) {
                shard.kept = Some(KeptShard { owned_since, until });
            }
        }
        self.on_lease_lost()
    }

    /// Returns the highest era of the store that is known, 0 before the first response.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns the time from which no owner of an earlier era can grant, zero if there was none.
    pub fn free_from(&self) -> Duration {
        self.free_from
    }

    /// Returns the right by which the process `own` of this instance may claim a shard that is held in
    /// the store, `None` if it has none. The platform guarantees that an earlier process of its name no
    /// longer runs.
    pub fn takeover(
        &self,
        now: Duration,
        held: &HeldShard,
        own: &ShardOwner,
    ) -> Option<ClaimRight> {
        let owner = held.owner.as_ref()?;
        if held.revision.era() != self.era {
            return None;
        }
        let is_own = owner.name == own.name && owner.incarnation <= own.incarnation;
        if owner.era == self.era {
            let is_earlier = owner.incarnation < own.incarnation;
            let right = if is_earlier { ClaimRight::EarlierProcess } else { ClaimRight::OwnClaim };
            return is_own.then_some(right);
        }
        // Instances of an earlier version, whose entries state no era, may hold their shards.
        let is_from_copy = is_own || (1..self.era).contains(&owner.era);
        let may_grant = now >= self.free_from || self.is_kept(now, held.shard);
        (is_from_copy && may_grant).then_some(ClaimRight::FromCopy)
    }

    /// Returns true if this instance owned a shard up to the beginning of the era, and nobody else can
    /// grant from it yet.
    pub fn is_kept(&self, now: Duration, shard: ShardId) -> bool {
        self.kept_since(now, shard).is_some()
    }

    /// Returns true if [`Self::is_kept`] holds for some shard.
    pub fn has_kept(&self, now: Duration) -> bool {
        (0..SHARDS).any(|shard| self.is_kept(now, shard))
    }

    /// Returns the time since which this instance has owned a kept shard, `None` if it is not kept. If
    /// it holds the shard again, the tokens of its accounts stay as they were.
    pub fn kept_since(&self, now: Duration, shard: ShardId) -> Option<Duration> {
        let kept = self.shards[shard].kept.filter(|kept| now < kept.until && !self.is_stopped)?;
        Some(kept.owned_since)
    }

    /// Records that the store has granted or renewed the lease in answer to a call that was sent at
    /// `sent`. The time of sending counts, because the process or the machine may have stood still
    /// before the answer was read.
    pub fn on_lease(&mut self, sent: Duration, ttl: Duration) {
        let until = sent + ttl.min(LEASE_TTL).mul_f64(GRANTING_SHARE);
        self.valid_until = Some(self.valid_until.map_or(until, |known| known.max(until)));
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// Records that the store has no such lease any more. Returns the shards that are lost with it.
    pub fn on_lease_lost(&mut self) -> Vec<ShardId> {
        self.valid_until = None;
        let lost = self.owned().collect();
        for shard in &mut self.shards {
            shard.owned_since = None;
        }
        lost
    }

    /// Gives all shards up at a planned stop. No shard is claimed or granted from afterwards.
    pub fn stop(&mut self) -> Vec<ShardId> {
        self.is_stopped = true;
        self.on_lease_lost()
    }

    /// Records that a claim is sent.
    pub fn on_claim_sent(&mut self, now: Duration, shard: ShardId) {
        self.shards[shard].last_claim = Some(now);
    }

    /// Records that this instance holds a shard at a revision. `since` is the time since which no
    /// other instance can have granted from it. Returns false if the claim has no effect, because it
    /// was answered after the lease was lost or in an earlier era.
    pub fn on_claimed(&mut self, since: Duration, shard: ShardId, revision: Revision) -> bool {
        if self.valid_until.is_none() || revision.era() != self.era {
            return false;
        }
        let shard = &mut self.shards[shard];
        shard.conflicts = 0;
        shard.kept = None;
        shard.revision = revision;
        shard.owned_since.get_or_insert(since);
        true
    }

    /// Returns true if the shards should be handed over, because the lease was not renewed in time.
    pub fn is_transfer_due(&self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.renewed_at) >= RENEWAL_INTERVAL + TRANSFER_DELAY;
        is_late && self.owned().next().is_some()
    }

    /// Gives up the shards from which this instance may grant, to hand them over. It never grants
    /// from them again at the revisions that are returned.
    pub fn release(&mut self, now: Duration) -> Vec<ReleasedShard> {
        let granting = |shard| self.granting_since(now, shard).map(|since| (shard, since));
        let granting: Vec<_> = (0..SHARDS).filter_map(granting).collect();
        let release = |(number, owned_since): (ShardId, Duration)| {
            let shard = &mut self.shards[number];
            shard.owned_since = None;
            ReleasedShard { shard: number, revision: shard.revision, owned_since }
        };
        granting.into_iter().map(release).collect()
    }

    /// Records that another instance holds a shard.
    pub fn on_conflict(&mut self, shard: ShardId) {
        let shard = &mut self.shards[shard];
        shard.conflicts = shard.conflicts.saturating_add(1);
        shard.kept = None;
    }

    /// Records that a claim has no answer. The store may execute it later, and this instance would
    /// then hold a shard without knowing it.
    pub fn on_claim_uncertain(&mut self, now: Duration) {
        self.uncertain_until = now + UNCERTAIN_TIME;
    }

    /// Returns true if the shards in the store are to be read, because a claim had no answer.
    pub fn take_uncertain_read(&mut self, now: Duration) -> bool {
        let is_due = now < self.uncertain_until
            && now.saturating_sub(self.last_uncertain_read) >= UNCERTAIN_READ_INTERVAL;
        if is_due {
            self.last_uncertain_read = now;
        }
        is_due
    }

    /// Returns the time since which this instance owns a shard, if it may grant from it now.
    pub fn granting_since(&self, now: Duration, shard: ShardId) -> Option<Duration> {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        self.shards[shard].owned_since.filter(|_| is_valid && !self.is_stopped)
    }

    /// Returns the shards from which this instance may grant now, to be announced to the others.
    pub fn announced(&self, now: Duration) -> ShardSet {
        let granting = (0..SHARDS).filter(|shard| self.granting_since(now, *shard).is_some());
        granting.fold(0, |set, shard| set | 1 << shard)
    }

    /// Returns the shards that this instance holds.
    pub fn owned(&self) -> impl Iterator<Item = ShardId> + '_ {
        let is_owned = |shard: &ShardId| self.shards[*shard].owned_since.is_some();
        (0..SHARDS).filter(is_owned)
    }

    /// Returns true if this instance holds a shard.
    pub fn owns(&self, shard: ShardId) -> bool {
        self.shards.get(shard).is_some_and(|known| known.owned_since.is_some())
    }

    /// Returns the shards to claim now: those that no live instance announces and for which this
    /// instance ranks first, and those that it keeps from the earlier era. In a new era the former wait
    /// until no owner of an earlier one can grant.
    pub fn shards_to_claim(&mut self, now: Duration, contenders: &Contenders) -> Vec<ShardId> {
        if self.is_stopped {
            return Vec::new();
        }
        for number in 0..SHARDS {
            if contenders.announced & (1 << number) != 0 {
                self.shards[number].conflicts = 0;
            }
        }
        let is_free = |shard: &ShardId| contenders.announced & (1 << *shard) == 0;
        let is_due = |shard: &ShardId| {
            let Shard { last_claim, conflicts, .. } = self.shards[*shard];
            let pause = CLAIM_INTERVAL * 2_u32.pow(conflicts.saturating_sub(2).min(3));
            last_claim.is_none_or(|at| now.saturating_sub(at) >= pause.min(MAX_CLAIM_INTERVAL))
        };
        let ranks_first = |shard: &ShardId| {
            let own = rank(*shard, &self.name);
            contenders.names.iter().all(|name| rank(*shard, name) > own)
        };
        let may_claim = |shard: &ShardId| {
            self.is_kept(now, *shard)
                || (now >= self.free_from && is_free(shard) && ranks_first(shard))
        };
        let not_owned = (0..SHARDS).filter(|shard| !self.owns(*shard));
        not_owned.filter(is_due).filter(may_claim).collect()
    }
}
