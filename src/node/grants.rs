//! Requests for extra attempts within the allowance of other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::budget::GRANT_VALIDITY;
use cactustrack_fleet::message::{Body, GrantRequest, ShortId, short_service_id};
use cactustrack_types::ServiceId;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::LocalBoxFuture;
use rand::RngExt;

use super::messenger::PeerMessenger;
use super::state::time_since_boot;

/// Time after which an instance that has not answered is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of instances that are asked for one attempt, one after the other.
const MAX_ASKED: usize = 3;

/// Time for which no instance is asked for attempts at a service after all that were asked had none
/// to give.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// Gives extra attempts within the allowance of other instances.
pub(crate) trait GrantSource {
    /// Asks other instances for an attempt at a service. Returns true if it may start now.
    fn request<'a>(&'a self, service: &'a ServiceId, is_hedge: bool) -> LocalBoxFuture<'a, bool>;
}

/// Requests that were not answered yet.
#[derive(Default)]
pub(crate) struct PendingGrants {
    next_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// Time until which no instance is asked for attempts at a service.
    paused: RefCell<HashMap<ShortId, Instant>>,
}

impl PendingGrants {
    /// Delivers an answer. One that comes too late is ignored.
    pub(crate) fn on_answer(&self, number: u64, is_granted: bool) {
        if let Some(tx) = self.waiting.borrow_mut().remove(&number) {
            // The request may have ended meanwhile.
            let _ = tx.send(is_granted);
        }
    }

    fn is_paused(&self, service: ShortId) -> bool {
        self.paused.borrow().get(&service).is_some_and(|until| *until > Instant::now())
    }

    fn pause(&self, service: ShortId) {
        self.paused.borrow_mut().insert(service, Instant::now() + REFUSED_PAUSE);
    }
}

impl GrantSource for Rc<PeerMessenger> {
    fn request<'a>(&'a self, service: &'a ServiceId, is_hedge: bool) -> LocalBoxFuture<'a, bool> {
        request(self, short_service_id(service), is_hedge).boxed_local()
    }
}

async fn request(messenger: &PeerMessenger, service: ShortId, is_hedge: bool) -> bool {
    if messenger.grants().is_paused(service) {
        return false;
    }
    let mut addresses = messenger.peer_addresses();
    for _ in 0..MAX_ASKED.min(addresses.len()) {
        let address = addresses.swap_remove(rand::rng().random_range(0..addresses.len()));
        if ask(messenger, address, service, is_hedge).await {
            return true;
        }
    }
    messenger.grants().pause(service);
    false
}

/// Asks one instance. The clock that counts suspensions of the machine decides whether the answer
/// is still valid.
async fn ask(
    messenger: &PeerMessenger,
    address: SocketAddr,
    service: ShortId,
    is_hedge: bool,
) -> bool {
    let asked = time_since_boot();
    let (tx, rx) = oneshot::channel();
    let pending = messenger.grants();
    let number = pending.next_number.get();
    pending.next_number.set(number + 1);
    pending.waiting.borrow_mut().insert(number, tx);
    let request = GrantRequest { number, service, is_hedge };
    messenger.send_to(Body::GrantRequest(request), &[address]);
    let answer = compio::time::timeout(ANSWER_TIMEOUT, rx).await;
    pending.waiting.borrow_mut().remove(&number);
    let is_valid = time_since_boot().saturating_sub(asked) <= GRANT_VALIDITY;
    is_valid && matches!(answer, Ok(Ok(true)))
}
