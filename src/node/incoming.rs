//! Handles the datagrams of other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use cactustrack_fleet::attempt_totals::Sender;
use cactustrack_fleet::catalog::MissingChange;
use cactustrack_fleet::discovery::Topic;
use cactustrack_fleet::freshness::Attestation;
use cactustrack_fleet::message::{
    Body, Datagram, Notice, RelayedChange, Report, short_instance_id,
};
use cactustrack_fleet::peers::{AcceptedReport, NoticeError, NoticeRoute};
use cactustrack_types::Version;

use super::messenger::PeerMessenger;
use super::quota;
use super::quota_transfer::TransferEvent;

/// Origin of a datagram.
struct Origin {
    sender: Sender,
    address: SocketAddr,
    sequence: u64,
    /// Version of the configuration in force at the sender.
    version: Version,
}

impl PeerMessenger {
    /// Handles a datagram unless a newer one of its sender has been handled.
    pub(super) fn on_datagram(self: &Rc<Self>, datagram: Datagram, address: SocketAddr) {
        let now = Instant::now();
        let is_accepted = self.state.borrow_mut().peers.accept(now, address, &datagram);
        // A later datagram may overtake a transfer, which the store accepts once at most.
        if !is_accepted && !matches!(datagram.body, Body::QuotaTransfer(_)) {
            return;
        }
        let Datagram { from: instance, incarnation, sequence, version, body, .. } = datagram;
        let sender = Sender { instance, incarnation };
        self.on_body(now, Origin { sender, address, sequence, version }, body);
    }

    fn on_body(self: &Rc<Self>, now: Instant, origin: Origin, body: Body) {
        match body {
            Body::Notices(notices) => self.on_notices(now, &origin, notices),
            Body::Bundle(bundle) => self.on_bundle(now, bundle),
            Body::Heartbeat { .. } => self.on_heartbeat(now, &origin, body),
            Body::Change(change) => self.on_change(now, change),
            Body::Forward(change) => {
                self.on_change(now, change.clone());
                self.forward(change);
            }
            Body::GrantRequest(request) => {
                let is_granted = self.state.borrow_mut().try_grant(now, &request);
                let number = request.number;
                self.send_to(Body::Grant { number, is_granted }, &[origin.address]);
            }
            Body::Grant { number, is_granted } => self.grants().on_answer(number, is_granted),
            Body::Attestation { incarnation, stamp } => {
                let attestation = Attestation { incarnation, stamp, version: origin.version };
                self.state.borrow_mut().on_attestation(attestation);
            }
            Body::QuotaRequest(request) => {
                let outcome = self.state.borrow().on_quota_request(&request);
                quota::answer(self, origin.address, request.number, outcome);
            }
            Body::QuotaGrant(grant) => {
                let quotas = self.state.borrow().quotas.clone();
                quota::on_grant(self, quotas.as_deref(), &grant);
            }
            Body::QuotaTransfer(transfer) => {
                if let Some(quotas) = &self.state.borrow().quotas {
                    quotas.on_transfer(transfer);
                }
            }
            Body::QuotaOffer { number } => {
                let address = origin.address;
                self.queue_transfer_event(TransferEvent::Offered { number, address });
            }
            Body::QuotaOfferAccepted { number } => {
                let by = origin.sender.instance;
                self.queue_transfer_event(TransferEvent::Accepted { number, by });
            }
        }
    }

    fn on_notices(self: &Rc<Self>, now: Instant, origin: &Origin, notices: Vec<Notice>) {
        let report = AcceptedReport { sender: origin.sender.clone(), is_latest: true };
        let unlisted = self.state.borrow_mut().on_notices(now, &report, &notices);
        self.ignored.add(NoticeError::UnlistedUpstream, unlisted);
        // In a fleet with hubs, notices arrive here only because this instance is a hub.
        let route = self.state.borrow().peers.route(now, &self.own, 0);
        if matches!(route, NoticeRoute::All(_)) {
            return;
        }
        let Sender { instance, incarnation } = &origin.sender;
        let from = short_instance_id(instance, *incarnation);
        self.add_to_bundle(Report { from, sequence: origin.sequence, notices });
    }

    fn on_heartbeat(&self, now: Instant, origin: &Origin, body: Body) {
        let Body::Heartbeat {
            in_flight, peers, leaving, store, totals, stamp, quota_shards, ..
        } = body
        else {
            return;
        };
        let Sender { instance, incarnation } = &origin.sender;
        let mut state = self.state.borrow_mut();
        state.on_peer_version(origin.version, store.configuration);
        state.on_store_era(now, store.upstreams.revision.era());
        if let Some(freshness) = &mut state.freshness {
            freshness.stamps.record(instance, *incarnation, stamp);
        }
        state.view.on_heartbeat(now, &origin.sender, &in_flight, &totals);
        let own = self.local_address();
        let others = peers.into_iter().filter(|peer| Some(*peer) != own);
        state.peers.add_addresses(now, others);
        if leaving && in_flight.is_empty() {
            state.peers.remove(instance);
            state.forget_stamp(instance);
            state.view.remove_peer(instance);
        }
        if quota_shards != 0 {
            let quotas = state.quotas.clone();
            drop(state);
            quota::on_announced(self, quotas.as_deref(), quota_shards);
        }
    }

    fn queue_transfer_event(&self, event: TransferEvent) {
        if let Some(quotas) = &self.state.borrow().quotas {
            quotas.queue_transfer_event(event);
        }
    }

    /// Applies a change that a relay or hub sent.
    fn on_change(&self, now: Instant, change: RelayedChange) {
        match change {
            RelayedChange::Upstreams(delta) => {
                let result = self.state.borrow_mut().on_upstreams(now, &delta);
                self.record_gap(result);
            }
            RelayedChange::UpstreamList(difference) => {
                let result = self.state.borrow_mut().on_list_difference(now, &difference);
                self.record_gap(result);
            }
            RelayedChange::Configuration(delta) => {
                self.state.borrow_mut().on_configuration(delta);
            }
            RelayedChange::NewRevision { topic, revision } => {
                self.lag.record_revision(topic, revision);
            }
        }
    }

    /// Makes this instance read the upstreams from the store unless another relay delivers what is
    /// missing.
    fn record_gap(&self, result: Result<(), MissingChange>) {
        if let Err(error) = result {
            slog::debug!(self.log, "members: relayed changes cannot be applied"; "error" => %error);
            self.lag.record_gap(Topic::Upstreams, error.revision);
        }
    }
}
