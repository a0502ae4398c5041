//! Checks of client accounts against what callers and upstreams observed.

use std::collections::HashMap;
use std::time::Duration;

use http::StatusCode;

use super::accounts::{Account, QUOTA_WINDOW, REVOCATION_BOUND};
use super::violations::{Arrival, Outcome, RequestRecord, RunRecord, Violation};

/// Time without a fault after which accounts within their quotas must be served. It covers the end
/// of the lease of a killed owner of quota shards (4 s), the longest interval of claims (4 s) and
/// the time in which the bucket of a new owner fills.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// Share of its quota up to which an account counts as within it.
const USED_SHARE: f64 = 0.8;

/// Minimum share of requests within the quota that must be served without a fault, and the number
/// of requests from which the share is judged.
const MIN_SERVED_SHARE: f64 = 0.99;
const MIN_JUDGED: usize = 20;

/// Time after the end of a fault of a link within which requests that it held back arrive.
const HELD_MARGIN: Duration = Duration::from_millis(500);

impl RunRecord {
    /// Returns the violations of the guarantees for accounts.
    pub(super) fn check_accounts(&self) -> Vec<Violation> {
        let requests = self.requests.iter().map(|request| (&*request.id, request));
        let requests: HashMap<&str, &RequestRecord> = requests.collect();
        let arrivals = self.arrivals.iter();
        let arrivals: Vec<_> =
            arrivals.filter_map(|arrival| Some((arrival, *requests.get(&*arrival.id)?))).collect();
        let mut violations: Vec<_> = arrivals
            .iter()
            .filter_map(|(arrival, request)| self.check_arrival(arrival, request))
            .collect();
        for account in &self.accounts {
            violations.extend(self.check_quota(account, &arrivals));
            violations.extend(self.check_served_within_quota(account));
        }
        violations
    }

    fn check_arrival(&self, arrival: &Arrival, request: &RequestRecord) -> Option<Violation> {
        let id = request.id.clone();
        if arrival.has_authorization {
            return Some(Violation::KeyForwarded { id });
        }
        let expected = request.credential.account().filter(|_| !request.is_public);
        if !request.is_public && expected.is_none() {
            return Some(Violation::Unauthorized { id, credential: request.credential });
        }
        if !arrival.accounts.iter().map(String::as_str).eq(expected) {
            return Some(Violation::WrongAccount { id, accounts: arrival.accounts.clone() });
        }
        let removed = self.removed_keys.get(&request.credential).filter(|_| !request.is_public)?;
        let after = request.sent_at.saturating_sub(removed.acknowledged_at);
        let (instance, ms) = (request.instance, after.as_millis());
        (after > REVOCATION_BOUND).then_some(Violation::RemovedKeyAccepted { id, instance, ms })
    }

    /// Requires that the requests of an account which reach upstreams in any window are within its
    /// limit. Each attempt counts.
    fn check_quota(
        &self,
        account: &Account,
        arrivals: &[(&Arrival, &RequestRecord)],
    ) -> Option<Violation> {
        let limit = account.quota?.limit();
        let is_counted = |(_, request): &&(&Arrival, &RequestRecord)| {
            request.credential.account() == Some(account.name) && !request.is_public
        };
        let mut spans: Vec<_> = arrivals
            .iter()
            .filter(is_counted)
            .map(|(arrival, request)| (arrival.at, self.earliest(arrival, request)))
            .collect();
        spans.sort_unstable();
        let in_window = |until: Duration| {
            let from = until.saturating_sub(QUOTA_WINDOW);
            let end = spans.partition_point(|(at, _)| *at <= until);
            let start = spans.partition_point(|(at, _)| *at < from);
            spans[start..end].iter().filter(|(_, earliest)| *earliest >= from).count()
        };
        let most = spans.iter().map(|(at, _)| in_window(*at)).max()?;
        let name = account.name;
        (most as f64 > limit).then_some(Violation::QuotaExceeded { account: name, requests: most })
    }

    /// Returns the earliest time at which the instance may have sent a request. It is the time of
    /// arrival, unless the link to the upstream held the request back.
    pub(super) fn earliest(&self, arrival: &Arrival, request: &RequestRecord) -> Duration {
        let is_held = self.held_links.iter().any(|held| {
            let until = held.until + HELD_MARGIN;
            held.upstream == arrival.upstream && (held.from..=until).contains(&arrival.at)
        });
        if is_held { request.sent_at } else { arrival.at }
    }

    fn check_served_within_quota(&self, account: &Account) -> Option<Violation> {
        let is_of_account = |request: &&RequestRecord| {
            request.credential.account() == Some(account.name) && !request.is_public
        };
        let mut requests: Vec<_> = self.requests.iter().filter(is_of_account).collect();
        requests.sort_by_key(|request| request.sent_at);
        let sent_before = |request: &RequestRecord| {
            let from = request.sent_at.saturating_sub(QUOTA_WINDOW);
            let start = requests.partition_point(|other| other.sent_at < from);
            requests.partition_point(|other| other.sent_at <= request.sent_at) - start
        };
        let is_within = |request: &RequestRecord| {
            let Some(quota) = account.quota else { return true };
            sent_before(request) as f64 <= USED_SHARE * quota.rate * QUOTA_WINDOW.as_secs_f64()
        };
        // A route that a new version adds may be unknown for some time.
        let is_judged = |request: &&&RequestRecord| {
            self.is_authorized(request)
                && request.version.is_none()
                && self.is_quiet(request.sent_at, request.ended_at)
                && request.outcome != Outcome::Abandoned
                && is_within(request)
        };
        let judged = requests.iter().filter(is_judged);
        let (sent, served) =
            (judged.clone().count(), judged.filter(|request| request.outcome.is_served()).count());
        let is_kept = sent < MIN_JUDGED || served as f64 >= MIN_SERVED_SHARE * sent as f64;
        let account = account.name;
        (!is_kept).then_some(Violation::RefusedWithinQuota { account, served, sent })
    }

    /// Returns true if a request has a key that was valid until the request ended, or needs none.
    pub(super) fn is_authorized(&self, request: &RequestRecord) -> bool {
        let removed = self.removed_keys.get(&request.credential);
        let is_valid = request.credential.account().is_some()
            && removed.is_none_or(|removed| request.ended_at < removed.started_at);
        request.is_public || is_valid
    }

    /// Returns true if there was no fault in a time span and in [`QUIET_TIME`] before it.
    fn is_quiet(&self, from: Duration, until: Duration) -> bool {
        let is_near = |start: Duration, end: Duration| start <= until && end + QUIET_TIME >= from;
        let is_disturbed = self.disturbances.iter().any(|d| is_near(d.from, d.until));
        let is_stopping = self.shutdowns.iter().any(|shutdown| is_near(shutdown.at, shutdown.at));
        from >= QUIET_TIME && !is_disturbed && !is_stopping
    }
}

/// Returns true for a status that refuses a request of any class before it runs.
pub(super) fn refuses_before_execution(status: StatusCode) -> bool {
    matches!(status, StatusCode::UNAUTHORIZED | StatusCode::TOO_MANY_REQUESTS)
}
