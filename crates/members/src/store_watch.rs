//! Schedule of the calls by which an instance follows the configuration in the store.

use std::time::{Duration, Instant};

use crate::config_sync::{ConfigAction, WatchEvent};

/// Interval at which a watcher reads `head` while it has no working watch.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a watcher reads `head` while its watch works. The reads are needed because a
/// watch can stop delivering events without ending.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a result after which a call to the store counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without any response from the store or peers after which instances other than watchers read
/// the store as well.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of reads by instances other than watchers, without the stagger. Doubles up to
/// [`MAX_READ_DELAY`].
const INITIAL_READ_DELAY: Duration = Duration::from_secs(2);
const MAX_READ_DELAY: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    Off { retry_at: Instant },
    Starting { since: Instant },
    On,
}

/// The calls of one instance to the store. In the steady state only watchers call it.
#[derive(Debug)]
pub(crate) struct StoreWatch {
    stagger: Duration,
    watcher: bool,
    watch: WatchState,
    read_started: Option<Instant>,
    next_read: Instant,
    read_delay: Duration,
}

impl StoreWatch {
    pub(crate) fn new(stagger: Duration, now: Instant) -> Self {
        Self {
            stagger,
            watcher: false,
            watch: WatchState::Off { retry_at: now },
            read_started: None,
            next_read: now,
            read_delay: INITIAL_READ_DELAY,
        }
    }

    pub(crate) fn is_watcher(&self) -> bool {
        self.watcher
    }

    pub(crate) fn set_watcher(&mut self, watcher: bool, now: Instant) -> Vec<ConfigAction> {
        if watcher == self.watcher {
            return Vec::new();
        }
        self.watcher = watcher;
        if watcher {
            self.next_read = now;
            return self.start_watch(now);
        }
        self.watch = WatchState::Off { retry_at: now };
        vec![ConfigAction::StopWatch]
    }

    /// Records that a read was sent.
    pub(crate) fn record_read(&mut self, now: Instant) {
        self.read_started = Some(now);
        self.next_read = now
            + match (self.watcher, self.watch) {
                (true, WatchState::On) => CHECK_INTERVAL,
                (true, _) => POLL_INTERVAL,
                (false, _) => self.stagger + self.read_delay,
            };
        self.read_delay = (self.read_delay * 2).min(MAX_READ_DELAY);
    }

    /// Records that a read succeeded or failed.
    pub(crate) fn record_read_result(&mut self) {
        self.read_started = None;
    }

    /// Brings the next read of a watcher forward to within [`POLL_INTERVAL`]. Has no effect on
    /// other instances, which limits the calls to the store.
    pub(crate) fn request_read(&mut self, now: Instant) {
        if self.watcher {
            self.next_read = self.next_read.min(now + POLL_INTERVAL);
        }
    }

    pub(crate) fn on_watch(&mut self, event: &WatchEvent, now: Instant) -> Vec<ConfigAction> {
        if !self.watcher {
            return Vec::new();
        }
        match event {
            WatchEvent::Started => {
                self.watch = WatchState::On;
                // A change between the last read and the start of the watch causes no event.
                self.record_read(now);
                vec![ConfigAction::ReadHead]
            }
            WatchEvent::Head(_) => {
                self.watch = WatchState::On;
                Vec::new()
            }
            WatchEvent::Ended => {
                self.watch = WatchState::Off { retry_at: now + POLL_INTERVAL };
                self.next_read = self.next_read.min(now + POLL_INTERVAL);
                Vec::new()
            }
        }
    }

    /// Returns the calls that are due. `time_since_response` counts from the last response of the
    /// store or of a peer.
    pub(crate) fn tick(
        &mut self,
        has_configuration: bool,
        time_since_response: Duration,
        now: Instant,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        if self.watcher && self.watch_is_due(now) {
            actions.extend(self.start_watch(now));
        }
        if time_since_response < SILENCE_TIMEOUT && has_configuration {
            self.read_delay = INITIAL_READ_DELAY;
        }
        let needed = self.watcher || !has_configuration || time_since_response >= SILENCE_TIMEOUT;
        let no_read_pending = self
            .read_started
            .is_none_or(|since| now.saturating_duration_since(since) >= CALL_TIMEOUT);
        if needed && no_read_pending && now >= self.next_read {
            self.record_read(now);
            actions.push(ConfigAction::ReadHead);
        }
        actions
    }

    fn start_watch(&mut self, now: Instant) -> Vec<ConfigAction> {
        self.watch = WatchState::Starting { since: now };
        vec![ConfigAction::StartWatch]
    }

    fn watch_is_due(&self, now: Instant) -> bool {
        match self.watch {
            WatchState::On => false,
            WatchState::Off { retry_at } => retry_at <= now,
            WatchState::Starting { since } => now.saturating_duration_since(since) >= CALL_TIMEOUT,
        }
    }
}
