//! Proves that the configuration in force is fresh, so that API keys can be trusted.
//!
//! Attesters, which are the first of the relays, read the configuration regularly and attest its
//! version to the other instances. Any other instance reads by itself only if attestations are
//! missing. [`cactustrack_fleet::freshness`] contains the decisions.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Discovery, Era, Revision, StoredConfiguration};
use cactustrack_fleet::freshness::{
    Attestation, FreshnessTracker, PeerStamp, PendingRead, ProofError, ReaderRole, SinceBoot,
};
use cactustrack_fleet::message::Body;
use cactustrack_observe::Metrics;
use cactustrack_proxy::{CallerIdentity, Rejection};
use cactustrack_types::{InstanceId, Version};
use slog::Logger;

use super::discovery_sync::are_peers_known;
use super::messenger::PeerMessenger;
use super::state::{ChangeSource, SharedState, State, time_since_boot};

/// `Retry-After` sent to callers while the proof is too old and the store responds to another
/// instance, which can serve the request.
const OTHERS_FRESH_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` sent to callers while the store is known to respond to no instance.
const STORE_LOST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval of checks whether a read is due or the proof has become too old.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the configuration and attests it to the other instances.
pub(crate) struct Confirmation {
    pub(crate) discovery: Rc<dyn Discovery>,
    pub(crate) state: SharedState,
    pub(crate) messenger: Rc<PeerMessenger>,
    pub(crate) instance: InstanceId,
    pub(crate) started: Instant,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

impl Confirmation {
    /// Starts the tasks, which run until the process ends.
    pub(crate) fn start(self) {
        let confirmation = Rc::new(self);
        compio::runtime::spawn(Rc::clone(&confirmation).keep_reading()).detach();
        compio::runtime::spawn(confirmation.report_transitions()).detach();
    }

    async fn keep_reading(self: Rc<Self>) {
        loop {
            match self.start_read() {
                Ok(read) => self.read(read).await,
                Err(pause) => compio::time::sleep(pause.min(CHECK_INTERVAL)).await,
            }
        }
    }

    /// Prepares a read if one is due. Otherwise returns the time until the next check.
    fn start_read(&self) -> Result<PendingRead, Duration> {
        let mut state = self.state.borrow_mut();
        if !state.requires_proof() {
            return Err(CHECK_INTERVAL);
        }
        let role = self.role(&state);
        let now = time_since_boot();
        let freshness = state.freshness.as_mut().ok_or(CHECK_INTERVAL)?;
        let pause = freshness.next_read(role).saturating_sub(now);
        if pause.is_zero() {
            Ok(freshness.start_read(now, role, rand::random()))
        } else {
            Err(pause)
        }
    }

    fn role(&self, state: &State) -> ReaderRole {
        let now = Instant::now();
        let is_store_up = state.is_store_up;
        if are_peers_known(now - self.started, &state.peers)
            && state.peers.is_attester(now, &self.instance, is_store_up)
        {
            ReaderRole::Attester
        } else {
            ReaderRole::Other
        }
    }

    async fn read(&self, read: PendingRead) {
        let known = {
            let state = self.state.borrow();
            state.freshness.as_ref().and_then(FreshnessTracker::known_revision)
        };
        let found = self.discovery.read_configuration(known).await;
        let result = if found.is_ok() { "ok" } else { "error" };
        self.metrics.store_calls.with_label_values(&["read_configuration", result]).inc();
        let found = match found {
            Ok(found) => found,
            Err(error) => {
                slog::debug!(self.log, "store: cannot confirm the configuration";
                    "error" => %error);
                return;
            }
        };
        let proven = self.state.borrow_mut().on_configuration_read(read, &found);
        match proven {
            Ok(stamps) => self.attest(stamps),
            Err(error) => {
                slog::debug!(self.log, "config: a read confirms nothing"; "error" => %error);
            }
        }
    }

    fn attest(&self, stamps: Vec<PeerStamp>) {
        for PeerStamp { peer, incarnation, stamp } in stamps {
            let address = self.state.borrow().peers.address(&peer);
            let Some(address) = address else { continue };
            self.messenger.send_to(Body::Attestation { incarnation, stamp }, &[address]);
        }
    }

    /// Logs when requests with API keys start and stop to be refused, and updates the metric.
    async fn report_transitions(self: Rc<Self>) {
        let mut was_stale = false;
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let (is_stale, age) = {
                let state = self.state.borrow();
                let age = state.requires_proof().then(|| state.proof_age());
                (state.is_configuration_stale(), age)
            };
            let seconds = age.map(|age| age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
            self.metrics.configuration_proof_age.set(seconds.unwrap_or_default());
            if is_stale == was_stale {
                continue;
            }
            was_stale = is_stale;
            if is_stale {
                slog::warn!(self.log, "config: not confirmed; requests with API keys are refused";
                    "age_ms" => age.flatten().map(to_ms));
            } else {
                slog::info!(self.log, "config: confirmed; requests with API keys are served");
            }
        }
    }
}

impl State {
    /// Returns true if requests that need an API key also need a proof that the configuration is
    /// fresh.
    pub(crate) fn requires_proof(&self) -> bool {
        let in_force = self.in_force.as_ref();
        self.freshness.is_some() && in_force.is_some_and(|known| known.authenticator.is_some())
    }

    /// Returns true if a proof is required and the newest one is too old.
    pub(crate) fn is_configuration_stale(&self) -> bool {
        let is_fresh = || self.freshness.as_ref().is_some_and(|f| f.is_fresh(time_since_boot()));
        self.requires_proof() && !is_fresh()
    }

    /// Returns the age of the newest proof.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.freshness.as_ref()?.age(time_since_boot())
    }

    /// Checks that API keys can be trusted. The check must come after the head of the request was
    /// read, so that its caller has sent it before.
    pub(crate) fn check_freshness(&self) -> Result<(), Rejection> {
        if !self.is_configuration_stale() {
            return Ok(());
        }
        let can_others_serve = self.peers.can_reach_store();
        Err(Rejection::configuration_stale(if can_others_serve {
            OTHERS_FRESH_RETRY_AFTER
        } else {
            STORE_LOST_RETRY_AFTER
        }))
    }

    /// Repeats the check for a request that was routed earlier, if it is authenticated.
    pub(crate) fn recheck_freshness(&self, caller: &CallerIdentity) -> Result<(), Rejection> {
        if caller.principal().is_some() { self.check_freshness() } else { Ok(()) }
    }

    /// Processes the response to a read of the configuration. Returns the stamps to attest.
    fn on_configuration_read(
        &mut self,
        read: PendingRead,
        found: &StoredConfiguration,
    ) -> Result<Vec<PeerStamp>, ProofError> {
        if let StoredConfiguration::Decoded { configuration, revision } = found {
            self.put_in_force(configuration, *revision, ChangeSource::Read);
        }
        self.on_store_era(Instant::now(), found.era().unwrap_or_default());
        let in_force = self.version();
        match &mut self.freshness {
            Some(freshness) => freshness.finish_read(read, found, in_force),
            None => Ok(Vec::new()),
        }
    }

    /// Records that a read of the whole topic that started at the time `at` has returned a version.
    pub(crate) fn confirm(&mut self, at: SinceBoot, version: Version, era: Era) {
        self.on_store_era(Instant::now(), era);
        let in_force = self.version();
        let Some(freshness) = &mut self.freshness else { return };
        if let Err(error) = freshness.confirm(at, version, era, in_force) {
            slog::debug!(self.log, "config: a read confirms nothing"; "error" => %error);
        }
    }

    /// Records the era that the store states, here or to another instance, 0 if it is not known.
    pub(crate) fn on_store_era(&mut self, now: Instant, era: Era) {
        let Some(freshness) = &mut self.freshness else { return };
        let was_waiting = freshness.awaits_peers();
        freshness.on_era(now, era, &self.peers);
        match (was_waiting, freshness.awaits_peers()) {
            (false, true) => {
                slog::info!(self.log, "config: the store may hold an older version than it has \
                    acknowledged; reads confirm nothing until the other instances are heard";
                    "era" => era);
            }
            (true, false) => {
                slog::info!(self.log, "config: reads confirm the configuration again");
            }
            _ => {}
        }
    }

    /// Processes the attestation of another instance.
    pub(crate) fn on_attestation(&mut self, attestation: Attestation) {
        let in_force = self.version();
        let Some(freshness) = &mut self.freshness else { return };
        if let Err(error) = freshness.accept(time_since_boot(), attestation, in_force) {
            slog::debug!(self.log, "config: attestation ignored"; "error" => %error);
        }
    }

    /// Records the version that a peer has in force, and the revision at which the store wrote it.
    pub(crate) fn on_peer_version(&mut self, version: Version, revision: Revision) {
        let in_force = self.version();
        if let Some(freshness) = &mut self.freshness {
            freshness.on_peer_version(version, revision, in_force);
        }
    }

    /// Removes the stamp of a peer that has left or timed out.
    pub(crate) fn forget_stamp(&mut self, peer: &str) {
        if let Some(freshness) = &mut self.freshness {
            freshness.stamps.remove(peer);
        }
    }

    fn version(&self) -> Option<Version> {
        self.in_force.as_ref().map(|in_force| in_force.version)
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
