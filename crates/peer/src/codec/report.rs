//! Encoding of evidence reports and of the verdicts in the replies to them.

use std::collections::BTreeMap;

use cactustrack_types::{Counts, Incarnation, Scope, ServiceId, Verdict, VerdictHealth};
use capnp::{Error, Result, text_list};

use super::{MAX_LIST_ITEMS, check_length, impl_message, list_length, read_text};
use crate::messages::{KnownSeq, Report, ReportEntry, ReportReply, ServiceVerdicts};
use crate::peer_capnp::{
    counts, report, report_reply, service_evidence, service_verdicts, verdict,
};

/// Largest number of services in one message.
const MAX_SERVICES: u32 = 1024;

impl_message!(Report, report, write_report, read_report);
impl_message!(ReportReply, report_reply, write_report_reply, read_report_reply);

pub(crate) fn write_report(value: &Report, mut to: report::Builder<'_>) {
    to.set_observer(&value.observer);
    to.set_incarnation(value.incarnation.0);
    to.set_seq(value.seq);
    to.set_failure_domain(&value.failure_domain);
    to.set_collector(value.collector.0);
    let groups = group_by_service(value);
    let mut services = to.init_services(list_length(groups.len()));
    for (i, group) in (0..services.len()).zip(groups) {
        write_group(&group, services.reborrow().get(i));
    }
}

/// Evidence on one service, and the sequence number of the verdicts known about it.
struct ServiceGroup<'a> {
    service: &'a ServiceId,
    entries: &'a [ReportEntry],
    known_seq: Option<u64>,
}

/// Returns the entries and known sequence numbers of a report by service: first the services with
/// entries, then the others.
fn group_by_service(value: &Report) -> Vec<ServiceGroup<'_>> {
    let mut known: BTreeMap<&ServiceId, u64> =
        value.known_seqs.iter().map(|known| (&known.service, known.seq)).collect();
    let mut groups = Vec::new();
    for entries in value.entries.chunk_by(|a, b| a.service == b.service) {
        let service = &entries[0].service;
        groups.push(ServiceGroup { service, entries, known_seq: known.remove(service) });
    }
    let others = known.into_iter();
    groups.extend(others.map(|(service, seq)| ServiceGroup {
        service,
        entries: &[],
        known_seq: Some(seq),
    }));
    groups
}

fn write_group(group: &ServiceGroup<'_>, mut to: service_evidence::Builder<'_>) {
    to.set_service(group.service);
    to.set_follows(group.known_seq.is_some());
    to.set_known_seq(group.known_seq.unwrap_or(0));
    let mut upstreams = to.init_upstreams(list_length(group.entries.len()));
    for (i, entry) in (0..upstreams.len()).zip(group.entries) {
        let mut item = upstreams.reborrow().get(i);
        item.set_upstream(&entry.upstream);
        item.set_incarnation(entry.incarnation.0);
        item.set_ok(entry.counts.ok);
        item.set_refused(entry.counts.refused);
        item.set_failed(entry.counts.failed);
        item.set_cut_short(entry.counts.cut_short);
        item.set_slow(entry.counts.slow);
        item.set_silent(entry.counts.silent);
        item.set_shed(entry.counts.shed);
    }
}

