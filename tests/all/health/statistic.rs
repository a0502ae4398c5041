//! Comparison of the collector's incremental statistic with one that is recomputed from all
//! reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_health::{Collector, FAULT_RATES, log_likelihood_ratio};
use cactustrack_types::{Counts, Incarnation};
use proptest::prelude::*;

use super::{SLOT, policy, report};

const OBSERVERS: usize = 4;
/// Slots of the window, which the collector recomputes with the current baseline. Older ones keep
/// the baseline at the time when they left the window.
const WINDOW_SLOTS: usize = 14;
/// Largest number of slots that a report covers.
const MAX_REPORT_SLOTS: usize = 11;
/// No statistic gets near the threshold for this number (460 nats), so that none is reset.
const MEAN_SAMPLES: f64 = 1e200;

/// Ok, failed and slow responses in a report.
type Entry = (u32, u32, u32);

/// All reports of one observer, by slot of arrival.
#[derive(Default)]
struct ReportLog {
    reports: BTreeMap<usize, Entry>,
}

impl ReportLog {
    /// Returns the bad, good and expected unreported responses by slot for failures (0) or slow
    /// responses (1), computed from the definition: ok responses are distributed over the slots
    /// that a report covers, and responses are expected in slots after the last report.
    fn responses(&self, kind: usize, end: usize) -> Vec<(f64, f64, f64)> {
        let mut slots = vec![(0.0, 0.0, 0.0); end + 1];
        let (mut covered, mut rate): (Option<i64>, f64) = (None, 0.0);
        for (&arrival, &(ok, failed, slow)) in &self.reports {
            let earliest = arrival as i64 - (MAX_REPORT_SLOTS as i64 - 1);
            let total = f64::from(ok + failed + slow);
            let before = covered.unwrap_or(earliest - 1);
            if covered.is_none() {
                rate = total / MAX_REPORT_SLOTS as f64;
            }
            let gap = (arrival as i64 - before).max(1) as f64;
            rate += (1.0 - (-gap / 20.0).exp()) * (total / gap - rate);
            let first = (before + 1).max(earliest).min(arrival as i64);
            let share = f64::from(ok) / (arrival as i64 - first + 1) as f64;
            // Slots before the start are counted as the first one.
            (first..=arrival as i64).for_each(|slot| slots[slot.max(0) as usize].1 += share);
            let (bad, good) = if kind == 0 { (failed, slow) } else { (slow, 0) };
            slots[arrival].0 += f64::from(bad);
            slots[arrival].1 += f64::from(good);
            covered = Some(arrival as i64);
        }
        let Some(covered) = covered else { return slots };
        let covered = covered as usize;
        // Responses more than eleven slots ago would have been reported.
        let unreported = (covered + 1).max(end.saturating_sub(MAX_REPORT_SLOTS))
            ..(covered + MAX_REPORT_SLOTS + 1).min(end);
        unreported.for_each(|slot| slots[slot].2 += rate);
        slots
    }
}

/// Returns the largest statistic over kinds and fault rates, recomputed from all reports.
fn recomputed_score(logs: &[ReportLog], folded: &[[f64; 2]], current: [f64; 2], end: usize) -> f64 {
    let mut largest: f64 = 0.0;
    for kind in 0..2 {
        let responses: Vec<_> = logs.iter().map(|log| log.responses(kind, end)).collect();
        for fault_rate in FAULT_RATES {
            let mut score: f64 = 0.0;
            for slot in 0..=end {
                let baseline =
                    if slot + WINDOW_SLOTS <= end { folded[slot][kind] } else { current[kind] };
                let ratio = log_likelihood_ratio(baseline, fault_rate);
                let step = responses.iter().map(|observer| {
                    let (bad, good, unreported) = observer[slot];
                    bad * ratio.bad + good * ratio.good + unreported * ratio.unreported
                });
                score = (score + step.sum::<f64>()).clamp(0.0, 50.0 * MEAN_SAMPLES.ln());
            }
            largest = largest.max(score);
        }
    }
    largest
}

fn schedule() -> impl Strategy<Value = Vec<[Option<Entry>; OBSERVERS]>> {
    let counts = (0u32..12, prop_oneof![6 => Just(0u32), 1 => 1u32..4], 0u32..2);
    let event = prop_oneof![3 => Just(None), 1 => counts.prop_map(Some)];
    prop::collection::vec([event.clone(), event.clone(), event.clone(), event], 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against errors of the incremental statistic: slots that are added twice or never, ok
    /// responses in the wrong slots, and expected responses that remain after their slots were
    /// reported.
    #[test]
    fn matches_the_statistic_recomputed_from_all_reports(events in schedule()) {
        let start = Instant::now();
        let mut collector = Collector::new(start, Arc::from("archeio"), policy(MEAN_SAMPLES));
        let mut logs: Vec<ReportLog> = (0..OBSERVERS).map(|_| ReportLog::default()).collect();
        let mut folded: Vec<[f64; 2]> = Vec::new();
        for (slot, reports) in events.iter().enumerate() {
            let now = start + SLOT * u32::try_from(slot).expect("few slots");
            collector.tick(now);
            if slot >= WINDOW_SLOTS {
                folded.push(collector.baselines().into());
            }
            for (observer, event) in reports.iter().enumerate() {
                // An observer with requests reports at least every five seconds, and the window of
                // the upstream starts with the first report.
                let is_first = slot == 0 && observer == 0;
                let overdue = is_first || logs[observer].reports.keys().last().is_some_and(|at| at + 9 < slot);
                let event = event.filter(|(ok, failed, slow)| ok + failed + slow > 0);
                let Some((ok, failed, slow)) = event.or(overdue.then_some((1, 0, 0))) else {
                    continue;
                };
                let counts = Counts { ok, failed, slow, ..Counts::default() };
                let entry = (Arc::from("u0"), Incarnation(1), counts);
                collector.add_report(now, &report(observer, 2, vec![entry]));
                logs[observer].reports.insert(slot, (ok, failed, slow));
            }
            collector.tick(now + Duration::from_millis(400));
            let expected = recomputed_score(&logs, &folded, collector.baselines().into(), slot);
            let score = collector.score("u0").unwrap_or(0.0);
            prop_assert!((score - expected).abs() < 1e-6, "slot {slot}: {score} != {expected}");
        }
    }
}
