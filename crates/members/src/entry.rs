//! What an instance knows about one other member.

use std::time::{Duration, Instant};

use cactustrack_types::ListingState;

use crate::identity::{Identity, MemberEntry, MemberStatus};
use crate::membership::{MemberState, MemberView, SUSPECT_AFTER};

/// Time before a member that does not respond is called again; doubles up to the maximum.
const FIRST_RETRY: Duration = Duration::from_secs(1);
const MAX_RETRY: Duration = Duration::from_secs(64);
/// Time between calls to a member that is gone and not listed. About 80 members are replaced in
/// the two hours for which they are kept, which gives one such call in 8 s.
const GONE_RETRY: Duration = Duration::from_secs(600);
/// Longest time between two suspicions of a member that others can reach. Without a limit, a
/// permanent one-way partition would spread a suspicion and its refutation every few seconds.
const MAX_SUSPICION_WAIT: Duration = Duration::from_secs(320);

/// One known member: the statements about it, and what was observed from here.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) entry: MemberEntry,
    pub(crate) state: MemberState,
    pub(crate) listed: Option<ListingState>,
    /// Last direct contact in either direction.
    pub(crate) heard: Option<Instant>,
    /// Last contact that others reported.
    pub(crate) heard_of: Option<Instant>,
    pub(crate) reachable: bool,
    pub(crate) heard_from: bool,
    failing_since: Option<Instant>,
    pub(crate) next_attempt: Option<Instant>,
    retry: Duration,
    suspicion_wait: Duration,
    pub(crate) gone_at: Option<Instant>,
    /// How many more messages carry the entry without being asked for it.
    pub(crate) rumors_left: u8,
}

impl Known {
    pub(crate) fn new(entry: MemberEntry) -> Self {
        Self {
            entry,
            state: MemberState::Live,
            listed: None,
            heard: None,
            heard_of: None,
            reachable: true,
            heard_from: false,
            failing_since: None,
            next_attempt: None,
            retry: FIRST_RETRY,
            suspicion_wait: SUSPECT_AFTER,
            gone_at: None,
            rumors_left: 0,
        }
    }

    /// Takes over a statement that supersedes the known one.
    pub(crate) fn replace(&mut self, entry: &MemberEntry) {
        if entry.identity.incarnation > self.entry.identity.incarnation {
            // Nothing that was observed about the former life applies to the new one. The list
            // lags, so the new one has not left it; but only the former one was told to stop.
            let listed = self.listed.map(|_| ListingState::Live);
            let rumors_left = self.rumors_left;
            *self = Self { listed, rumors_left, ..Self::new(entry.clone()) };
            return;
        }
        if entry.identity.seq > self.entry.identity.seq && !self.reachable {
            // Our suspicion was refuted by the member itself.
            self.suspicion_wait = (self.suspicion_wait * 2).min(MAX_SUSPICION_WAIT);
            self.failing_since = None;
        }
        self.entry = entry.clone();
    }

    /// Replaces what the list said about this life by what the member says about itself.
    pub(crate) fn correct(&mut self, identity: &Identity) {
        if identity.seq == self.entry.identity.seq {
            self.entry.identity = identity.clone();
        }
    }

    /// Records that the member called or answered.
    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.heard = Some(self.heard.map_or(now, |heard| heard.max(now)));
        // A member that calls can probably be called, so a long wait for a retry is cut short.
        let soon = |at: Instant| at.min(now + FIRST_RETRY);
        self.next_attempt = self.next_attempt.map(soon).filter(|_| !self.reachable);
    }

    /// Records that a call from here was answered.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.record_contact(now);
        self.reachable = true;
        self.failing_since = None;
        self.next_attempt = None;
        self.retry = FIRST_RETRY;
        self.suspicion_wait = SUSPECT_AFTER;
    }

    /// Records that a call from here failed.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.reachable = false;
        let since = *self.failing_since.get_or_insert(now);
        self.next_attempt = Some(now + self.retry_after());
        if now.saturating_duration_since(since) >= SUSPECT_AFTER {
            self.retry = (self.retry * 2).min(MAX_RETRY);
        }
    }

    fn retry_after(&self) -> Duration {
        let gone = self.entry.status == MemberStatus::Gone && self.listed.is_none();
        if gone { GONE_RETRY } else { self.retry }
    }

    /// Asks for a call to the member soon, because another member gets no response from it.
    pub(crate) fn request_attempt(&mut self, now: Instant) {
        if self.next_attempt.is_none() && !self.responded_within(SUSPECT_AFTER, now) {
            self.next_attempt = Some(now);
        }
    }

    /// Last sign of life, direct or through others.
    fn last_sign(&self) -> Option<Instant> {
        self.heard.max(self.heard_of)
    }

    fn responded_within(&self, window: Duration, now: Instant) -> bool {
        self.last_sign().is_some_and(|at| now.saturating_duration_since(at) < window)
    }

    /// Raises the status if the member has not responded, and derives the state from it. Returns
    /// true if the statement about the member changed.
    pub(crate) fn evaluate(&mut self, now: Instant) -> bool {
        let before = self.entry.status;
        if self.has_failed(now) {
            let status =
                if self.listed.is_some() { MemberStatus::Suspect } else { MemberStatus::Gone };
            self.entry.status = self.entry.status.max(status);
        }
        self.state = self.derive_state(now);
        match (self.entry.status, self.gone_at) {
            (MemberStatus::Gone, None) => {
                self.gone_at = Some(now);
                self.next_attempt = Some(now + self.retry_after());
            }
            (MemberStatus::Live | MemberStatus::Suspect, Some(_)) => self.gone_at = None,
            _ => {}
        }
        before != self.entry.status
    }

    fn has_failed(&self, now: Instant) -> bool {
        let Some(since) = self.failing_since else { return false };
        let wait = self.suspicion_wait;
        now.saturating_duration_since(since) >= wait && !self.responded_within(wait, now)
    }

    fn derive_state(&self, now: Instant) -> MemberState {
        let responds = self.responded_within(SUSPECT_AFTER, now);
        let declared_leaving = self.entry.identity.leaving;
        match self.entry.status {
            MemberStatus::Gone if !responds => MemberState::Gone,
            _ if declared_leaving => MemberState::Leaving,
            // A response takes precedence over the list, which may be about to be corrected.
            _ if responds => MemberState::Live,
            _ if self.listed == Some(ListingState::Leaving) => MemberState::Leaving,
            MemberStatus::Suspect => MemberState::Suspect,
            _ => MemberState::Live,
        }
    }

    /// Returns true if a call to the member is only an attempt to find out whether it responds.
    /// Gone members are included, so that a partition heals also while the list is unavailable.
    pub(crate) fn is_doubtful(&self) -> bool {
        !self.reachable
            || self.next_attempt.is_some()
            || self.state == MemberState::Suspect
            || self.state == MemberState::Gone
    }

    /// Returns true if an attempt may be made now.
    pub(crate) fn attempt_is_due(&self, now: Instant) -> bool {
        self.next_attempt.is_none_or(|at| at <= now)
    }

    pub(crate) fn view(&self) -> MemberView<'_> {
        MemberView {
            identity: &self.entry.identity,
            state: self.state,
            last_heard: self.heard,
            last_heard_of: self.heard_of,
            reachable: self.reachable,
            heard_from: self.heard_from,
        }
    }
}
