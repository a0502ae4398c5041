//! Communication with other instances.
//!
//! Membership and configuration are synchronized with random members. Evidence goes to the
//! collectors of each service, whose replies contain their verdicts.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_health::Collector;
use cactustrack_members::{ConfigWant, Identity};
use cactustrack_peer::{
    KnownSeq, PeerHandler, PeerPool, Report, ReportEntry, ReportReply, ServiceVerdicts, SyncReply,
    SyncRequest,
};
use cactustrack_types::{Counts, Incarnation, InstanceId, ServiceId, UpstreamId, Version};
use slog::Logger;

use super::blackboard::{Blackboard, SharedBlackboard};
use super::configuration::{ConfigPeers, ConfigurationController};
use super::health;

/// Number of random members that each round synchronizes with.
const SYNC_FANOUT: usize = 2;

/// Interval of reports to a collector while there is no bad evidence and the number of collectors
/// is small.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of reports per second of one instance, not counting reports with bad evidence.
/// With more collectors, each gets reports less often. A call has an overhead of 123 bytes, and all
/// control traffic of an instance has to stay below 8 KB/s.
const MAX_REPORTS_PER_SECOND: u32 = 6;

/// Maximum interval of reports to a collector. Verdicts expire after 10 s.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Evidence to be reported to one collector. It is kept until the collector has acknowledged it.
#[derive(Default)]
struct Outbox {
    pending: BTreeMap<(ServiceId, UpstreamId, Incarnation), Counts>,
    /// The report that has had no reply yet. It is sent again under the same sequence number.
    unacknowledged: Option<Report>,
    in_flight: bool,
    seq: u64,
    last_sent: Option<Instant>,
}

impl Outbox {
    fn has_bad_evidence(&self) -> bool {
        self.pending.values().any(is_bad)
    }
}

fn is_bad(counts: &Counts) -> bool {
    counts.failures() > 0 || counts.slow > 0
}

/// Synchronizes with other instances and exchanges evidence and verdicts with collectors.
pub(crate) struct PeerExchange {
    board: SharedBlackboard,
    pool: PeerPool,
    configuration: Rc<ConfigurationController>,
    bootstrap: Vec<SocketAddr>,
    outboxes: RefCell<BTreeMap<InstanceId, Outbox>>,
    /// Latest sequence number applied from each observer, so that a resent report counts once.
    applied_seqs: RefCell<BTreeMap<InstanceId, (Incarnation, u64)>>,
    collectors: RefCell<CollectorCache>,
    log: Logger,
}

impl PeerExchange {
    /// Creates the exchange of an instance. `bootstrap` are the peer addresses from the settings.
    pub(crate) fn new(
        board: SharedBlackboard,
        pool: PeerPool,
        configuration: Rc<ConfigurationController>,
        bootstrap: Vec<SocketAddr>,
        log: Logger,
    ) -> Rc<Self> {
        let outboxes = RefCell::default();
        let applied_seqs = RefCell::default();
        let collectors = RefCell::default();
        Rc::new(Self {
            board,
            pool,
            configuration,
            bootstrap,
            outboxes,
            applied_seqs,
            collectors,
            log,
        })
    }

    /// Announces this instance to the bootstrap addresses and synchronizes with those that respond.
    pub(crate) async fn bootstrap(self: Rc<Self>) {
        let own = self.board.borrow().membership.own().clone();
        for address in self.bootstrap.iter().filter(|address| **address != own.address) {
            match self.pool.hello(*address, &own).await {
                Ok(identity) => {
                    self.board.borrow_mut().membership.record_contact(&identity, Instant::now());
                    self.sync_with(identity.id, None).await;
                }
                Err(error) => {
                    slog::info!(self.log, "peer: no response from bootstrap address: {}", error;
                        "address" => %address);
                }
            }
        }
    }

    /// Synchronizes membership and configuration with [`SYNC_FANOUT`] members.
    pub(crate) fn sync_round(self: &Rc<Self>) {
        let mut board = self.board.borrow_mut();
        board.membership.tick(Instant::now());
        self.applied_seqs
            .borrow_mut()
            .retain(|observer, _| board.membership.member(observer).is_some());
        drop(board);
        self.sync_with_random(SYNC_FANOUT);
    }

    fn sync_with_random(self: &Rc<Self>, count: usize) {
        let now = Instant::now();
        let mut rng = rand::rng();
        let partners = self.board.borrow().membership.sync_partners(&mut rng, count, now);
        for partner in partners {
            let exchange = Rc::clone(self);
            compio::runtime::spawn(async move { exchange.sync_with(partner, None).await }).detach();
        }
    }

