//! Decisions on extra attempts: retry budget and quota of the client account.

use std::future::ready;
use std::pin::Pin;
use std::time::Instant;

use cactustrack_proxy::{BudgetBasis, ExtraAttempt, ExtraDecision, RoutedRequest};
use cactustrack_types::ServiceId;
use futures::FutureExt;

use super::limits::has_room_for_hedge;
use super::policy::NodePolicy;
use super::quota::is_valid;

impl NodePolicy {
    /// Decides on an extra attempt. It takes a token of the quota of the client account if it may run
    /// in addition to the attempt before it.
    pub(super) fn decide_extra_attempt<'a>(
        &'a self,
        now: Instant,
        routed: &'a RoutedRequest,
        extra: ExtraAttempt,
    ) -> Pin<Box<dyn Future<Output = ExtraDecision> + 'a>> {
        let principal = routed.caller.principal();
        let has_quota = principal.is_some_and(|principal| principal.quota.is_some());
        let gate = self.quota.as_ref().filter(|_| has_quota && !has_unused_token(routed, extra));
        let Some(gate) = gate else { return self.allow_within_budget(now, routed, extra) };
        let deciding = async move {
            let Ok(token) = gate.take(principal, routed.deadline).await else {
                return ExtraDecision::without_basis(false);
            };
            let decision = self.allow_within_budget(Instant::now(), routed, extra).await;
            if !decision.is_allowed {
                if let Some(expires) = token {
                    gate.restore(principal, expires);
                }
                return decision;
            }
            // The token may have expired while other instances were asked for the attempt.
            let token = match token {
                Some(expires) if !is_valid(expires) => gate.take(principal, routed.deadline).await,
                token => Ok(token),
            };
            let Ok(token) = token else { return ExtraDecision { is_allowed: false, ..decision } };
            if let Some(expires) = token.filter(|_| extra != ExtraAttempt::Hedge) {
                routed.quota_token.set(expires);
            }
            decision
        };
        deciding.boxed_local()
    }

    /// Decides whether the retry budget of the service allows an extra attempt.
    fn allow_within_budget<'a>(
        &'a self,
        now: Instant,
        routed: &'a RoutedRequest,
        extra: ExtraAttempt,
    ) -> Pin<Box<dyn Future<Output = ExtraDecision> + 'a>> {
        let is_hedge = extra == ExtraAttempt::Hedge;
        let decision = self.decide_extra(now, &routed.service, is_hedge);
        if decision.is_allowed || decision.basis.is_none() {
            return ready(decision).boxed_local();
        }
        let asking = self.grants.request(&routed.service, is_hedge);
        let granted = move |is_granted| ExtraDecision {
            is_allowed: is_granted,
            is_granted,
            basis: decision.basis,
        };
        asking.map(granted).boxed_local()
    }

    /// Decides on an extra attempt within the allowance of this instance.
    fn decide_extra(&self, now: Instant, service: &ServiceId, is_hedge: bool) -> ExtraDecision {
        let mut state = self.state.borrow_mut();
        if is_hedge && !has_room_for_hedge(&state, now, service) {
            return ExtraDecision::without_basis(false);
        }
        let decision = state.try_extra(now, service, is_hedge);
        let basis = BudgetBasis {
            extras: decision.usage.extras,
            requests: decision.usage.requests,
            limit: decision.usage.limit as u64,
        };
        let is_allowed = decision.is_allowed;
        ExtraDecision { is_allowed, is_granted: false, basis: Some(basis) }
    }
}

/// Returns true if the request still holds a valid token, because no attempt so far may have run.
/// Before such an attempt [`TrafficPolicy::confirm_admission`] checks the token again.
///
/// [`TrafficPolicy::confirm_admission`]: cactustrack_proxy::TrafficPolicy::confirm_admission
fn has_unused_token(routed: &RoutedRequest, extra: ExtraAttempt) -> bool {
    let may_be_unused = matches!(extra, ExtraAttempt::Retry | ExtraAttempt::Declined);
    may_be_unused && routed.quota_token.expires().is_some_and(is_valid)
}
