//! Proof that the configuration in force is fresh.
//!
//! An instance that has lost the store, or that was frozen, may hold a configuration with an API key
//! that was revoked since. It may therefore admit a request that needs a key only with a recent
//! proof: a time at which the store held no configuration newer than the one in force.
//!
//! A proof comes from a linearizable read by the instance itself, or from an attester. Each heartbeat
//! contains a stamp, which is the time at its sender. An attester copies the newest stamps of its
//! peers, reads the configuration, and returns each stamp to its sender in an attestation. The read
//! started after the stamp was made, so the stamp is a proof for its sender if that has the version
//! of the attester, or a newer one, in force.
//!
//! A store that has come back from an older copy may hold an older configuration than it has
//! acknowledged. What it holds then proves nothing as long as a peer knows a newer version. A read in a
//! new era is therefore a proof only once the other instances have stated their versions.
//!
//! All times are since the boot of the machine and include the time for which it was suspended.
//! Each time is compared only with times of the same machine, so clocks need no synchronization.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId, Version};
use derive_more::{Display, Error};
use rapidhash::RapidHashMap;

use crate::discovery::{Era, FIRST_ERA, Revision, StoredConfiguration};
use crate::message::{Stamp, to_stamp};
use crate::peers::Peers;

/// Time since the boot of the machine, with the time for which it was suspended.
pub type SinceBoot = Duration;

/// Largest age of a proof, as a share of the revocation bound. An instance without a path to the
/// store has to serve for 0.6 of the bound, and its proof is up to 0.35 older than the loss of the
/// path. The rest covers clocks that run at different speeds.
pub const MAX_PROOF_AGE_SHARE: f64 = 0.95;

/// Mean interval of the reads of an attester, as a share of the revocation bound: 0.8 s of 5 s.
const ATTESTER_READ_SHARE: f64 = 0.16;

/// Largest random deviation from [`ATTESTER_READ_SHARE`], relative to it. Attesters that start together
/// would otherwise always read at the same moment.
const ATTESTER_READ_JITTER: f64 = 0.1;

/// Shortest time from the acceptance of an attestation to the next read of an attester, as a share
/// of the revocation bound: 0.12 s of 5 s. Between attesters that read at the same moment, the proofs
/// of the other instances age. With five attesters in simulated schedules without faults, proofs were
/// up to 1.9 s old without this rule and the jitter, and up to 1.6 s with them.
const ATTESTER_SPACING_SHARE: f64 = 0.024;

/// Longest interval of the reads of an attester, as a share of the revocation bound: 1 s of 5 s. It
/// limits the delay by [`ATTESTER_SPACING_SHARE`].
const MAX_ATTESTER_READ_SHARE: f64 = 0.2;

/// Age of a proof from which an instance that is not an attester reads by itself, as a share of the
/// revocation bound: 2.2 s of 5 s. Stamps of heartbeats are up to 1.1 s old when an attester copies
/// them, and attesters read every 0.8 s.
const OWN_READ_AGE_SHARE: f64 = 0.44;

/// Shortest interval of the reads of an instance that is not an attester, as a share of the revocation
/// bound: 0.5 s of 5 s.
const OWN_READ_SHARE: f64 = 0.1;

/// Largest random addition to [`OWN_READ_SHARE`], relative to it. It spreads the reads of a fleet
/// that has lost all its attesters.
const OWN_READ_JITTER: f64 = 0.4;

/// Shortest interval of reads. It protects the store from a very small revocation bound.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Whether an instance reads the configuration for the others too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads regularly and attests to the other instances.
    Attester,
    /// Reads only if the attestations of others are missing.
    Other,
}

/// Newest stamp of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStamp {
    /// The peer.
    pub peer: InstanceId,
    /// Incarnation of the peer that sent the stamp.
    pub incarnation: Incarnation,
    /// The stamp.
    pub stamp: Stamp,
}

/// Newest stamps of the peers, from their heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerStamps(RapidHashMap<InstanceId, (Incarnation, Stamp)>);

impl PeerStamps {
    /// Records the stamp of a heartbeat. One that is older than the known one has no effect.
    pub fn record(&mut self, peer: &InstanceId, incarnation: Incarnation, stamp: Stamp) {
        let newest = self.0.entry(peer.clone()).or_insert((incarnation, stamp));
        *newest = (*newest).max((incarnation, stamp));
    }

    /// Removes the stamp of a peer that has left or timed out.
    pub fn remove(&mut self, peer: &str) {
        self.0.remove(peer);
    }

    /// Returns the stamps in the order of the peers.
    fn copy(&self) -> Vec<PeerStamp> {
        let stamp = |(peer, (incarnation, stamp)): (&InstanceId, &(Incarnation, Stamp))| {
            PeerStamp { peer: peer.clone(), incarnation: *incarnation, stamp: *stamp }
        };
        let mut stamps: Vec<_> = self.0.iter().map(stamp).collect();
        stamps.sort_unstable_by(|one, other| one.peer.cmp(&other.peer));
        stamps
    }
}