    async fn sync_with(self: &Rc<Self>, peer: InstanceId, want: Option<ConfigWant>) {
        let mut delta = Some(self.board.borrow_mut().membership.sync_request(&peer));
        let mut want = want;
        while let Some(members) = delta.take() {
            let Some((address, incarnation)) = self.address_of(&peer) else { break };
            let sender = self.board.borrow().membership.own().clone();
            let config = self.configuration.head();
            let wants_chunk = want.is_some();
            let request = SyncRequest { sender, config, want: want.take(), members };
            match self.pool.sync(address, &request).await {
                Ok(reply) => delta = self.on_sync_reply(&peer, reply, wants_chunk),
                Err(_) => {
                    let now = Instant::now();
                    let mut board = self.board.borrow_mut();
                    board.membership.record_call_failure(&peer, incarnation, now);
                    drop(board);
                    if wants_chunk {
                        self.configuration.on_fetch_failed(&peer);
                    }
                }
            }
        }
    }

    fn on_sync_reply(
        self: &Rc<Self>,
        peer: &InstanceId,
        reply: SyncReply,
        wants_chunk: bool,
    ) -> Option<cactustrack_members::MembersDelta> {
        let now = Instant::now();
        let more = self.board.borrow_mut().membership.on_sync_reply(
            peer,
            &reply.responder,
            &reply.members,
            now,
        );
        self.configuration.on_peer_head(&reply.responder.id, reply.config);
        if wants_chunk {
            self.configuration.on_chunk(&reply.responder.id, reply.chunk.as_ref());
        }
        more
    }

    fn address_of(&self, peer: &str) -> Option<(SocketAddr, Incarnation)> {
        let board = self.board.borrow();
        let member = board.membership.member(peer)?;
        Some((member.identity.address, member.identity.incarnation))
    }

    /// Queues this instance's evidence for the collectors and sends the reports that are due.
    pub(crate) fn report_round(
        self: &Rc<Self>,
        now: Instant,
        reports: &[cactustrack_health::Report],
    ) {
        let collectors = {
            let mut board = self.board.borrow_mut();
            let collectors = self.collectors.borrow_mut().update(&board);
            update_collector_role(&mut board, now, &collectors);
            collectors
        };
        let own = self.board.borrow().observer.instance.clone();
        let others = || collectors.iter().filter(|(id, _)| **id != own);
        self.enqueue(reports, others());
        let due = self.take_due(now, others());
        for (collector, services) in due {
            let exchange = Rc::clone(self);
            let task = async move { exchange.send_report(collector, services).await };
            compio::runtime::spawn(task).detach();
        }
    }

