//! Keeps this instance registered in the store, and reads which other instances are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::DiscoveryError;

use super::discovery_sync::{Backoff, DiscoverySync};

/// Time to live of the registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// Interval at which an instance that is not a relay renews its registration.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which a relay renews its registration. A pending watch does not reveal that the
/// store has stopped responding, so the renewal, which costs a tenth of a call, serves as the
/// health check.
const RELAY_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the start of the process of a first read of the registered instances. If all
/// instances restart at once, the registrations of the earlier processes let them discover each
/// other within half a second.
const EARLIER_INSTANCES_READ: Duration = Duration::from_millis(100);

/// Times after the start of the process at which the registered instances are read at first. There
/// are several because instances that start together register during this time and a read may
/// return a state that is some seconds old.
const INITIAL_INSTANCE_READS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(3), Duration::from_secs(6)];

/// Interval of all later reads of the registered instances.
const INSTANCE_READ_INTERVAL: Duration = Duration::from_secs(12);

impl DiscoverySync {
    fn is_stopping(&self) -> bool {
        self.state.borrow().shutdown.is_some()
    }

    /// Keeps the instance registered and tracks whether the store is available.
    pub(crate) async fn keep_registered(self: Rc<Self>, address: SocketAddr) {
        let mut backoff = Backoff::new();
        let mut is_registered = false;
        loop {
            let started = Instant::now();
            let result = if is_registered {
                self.discovery.renew().await
            } else {
                self.discovery.register(address, REGISTRATION_TTL).await
            };
            self.count_call(if is_registered { "renew" } else { "register" }, result.is_ok());
            match result {
                Ok(()) => self.on_store_available(),
                // The graceful shutdown has removed the registration.
                Err(DiscoveryError::RegistrationExpired) if self.is_stopping() => return,
                Err(DiscoveryError::RegistrationExpired) => {
                    slog::info!(self.log, "members: registration expired; registering again");
                    is_registered = false;
                    continue;
                }
                Err(error) => {
                    self.on_store_unavailable(&error, started);
                    backoff.pause().await;
                    continue;
                }
            }
            backoff = Backoff::new();
            is_registered = true;
            self.wait_for_renewal().await;
        }
    }

    /// Waits until the next renewal is due, which is sooner if the instance is or becomes a relay.
    async fn wait_for_renewal(&self) {
        let renewed = Instant::now();
        loop {
            compio::time::sleep(RELAY_RENEWAL_INTERVAL).await;
            let now = Instant::now();
            let is_relay = self.state.borrow().peers.is_relay(now, &self.instance, true);
            if is_relay || now.duration_since(renewed) >= RENEWAL_INTERVAL {
                return;
            }
        }
    }

    /// Reads the registered instances periodically.
    pub(crate) async fn sync_instances(self: Rc<Self>, address: SocketAddr) {
        let started = Instant::now();
        compio::time::sleep(EARLIER_INSTANCES_READ).await;
        // Most instances that start at the same time have not registered yet, so this read does not
        // show the size of the fleet.
        if let Some(addresses) = self.registered_instances().await {
            self.add_peers(&addresses, address);
            self.messenger.announce();
        }
        for delay in INITIAL_INSTANCE_READS {
            compio::time::sleep(delay.saturating_sub(started.elapsed())).await;
            self.read_instances(address).await;
            if !self.state.borrow().peers.is_fleet_known() {
                self.messenger.announce();
            }
        }
        loop {
            compio::time::sleep(INSTANCE_READ_INTERVAL).await;
            self.store_availability.wait_until_available().await;
            self.read_instances(address).await;
        }
    }

    fn on_store_available(&self) {
        if self.store_availability.mark_available() {
            slog::info!(self.log, "store: available");
            self.state.borrow_mut().is_store_up = true;
        }
    }

    fn on_store_unavailable(&self, error: &DiscoveryError, since: Instant) {
        if self.store_availability.mark_unavailable(since) {
            slog::warn!(self.log, "store: unavailable"; "error" => %error);
            self.state.borrow_mut().is_store_up = false;
            // The heartbeat makes another instance a relay in place of this one.
            self.messenger.announce();
        }
    }

    async fn read_instances(&self, own: SocketAddr) {
        if let Some(addresses) = self.registered_instances().await {
            self.state.borrow_mut().peers.set_registered(addresses.len());
            self.add_peers(&addresses, own);
        }
    }

    async fn registered_instances(&self) -> Option<Vec<SocketAddr>> {
        let read = self.discovery.instances().await;
        self.count_call("instances", read.is_ok());
        match read {
            Ok(addresses) => Some(addresses),
            Err(error) => {
                slog::debug!(self.log, "members: cannot read the registered instances";
                    "error" => %error);
                None
            }
        }
    }

    fn add_peers(&self, addresses: &[SocketAddr], own: SocketAddr) {
        let others = addresses.iter().copied().filter(|address| *address != own);
        self.state.borrow_mut().peers.add_addresses(Instant::now(), others);
    }
}
