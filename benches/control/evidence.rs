//! Traffic of evidence reports on a day without faults in upstreams.
//!
//! The reporter batches as docs/design.md, 4.2, describes: counts with a fault are sent after at
//! most 500 ms, others after 5 s. A sample of the instances reports; what collectors receive
//! equals on average what reporters send.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cactustrack_members::{Identity, Membership};
use cactustrack_peer::codec::Message;
use cactustrack_peer::{KnownSeq, Report, ReportEntry, ReportReply};
use cactustrack_types::{Counts, Incarnation, InstanceId, Outcome, ServiceId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Shape, identity};
use crate::process;
use crate::wire::CallCost;

/// 150,000 requests a second over 800 instances.
const REQUESTS_PER_INTERVAL: u32 = 94;
const FAULT_RATE: f64 = 0.001;
const INTERVALS: u32 = 120;
const QUIET_INTERVALS: u32 = 10;
const REPORTERS: usize = 20;
const SUBSET: usize = 3;

/// Cost of evidence per instance.
pub(crate) struct Evidence {
    pub(crate) bytes: f64,
    pub(crate) core_percent: f64,
    pub(crate) connections: f64,
    reports: f64,
    encoded: f64,
    busiest_reports: f64,
}

impl Evidence {
    pub(crate) fn print(&self, n: usize) {
        println!("{n} instances, reports sent per instance: {:.1} /s", self.reports);
        println!("{n} instances, reports to the busiest collector: {:.0} /s", self.busiest_reports);
        println!("{n} instances, evidence, sent and received per instance: {:.0} B/s", self.bytes);
        println!("{n} instances, of which encoded messages: {:.0} B/s", self.encoded);
        println!("{n} instances, evidence, processor time: {:.2} % of a core", self.core_percent);
    }
}

#[derive(Default)]
struct Sent {
    reports: usize,
    encoded: usize,
    by_collector: HashMap<InstanceId, usize>,
}

struct Reporter<'a> {
    own: Identity,
    collectors: &'a BTreeMap<ServiceId, Vec<InstanceId>>,
    /// Upstreams in use, by service.
    subsets: Vec<(ServiceId, Vec<ServiceId>)>,
    /// Counts to send, by collector, service and upstream.
    pending: BTreeMap<InstanceId, BTreeMap<(ServiceId, ServiceId), Counts>>,
    rng: SmallRng,
}

/// Runs a sample of reporters for a minute of virtual time.
pub(crate) fn measure(shape: &Shape, cost: &CallCost) -> Evidence {
    let now = Instant::now();
    let mut members = Membership::new(identity(shape, 0, 1));
    for i in 1..shape.instances {
        members.record_contact(&identity(shape, i, 1), now);
    }
    let services = (0..shape.services).map(|s| ServiceId::from(format!("service-{s:03}")));
    let collectors: BTreeMap<ServiceId, Vec<InstanceId>> =
        services.map(|s| (s.clone(), members.collectors(&s))).collect();
    let mut sent = Sent::default();
    let cpu = process::cpu_seconds();
    for i in 0..REPORTERS {
        let mut reporter = Reporter::new(shape, i, &collectors);
        for interval in 0..INTERVALS {
            reporter.run(interval, &mut sent);
        }
    }
    let seconds = f64::from(INTERVALS) / 2.0 * REPORTERS as f64;
    let per_second = |count: usize| count as f64 / seconds;
    let reports = per_second(sent.reports);
    let codec_cpu = (process::cpu_seconds() - cpu) / seconds;
    let overhead = cost.bytes_per_call as f64 * reports;
    let busiest = sent.by_collector.values().max().copied().unwrap_or(0);
    Evidence {
        // Each instance sends what its reports and the replies take, and receives as much.
        bytes: 2.0 * (per_second(sent.encoded) + overhead),
        core_percent: 100.0 * (codec_cpu + reports * cost.cpu_us_per_call / 1e6),
        connections: 2.0 * sent.by_collector.len() as f64,
        reports,
        encoded: 2.0 * per_second(sent.encoded),
        busiest_reports: per_second(busiest) * shape.instances as f64,
    }
}