pub(crate) fn read_report(from: report::Reader<'_>) -> Result<Report> {
    let services = from.get_services()?;
    check_length(services.len(), MAX_SERVICES)?;
    let mut report = Report {
        observer: read_text(from.get_observer()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        seq: from.get_seq(),
        failure_domain: read_text(from.get_failure_domain()?)?,
        collector: Incarnation(from.get_collector()),
        entries: Vec::new(),
        known_seqs: Vec::new(),
    };
    for service in services {
        read_group(service, &mut report)?;
    }
    Ok(report)
}

fn read_group(from: service_evidence::Reader<'_>, report: &mut Report) -> Result<()> {
    let service = read_text(from.get_service()?)?;
    if from.get_follows() {
        report.known_seqs.push(KnownSeq { service: service.clone(), seq: from.get_known_seq() });
    }
    let upstreams = from.get_upstreams()?;
    let remaining = MAX_LIST_ITEMS.saturating_sub(list_length(report.entries.len()));
    check_length(upstreams.len(), remaining)?;
    for upstream in upstreams {
        report.entries.push(ReportEntry {
            service: service.clone(),
            upstream: read_text(upstream.get_upstream()?)?,
            incarnation: Incarnation(upstream.get_incarnation()),
            counts: Counts {
                ok: upstream.get_ok(),
                refused: upstream.get_refused(),
                failed: upstream.get_failed(),
                cut_short: upstream.get_cut_short(),
                slow: upstream.get_slow(),
                silent: upstream.get_silent(),
                shed: upstream.get_shed(),
            },
        });
    }
    Ok(())
}

fn write_counts(value: &Counts, mut to: counts::Builder<'_>) {
    to.set_ok(value.ok);
    to.set_refused(value.refused);
    to.set_failed(value.failed);
    to.set_cut_short(value.cut_short);
    to.set_slow(value.slow);
    to.set_silent(value.silent);
    to.set_shed(value.shed);
}

fn read_counts(from: counts::Reader<'_>) -> Counts {
    Counts {
        ok: from.get_ok(),
        refused: from.get_refused(),
        failed: from.get_failed(),
        cut_short: from.get_cut_short(),
        slow: from.get_slow(),
        silent: from.get_silent(),
        shed: from.get_shed(),
    }
}

pub(crate) fn write_report_reply(value: &ReportReply, mut to: report_reply::Builder<'_>) {
    to.set_collector(&value.collector);
    to.set_incarnation(value.incarnation.0);
    let mut services = to.reborrow().init_services(list_length(value.services.len()));
    for (i, service) in (0..services.len()).zip(&value.services) {
        write_service(service, services.reborrow().get(i));
    }
    if !value.not_collected.is_empty() {
        let length = list_length(value.not_collected.len());
        write_names(&value.not_collected, to.reborrow().init_not_collected(length));
    }
    if !value.excluded.is_empty() {
        write_names(&value.excluded, to.init_excluded(list_length(value.excluded.len())));
    }
}

fn write_names(names: &[ServiceId], mut to: text_list::Builder<'_>) {
    for (i, name) in (0..to.len()).zip(names) {
        to.set(i, name);
    }
}

fn read_names(from: text_list::Reader<'_>) -> Result<Vec<ServiceId>> {
    check_length(from.len(), MAX_SERVICES)?;
    from.iter().map(|name| read_text(name?)).collect()
}

fn write_service(value: &ServiceVerdicts, mut to: service_verdicts::Builder<'_>) {
    to.set_service(&value.service);
    to.set_seq(value.seq);
    let mut verdicts = to.init_verdicts(list_length(value.verdicts.len()));
    for (i, verdict) in (0..verdicts.len()).zip(&value.verdicts) {
        write_verdict(verdict, verdicts.reborrow().get(i));
    }
}

fn write_verdict(value: &Verdict, mut to: verdict::Builder<'_>) {
    to.set_upstream(&value.upstream);
    to.set_incarnation(value.incarnation.0);
    if let VerdictHealth::Faulty { scope } = &value.health {
        to.set_faulty(true);
        if let Scope::Domain(domain) = scope {
            to.set_domain(domain);
        }
    }
    to.set_score(value.score);
    to.set_threshold(value.threshold);
    to.set_observers(value.observers);
    to.set_seq(value.seq);
    write_counts(&value.evidence, to.init_evidence());
}

pub(crate) fn read_report_reply(from: report_reply::Reader<'_>) -> Result<ReportReply> {
    let services = from.get_services()?;
    check_length(services.len(), MAX_SERVICES)?;
    let mut remaining = MAX_LIST_ITEMS;
    let mut services_read = Vec::new();
    for service in services {
        let verdicts = service.get_verdicts()?;
        remaining -= check_length(verdicts.len(), remaining)?;
        services_read.push(ServiceVerdicts {
            service: read_text(service.get_service()?)?,
            seq: service.get_seq(),
            verdicts: verdicts.iter().map(read_verdict).collect::<Result<_>>()?,
        });
    }
    Ok(ReportReply {
        collector: read_text(from.get_collector()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        services: services_read,
        not_collected: read_names(from.get_not_collected()?)?,
        excluded: read_names(from.get_excluded()?)?,
    })
}

fn read_verdict(from: verdict::Reader<'_>) -> Result<Verdict> {
    let scope = if from.has_domain() {
        Scope::Domain(read_text(from.get_domain()?)?)
    } else {
        Scope::Everywhere
    };
    let health =
        if from.get_faulty() { VerdictHealth::Faulty { scope } } else { VerdictHealth::Healthy };
    let (score, threshold) = (from.get_score(), from.get_threshold());
    if !score.is_finite() || !threshold.is_finite() {
        return Err(Error::failed("score of a verdict is not a number".into()));
    }
    Ok(Verdict {
        upstream: read_text(from.get_upstream()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        health,
        score,
        threshold,
        evidence: read_counts(from.get_evidence()?),
        observers: from.get_observers(),
        seq: from.get_seq(),
    })
}
