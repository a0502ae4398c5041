//! Failure detection for one other member: the statements about it and the results of calls.

use std::time::{Duration, Instant};

use cactustrack_types::ListingState;

use crate::identity::{Identity, MemberEntry, MemberStatus};
use crate::membership::{MemberState, MemberView, SUSPECT_AFTER};

/// Delay before a member that does not respond is probed again. Once calls have failed for
/// [`SUSPECT_AFTER`], it doubles with each further failure up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(64);
/// Time between probes of a member that is gone and not listed. About 80 members are replaced in
/// the two hours for which gone members are kept, which results in one such probe every 8 s.
const GONE_RETRY_DELAY: Duration = Duration::from_secs(600);
/// Upper bound of the time between two suspicions of a member that others can reach. If the time
/// did not grow up to this bound, a permanent one-way partition would spread a suspicion and its
/// refutation every few seconds.
const MAX_SUSPICION_DELAY: Duration = Duration::from_secs(320);

/// A known member: the prevailing statement about it, and the observations of this instance.
#[derive(Clone, Debug)]
pub(crate) struct KnownMember {
    pub(crate) entry: MemberEntry,
    pub(crate) state: MemberState,
    /// State in the platform's instance list, `None` if the member is not listed.
    pub(crate) listed: Option<ListingState>,
    /// Last direct contact in either direction.
    pub(crate) last_contact: Option<Instant>,
    /// Last contact that other members reported.
    pub(crate) last_reported_contact: Option<Instant>,
    pub(crate) reachable: bool,
    pub(crate) heard_from: bool,
    failing_since: Option<Instant>,
    pub(crate) next_probe: Option<Instant>,
    retry_delay: Duration,
    suspicion_delay: Duration,
    pub(crate) gone_since: Option<Instant>,
    /// Number of further messages on which the entry is piggybacked.
    pub(crate) messages_left: u8,
}

impl KnownMember {
    pub(crate) fn new(entry: MemberEntry) -> Self {
        Self {
            entry,
            state: MemberState::Live,
            listed: None,
            last_contact: None,
            last_reported_contact: None,
            reachable: true,
            heard_from: false,
            failing_since: None,
            next_probe: None,
            retry_delay: INITIAL_RETRY_DELAY,
            suspicion_delay: SUSPECT_AFTER,
            gone_since: None,
            messages_left: 0,
        }
    }

    /// Applies a statement that supersedes the known one.
    pub(crate) fn replace(&mut self, entry: &MemberEntry) {
        if entry.identity.incarnation > self.entry.identity.incarnation {
            // Observations of the previous incarnation do not apply to the new one. The list lags,
            // so the member counts as still listed, but a listing as leaving refers to the previous
            // incarnation only.
            let listed = self.listed.map(|_| ListingState::Live);
            let messages_left = self.messages_left;
            *self = Self { listed, messages_left, ..Self::new(entry.clone()) };
            return;
        }
        if entry.identity.seq > self.entry.identity.seq && !self.reachable {
            // The member itself refuted the suspicion.
            self.suspicion_delay = (self.suspicion_delay * 2).min(MAX_SUSPICION_DELAY);
            self.failing_since = None;
        }
        self.entry = entry.clone();
    }

    /// Replaces the identity taken from the list by the one that the member itself sent, for the
    /// same incarnation.
    pub(crate) fn update_identity(&mut self, identity: &Identity) {
        if identity.seq == self.entry.identity.seq {
            self.entry.identity = identity.clone();
        }
    }

