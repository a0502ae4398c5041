//! Hands quota shards over to other instances and takes over theirs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{HeldShard, ShardClaim};
use cactustrack_fleet::message::{Body, ShardSet};
use cactustrack_fleet::quota::ownership::{ReleasedShard, ShardId};
use cactustrack_fleet::quota::transfer::{Incoming, MAX_OFFERED, RESEND_INTERVAL};
use cactustrack_types::InstanceId;

use super::quota_claims::{MAX_CLAIMS, PlannedClaim, QuotaClaims};
use super::state::time_since_boot;

/// Time for which transfers that arrive together are collected into one claim.
const COLLECT_TIME: Duration = Duration::from_millis(10);

/// Interval at which a stopping instance checks whether its shards were taken.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A message of another instance about a transfer.
#[derive(Clone, Debug)]
pub(crate) enum TransferEvent {
    /// Shards were handed over to this instance.
    Received,
    /// An instance asks whether this one can take its shards over.
    Offered {
        /// Number of the offer.
        number: u64,
        /// Address of the instance.
        address: SocketAddr,
    },
    /// An instance can take the shards over that this one has offered.
    Accepted {
        /// Number of the offer.
        number: u64,
        /// The instance.
        by: InstanceId,
    },
}

impl QuotaClaims {
    pub(super) async fn on_transfer_event(self: &Rc<Self>, event: TransferEvent) {
        match event {
            TransferEvent::Received => {
                compio::time::sleep(COLLECT_TIME).await;
                self.claim_transferred().await;
            }
            TransferEvent::Offered { number, address } => {
                if self.can_take_over().await {
                    self.messenger.send_to(Body::QuotaOfferAccepted { number }, &[address]);
                }
            }
            TransferEvent::Accepted { number, by } => {
                let is_offered = self.offer.get() == Some(number);
                let is_due = self.quotas.ownership.borrow().is_transfer_due(time_since_boot());
                if is_offered && is_due {
                    self.offer.set(None);
                    self.hand_over("the store does not answer", |_| vec![by.clone()]);
                }
            }
        }
    }

    /// Offers the shards to other instances if the lease could not be renewed in time.
    pub(super) fn offer_if_due(&self) {
        let now = time_since_boot();
        let first = {
            let ownership = self.quotas.ownership.borrow();
            if !ownership.is_transfer_due(now) {
                return self.offer.set(None);
            }
            ownership.owned().next()
        };
        let Some(first) = first else { return };
        let number = self.offer.get().unwrap_or_else(rand::random);
        self.offer.set(Some(number));
        let addresses: Vec<_> = {
            let state = self.state.borrow();
            let ranked = state.peers.quota_contenders(Instant::now()).ranked(first);
            let best = ranked.iter().take(MAX_OFFERED);
            best.filter_map(|name| state.peers.address(name)).collect()
        };
        self.messenger.send_to(Body::QuotaOffer { number }, &addresses);
    }

    /// Hands all shards over to the instances that would claim them.
    pub(super) fn hand_over_all(self: &Rc<Self>, reason: &str) {
        let contenders = self.state.borrow().peers.quota_contenders(Instant::now());
        if !contenders.names.is_empty() {
            self.hand_over(reason, |shard| contenders.ranked(shard));
        }
    }

    fn hand_over(self: &Rc<Self>, reason: &str, receivers: impl Fn(ShardId) -> Vec<InstanceId>) {
        let now = time_since_boot();
        let released = self.quotas.ownership.borrow_mut().release(now);
        for released in &released {
            let ReleasedShard { shard, .. } = *released;
            let levels = self.quotas.take_levels(now, shard);
            self.outgoing.borrow_mut().add(now, *released, levels, receivers(shard));
            slog::info!(self.log, "members: quota shard released";
                "shard" => shard, "reason" => reason);
        }
        if released.is_empty() {
            return;
        }
        self.send_transfers();
        self.messenger.announce();
        compio::runtime::spawn(Rc::clone(self).keep_sending_transfers()).detach();
    }

    async fn keep_sending_transfers(self: Rc<Self>) {
        while !self.outgoing.borrow().is_empty() {
            compio::time::sleep(RESEND_INTERVAL).await;
            self.send_transfers();
        }
    }

    fn send_transfers(&self) {
        let (due, addresses): (Vec<_>, Vec<_>) = {
            let mut outgoing = self.outgoing.borrow_mut();
            outgoing.remove_taken(self.announced_shards());
            let in_progress = outgoing.shards();
            let (due, state) = (outgoing.due(time_since_boot()), self.state.borrow());
            let given_up = in_progress & !outgoing.shards();
            if given_up != 0 {
                slog::warn!(self.log, "members: no instance took over the released quota shards";
                    "count" => given_up.count_ones());
            }
            let addresses = due.iter().map(|(name, _)| state.peers.address(name)).collect();
            (due, addresses)
        };
        for ((_, transfer), address) in due.into_iter().zip(addresses) {
            self.messenger.send_to(Body::QuotaTransfer(transfer), address.as_slice());
        }
    }

    /// Waits until the transfers have ended. Returns true if all shards of this instance were taken.
    pub(super) async fn are_transferred(&self) -> bool {
        let shards = self.released_at_stop.get();
        while !self.outgoing.borrow().is_empty() {
            compio::time::sleep(TRANSFER_POLL_INTERVAL).await;
            self.outgoing.borrow_mut().remove_taken(self.announced_shards());
        }
        shards != 0 && shards & !self.announced_shards() == 0
    }

    /// Returns the shards that other instances announce.
    fn announced_shards(&self) -> ShardSet {
        self.state.borrow().peers.quota_contenders(Instant::now()).announced
    }

    /// Returns true if this instance can take shards over: it enforces quotas, is not stopping, and
    /// reads from the store.
    async fn can_take_over(&self) -> bool {
        if self.is_stopping() || !self.state.borrow().has_quotas() {
            return false;
        }
        let read = self.store.held_shards().await;
        self.count_call("quota_read", read.is_ok());
        read.is_ok()
    }

    /// Claims the shards that other instances have handed over.
    async fn claim_transferred(&self) {
        let mut incoming = self.quotas.incoming.borrow_mut().take();
        incoming.retain(|known| !self.quotas.ownership.borrow().owns(known.transfer.shard));
        for batch in incoming.chunks(MAX_CLAIMS) {
            if let Some(held) = self.claim(plan(batch)).await {
                let current = self.drop_outdated(batch, &held);
                self.claim(plan(&current)).await;
            }
        }
    }

    /// Returns the transfers whose shards are still at their revisions, and records the others.
    fn drop_outdated(&self, batch: &[Incoming], held: &[HeldShard]) -> Vec<Incoming> {
        let is_current = |known: &&Incoming| {
            let (shard, revision) = (known.transfer.shard, known.transfer.revision);
            let is_held = held.iter().any(|row| row.shard == shard && row.revision == revision);
            if !is_held {
                self.quotas.incoming.borrow_mut().on_outdated(shard, revision);
            }
            is_held
        };
        batch.iter().filter(is_current).cloned().collect()
    }
}

fn plan(incoming: &[Incoming]) -> Vec<PlannedClaim> {
    let plan = |known: &Incoming| {
        let (shard, expected) = (known.transfer.shard, known.transfer.revision);
        PlannedClaim {
            claim: ShardClaim { shard, expected },
            free_since: Some(known.owned_since()),
            levels: known.transfer.levels.clone(),
            received: known.received,
        }
    };
    incoming.iter().map(plan).collect()
}
