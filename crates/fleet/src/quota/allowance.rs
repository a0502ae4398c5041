//! Tokens of client accounts that an instance was granted.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{MAX_RETRY_AFTER, TOKEN_VALIDITY};
use crate::message::ShortId;

/// Time for which a used token counts as demand, by which the next request for tokens is sized.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// A request asks for the number of tokens used within [`DEMAND_WINDOW`] divided by this. Arrivals are
/// irregular, and tokens that are not used within their validity are lost: without the division, an
/// account at 0.95 of its rate had 5.6 of 100 requests refused.
const DEMAND_DIVISOR: usize = 4;

/// Maximum number of tokens in a request.
const MAX_TOKENS: u16 = 32;

/// Number of tokens used within [`DEMAND_WINDOW`] from which further ones are requested in advance.
const MIN_USES_FOR_ADVANCE: usize = 2;

/// Longest time for which an instance refuses requests without asking the owner again.
const MAX_LOCAL_REFUSAL: Duration = Duration::from_millis(250);

/// Time without an answer after which the owner is asked again.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(75);

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Lot {
    tokens: u16,
    expires: Duration,
}

/// A request for tokens that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    tokens: u16,
    sent: Duration,
}

/// Answer of the owner that the account has used its quota.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Time until which requests are refused without asking the owner.
    until: Duration,
    /// Time at which the owner expects to have a token.
    due: Duration,
    /// Number of requests that this instance has refused since the answer.
    refused: u32,
}

/// Tokens of one account.
#[derive(Clone, Debug, Default)]
struct Allowance {
    /// Tokens, the ones that expire first at the front.
    lots: VecDeque<Lot>,
    /// Times at which tokens were taken within [`DEMAND_WINDOW`].
    uses: VecDeque<Duration>,
    pending: Vec<PendingRequest>,
    refusal: Option<Refusal>,
}

impl Allowance {
    fn expire(&mut self, now: Duration) {
        self.lots.retain(|lot| lot.expires > now && lot.tokens > 0);
        while self.uses.front().is_some_and(|at| now.saturating_sub(*at) > DEMAND_WINDOW) {
            self.uses.pop_front();
        }
        self.pending.retain(|request| now.saturating_sub(request.sent) < TOKEN_VALIDITY);
        if self.refusal.is_some_and(|refusal| refusal.until <= now) {
            self.refusal = None;
        }
    }

    fn take(&mut self, now: Duration) -> Option<Duration> {
        self.expire(now);
        let lot = self.lots.front_mut()?;
        lot.tokens -= 1;
        let expires = lot.expires;
        self.uses.push_back(now);
        Some(expires)
    }

    fn add(&mut self, now: Duration, lot: Lot) {
        if lot.expires <= now || lot.tokens == 0 {
            return;
        }
        let position = self.lots.partition_point(|other| other.expires <= lot.expires);
        self.lots.insert(position, lot);
    }

    /// Returns the number of tokens that are requested and may still be granted in time.
    fn requested(&self, now: Duration) -> usize {
        let is_timely =
            |request: &&PendingRequest| now.saturating_sub(request.sent) < ANSWER_TIMEOUT;
        self.pending.iter().filter(is_timely).map(|request| usize::from(request.tokens)).sum()
    }

    fn refuse(&mut self, now: Duration, rate: f64) -> Option<Duration> {
        self.expire(now);
        let refusal = self.refusal.as_mut()?;
        // A rate that a configuration must not contain gives a spread that is no duration.
        let spread = f64::from(refusal.refused) / rate;
        let spread = spread.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64());
        refusal.refused = refusal.refused.saturating_add(1);
        let due = refusal.due.saturating_sub(now) + Duration::from_secs_f64(spread);
        Some(due.min(MAX_RETRY_AFTER))
    }

    fn is_idle(&self) -> bool {
        self.lots.is_empty()
            && self.uses.is_empty()
            && self.pending.is_empty()
            && self.refusal.is_none()
    }
}

/// Tokens of the accounts that have sent requests recently.
#[derive(Debug, Default)]
pub struct Allowances {
    by_account: HashMap<ShortId, Allowance>,
}

impl Allowances {
    /// Takes a token of an account, if there is one. Returns the time at which it expires.
    pub fn take(&mut self, now: Duration, account: ShortId) -> Option<Duration> {
        self.by_account.get_mut(&account)?.take(now)
    }

    /// Returns a token of a request that did not run. The token keeps the time at which it expires.
    pub fn restore(&mut self, now: Duration, account: ShortId, expires: Duration) {
        let allowance = self.by_account.entry(account).or_default();
        allowance.uses.pop_back();
        allowance.add(now, Lot { tokens: 1, expires });
    }

