//! Detects that this instance has missed changes that other instances already know.

use std::cell::Cell;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Revision, Topic};
use cactustrack_fleet::message::StoreView;

/// Time within which a relay normally delivers a change that other instances already know. A
/// change that is missing for longer is read from the store, which costs a call.
const RELAY_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest random delay before a change that no relay sends is read from the store. It spreads the
/// store calls of the fleet over time.
const MAX_READ_JITTER: Duration = Duration::from_millis(200);

/// Newest revision known in the fleet for one topic, and since when this instance lags behind it.
#[derive(Default)]
struct TopicLag {
    revision: Cell<Revision>,
    since: Cell<Option<Instant>>,
}

/// Tracks, for each topic, whether this instance lags behind the other instances.
#[derive(Default)]
pub(crate) struct LagTracker {
    configuration: TopicLag,
    upstreams: TopicLag,
}

impl LagTracker {
    /// Records a revision that no relay sends and that has to be read from the store.
    pub(crate) fn record_revision(&self, topic: Topic, revision: Revision) {
        let lag = self.lag(topic);
        if revision > lag.revision.get() {
            let jitter = MAX_READ_JITTER.mul_f64(rand::random());
            let since = (Instant::now() + jitter).checked_sub(RELAY_DELIVERY_TIMEOUT);
            lag.revision.set(revision);
            lag.since.set(since);
        }
    }

    /// Compares the own revision with those that other instances report. Returns true if this
    /// instance has lagged behind for longer than a relay normally takes.
    pub(crate) fn check(&self, topic: Topic, own: Revision, others: &StoreView) -> bool {
        let lag = self.lag(topic);
        let reported = match topic {
            Topic::Configuration => others.configuration,
            Topic::Upstreams => others.upstreams,
        };
        lag.revision.set(lag.revision.get().max(reported));
        if lag.revision.get() <= own {
            lag.since.set(None);
            return false;
        }
        let now = Instant::now();
        let since = lag.since.get().unwrap_or(now);
        lag.since.set(Some(since));
        now.saturating_duration_since(since) >= RELAY_DELIVERY_TIMEOUT
    }

    fn lag(&self, topic: Topic) -> &TopicLag {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Upstreams => &self.upstreams,
        }
    }
}
