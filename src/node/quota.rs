//! Quotas of client accounts. An instance takes a token for each of its requests and, as the owner of
//! quota shards, grants tokens to the other instances.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::message::{
    Body, QuotaGrant, QuotaLevel, QuotaOutcome, QuotaRequest, QuotaTransfer, ShardSet, ShortId,
    short_account_id, to_ms,
};
use cactustrack_fleet::quota::allowance::{ANSWER_TIMEOUT, Allowances};
use cactustrack_fleet::quota::bucket::{BucketLimits, Buckets};
use cactustrack_fleet::quota::ownership::{Ownership, ShardId, shard_of};
use cactustrack_fleet::quota::transfer::IncomingTransfers;
use cactustrack_fleet::quota::{QuotaLimits, TOKEN_VALIDITY};
use cactustrack_observe::{Metrics, RateLimit};
use cactustrack_proxy::{Rejection, RoutedRequest};
use cactustrack_routing::authentication::Principal;
use cactustrack_types::{InstanceId, Quota};
use futures::channel::{mpsc, oneshot};
use slog::Logger;

use super::messenger::PeerMessenger;
use super::quota_transfer::TransferEvent;
use super::state::{SharedState, time_since_boot};

/// Number of times that the owner is asked for a token before a request is rejected.
const MAX_ASKED: usize = 2;

/// `Retry-After` sent to callers if no owner answers.
pub(super) const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum interval between two log lines about refused requests, of whatever account.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Quotas by the short id of the account.
pub(crate) type QuotaIndex = HashMap<ShortId, Quota>;

/// Time until which a token is valid or, for a refusal, the time after which a token is due.
type Answer = Result<Duration, Duration>;

/// A request that waits for a token.
struct Waiter {
    tx: oneshot::Sender<Answer>,
    rate: f64,
}

/// A request for tokens that was sent to an owner.
#[derive(Clone, Copy)]
struct SentRequest {
    account: ShortId,
    sent: Duration,
}

/// Tokens and shards of this instance.
pub(crate) struct Quotas {
    pub(super) limits: QuotaLimits,
    pub(super) ownership: RefCell<Ownership>,
    pub(super) buckets: RefCell<Buckets>,
    pub(super) allowances: RefCell<Allowances>,
    waiting: RefCell<HashMap<ShortId, VecDeque<Waiter>>>,
    sent: RefCell<HashMap<u64, SentRequest>>,
    next_number: Cell<u64>,
    pub(super) incoming: RefCell<IncomingTransfers>,
    /// Passes messages about transfers to the task that claims shards.
    transfer_tx: RefCell<mpsc::Sender<TransferEvent>>,
}

impl Quotas {
    /// Creates the state of an instance that owns no shard and has no tokens.
    pub(crate) fn new(
        instance: InstanceId,
        limits: QuotaLimits,
        transfer_tx: mpsc::Sender<TransferEvent>,
    ) -> Self {
        Self {
            limits,
            ownership: RefCell::new(Ownership::new(instance)),
            buckets: RefCell::default(),
            allowances: RefCell::default(),
            waiting: RefCell::default(),
            sent: RefCell::default(),
            // An answer to an earlier process under this name must not look like one to this process.
            next_number: Cell::new(rand::random()),
            incoming: RefCell::default(),
            transfer_tx: RefCell::new(transfer_tx),
        }
    }

    /// Returns the shards from which this instance may grant now.
    pub(crate) fn announced_shards(&self) -> ShardSet {
        self.ownership.borrow().announced(time_since_boot())
    }

    /// Decides, as the owner of its shard, on a request for tokens of an account.
    pub(crate) fn decide(
        &self,
        account: ShortId,
        quota: Option<Quota>,
        tokens: u16,
    ) -> QuotaOutcome {
        let now = time_since_boot();
        let owned_since = self.ownership.borrow().granting_since(now, shard_of(account));
        // An instance whose configuration has no quota for the account cannot tell what to grant.
        let (Some(owned_since), Some(quota)) = (owned_since, quota) else {
            return QuotaOutcome::NotOwner;
        };
        let limits = BucketLimits::new(quota, &self.limits);
        let mut buckets = self.buckets.borrow_mut();
        buckets.take(now, owned_since, account, limits, tokens).into()
    }