impl<'a> Reporter<'a> {
    fn new(shape: &Shape, i: usize, collectors: &'a BTreeMap<ServiceId, Vec<InstanceId>>) -> Self {
        let per_service = (shape.upstreams / shape.services).max(1);
        let subset = |s: usize, service: &ServiceId| -> Vec<ServiceId> {
            let pick = |k| format!("{service}-u{:02}", (i + s + k) % per_service).into();
            (0..SUBSET.min(per_service)).map(pick).collect()
        };
        let subsets =
            collectors.keys().enumerate().map(|(s, id)| (id.clone(), subset(s, id))).collect();
        Self {
            own: identity(shape, i, 1),
            collectors,
            subsets,
            pending: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(i as u64),
        }
    }

    fn run(&mut self, interval: u32, sent: &mut Sent) {
        for _ in 0..REQUESTS_PER_INTERVAL {
            let (service, upstreams) = &self.subsets[self.rng.random_range(..self.subsets.len())];
            let upstream = &upstreams[self.rng.random_range(..upstreams.len())];
            let fault = self.rng.random_bool(FAULT_RATE);
            let outcome = if fault { Outcome::Failed } else { Outcome::Ok };
            for collector in &self.collectors[service] {
                let counts = self.pending.entry(collector.clone()).or_default();
                let key = (service.clone(), upstream.clone());
                counts.entry(key).or_default().record(outcome);
            }
        }
        let all_due = interval.is_multiple_of(QUIET_INTERVALS);
        let is_due = |counts: &BTreeMap<_, Counts>| {
            all_due || counts.values().any(|counts| counts.failures() > 0)
        };
        let pending = std::mem::take(&mut self.pending);
        for (collector, counts) in pending {
            if is_due(&counts) {
                self.send(&collector, counts, u64::from(interval), sent);
            } else {
                self.pending.insert(collector, counts);
            }
        }
    }

    fn send(
        &self,
        collector: &InstanceId,
        counts: BTreeMap<(ServiceId, ServiceId), Counts>,
        seq: u64,
        sent: &mut Sent,
    ) {
        let incarnation = self.own.incarnation;
        let entries: Vec<ReportEntry> = counts
            .into_iter()
            .map(|((service, upstream), counts)| ReportEntry {
                service,
                upstream,
                incarnation,
                counts,
            })
            .collect();
        let mut services: Vec<ServiceId> = entries.iter().map(|e| e.service.clone()).collect();
        services.dedup();
        let known = |service| KnownSeq { service, seq: 17 };
        let report = Report {
            observer: self.own.id.clone(),
            incarnation,
            seq,
            failure_domain: self.own.failure_domain.clone(),
            collector: incarnation,
            entries,
            known_seqs: services.into_iter().map(known).collect(),
        };
        let reply = ReportReply {
            collector: collector.clone(),
            incarnation,
            services: Vec::new(),
            not_collected: Vec::new(),
            excluded: Vec::new(),
        };
        let (report, reply) =
            (report.encode().expect("encodable"), reply.encode().expect("encodable"));
        Report::decode(&report).expect("decodable");
        ReportReply::decode(&reply).expect("decodable");
        sent.reports += 1;
        sent.encoded += report.len() + reply.len();
        *sent.by_collector.entry(collector.clone()).or_default() += 1;
    }
}

/// Address of an instance of the bench.
pub(crate) fn address(i: usize) -> SocketAddr {
    let (high, low) = ((i / 250) as u8, (i % 250) as u8);
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7400))
}

/// A life of an instance of the bench.
pub(crate) fn incarnation(i: usize, life: u64) -> Incarnation {
    Incarnation::new(1_800_000_000_000 + life * 1000, i as u32 * 7919)
}

/// Time between two exchange intervals.
pub(crate) const INTERVAL: Duration = Duration::from_millis(500);