    /// Records a direct contact: the member called this instance or responded to a call.
    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact = Some(self.last_contact.map_or(now, |at| at.max(now)));
        // A member that calls can probably be called as well, so the next probe is brought forward.
        let soon = |at: Instant| at.min(now + INITIAL_RETRY_DELAY);
        self.next_probe = self.next_probe.map(soon).filter(|_| !self.reachable);
    }

    /// Records that the member responded to a call of this instance.
    pub(crate) fn record_response(&mut self, now: Instant) {
        self.record_contact(now);
        self.reachable = true;
        self.failing_since = None;
        self.next_probe = None;
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.suspicion_delay = SUSPECT_AFTER;
    }

    /// Records that a call of this instance to the member failed.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.reachable = false;
        let since = *self.failing_since.get_or_insert(now);
        self.next_probe = Some(now + self.next_retry_delay());
        if now.saturating_duration_since(since) >= SUSPECT_AFTER {
            self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn next_retry_delay(&self) -> Duration {
        let gone = self.entry.status == MemberStatus::Gone && self.listed.is_none();
        if gone { GONE_RETRY_DELAY } else { self.retry_delay }
    }

    /// Schedules an immediate probe, because another member gets no response from this one. Does
    /// nothing if a probe is scheduled already or there was contact within [`SUSPECT_AFTER`].
    pub(crate) fn request_probe(&mut self, now: Instant) {
        if self.next_probe.is_none() && !self.had_contact_within(SUSPECT_AFTER, now) {
            self.next_probe = Some(now);
        }
    }

    /// Returns the time of the last contact, direct or reported by other members.
    fn latest_contact(&self) -> Option<Instant> {
        self.last_contact.max(self.last_reported_contact)
    }

    fn had_contact_within(&self, window: Duration, now: Instant) -> bool {
        self.latest_contact().is_some_and(|at| now.saturating_duration_since(at) < window)
    }

    /// Raises the status if the member has failed, and derives the state from the status. Returns
    /// true if the status changed.
    pub(crate) fn evaluate(&mut self, now: Instant) -> bool {
        let before = self.entry.status;
        if self.has_failed(now) {
            let status =
                if self.listed.is_some() { MemberStatus::Suspect } else { MemberStatus::Gone };
            self.entry.status = self.entry.status.max(status);
        }
        self.state = self.derive_state(now);
        match (self.entry.status, self.gone_since) {
            (MemberStatus::Gone, None) => {
                self.gone_since = Some(now);
                self.next_probe = Some(now + self.next_retry_delay());
            }
            (MemberStatus::Live | MemberStatus::Suspect, Some(_)) => self.gone_since = None,
            _ => {}
        }
        before != self.entry.status
    }

    /// Returns true if calls have failed for the suspicion delay without any contact meanwhile.
    fn has_failed(&self, now: Instant) -> bool {
        let Some(since) = self.failing_since else { return false };
        let wait = self.suspicion_delay;
        now.saturating_duration_since(since) >= wait && !self.had_contact_within(wait, now)
    }

    fn derive_state(&self, now: Instant) -> MemberState {
        let responds = self.had_contact_within(SUSPECT_AFTER, now);
        let declared_leaving = self.entry.identity.leaving;
        match self.entry.status {
            MemberStatus::Gone if !responds => MemberState::Gone,
            _ if declared_leaving => MemberState::Leaving,
            // A recent contact takes precedence over the list, which may be out of date.
            _ if responds => MemberState::Live,
            _ if self.listed == Some(ListingState::Leaving) => MemberState::Leaving,
            MemberStatus::Suspect => MemberState::Suspect,
            _ => MemberState::Live,
        }
    }

    /// Returns true if it is uncertain whether the member responds, so that a call to it is only a
    /// probe. Gone members are included, so that a partition heals even while the list is
    /// unavailable.
    pub(crate) fn needs_probe(&self) -> bool {
        !self.reachable
            || self.next_probe.is_some()
            || self.state == MemberState::Suspect
            || self.state == MemberState::Gone
    }

    /// Returns true if a probe may be sent now.
    pub(crate) fn probe_is_due(&self, now: Instant) -> bool {
        self.next_probe.is_none_or(|at| at <= now)
    }

    pub(crate) fn view(&self) -> MemberView<'_> {
        MemberView {
            identity: &self.entry.identity,
            state: self.state,
            last_contact: self.last_contact,
            last_reported_contact: self.last_reported_contact,
            reachable: self.reachable,
            heard_from: self.heard_from,
        }
    }
}