    /// Applies the answer of an owner. Returns the account if requests still wait for its tokens.
    pub(crate) fn on_grant(&self, grant: &QuotaGrant) -> Option<ShortId> {
        let SentRequest { account, .. } = self.sent.borrow_mut().remove(&grant.number)?;
        let now = time_since_boot();
        let mut allowances = self.allowances.borrow_mut();
        match grant.outcome {
            QuotaOutcome::Granted { tokens } => {
                allowances.on_granted(now, account, grant.number, tokens);
                drop(allowances);
                self.serve_waiting(account).then_some(account)
            }
            QuotaOutcome::Exhausted { retry_after_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                let is_pending = allowances.on_exhausted(now, account, grant.number, retry_after);
                drop(allowances);
                if is_pending {
                    self.refuse_waiting(account);
                }
                None
            }
            QuotaOutcome::NotOwner => {
                allowances.on_not_owner(account, grant.number);
                None
            }
        }
    }

    /// Hands tokens to waiting requests. Returns true if some are left without one.
    fn serve_waiting(&self, account: ShortId) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(&account) else { return false };
        let (now, mut allowances) = (time_since_boot(), self.allowances.borrow_mut());
        while let Some(waiter) = queue.pop_front() {
            if waiter.tx.is_canceled() {
                continue;
            }
            let Some(expires) = allowances.take(now, account) else {
                queue.push_front(waiter);
                return true;
            };
            if waiter.tx.send(Ok(expires)).is_err() {
                allowances.restore(now, account, expires);
            }
        }
        waiting.remove(&account);
        false
    }

    fn refuse_waiting(&self, account: ShortId) {
        let Some(queue) = self.waiting.borrow_mut().remove(&account) else { return };
        let (now, mut allowances) = (time_since_boot(), self.allowances.borrow_mut());
        for Waiter { tx, rate } in queue.into_iter().filter(|waiter| !waiter.tx.is_canceled()) {
            let retry_after = allowances.refuse(now, account, rate).unwrap_or_default();
            // The request may have ended meanwhile.
            let _ = tx.send(Err(retry_after));
        }
    }

    fn add_waiter(&self, account: ShortId, rate: f64) -> oneshot::Receiver<Answer> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting.entry(account).or_default();
        queue.retain(|waiter| !waiter.tx.is_canceled());
        queue.push_back(Waiter { tx, rate });
        rx
    }

    fn count_waiting(&self, account: ShortId) -> usize {
        let waiting = self.waiting.borrow();
        let queue = waiting.get(&account);
        queue.map_or(0, |queue| queue.iter().filter(|waiter| !waiter.tx.is_canceled()).count())
    }

    /// Records a request to an owner and returns its number.
    fn on_sent(&self, now: Duration, account: ShortId, tokens: u16) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        self.sent.borrow_mut().insert(number, SentRequest { account, sent: now });
        self.allowances.borrow_mut().on_requested(now, account, number, tokens);
        number
    }

    /// Removes the buckets of a shard that was lost.
    pub(super) fn remove_shard(&self, shard: ShardId) {
        self.buckets.borrow_mut().remove_shard(shard);
    }

    /// Removes the buckets of a shard that was released, and returns what they held.
    pub(super) fn take_levels(&self, now: Duration, shard: ShardId) -> Vec<QuotaLevel> {
        let mut buckets = self.buckets.borrow_mut();
        let levels = buckets.levels(now, shard);
        buckets.remove_shard(shard);
        levels
    }

    /// Sets the tokens of accounts whose shard was handed over to this instance.
    pub(super) fn set_levels(&self, at: Duration, levels: &[QuotaLevel]) {
        self.buckets.borrow_mut().set_levels(at, levels);
    }

    /// Accepts the transfer of a shard, which this instance claims next.
    pub(crate) fn on_transfer(&self, transfer: QuotaTransfer) {
        if self.ownership.borrow().owns(transfer.shard) {
            return;
        }
        if self.incoming.borrow_mut().add(time_since_boot(), transfer) {
            self.queue_transfer_event(TransferEvent::Received);
        }
    }

    /// Passes an event to the task that claims shards. It is dropped if the task is far behind, as if
    /// the datagram had been lost.
    pub(crate) fn queue_transfer_event(&self, event: TransferEvent) {
        let _ = self.transfer_tx.borrow_mut().try_send(event);
    }

    /// Returns the accounts of some shards for which requests wait.
    fn waiting_accounts(&self, shards: ShardSet) -> Vec<ShortId> {
        let waiting = self.waiting.borrow();
        let is_waiting = |queue: &VecDeque<Waiter>| queue.iter().any(|one| !one.tx.is_canceled());
        let accounts = waiting.iter().filter(|(_, queue)| is_waiting(queue));
        let accounts = accounts.map(|(account, _)| *account);
        accounts.filter(|account| shards & (1 << shard_of(*account)) != 0).collect()
    }

    /// Removes the state of accounts without recent requests.
    pub(super) fn expire(&self) {
        let now = time_since_boot();
        self.allowances.borrow_mut().expire(now);
        self.buckets.borrow_mut().expire(now);
        let is_timely = |request: &SentRequest| now.saturating_sub(request.sent) < TOKEN_VALIDITY;
        self.sent.borrow_mut().retain(|_, request| is_timely(request));
        self.waiting.borrow_mut().retain(|_, queue| {
            queue.retain(|waiter| !waiter.tx.is_canceled());
            !queue.is_empty()
        });
    }
}

