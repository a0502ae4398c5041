//! Measures the traffic of evidence reports while no upstream is faulty.
//!
//! The reporter batches as described in docs/design.md, 4.2: counts with a failure are sent after
//! at most 500 ms, others after 5 s. Only a sample of the instances reports. On average, collectors
//! receive as much as reporters send.

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

/// Requests per instance and interval, from 150,000 requests per second over 800 instances.
const REQUESTS_PER_INTERVAL: u32 = 94;
/// Share of requests that fail.
const FAILURE_RATE: f64 = 0.001;
/// Number of simulated intervals.
const INTERVALS: u32 = 120;
/// Number of intervals after which counts without a failure are sent.
const QUIET_INTERVALS: u32 = 10;
/// Number of instances in the sample.
const REPORTERS: usize = 20;
/// Number of upstreams of a service that an instance uses.
const SUBSET: usize = 3;

/// Cost of evidence reports per instance.
pub(crate) struct EvidenceCost {
    pub(crate) bytes: f64,
    pub(crate) core_percent: f64,
    pub(crate) connections: f64,
    reports: f64,
    encoded: f64,
    busiest_reports: f64,
}

impl EvidenceCost {
    pub(crate) fn print(&self, n: usize) {
        println!("{n} instances, reports sent per instance: {:.1} /s", self.reports);
        println!("{n} instances, reports to the busiest collector: {:.0} /s", self.busiest_reports);
        println!("{n} instances, evidence, sent and received per instance: {:.0} B/s", self.bytes);
        println!("{n} instances, of which encoded messages: {:.0} B/s", self.encoded);
        println!("{n} instances, evidence, processor time: {:.2} % of a core", self.core_percent);
    }
}

/// Counts of the reports sent.
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
pub(crate) fn measure(shape: &Shape, cost: &CallCost) -> EvidenceCost {
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
    EvidenceCost {
        // Each instance sends its reports and its replies to others, and receives as much.
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
            let failed = self.rng.random_bool(FAILURE_RATE);
            let outcome = if failed { Outcome::Failed } else { Outcome::Ok };
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
        let (report, reply) = (
            report.encode().expect("report is encodable"),
            reply.encode().expect("reply is encodable"),
        );
        Report::decode(&report).expect("report is decodable");
        ReportReply::decode(&reply).expect("reply is decodable");
        sent.reports += 1;
        sent.encoded += report.len() + reply.len();
        *sent.by_collector.entry(collector.clone()).or_default() += 1;
    }
}

/// Returns the address of an instance.
pub(crate) fn address(i: usize) -> SocketAddr {
    let (high, low) = ((i / 250) as u8, (i % 250) as u8);
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7400))
}

/// Returns the incarnation of a run of an instance.
pub(crate) fn incarnation(i: usize, run: u64) -> Incarnation {
    Incarnation::new(1_800_000_000_000 + run * 1000, i as u32 * 7919)
}

/// Time between two exchange intervals.
pub(crate) const INTERVAL: Duration = Duration::from_millis(500);