/// A read of the configuration that is about to start, or whose response is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRead {
    started: SinceBoot,
    /// Stamps that were received before the read started.
    stamps: Vec<PeerStamp>,
}

/// Statement of another instance that its configuration was the newest one after it had received a
/// stamp of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attestation {
    /// Incarnation of this instance that sent the stamp.
    pub incarnation: Incarnation,
    /// The stamp.
    pub stamp: Stamp,
    /// Version of the configuration in force at the sender.
    pub version: Version,
}

/// Reason why a statement about the configuration proves nothing about the one in force.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProofError {
    /// An earlier process sent the stamp. The machine may have been booted since, so that its clock
    /// has started again.
    #[display("the stamp is from another incarnation")]
    OtherIncarnation,
    /// The stamp is later than the current time.
    #[display("the stamp is ahead of the clock")]
    AheadOfClock,
    /// The configuration in force is older than the one that was the newest, or than that of a peer,
    /// or there is none.
    #[display("a newer configuration is not in force yet")]
    NotInForce,
    /// The store has come back from a copy, and the other instances have not stated since whether they
    /// have a newer configuration than the copy in force.
    #[display("other instances may have a newer configuration than the store")]
    PeersUnknown,
    /// The newest configuration cannot be decoded. Whether it revokes a key is unknown.
    #[display("the newest configuration cannot be decoded")]
    Undecodable,
    /// The store holds no configuration.
    #[display("the store holds no configuration")]
    Missing,
}

/// What the last read of this instance found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastRead {
    revision: Revision,
    /// Version of the configuration, `None` if it cannot be decoded.
    version: Option<Version>,
}

/// The newest proof of an instance, its reads, and the stamps of its peers.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    /// Revocation bound.
    bound: Duration,
    incarnation: Incarnation,
    /// Time at which the configuration in force contained everything that the store had
    /// acknowledged, `None` without a proof.
    proven_at: Option<SinceBoot>,
    last_read: Option<LastRead>,
    /// Newest known era of the store.
    era: Era,
    /// Time at which that era became known, if the store came back from a copy and the other instances
    /// have not stated their versions since.
    restored_at: Option<Instant>,
    /// Newest version that a peer has in force.
    newest_elsewhere: Version,
    /// Start of the last read.
    last_started: Option<SinceBoot>,
    /// Time at which the last attestation was accepted.
    last_attested: Option<SinceBoot>,
    /// Shortest time from the start of the last read to the next one, if this is not an attester.
    own_interval: Duration,
    /// Time from the start of the last read to the next one, if this is an attester.
    attester_interval: Duration,
    /// Stamps of the peers.
    pub stamps: PeerStamps,
}

impl FreshnessTracker {
    /// Creates the state of a process without a proof. `bound` is the time after which a revoked
    /// API key may no longer be used at any instance.
    pub fn new(bound: Duration, incarnation: Incarnation) -> Self {
        Self {
            bound,
            incarnation,
            proven_at: None,
            last_read: None,
            era: 0,
            restored_at: None,
            newest_elsewhere: 0,
            last_started: None,
            last_attested: None,
            own_interval: Duration::ZERO,
            attester_interval: Duration::ZERO,
            stamps: PeerStamps::default(),
        }
    }

    /// Returns true if a request that needs an API key may be admitted at a time. The caller must
    /// have sent the request before that time.
    pub fn is_fresh(&self, now: SinceBoot) -> bool {
        self.age(now).is_some_and(|age| age <= self.bound.mul_f64(MAX_PROOF_AGE_SHARE))
    }

    /// Returns the age of the newest proof, or `None` if there is none.
    pub fn age(&self, now: SinceBoot) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the revision that the last read found.
    pub fn known_revision(&self) -> Option<Revision> {
        self.last_read.map(|read| read.revision)
    }

    /// Returns the time at which the next read is due.
    pub fn next_read(&self, role: ReaderRole) -> SinceBoot {
        let after_last =
            |pause: Duration| self.last_started.map_or(Duration::ZERO, |at| at + pause);
        let share = |share: f64| self.bound.mul_f64(share).max(MIN_READ_INTERVAL);
        let is_old_at = self.proven_at.map_or(Duration::ZERO, |at| at + share(OWN_READ_AGE_SHARE));
        let own = is_old_at.max(after_last(self.own_interval));
        match role {
            ReaderRole::Attester => {
                let spacing = self.bound.mul_f64(ATTESTER_SPACING_SHARE);
                let spaced = self.last_attested.map_or(Duration::ZERO, |at| at + spacing);
                let due = after_last(self.attester_interval).max(spaced);
                own.min(due).min(after_last(share(MAX_ATTESTER_READ_SHARE)))
            }
            ReaderRole::Other => own,
        }
    }