/// Sends the owner a request for the tokens that the waiting requests of an account need.
pub(crate) fn request_tokens(messenger: &PeerMessenger, quotas: &Quotas, account: ShortId) {
    let waiting = quotas.count_waiting(account);
    let now = time_since_boot();
    let tokens = quotas.allowances.borrow_mut().tokens_to_request(now, account, waiting);
    if let Some(tokens) = tokens {
        send_request(messenger, quotas, account, tokens);
    }
}

fn send_request(messenger: &PeerMessenger, quotas: &Quotas, account: ShortId, tokens: u16) {
    let Some(owner) = messenger.shard_owner(shard_of(account)) else { return };
    let number = quotas.on_sent(time_since_boot(), account, tokens);
    messenger.send_to(Body::QuotaRequest(QuotaRequest { number, account, tokens }), &[owner]);
}

/// Asks an owner that has announced its shards for the tokens that requests wait for.
pub(crate) fn on_announced(messenger: &PeerMessenger, quotas: Option<&Quotas>, shards: ShardSet) {
    let Some(quotas) = quotas else { return };
    for account in quotas.waiting_accounts(shards) {
        request_tokens(messenger, quotas, account);
    }
}

/// Sends the answer of this instance to a request for tokens, if quotas are enforced.
pub(crate) fn answer(
    messenger: &PeerMessenger,
    address: SocketAddr,
    number: u64,
    outcome: Option<QuotaOutcome>,
) {
    if let Some(outcome) = outcome {
        messenger.send_to(Body::QuotaGrant(QuotaGrant { number, outcome }), &[address]);
    }
}

/// Applies the answer of an owner, and asks for more tokens if requests still wait.
pub(crate) fn on_grant(messenger: &PeerMessenger, quotas: Option<&Quotas>, grant: &QuotaGrant) {
    let Some(quotas) = quotas else { return };
    if let Some(account) = quotas.on_grant(grant) {
        request_tokens(messenger, quotas, account);
    }
}

/// Admits the requests of client accounts within their quotas.
pub(crate) struct QuotaGate {
    quotas: Rc<Quotas>,
    state: SharedState,
    messenger: Rc<PeerMessenger>,
    metrics: Metrics,
    log: Logger,
    refusal_log: RefCell<RateLimit>,
}

impl QuotaGate {
    /// Creates the gate of an instance.
    pub(crate) fn new(
        quotas: Rc<Quotas>,
        state: SharedState,
        messenger: Rc<PeerMessenger>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let refusal_log = RefCell::new(RateLimit::new(REFUSAL_LOG_INTERVAL));
        Self { quotas, state, messenger, metrics, log, refusal_log }
    }

    /// Takes a token for a request. Returns the time until which it is valid, `None` if the account
    /// has no quota. It waits only if the owner has to be asked, until `deadline` at most.
    ///
    /// # Errors
    ///
    /// Fails if the account has used its quota or no owner answers.
    pub(crate) async fn take(
        &self,
        principal: Option<&Principal>,
        deadline: Instant,
    ) -> Result<Option<Duration>, Rejection> {
        let Some((principal, quota)) = with_quota(principal) else { return Ok(None) };
        let account = short_account_id(&principal.account);
        let answer = match self.try_take(account, quota.rate) {
            Some(answer) => Some(answer),
            None => self.wait(account, quota.rate, deadline).await,
        };
        let (result, label) = match answer {
            Some(Ok(expires)) => (Ok(Some(expires)), "granted"),
            Some(Err(retry_after)) => {
                self.log_refusal(principal, retry_after);
                (Err(Rejection::over_quota(retry_after)), "refused")
            }
            None => (Err(Rejection::quota_unavailable(NO_OWNER_RETRY_AFTER)), "no_owner"),
        };
        self.metrics.quota_requests.with_label_values(&[label]).inc();
        result
    }