    /// Returns the time until a token is due if a request of the account is to be refused without
    /// asking the owner. `rate` is the number of tokens of the account per second. Each refusal
    /// states a time that is later by one token than the one before it.
    pub fn refuse(&mut self, now: Duration, account: ShortId, rate: f64) -> Option<Duration> {
        self.by_account.get_mut(&account)?.refuse(now, rate)
    }

    /// Returns the number of valid tokens of an account and the result that [`Self::refuse`] would
    /// have.
    pub fn preview(&self, now: Duration, account: ShortId, rate: f64) -> (usize, Option<Duration>) {
        let Some(mut allowance) = self.by_account.get(&account).cloned() else { return (0, None) };
        allowance.expire(now);
        let tokens = allowance.lots.iter().map(|lot| usize::from(lot.tokens)).sum();
        (tokens, allowance.refuse(now, rate))
    }

    /// Returns the number of tokens to request from the owner while this number of requests waits
    /// for one, `None` if enough are requested.
    pub fn tokens_to_request(
        &mut self,
        now: Duration,
        account: ShortId,
        waiting: usize,
    ) -> Option<u16> {
        let allowance = self.by_account.entry(account).or_default();
        allowance.expire(now);
        let requested = allowance.requested(now);
        if requested > 0 && requested >= waiting {
            return None;
        }
        let expected = allowance.uses.len().div_ceil(DEMAND_DIVISOR);
        let demand = expected.max(waiting - requested.min(waiting));
        Some(u16::try_from(demand).unwrap_or(MAX_TOKENS).clamp(1, MAX_TOKENS))
    }

    /// Returns the number of tokens to request in advance, `None` if none are needed. It is called
    /// after a token was taken.
    pub fn tokens_in_advance(&mut self, now: Duration, account: ShortId) -> Option<u16> {
        let allowance = self.by_account.get_mut(&account)?;
        allowance.expire(now);
        let is_needed = allowance.lots.is_empty()
            && allowance.uses.len() >= MIN_USES_FOR_ADVANCE
            && allowance.refusal.is_none();
        if is_needed { self.tokens_to_request(now, account, 0) } else { None }
    }

    /// Records a request to the owner.
    pub fn on_requested(&mut self, now: Duration, account: ShortId, number: u64, tokens: u16) {
        let allowance = self.by_account.entry(account).or_default();
        allowance.pending.push(PendingRequest { number, tokens, sent: now });
    }

    /// Records that the owner granted tokens. They are valid for [`TOKEN_VALIDITY`] from the sending
    /// of the request. An answer to no pending request has no effect.
    pub fn on_granted(&mut self, now: Duration, account: ShortId, number: u64, tokens: u16) {
        let Some(request) = self.take_pending(account, number) else { return };
        let Some(allowance) = self.by_account.get_mut(&account) else { return };
        allowance.refusal = None;
        let expires = request.sent + TOKEN_VALIDITY;
        allowance.add(now, Lot { tokens: tokens.min(request.tokens), expires });
    }

    /// Records that the account has used its quota, and that a token is due after `retry_after`.
    /// Returns false if no request with this number is pending.
    pub fn on_exhausted(
        &mut self,
        now: Duration,
        account: ShortId,
        number: u64,
        retry_after: Duration,
    ) -> bool {
        if self.take_pending(account, number).is_none() {
            return false;
        }
        let Some(allowance) = self.by_account.get_mut(&account) else { return false };
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        let until = now + retry_after.min(MAX_LOCAL_REFUSAL);
        allowance.refusal = Some(Refusal { until, due: now + retry_after, refused: 0 });
        true
    }

    /// Records that the instance that was asked does not own the shard.
    pub fn on_not_owner(&mut self, account: ShortId, number: u64) {
        self.take_pending(account, number);
    }

    fn take_pending(&mut self, account: ShortId, number: u64) -> Option<PendingRequest> {
        let pending = &mut self.by_account.get_mut(&account)?.pending;
        let position = pending.iter().position(|request| request.number == number)?;
        Some(pending.swap_remove(position))
    }

    /// Removes the state of accounts without recent requests.
    pub fn expire(&mut self, now: Duration) {
        self.by_account.retain(|_, allowance| {
            allowance.expire(now);
            !allowance.is_idle()
        });
    }

    /// Returns the number of accounts with state.
    pub fn len(&self) -> usize {
        self.by_account.len()
    }

    /// Returns true if no account has state.
    pub fn is_empty(&self) -> bool {
        self.by_account.is_empty()
    }
}
