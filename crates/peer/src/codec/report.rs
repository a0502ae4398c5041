//! Encoding of evidence and verdicts.

use cactustrack_types::{Counts, Incarnation, Scope, Verdict, VerdictHealth};
use capnp::{Error, Result};

use super::{MAX_LIST_ITEMS, check_length, impl_message, list_length, read_text};
use crate::messages::{KnownSeq, Report, ReportEntry, ReportReply, ServiceVerdicts};
use crate::peer_capnp::{
    counts, known_seq, report, report_reply, service_evidence, service_verdicts, verdict,
};

/// Services in one message.
const MAX_SERVICES: u32 = 1024;

impl_message!(Report, report, write_report, read_report);
impl_message!(ReportReply, report_reply, write_reply, read_reply);

pub(crate) fn write_report(value: &Report, mut to: report::Builder<'_>) {
    to.set_observer(&value.observer);
    to.set_incarnation(value.incarnation.0);
    to.set_seq(value.seq);
    to.set_failure_domain(&value.failure_domain);
    let groups: Vec<&[ReportEntry]> =
        value.entries.chunk_by(|a, b| a.service == b.service).collect();
    let mut services = to.reborrow().init_services(list_length(groups.len()));
    for (i, group) in (0..services.len()).zip(groups) {
        write_group(group, services.reborrow().get(i));
    }
    let mut known = to.init_known_seqs(list_length(value.known_seqs.len()));
    for (i, seq) in (0..known.len()).zip(&value.known_seqs) {
        let mut item = known.reborrow().get(i);
        item.set_service(&seq.service);
        item.set_collector(seq.collector.0);
        item.set_seq(seq.seq);
    }
}

fn write_group(group: &[ReportEntry], mut to: service_evidence::Builder<'_>) {
    if let Some(entry) = group.first() {
        to.set_service(&entry.service);
    }
    let mut upstreams = to.init_upstreams(list_length(group.len()));
    for (i, entry) in (0..upstreams.len()).zip(group) {
        let mut item = upstreams.reborrow().get(i);
        item.set_upstream(&entry.upstream);
        item.set_incarnation(entry.incarnation.0);
        write_counts(&entry.counts, item.init_counts());
    }
}

pub(crate) fn read_report(from: report::Reader<'_>) -> Result<Report> {
    let services = from.get_services()?;
    check_length(services.len(), MAX_SERVICES)?;
    let known = from.get_known_seqs()?;
    check_length(known.len(), MAX_SERVICES)?;
    let mut entries = Vec::new();
    for service in services {
        read_group(service, &mut entries)?;
    }
    Ok(Report {
        observer: read_text(from.get_observer()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        seq: from.get_seq(),
        failure_domain: read_text(from.get_failure_domain()?)?,
        entries,
        known_seqs: known.iter().map(read_known_seq).collect::<Result<_>>()?,
    })
}

fn read_group(from: service_evidence::Reader<'_>, entries: &mut Vec<ReportEntry>) -> Result<()> {
    let service = read_text(from.get_service()?)?;
    let upstreams = from.get_upstreams()?;
    let room = MAX_LIST_ITEMS.saturating_sub(list_length(entries.len()));
    check_length(upstreams.len(), room)?;
    for upstream in upstreams {
        entries.push(ReportEntry {
            service: service.clone(),
            upstream: read_text(upstream.get_upstream()?)?,
            incarnation: Incarnation(upstream.get_incarnation()),
            counts: read_counts(upstream.get_counts()?),
        });
    }
    Ok(())
}

fn read_known_seq(from: known_seq::Reader<'_>) -> Result<KnownSeq> {
    Ok(KnownSeq {
        service: read_text(from.get_service()?)?,
        collector: Incarnation(from.get_collector()),
        seq: from.get_seq(),
    })
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

pub(crate) fn write_reply(value: &ReportReply, mut to: report_reply::Builder<'_>) {
    to.set_collector(&value.collector);
    to.set_incarnation(value.incarnation.0);
    let mut services = to.init_services(list_length(value.services.len()));
    for (i, service) in (0..services.len()).zip(&value.services) {
        write_service(service, services.reborrow().get(i));
    }
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

pub(crate) fn read_reply(from: report_reply::Reader<'_>) -> Result<ReportReply> {
    let services = from.get_services()?;
    check_length(services.len(), MAX_SERVICES)?;
    let mut room = MAX_LIST_ITEMS;
    let mut read = Vec::new();
    for service in services {
        let verdicts = service.get_verdicts()?;
        room -= check_length(verdicts.len(), room)?;
        read.push(ServiceVerdicts {
            service: read_text(service.get_service()?)?,
            seq: service.get_seq(),
            verdicts: verdicts.iter().map(read_verdict).collect::<Result<_>>()?,
        });
    }
    Ok(ReportReply {
        collector: read_text(from.get_collector()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        services: read,
    })
}

fn read_verdict(from: verdict::Reader<'_>) -> Result<Verdict> {
    let scope = if from.has_domain() {
        Scope::Domain(read_text(from.get_domain()?)?)
    } else {
        Scope::Everywhere
    };
    let health =
        if from.get_faulty() { VerdictHealth::Faulty { scope } } else { VerdictHealth::Good };
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