    fn enqueue<'a>(
        &self,
        reports: &[cactustrack_health::Report],
        collectors: impl Iterator<Item = (&'a InstanceId, &'a BTreeSet<ServiceId>)> + Clone,
    ) {
        let mut outboxes = self.outboxes.borrow_mut();
        let ids: BTreeSet<&InstanceId> = collectors.clone().map(|(id, _)| id).collect();
        outboxes.retain(|id, _| ids.contains(id));
        for (id, services) in collectors {
            let outbox = outboxes.entry(id.clone()).or_default();
            for report in reports.iter().filter(|report| services.contains(&report.service)) {
                for (upstream, incarnation, counts) in &report.entries {
                    let key = (report.service.clone(), upstream.clone(), *incarnation);
                    *outbox.pending.entry(key).or_default() += *counts;
                }
            }
        }
    }

    fn take_due<'a>(
        &self,
        now: Instant,
        collectors: impl Iterator<Item = (&'a InstanceId, &'a BTreeSet<ServiceId>)>,
    ) -> Vec<(InstanceId, BTreeSet<ServiceId>)> {
        let count = u32::try_from(self.outboxes.borrow().len()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1) * count / MAX_REPORTS_PER_SECOND;
        let interval = spread.clamp(REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        let mut outboxes = self.outboxes.borrow_mut();
        let mut due = Vec::new();
        for (id, services) in collectors {
            let Some(outbox) = outboxes.get_mut(id) else { continue };
            // A tolerance of half an interval prevents a timer that fires slightly early from
            // skipping a round.
            let is_interval_over = outbox.last_sent.is_none_or(|at| {
                now.saturating_duration_since(at) + REPORT_INTERVAL / 2 >= interval
            });
            if !outbox.in_flight && (is_interval_over || outbox.has_bad_evidence()) {
                outbox.in_flight = true;
                outbox.last_sent = Some(now);
                due.push((id.clone(), services.clone()));
            }
        }
        due
    }

    async fn send_report(self: Rc<Self>, collector: InstanceId, services: BTreeSet<ServiceId>) {
        let Some((address, incarnation)) = self.address_of(&collector) else {
            // The member was removed, and the next update of the collectors will not contain it.
            self.outboxes.borrow_mut().remove(&collector);
            return;
        };
        let report = self.next_report(&collector, incarnation, &services);
        let reply = self.pool.report(address, &report).await;
        let mut outboxes = self.outboxes.borrow_mut();
        if let Some(outbox) = outboxes.get_mut(&collector) {
            outbox.in_flight = false;
            outbox.unacknowledged = reply.is_err().then_some(report);
        }
        drop(outboxes);
        let now = Instant::now();
        let mut board = self.board.borrow_mut();
        match reply {
            Ok(reply) => on_report_reply(&mut board, now, &collector, &services, &reply),
            Err(_) => board.membership.record_call_failure(&collector, incarnation, now),
        }
    }

    fn next_report(
        &self,
        collector: &InstanceId,
        incarnation: Incarnation,
        services: &BTreeSet<ServiceId>,
    ) -> Report {
        let board = self.board.borrow();
        let known_seqs = services.iter().filter_map(|id| {
            let service = board.services.get(id)?;
            let seq = service.planner.seq(collector, incarnation);
            Some(KnownSeq { service: id.clone(), seq })
        });
        let known_seqs: Vec<KnownSeq> = known_seqs.collect();
        let observer = board.observer.clone();
        let mut outboxes = self.outboxes.borrow_mut();
        let outbox = outboxes.entry(collector.clone()).or_default();
        if let Some(unacknowledged) = &outbox.unacknowledged {
            return Report { collector: incarnation, known_seqs, ..unacknowledged.clone() };
        }
        outbox.seq += 1;
        let pending = std::mem::take(&mut outbox.pending).into_iter();
        let entries = pending.map(|((service, upstream, incarnation), counts)| ReportEntry {
            service,
            upstream,
            incarnation,
            counts,
        });
        Report {
            observer: observer.instance,
            incarnation: observer.incarnation,
            seq: outbox.seq,
            failure_domain: observer.failure_domain,
            collector: incarnation,
            entries: entries.collect(),
            known_seqs,
        }
    }

    /// Returns true if the report is newer than all earlier ones of its observer, and stores its
    /// sequence number. A report that was already applied is not newer.
    fn is_new(&self, report: &Report) -> bool {
        let mut applied_seqs = self.applied_seqs.borrow_mut();
        let latest = applied_seqs.entry(report.observer.clone()).or_default();
        let number = (report.incarnation, report.seq);
        let is_new = number > *latest;
        *latest = number.max(*latest);
        is_new
    }
}

impl ConfigPeers for Rc<PeerExchange> {
    fn sync_with_random_peers(&self, count: usize) {
        self.sync_with_random(count);
    }

    fn fetch(&self, peer: InstanceId, want: ConfigWant) {
        let exchange = Rc::clone(self);
        let task = async move { exchange.sync_with(peer, Some(want)).await };
        compio::runtime::spawn(task).detach();
    }
}

impl PeerHandler for PeerExchange {
    fn hello(&self, from: Identity) -> Identity {
        let mut board = self.board.borrow_mut();
        board.membership.record_contact(&from, Instant::now());
        board.membership.own().clone()
    }

    fn report(&self, report: Report) -> ReportReply {
        let now = Instant::now();
        let is_new = self.is_new(&report);
        let mut board = self.board.borrow_mut();
        if is_new {
            apply_report(&mut board, now, &report);
        }
        let incarnation = board.observer.incarnation;
        let same_incarnation = report.collector == incarnation;
        let (mut services, mut not_collected) = (Vec::new(), Vec::new());
        let mut excluded = Vec::new();
        for KnownSeq { service, seq } in &report.known_seqs {
            let Some(fleet_collector) = own_collector(&mut board, service) else {
                not_collected.push(service.clone());
                continue;
            };
            if fleet_collector.is_excluded(&report.observer) {
                excluded.push(service.clone());
            }
            let verdicts = fleet_collector.verdicts_since(if same_incarnation { *seq } else { 0 });
            if !verdicts.is_empty() {
                let (service, seq) = (service.clone(), fleet_collector.seq());
                services.push(ServiceVerdicts { service, seq, verdicts });
            }
        }
        let collector = board.observer.instance.clone();
        ReportReply { collector, incarnation, services, not_collected, excluded }
    }

