//! Claims quota shards in the store and renews the lease that they are attached to.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{
    ClaimOutcome, DiscoveryError, HeldShard, Lease, QuotaStore, Revision, ShardClaim, ShardOwner,
};
use cactustrack_fleet::message::{QuotaLevel, ShardSet, to_ms};
use cactustrack_fleet::quota::QuotaLimits;
use cactustrack_fleet::quota::ownership::{ClaimRight, LEASE_TTL, RENEWAL_INTERVAL, ShardId};
use cactustrack_fleet::quota::transfer::OutgoingTransfers;
use cactustrack_observe::Metrics;
use futures::StreamExt;
use futures::channel::mpsc;
use slog::Logger;

use super::discovery_sync::PEER_DISCOVERY_TIME;
use super::messenger::PeerMessenger;
use super::quota::{QuotaGate, Quotas};
use super::quota_transfer::TransferEvent;
use super::state::{SharedState, time_since_boot};

/// Interval at which an instance checks which shards to claim.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after which a failed renewal is repeated.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of times that an instance which has just started tries to take back the shards of an
/// earlier process.
const MAX_ADOPTIONS_AT_START: usize = 4;

/// Interval at which an instance that has just started checks whether a configuration is in force.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which an instance waits until it knows most of the registered instances.
const MAX_FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Reason for the loss of shards whose claims were made in an earlier era of the store.
const RESTORED: &str = "the store came back from an older copy";

/// Maximum number of shards in a claim. The store executes transactions of up to 32 entries.
pub(super) const MAX_CLAIMS: usize = 32;

/// Number of messages about transfers that wait for the task that claims shards.
const MAX_TRANSFER_EVENTS: usize = 64;

/// A claim, and what is known about the shard if it succeeds.
#[derive(Clone, Debug)]
pub(super) struct PlannedClaim {
    pub(super) claim: ShardClaim,
    /// Time since which no other instance can have granted from the shard, apart from the tokens in
    /// `levels`. `None` if that is the time of the claim.
    pub(super) free_since: Option<Duration>,
    /// Tokens of accounts of a shard that was handed over to this instance.
    pub(super) levels: Vec<QuotaLevel>,
    /// Time at which the levels were received.
    pub(super) received: Duration,
}

impl PlannedClaim {
    fn new(claim: ShardClaim, free_since: Option<Duration>) -> Self {
        Self { claim, free_since, levels: Vec::new(), received: Duration::ZERO }
    }
}

/// Claims shards for this instance and keeps them.
pub(crate) struct QuotaClaims {
    pub(super) store: Rc<dyn QuotaStore>,
    pub(super) quotas: Rc<Quotas>,
    pub(super) state: SharedState,
    pub(super) messenger: Rc<PeerMessenger>,
    own: ShardOwner,
    /// Time at which the process started. No earlier process of the same name runs since then.
    started: Duration,
    lease: Cell<Option<Lease>>,
    is_claiming: Cell<bool>,
    pub(super) outgoing: RefCell<OutgoingTransfers>,
    /// Shards that were handed over at the stop, if these are all.
    pub(super) released_at_stop: Cell<ShardSet>,
    /// Number of the offer of the shards of this instance.
    pub(super) offer: Cell<Option<u64>>,
    transfer_rx: RefCell<mpsc::Receiver<TransferEvent>>,
    metrics: Metrics,
    pub(super) log: Logger,
}

impl QuotaClaims {
    /// Creates the state of an instance that owns no shard.
    pub(crate) fn new(
        limits: QuotaLimits,
        own: ShardOwner,
        store: Rc<dyn QuotaStore>,
        state: SharedState,
        messenger: Rc<PeerMessenger>,
        metrics: &Metrics,
        log: &Logger,
    ) -> Rc<Self> {
        let (transfer_tx, transfer_rx) = mpsc::channel(MAX_TRANSFER_EVENTS);
        let quotas = Rc::new(Quotas::new(own.name.clone(), limits, transfer_tx));
        state.borrow_mut().quotas = Some(Rc::clone(&quotas));
        Rc::new(Self {
            store,
            quotas,
            state,
            messenger,
            own,
            started: time_since_boot(),
            lease: Cell::new(None),
            is_claiming: Cell::new(false),
            outgoing: RefCell::default(),
            released_at_stop: Cell::new(0),
            offer: Cell::new(None),
            transfer_rx: RefCell::new(transfer_rx),
            metrics: metrics.clone(),
            log: log.clone(),
        })
    }

