//! Metrics of membership and of the traffic with other instances.

use std::collections::BTreeMap;
use std::rc::Rc;

use cactustrack_members::MemberState;
use cactustrack_observe::Metrics;
use cactustrack_peer::{PeerCounters, PeerFault, PeerMethod};
use prometheus::IntCounter;

use super::blackboard::Blackboard;

/// Exports the counters of the peer protocol and the member states as metrics.
pub(crate) struct PeerTelemetry {
    counters: Rc<PeerCounters>,
}

impl PeerTelemetry {
    /// Creates the telemetry for these counters.
    pub(crate) fn new(counters: Rc<PeerCounters>) -> Self {
        Self { counters }
    }

    /// Sets the metrics to the current counters and member states.
    pub(crate) fn update(&mut self, board: &Blackboard, metrics: &Metrics) {
        let traffic = PeerMethod::ALL.map(|method| self.counters.traffic(method));
        let sent = traffic.iter().map(|traffic| traffic.sent_bytes).sum();
        let received = traffic.iter().map(|traffic| traffic.received_bytes).sum();
        raise_to(&metrics.peer_bytes.with_label_values(&["sent"]), sent);
        raise_to(&metrics.peer_bytes.with_label_values(&["received"]), received);
        for fault in PeerFault::ALL {
            let counter = metrics.peer_frames_dropped.with_label_values(&[&fault.to_string()]);
            raise_to(&counter, self.counters.faults(fault));
        }
        let mut states: BTreeMap<String, i64> = BTreeMap::new();
        for state in
            [MemberState::Live, MemberState::Suspect, MemberState::Leaving, MemberState::Gone]
        {
            states.insert(state.to_string(), 0);
        }
        for member in board.membership.members() {
            *states.entry(member.state.to_string()).or_default() += 1;
        }
        for (state, count) in states {
            metrics.members.with_label_values(&[&state]).set(count);
        }
    }
}

/// Increases a counter to a total that is counted elsewhere.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