    fn sync(&self, request: SyncRequest) -> SyncReply {
        let now = Instant::now();
        let sender = request.sender.id.clone();
        let (members, responder) = {
            let mut board = self.board.borrow_mut();
            let members = board.membership.on_sync_request(&request.sender, &request.members, now);
            (members, board.membership.own().clone())
        };
        let chunk = request.want.as_ref().and_then(|want| self.configuration.serve(want));
        let config = self.configuration.head();
        self.configuration.on_peer_head(&sender, request.config);
        SyncReply { responder, config, chunk, members }
    }
}

/// Collectors of all services, each with the services that it collects for.
type Collectors = BTreeMap<InstanceId, BTreeSet<ServiceId>>;

/// The collectors, cached for one state of membership and configuration.
#[derive(Default)]
struct CollectorCache {
    /// Membership generation and configuration version that `collectors` was computed for.
    computed_for: Option<(u64, Version)>,
    collectors: Rc<Collectors>,
}

impl CollectorCache {
    /// Returns the collectors. Ranking 800 members for 230 services takes milliseconds, so they are
    /// recomputed only after a change of membership or configuration.
    fn update(&mut self, board: &Blackboard) -> Rc<Collectors> {
        let computed_for = Some((board.membership.generation(), board.version()));
        if self.computed_for != computed_for {
            let mut collectors = Collectors::new();
            for service in board.services.keys() {
                for collector in board.membership.collectors(service) {
                    collectors.entry(collector).or_default().insert(service.clone());
                }
            }
            *self = Self { computed_for, collectors: Rc::new(collectors) };
        }
        Rc::clone(&self.collectors)
    }
}

/// Starts or stops the fleet collectors of the services that this instance collects for.
fn update_collector_role(board: &mut Blackboard, now: Instant, collectors: &Collectors) {
    let own = collectors.get(&board.observer.instance);
    for (id, service) in &mut board.services {
        let collects = own.is_some_and(|services| services.contains(id));
        if !collects {
            service.fleet_collector = None;
        } else if service.fleet_collector.is_none() {
            let policy = service.service.detection.clone();
            service.fleet_collector = Some(Collector::new(now, id.clone(), policy));
        }
    }
}

/// Returns the fleet collector of a service if this instance is one of its collectors.
fn own_collector<'a>(board: &'a mut Blackboard, id: &ServiceId) -> Option<&'a mut Collector> {
    board.services.get_mut(id)?.fleet_collector.as_mut()
}

/// Adds the evidence of another instance to the fleet collectors of the services it names.
fn apply_report(board: &mut Blackboard, now: Instant, report: &Report) {
    let observer = cactustrack_health::Observer {
        instance: report.observer.clone(),
        incarnation: report.incarnation,
        failure_domain: report.failure_domain.clone(),
    };
    // A report without entries is added as well, because a collector removes observers that have
    // stopped reporting.
    for known in &report.known_seqs {
        let of_service = report.entries.iter().filter(|entry| entry.service == known.service);
        let entries =
            of_service.map(|entry| (entry.upstream.clone(), entry.incarnation, entry.counts));
        let report = cactustrack_health::Report {
            observer: observer.clone(),
            service: known.service.clone(),
            entries: entries.collect(),
        };
        let bad = report.entries.iter().any(|(_, _, counts)| is_bad(counts));
        if let Some(fleet_collector) = own_collector(board, &known.service) {
            fleet_collector.add_report(now, &report);
            // Bad evidence is evaluated at once, so that the reply already contains the verdict.
            if bad {
                fleet_collector.tick(now);
            }
        }
    }
}

/// Applies the reply of a collector to the services for which the report was sent.
fn on_report_reply(
    board: &mut Blackboard,
    now: Instant,
    callee: &InstanceId,
    services: &BTreeSet<ServiceId>,
    reply: &ReportReply,
) {
    if reply.collector != *callee {
        // Another instance now has this address. The next membership synchronization corrects it.
        return;
    }
    for id in services.iter().filter(|id| !reply.not_collected.contains(id)) {
        let Some(service) = board.services.get_mut(id) else { continue };
        if reply.excluded.contains(id) {
            service.excluded_by.insert(reply.collector.clone());
        } else {
            service.excluded_by.remove(&reply.collector);
        }
        // A service that the reply omits has no changes, which confirms its earlier verdicts.
        let changed = reply.services.iter().find(|verdicts| verdicts.service == *id);
        let verdicts = changed.map_or(&[][..], |changed| &changed.verdicts);
        service.planner.apply_verdicts(now, &reply.collector, reply.incarnation, verdicts);
        if !verdicts.is_empty() {
            health::replan_service(board, now, id);
        }
    }
}