    /// Creates the gate that admits the requests of this instance.
    pub(crate) fn gate(&self) -> QuotaGate {
        let (state, messenger) = (Rc::clone(&self.state), Rc::clone(&self.messenger));
        let (metrics, log) = (self.metrics.clone(), self.log.clone());
        QuotaGate::new(Rc::clone(&self.quotas), state, messenger, metrics, log)
    }

    /// Starts the tasks that claim and renew.
    pub(crate) fn start(self: &Rc<Self>) {
        compio::runtime::spawn(Rc::clone(self).keep_claiming()).detach();
        compio::runtime::spawn(Rc::clone(self).keep_renewing()).detach();
    }

    /// Gives the shards up at a planned stop, and hands them over if another instance can take them.
    /// Nothing is granted from them afterwards.
    pub(crate) fn give_up(self: &Rc<Self>) {
        self.hand_over_all("the instance is stopping");
        let lost = self.quotas.ownership.borrow_mut().stop();
        if lost.is_empty() {
            self.released_at_stop.set(self.outgoing.borrow().shards());
        }
        self.on_lost(&lost, "the instance is stopping");
    }

    async fn keep_claiming(self: Rc<Self>) {
        self.wait_for_configuration().await;
        if self.state.borrow().has_quotas() {
            // If all instances were killed, the shards would otherwise have no owner until the
            // other instances are known or the leases of the earlier processes expire.
            self.adopt_held_at_start().await;
        }
        self.wait_for_peers().await;
        loop {
            self.observe_era();
            self.quotas.expire();
            self.metrics
                .quota_shards_owned
                .set(i64::from(self.quotas.announced_shards().count_ones()));
            if self.is_stopping() {
                return;
            }
            let is_cut_off = self.state.borrow().peers.is_cut_off(Instant::now());
            if is_cut_off {
                self.release("no datagrams from other instances").await;
            } else if self.state.borrow().has_quotas() {
                self.offer_if_due();
                self.is_claiming.set(true);
                self.claim_due().await;
                self.is_claiming.set(false);
            } else {
                self.release("no account has a quota").await;
            }
            self.handle_transfers(CHECK_INTERVAL).await;
        }
    }

