//! Prometheus metrics of an instance.

use eyre::{Result, WrapErr};
use prometheus::{
    Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets in seconds, from well below the added latency that is allowed at
/// p99 (4.8 ms) to the longest usual deadline.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.0005, 0.001, 0.002, 0.0048, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// The metrics of an instance. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and status code of the response to the caller.
    pub requests: IntCounterVec,
    /// Time from the request head to the response head by service, in seconds.
    pub request_duration: HistogramVec,
    /// Rejections by service, reason and the execution state reported to the caller.
    pub rejections: IntCounterVec,
    /// Requests without a valid API key, by reason (missing, malformed, unknown, shared).
    pub unauthorized_requests: IntCounterVec,
    /// Attempts at upstreams by service and kind (first, retry, hedge, resume).
    pub attempts: IntCounterVec,
    /// Evidence about upstreams by service and outcome.
    pub evidence: IntCounterVec,
    /// Response bodies that could not be completed, by service.
    pub aborted_responses: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Requests that were started before the earlier ones on their connection were answered.
    pub pipelined_requests: IntCounter,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Connections of callers that were rejected because too many were open.
    pub rejected_connections: IntCounter,
    /// Failed accepts by listener (callers, admin).
    pub accept_failures: IntCounterVec,
    /// Ejections by service.
    pub ejections: IntCounterVec,
    /// Readmissions by service.
    pub readmissions: IntCounterVec,
    /// Ejections prevented by the floor, by service.
    pub floor_refusals: IntCounterVec,
    /// Weight of each upstream, from 0 to 1, by service and upstream.
    pub upstream_weight: GaugeVec,
    /// Capacity in service by service, in slots.
    pub capacity_slots: GaugeVec,
    /// Floor by service, in slots.
    pub floor_slots: IntGaugeVec,
    /// Version of the configuration in force, 0 if there is none.
    pub configuration_version: IntGauge,
    /// 1 if the configuration in force is unconfirmed, else 0.
    pub configuration_unconfirmed: IntGauge,
    /// Age of the newest proof that the configuration in force is fresh, in seconds. Zero if no
    /// proof is needed, infinite if there is none yet.
    pub configuration_proof_age: Gauge,
    /// Members by state.
    pub members: IntGaugeVec,
    /// Calls to the store by operation and result.
    pub store_calls: IntCounterVec,
    /// Number of the store's history, which rises each time the store comes back from an older copy. 0
    /// if the store states none.
    pub store_era: IntGauge,
    /// Entries of the store that this version does not understand, in whole or in part, by part
    /// (configuration, kind, account, upstream, instance).
    pub store_entries_not_understood: IntCounterVec,
    /// Bytes of peer traffic by direction.
    pub peer_bytes: IntCounterVec,
    /// Peer frames that were dropped, by reason.
    pub peer_frames_dropped: IntCounterVec,
    /// Notices of other instances that were ignored, by reason.
    pub notices_ignored: IntCounterVec,
    /// Non-idempotent requests by service and result (completed, not_run, unknown, repeat).
    pub non_idempotent: IntCounterVec,
    /// Requests of client accounts with a quota, by result (granted, refused, no_owner).
    pub quota_requests: IntCounterVec,
    /// Quota shards that the instance owns.
    pub quota_shards_owned: IntGauge,
    /// Bytes of bodies and request heads that are held, by use (responses, requests). Zero without a
    /// memory budget.
    pub body_bytes_held: IntGaugeVec,
    /// Requests refused because the memory budget has no room for their bodies.
    pub requests_refused_for_memory: IntCounter,
    /// Spans that were dropped because the queue was full or the trace collector did not accept
    /// them.
    pub spans_dropped: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name, which is a programming error.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let r = &registry;
        Ok(Self {
            requests: counters(
                r,
                "requests_total",
                "Requests answered.",
                &["service", "class", "code"],
            )?,
            request_duration: histograms(
                r,
                "request_duration_seconds",
                "Time to the response head.",
                &["service"],
            )?,
            rejections: counters(
                r,
                "rejections_total",
                "Requests rejected by the instance.",
                &["service", "reason", "execution"],
            )?,
            unauthorized_requests: counters(
                r,
                "unauthorized_requests_total",
                "Requests rejected because they carry no valid API key.",
                &["reason"],
            )?,
            attempts: counters(
                r,
                "attempts_total",
                "Requests sent to upstreams.",
                &["service", "kind"],
            )?,
            evidence: counters(
                r,
                "evidence_total",
                "Exchanges with upstreams by outcome.",
                &["service", "outcome"],
            )?,
            aborted_responses: counters(
                r,
                "aborted_responses_total",
                "Responses that could not be completed.",
                &["service"],
            )?,
            in_flight: gauge(r, "requests_in_flight", "Requests in flight.")?,
            pipelined_requests: counter(
                r,
                "pipelined_requests_total",
                "Requests started before earlier ones on their connection were answered.",
            )?,
            caller_connections: gauge(r, "caller_connections", "Open connections of callers.")?,
            rejected_connections: counter(
                r,
                "rejected_connections_total",
                "Connections of callers rejected because too many were open.",
            )?,
            accept_failures: counters(
                r,
                "accept_failures_total",
                "Connections that could not be accepted.",
                &["listener"],
            )?,
            ejections: counters(r, "ejections_total", "Upstreams ejected.", &["service"])?,
            readmissions: counters(r, "readmissions_total", "Upstreams readmitted.", &["service"])?,
            floor_refusals: counters(
                r,
                "floor_refusals_total",
                "Ejections prevented by the floor.",
                &["service"],
            )?,
            upstream_weight: float_gauges(
                r,
                "upstream_weight",
                "Share of an upstream from 0 to 1.",
                &["service", "upstream"],
            )?,
            capacity_slots: float_gauges(
                r,
                "capacity_slots",
                "Capacity in service.",
                &["service"],
            )?,
            floor_slots: gauges(
                r,
                "floor_slots",
                "Capacity that ejections must leave.",
                &["service"],
            )?,
            configuration_version: gauge(r, "configuration_version", "Version in force.")?,
            configuration_unconfirmed: gauge(
                r,
                "configuration_unconfirmed",
                "1 if not confirmed lately.",
            )?,
            configuration_proof_age: float_gauge(
                r,
                "configuration_proof_age_seconds",
                "Age of the proof that the configuration in force is fresh.",
            )?,
            members: gauges(r, "members", "Instances of the fleet by state.", &["state"])?,
            store_calls: counters(
                r,
                "store_calls_total",
                "Calls to the store.",
                &["operation", "result"],
            )?,
            store_era: gauge(r, "store_era", "Number of the store's history.")?,
            store_entries_not_understood: counters(
                r,
                "store_entries_not_understood_total",
                "Entries of the store that this version does not understand.",
                &["part"],
            )?,
            peer_bytes: counters(r, "peer_bytes_total", "Bytes of peer traffic.", &["direction"])?,
            peer_frames_dropped: counters(
                r,
                "peer_frames_dropped_total",
                "Peer frames dropped.",
                &["reason"],
            )?,
            notices_ignored: counters(
                r,
                "notices_ignored_total",
                "Notices of other instances ignored.",
                &["reason"],
            )?,
            non_idempotent: counters(
                r,
                "non_idempotent_requests_total",
                "Non-idempotent requests by result.",
                &["service", "result"],
            )?,
            quota_requests: counters(
                r,
                "quota_requests_total",
                "Requests of client accounts with a quota by result.",
                &["result"],
            )?,
            quota_shards_owned: gauge(
                r,
                "quota_shards_owned",
                "Quota shards that the instance owns.",
            )?,
            body_bytes_held: gauges(
                r,
                "body_bytes_held",
                "Bytes of bodies and request heads that are held.",
                &["use"],
            )?,
            requests_refused_for_memory: counter(
                r,
                "requests_refused_for_memory_total",
                "Requests refused because the memory budget has no room for their bodies.",
            )?,
            spans_dropped: counter(r, "spans_dropped_total", "Spans not exported.")?,
            registry,
        })
    }

    /// Writes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .wrap_err("cannot encode the metrics")?;
        String::from_utf8(buf).wrap_err("the metrics are not UTF-8")
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("cactustrack")
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> Result<C> {
    let collector = collector.wrap_err("invalid metric")?;
    registry.register(Box::new(collector.clone())).wrap_err("cannot register a metric")?;
    Ok(collector)
}

fn counter(r: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    register(r, IntCounter::with_opts(opts(name, help)))
}

fn counters(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    register(r, IntCounterVec::new(opts(name, help), labels))
}

fn gauge(r: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    register(r, IntGauge::with_opts(opts(name, help)))
}

fn gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
    register(r, IntGaugeVec::new(opts(name, help), labels))
}

fn float_gauge(r: &Registry, name: &str, help: &str) -> Result<Gauge> {
    register(r, Gauge::with_opts(opts(name, help)))
}

fn float_gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec> {
    register(r, GaugeVec::new(opts(name, help), labels))
}

fn histograms(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
    let opts =
        HistogramOpts::new(name, help).namespace("cactustrack").buckets(LATENCY_BUCKETS_S.to_vec());
    register(r, HistogramVec::new(opts, labels))
}
