//! Detects that this instance has missed changes that other instances already know.

use std::cell::Cell;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Revision, Topic};

/// Time within which a relay normally delivers a change that other instances already know. A
/// change that is missing for longer is read from the store, which costs a call.
pub(super) const RELAY_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest random delay before a change that no relay sends is read from the store. It spreads the
/// store calls of the fleet over time.
const MAX_READ_JITTER: Duration = Duration::from_millis(200);

/// How far this instance lags behind others on one topic.
#[derive(Default)]
struct TopicLag {
    /// Newest revision that has to be read from the store.
    revision: Cell<Revision>,
    /// Time since which this instance has lagged behind.
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

    /// Records the revision of a change that a relay sent and that cannot be applied, because
    /// earlier ones are missing. Another relay may still deliver these.
    pub(crate) fn record_gap(&self, topic: Topic, revision: Revision) {
        let newest = &self.lag(topic).revision;
        newest.set(newest.get().max(revision));
    }

    /// Returns true if this instance, which has read up to the revision `own`, has lagged behind
    /// for longer than a relay normally takes. `reported` is the revision of the newest change that
    /// other instances know and this one does not, [`Revision::NONE`] if there is none.
    pub(crate) fn check(&self, topic: Topic, own: Revision, reported: Revision) -> bool {
        let lag = self.lag(topic);
        if lag.revision.get().max(reported) <= own {
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
