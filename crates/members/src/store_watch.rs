//! When an instance calls the store for the configuration.

use std::time::{Duration, Instant};

use crate::config_sync::{ConfigAction, WatchEvent};

/// Interval at which a watcher without a working watch reads `head`.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a watcher with a working watch reads `head`, because a watch can go silent
/// without ending.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a call to the store counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without any answer from peers after which other instances ask the store too.
const SILENT_AFTER: Duration = Duration::from_secs(10);
/// Interval of reads by other instances; doubles up to the maximum.
const FIRST_RETRY: Duration = Duration::from_secs(2);
const MAX_RETRY: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    Off { retry_at: Instant },
    Starting { since: Instant },
    On,
}

/// The calls of one instance to the store. Only watchers call it in steady state.
#[derive(Debug)]
pub(crate) struct StoreWatch {
    stagger: Duration,
    watcher: bool,
    watch: Watch,
    read_since: Option<Instant>,
    next_read: Instant,
    retry: Duration,
}

impl StoreWatch {
    pub(crate) fn new(stagger: Duration, now: Instant) -> Self {
        Self {
            stagger,
            watcher: false,
            watch: Watch::Off { retry_at: now },
            read_since: None,
            next_read: now,
            retry: FIRST_RETRY,
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
        self.watch = Watch::Off { retry_at: now };
        vec![ConfigAction::StopWatch]
    }

    /// Records that a read was sent.
    pub(crate) fn record_read(&mut self, now: Instant) {
        self.read_since = Some(now);
        self.next_read = now
            + match (self.watcher, self.watch) {
                (true, Watch::On) => CHECK_INTERVAL,
                (true, _) => POLL_INTERVAL,
                (false, _) => self.stagger + self.retry,
            };
        self.retry = (self.retry * 2).min(MAX_RETRY);
    }

    /// Records that a read was answered or failed.
    pub(crate) fn record_read_result(&mut self) {
        self.read_since = None;
    }

    /// Asks for a read soon, within the limits on store calls.
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
                self.watch = Watch::On;
                // A change between the last read and the start of the watch gives no event.
                self.record_read(now);
                vec![ConfigAction::ReadHead]
            }
            WatchEvent::Head(_) => {
                self.watch = Watch::On;
                Vec::new()
            }
            WatchEvent::Ended => {
                self.watch = Watch::Off { retry_at: now + POLL_INTERVAL };
                self.next_read = self.next_read.min(now + POLL_INTERVAL);
                Vec::new()
            }
        }
    }

    /// Returns the calls that are due. `silent_for` is the time since the last answer of the store
    /// or of a peer.
    pub(crate) fn tick(
        &mut self,
        has_configuration: bool,
        silent_for: Duration,
        now: Instant,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        if self.watcher && self.watch_is_due(now) {
            actions.extend(self.start_watch(now));
        }
        if silent_for < SILENT_AFTER && has_configuration {
            self.retry = FIRST_RETRY;
        }
        let needed = self.watcher || !has_configuration || silent_for >= SILENT_AFTER;
        let idle = self
            .read_since
            .is_none_or(|since| now.saturating_duration_since(since) >= CALL_TIMEOUT);
        if needed && idle && now >= self.next_read {
            self.record_read(now);
            actions.push(ConfigAction::ReadHead);
        }
        actions
    }

    fn start_watch(&mut self, now: Instant) -> Vec<ConfigAction> {
        self.watch = Watch::Starting { since: now };
        vec![ConfigAction::StartWatch]
    }

    fn watch_is_due(&self, now: Instant) -> bool {
        match self.watch {
            Watch::On => false,
            Watch::Off { retry_at } => retry_at <= now,
            Watch::Starting { since } => now.saturating_duration_since(since) >= CALL_TIMEOUT,
        }
    }
}
