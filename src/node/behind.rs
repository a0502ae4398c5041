//! Revisions of which other instances have told.

use std::cell::Cell;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Revision, Topic};
use cactustrack_fleet::message::StoreView;

/// Time in which a change that others know of usually arrives from a relay. Only then is it read
/// from the keeper, which costs a call.
const RELAY_TIME: Duration = Duration::from_millis(400);

/// Largest pause before a change is read that no relay sends. It spreads the calls of the fleet.
const SPREAD: Duration = Duration::from_millis(200);

/// Since when this instance is behind the others, for one topic.
#[derive(Default)]
struct Lag {
    revision: Cell<Revision>,
    since: Cell<Option<Instant>>,
}

/// Whether this instance has missed changes that others know of.
#[derive(Default)]
pub(crate) struct Behind {
    configuration: Lag,
    upstreams: Lag,
}

impl Behind {
    /// Notes a change that has to be read from the keeper.
    pub(crate) fn set(&self, topic: Topic, revision: Revision) {
        let lag = self.lag(topic);
        if revision > lag.revision.get() {
            let pause = SPREAD.mul_f64(rand::random());
            let since = (Instant::now() + pause).checked_sub(RELAY_TIME);
            lag.revision.set(revision);
            lag.since.set(since);
        }
    }

    /// Compares what this instance knows with what others have told of. Returns true if changes
    /// have been missing for longer than a relay takes.
    pub(crate) fn check(&self, topic: Topic, own: Revision, others: &StoreView) -> bool {
        let lag = self.lag(topic);
        let told = match topic {
            Topic::Configuration => others.configuration,
            Topic::Upstreams => others.upstreams,
        };
        lag.revision.set(lag.revision.get().max(told));
        if lag.revision.get() <= own {
            lag.since.set(None);
            return false;
        }
        let now = Instant::now();
        let since = lag.since.get().unwrap_or(now);
        lag.since.set(Some(since));
        now.saturating_duration_since(since) >= RELAY_TIME
    }

    fn lag(&self, topic: Topic) -> &Lag {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Upstreams => &self.upstreams,
        }
    }
}