    /// Gives an unused token back to the allowance of this instance.
    pub(crate) fn restore(&self, principal: Option<&Principal>, expires: Duration) {
        let Some((principal, _)) = with_quota(principal) else { return };
        let account = short_account_id(&principal.account);
        self.quotas.allowances.borrow_mut().restore(time_since_boot(), account, expires);
    }

    /// Takes a token or refuses the request. Returns `None` if the owner has to be asked.
    fn try_take(&self, account: ShortId, rate: f64) -> Option<Answer> {
        let now = time_since_boot();
        let taken = self.quotas.allowances.borrow_mut().take(now, account);
        if let Some(expires) = taken {
            self.request_in_advance(now, account);
            return Some(Ok(expires));
        }
        if let Some(answer) = self.take_as_owner(now, account) {
            return Some(answer);
        }
        self.quotas.allowances.borrow_mut().refuse(now, account, rate).map(Err)
    }

    fn take_as_owner(&self, now: Duration, account: ShortId) -> Option<Answer> {
        let quota = self.state.borrow().quota_of(account);
        match self.quotas.decide(account, quota, 1) {
            QuotaOutcome::Granted { .. } => Some(Ok(now + TOKEN_VALIDITY)),
            QuotaOutcome::Exhausted { retry_after_ms } => {
                Some(Err(Duration::from_millis(u64::from(retry_after_ms))))
            }
            QuotaOutcome::NotOwner => None,
        }
    }

    fn request_in_advance(&self, now: Duration, account: ShortId) {
        let tokens = self.quotas.allowances.borrow_mut().tokens_in_advance(now, account);
        if let Some(tokens) = tokens {
            send_request(&self.messenger, &self.quotas, account, tokens);
        }
    }

    async fn wait(&self, account: ShortId, rate: f64, deadline: Instant) -> Option<Answer> {
        for _ in 0..MAX_ASKED {
            let timeout = deadline.saturating_duration_since(Instant::now()).min(ANSWER_TIMEOUT);
            let rx = self.quotas.add_waiter(account, rate);
            request_tokens(&self.messenger, &self.quotas, account);
            if let Ok(Ok(answer)) = compio::time::timeout(timeout, rx).await {
                return Some(answer);
            }
            if let Some(answer) = self.try_take(account, rate) {
                return Some(answer);
            }
        }
        None
    }

    fn log_refusal(&self, principal: &Principal, retry_after: Duration) {
        let Some(suppressed) = self.refusal_log.borrow_mut().allow(Instant::now()) else { return };
        slog::info!(self.log, "proxy: account has used its quota";
            "account" => &*principal.account, "retry_after_ms" => to_ms(retry_after),
            "left_out" => suppressed);
    }
}

/// Returns the account of a request and its quota, if it has one.
fn with_quota(principal: Option<&Principal>) -> Option<(&Principal, Quota)> {
    let principal = principal?;
    Some((principal, principal.quota?))
}

/// Takes the first token of a request.
///
/// # Errors
///
/// Fails if the account has used its quota or no owner answers.
pub(crate) async fn admit(gate: &QuotaGate, routed: &RoutedRequest) -> Result<(), Rejection> {
    if let Some(expires) = gate.take(routed.caller.principal(), routed.deadline).await? {
        routed.quota_token.set(expires);
    }
    Ok(())
}

/// Takes another token for a request that holds none, or one that has expired.
///
/// # Errors
///
/// Fails if the account has used its quota or no owner answers.
pub(crate) async fn ensure_valid_token(
    gate: &QuotaGate,
    routed: &RoutedRequest,
) -> Result<(), Rejection> {
    if routed.quota_token.expires().is_some_and(is_valid) {
        return Ok(());
    }
    routed.quota_token.take();
    admit(gate, routed).await
}

/// Returns true if a token with this expiry may still be used.
pub(super) fn is_valid(expires: Duration) -> bool {
    expires > time_since_boot()
}

/// Returns the quotas of a configuration. Two accounts with the same short id share a bucket with the
/// smaller quota.
pub(crate) fn index(configuration: &cactustrack_types::Configuration) -> QuotaIndex {
    let mut index = QuotaIndex::new();
    for account in &configuration.accounts {
        let Some(quota) = account.quota else { continue };
        let known = index.entry(short_account_id(&account.id)).or_insert(quota);
        known.rate = known.rate.min(quota.rate);
        known.burst = known.burst.min(quota.burst);
    }
    index
}