    /// Prepares a read that starts after this call. `draw` is a random number from 0 to 1.
    pub fn start_read(&mut self, now: SinceBoot, role: ReaderRole, draw: f64) -> PendingRead {
        self.last_started = Some(now);
        let interval = self.bound.mul_f64(OWN_READ_SHARE).max(MIN_READ_INTERVAL);
        self.own_interval = interval.mul_f64(1.0 + OWN_READ_JITTER * draw);
        let interval = self.bound.mul_f64(ATTESTER_READ_SHARE).max(MIN_READ_INTERVAL);
        self.attester_interval = interval.mul_f64(1.0 + ATTESTER_READ_JITTER * (2.0 * draw - 1.0));
        let stamps = match role {
            ReaderRole::Attester => self.stamps.copy(),
            ReaderRole::Other => Vec::new(),
        };
        PendingRead { started: now, stamps }
    }

    /// Processes the response to a read, after the configuration that it contains was put in force.
    /// `in_force` is the version in force then. Returns the stamps to attest to their senders.
    ///
    /// # Errors
    ///
    /// Fails if the response proves nothing about the configuration in force.
    pub fn finish_read(
        &mut self,
        read: PendingRead,
        found: &StoredConfiguration,
        in_force: Option<Version>,
    ) -> Result<Vec<PeerStamp>, ProofError> {
        let last_read = match found {
            StoredConfiguration::Unchanged => self.last_read,
            StoredConfiguration::Decoded { configuration, revision } => {
                let version = Some(configuration.version);
                Some(LastRead { revision: *revision, version })
            }
            StoredConfiguration::Undecodable { revision } => {
                Some(LastRead { revision: *revision, version: None })
            }
            StoredConfiguration::Missing => None,
        };
        self.last_read = last_read;
        let LastRead { revision, version } = last_read.ok_or(ProofError::Missing)?;
        let version = version.ok_or(ProofError::Undecodable)?;
        self.confirm(read.started, version, revision.era(), in_force)?;
        Ok(read.stamps)
    }

    /// Records that the store states an era, here or to another instance, and whether the peers have stated
    /// their versions since the newest one became known. 0 stands for an unknown era.
    pub fn on_era(&mut self, now: Instant, era: Era, peers: &Peers) {
        if self.is_restored(era) {
            self.restored_at = Some(now);
        }
        self.era = self.era.max(era);
        let Some(since) = self.restored_at else { return };
        // An instance that stays alone goes by what the store holds.
        let is_over = now.saturating_duration_since(since) >= self.bound;
        if is_over || peers.are_all_heard_since(since) {
            self.restored_at = None;
        }
    }

    /// Returns true if reads prove nothing until the peers have stated their versions.
    pub fn awaits_peers(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Returns true if the store has come back from a copy since the newest known era, or before this
    /// process has started, if it is in this era.
    fn is_restored(&self, era: Era) -> bool {
        era > self.era && (self.era > 0 || era > FIRST_ERA)
    }

    /// Records that the store held no configuration newer than `version` at the time `at`, because
    /// a linearizable read that started then has returned this version in an era.
    ///
    /// # Errors
    ///
    /// Fails if the configuration in force is older than this version or than that of a peer, or if the
    /// store has come back from a copy and what the other instances have in force is not known yet.
    pub fn confirm(
        &mut self,
        at: SinceBoot,
        version: Version,
        era: Era,
        in_force: Option<Version>,
    ) -> Result<(), ProofError> {
        let is_awaiting = era == self.era && self.awaits_peers();
        if is_awaiting || self.is_restored(era) {
            return Err(ProofError::PeersUnknown);
        }
        self.prove(at, version, in_force)
    }

    /// Records the version that a peer has in force, which the store has held at `revision`. If the store
    /// has come back from a copy that lacks it, earlier reads of that copy prove nothing.
    pub fn on_peer_version(
        &mut self,
        version: Version,
        revision: Revision,
        in_force: Option<Version>,
    ) {
        self.newest_elsewhere = self.newest_elsewhere.max(version);
        let is_newer = in_force.is_none_or(|in_force| in_force < version);
        if is_newer && revision.era() < self.era {
            self.proven_at = None;
        }
    }

    fn prove(
        &mut self,
        at: SinceBoot,
        version: Version,
        in_force: Option<Version>,
    ) -> Result<(), ProofError> {
        let newest = version.max(self.newest_elsewhere);
        if in_force.is_none_or(|in_force| in_force < newest) {
            return Err(ProofError::NotInForce);
        }
        self.proven_at = self.proven_at.max(Some(at));
        Ok(())
    }

    /// Processes an attestation. `in_force` is the version of the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the attestation proves nothing about the configuration in force.
    pub fn accept(
        &mut self,
        now: SinceBoot,
        attestation: Attestation,
        in_force: Option<Version>,
    ) -> Result<(), ProofError> {
        let Attestation { incarnation, stamp, version } = attestation;
        if incarnation != self.incarnation {
            return Err(ProofError::OtherIncarnation);
        }
        if stamp > to_stamp(now) {
            return Err(ProofError::AheadOfClock);
        }
        self.prove(Duration::from_millis(stamp), version, in_force)?;
        self.last_attested = Some(now);
        Ok(())
    }
}