    /// Handles messages about transfers for a time.
    async fn handle_transfers(self: &Rc<Self>, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let next = poll_fn(|cx| self.transfer_rx.borrow_mut().poll_next_unpin(cx));
            let Ok(Some(event)) = compio::time::timeout(left, next).await else { return };
            if self.is_stopping() {
                return;
            }
            self.is_claiming.set(true);
            self.on_transfer_event(event).await;
            self.is_claiming.set(false);
        }
    }

    /// Takes back the shards of an earlier process. The store is busy if all instances start at the
    /// same time, so the read is repeated after an error or a conflict.
    async fn adopt_held_at_start(&self) {
        self.is_claiming.set(true);
        for _ in 0..MAX_ADOPTIONS_AT_START {
            if self.adopt_held().await {
                break;
            }
            compio::time::sleep(CHECK_INTERVAL).await;
        }
        self.is_claiming.set(false);
    }

    async fn wait_for_configuration(&self) {
        while self.state.borrow().in_force.is_none() {
            self.observe_era();
            compio::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the other instances are known. An instance that claims earlier would get all
    /// shards and keep them, since no shard is taken from a live owner.
    async fn wait_for_peers(&self) {
        let started = Instant::now();
        compio::time::sleep(PEER_DISCOVERY_TIME).await;
        while !self.state.borrow().peers.is_fleet_known()
            && started.elapsed() < MAX_FLEET_DISCOVERY_TIME
        {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn keep_renewing(self: Rc<Self>) {
        let mut pause = RENEWAL_INTERVAL;
        loop {
            compio::time::sleep(pause).await;
            pause = RENEWAL_INTERVAL;
            if self.is_stopping() {
                return;
            }
            let owns_none = self.quotas.ownership.borrow().owned().next().is_none();
            if owns_none && !self.is_claiming.get() {
                // The store ends a lease without shards by itself.
                self.lease.set(None);
            }
            if let Some(lease) = self.lease.get()
                && !self.renew(lease).await
            {
                // A second failure after the usual interval would end the time to grant.
                pause = RENEWAL_RETRY_DELAY;
            }
        }
    }

    /// Gives the shards up if the store is in a new era. The tokens of their accounts are kept, since
    /// the shards may be claimed again before anybody else can grant from them.
    fn observe_era(&self) {
        let (era, now) = (self.store.era(), time_since_boot());
        let known = self.quotas.ownership.borrow().era();
        let lost = self.quotas.ownership.borrow_mut().on_era(now, era);
        let free_from = self.quotas.ownership.borrow().free_from();
        if known < era && now < free_from {
            slog::info!(self.log, "members: free quota shards are withheld";
                "reason" => "owners of an earlier era of the store may grant", "era" => era,
                "for_ms" => to_ms(free_from - now));
        }
        self.lease.set(self.lease.get().filter(|lease| lease.era == era));
        if !lost.is_empty() {
            self.log_lost(&lost, RESTORED);
            self.messenger.announce();
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.state.borrow().shutdown.is_some()
    }

    fn is_current(&self, lease: Lease) -> bool {
        self.lease.get() == Some(lease)
    }

    /// Renews the lease. Returns false if the call failed and may be repeated.
    async fn renew(&self, lease: Lease) -> bool {
        let sent = time_since_boot();
        let result = self.store.keep_lease(lease).await;
        self.observe_era();
        self.count_call("quota_renew", result.is_ok());
        match result {
            Ok(ttl) if self.is_current(lease) => {
                self.quotas.ownership.borrow_mut().on_lease(sent, ttl);
            }
            Ok(_) => {}
            Err(DiscoveryError::LeaseExpired) => self.lose(lease),
            Err(error) => {
                slog::debug!(self.log, "store: cannot renew the lease of quota shards";
                    "error" => %error);
                return false;
            }
        }
        true
    }

    fn lose(&self, lease: Lease) {
        if self.is_current(lease) {
            self.lease.set(None);
            let lost = self.quotas.ownership.borrow_mut().on_lease_lost();
            self.on_lost(&lost, "the lease has expired");
        }
    }

    fn on_lost(&self, shards: &[ShardId], reason: &str) {
        shards.iter().for_each(|shard| self.quotas.remove_shard(*shard));
        self.log_lost(shards, reason);
    }

    fn log_lost(&self, shards: &[ShardId], reason: &str) {
        for shard in shards {
            slog::info!(self.log, "members: quota shard lost";
                "shard" => shard, "reason" => reason);
        }
        self.metrics.quota_shards_owned.set(0);
    }

    /// Gives all shards up, so that other instances can claim them.
    async fn release(&self, reason: &str) {
        if self.lease.get().is_some() {
            let lost = self.quotas.ownership.borrow_mut().on_lease_lost();
            self.on_lost(&lost, reason);
            self.end_lease().await;
        }
    }

    /// Ends the lease, so that other instances can claim the shards at once, unless they have taken
    /// all of them over.
    pub(crate) async fn end_lease(&self) {
        let Some(lease) = self.lease.take() else { return };
        if self.are_transferred().await {
            // The store ends the lease by itself. No shard is attached to it any more.
            return;
        }
        let result = self.store.end_lease(lease).await;
        self.count_call("quota_release", result.is_ok());
        if let Err(error) = result {
            slog::debug!(self.log, "store: cannot end the lease of quota shards";
                "error" => %error);
        }
    }

    async fn claim_due(&self) {
        let now = time_since_boot();
        // The store has answered since the shards were lost, even if it counts as unavailable.
        let has_kept = self.quotas.ownership.borrow().has_kept(now);
        if !self.state.borrow().is_store_up && !has_kept {
            return;
        }
        if self.quotas.ownership.borrow_mut().take_uncertain_read(now) {
            self.adopt_held().await;
        }
        let contenders = self.state.borrow().peers.quota_contenders(Instant::now());
        let due = self.quotas.ownership.borrow_mut().shards_to_claim(now, &contenders);
        if due.is_empty() {
            return;
        }
        for shards in due.chunks(MAX_CLAIMS) {
            self.claim_free(now, shards).await;
        }
    }

    async fn claim_free(&self, now: Duration, shards: &[ShardId]) {
        for shard in shards {
            self.quotas.ownership.borrow_mut().on_claim_sent(now, *shard);
        }
        let free = |shard: &ShardId| ShardClaim { shard: *shard, expected: Revision::NONE };
        let claims = shards.iter().map(|shard| PlannedClaim::new(free(shard), None)).collect();
        let Some(held) = self.claim(claims).await else { return };
        // Claims the shards that nobody holds, and those that are held under the own name by an
        // earlier process, by a claim whose answer was lost, or by an entry out of a copy.
        let claims = shards.iter().filter_map(|shard| {
            let Some(holder) = held.iter().find(|held| held.shard == *shard) else {
                return Some(PlannedClaim::new(free(shard), None));
            };
            let takeover = self.takeover(holder);
            if takeover.is_none() {
                self.quotas.ownership.borrow_mut().on_conflict(*shard);
            }
            takeover.map(|(_, claim)| claim)
        });
        self.claim(claims.collect()).await;
    }

    /// Takes over shards that this instance holds by a claim whose answer was lost, or that an
    /// earlier process of its name held. Returns false if the shards could not be read or have
    /// changed since.
    async fn adopt_held(&self) -> bool {
        let read = self.store.held_shards().await;
        self.observe_era();
        self.count_call("quota_read", read.is_ok());
        let Ok(held) = read else { return false };
        let free = held.iter().filter(|held| !self.quotas.ownership.borrow().owns(held.shard));
        let is_own = |right: &ClaimRight| *right != ClaimRight::FromCopy;
        let takeover = |held| self.takeover(held).filter(|(right, _)| is_own(right));
        let claims: Vec<_> = free.filter_map(takeover).map(|(_, claim)| claim).collect();
        let mut is_adopted = true;
        for claims in claims.chunks(MAX_CLAIMS) {
            is_adopted &= self.claim(claims.to_vec()).await.is_none();
        }
        is_adopted
    }

    /// Returns the claim of a shard that is held in the store, and the right to it.
    fn takeover(&self, held: &HeldShard) -> Option<(ClaimRight, PlannedClaim)> {
        let now = time_since_boot();
        let right = self.quotas.ownership.borrow().takeover(now, held, &self.own)?;
        let free_since = (right == ClaimRight::EarlierProcess).then_some(self.started);
        let claim = ShardClaim { shard: held.shard, expected: held.revision };
        Some((right, PlannedClaim::new(claim, free_since)))
    }

    /// Claims shards in one transaction. If a shard was not at the expected revision, nothing is
    /// claimed, and those of the shards that some instance holds are returned.
    pub(super) async fn claim(&self, planned: Vec<PlannedClaim>) -> Option<Vec<HeldShard>> {
        if planned.is_empty() {
            return None;
        }
        let lease = self.current_lease().await?;
        let claims: Vec<_> = planned.iter().map(|planned| planned.claim).collect();
        let owner = ShardOwner { era: lease.era, ..self.own.clone() };
        let result = self.store.claim(lease, &owner, &claims).await;
        self.observe_era();
        self.count_call("quota_claim", result.is_ok());
        match result {
            Ok(ClaimOutcome::Claimed { revision }) if self.is_current(lease) => {
                self.on_claimed(&planned, revision);
                None
            }
            Ok(ClaimOutcome::Claimed { .. }) => None,
            Ok(ClaimOutcome::Conflict(held)) => Some(held),
            Err(DiscoveryError::LeaseExpired) => {
                self.lose(lease);
                None
            }
            Err(error) => {
                slog::debug!(self.log, "store: cannot claim quota shards"; "error" => %error);
                self.quotas.ownership.borrow_mut().on_claim_uncertain(time_since_boot());
                None
            }
        }
    }

    fn on_claimed(&self, claims: &[PlannedClaim], revision: Revision) {
        let now = time_since_boot();
        for PlannedClaim { claim, free_since, levels, received } in claims {
            let shard = claim.shard;
            let kept_since = self.quotas.ownership.borrow().kept_since(now, shard);
            let since = kept_since.or(*free_since).unwrap_or(now);
            let has_levels = kept_since.is_some() || self.quotas.ownership.borrow().owns(shard);
            if !self.quotas.ownership.borrow_mut().on_claimed(since, shard, revision) {
                continue;
            }
            if !has_levels {
                self.quotas.remove_shard(shard);
                self.quotas.set_levels(*received, levels);
            }
            slog::info!(self.log, "members: quota shard claimed";
                "shard" => shard, "levels" => levels.len(), "is_kept" => kept_since.is_some());
        }
        self.messenger.announce();
    }

    /// Returns the lease, after requesting one if there is none.
    async fn current_lease(&self) -> Option<Lease> {
        if let Some(lease) = self.lease.get() {
            return Some(lease);
        }
        let sent = time_since_boot();
        let granted = self.store.grant_lease(LEASE_TTL).await;
        self.count_call("quota_lease", granted.is_ok());
        self.observe_era();
        let era = self.quotas.ownership.borrow().era();
        let lease = granted.ok().filter(|lease| lease.era == era && !self.is_stopping())?;
        self.lease.set(Some(lease));
        self.quotas.ownership.borrow_mut().on_lease(sent, lease.ttl);
        Some(lease)
    }

    pub(super) fn count_call(&self, operation: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "error" };
        self.metrics.store_calls.with_label_values(&[operation, result]).inc();
    }
}
