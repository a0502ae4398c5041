//! Counters of the peer exchange.

use std::cell::RefCell;
use std::collections::BTreeMap;

use derive_more::Display;

use crate::fault::PeerFault;

/// Method of the interface `Peer` that bytes belong to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerMethod {
    /// `hello`
    #[display("hello")]
    Hello,
    /// `report`
    #[display("report")]
    Report,
    /// `sync`
    #[display("sync")]
    Sync,
    /// Handshakes and messages of the RPC protocol that belong to no call.
    #[display("other")]
    Other,
}

impl PeerMethod {
    /// All interfaces, in the order of declaration.
    pub const ALL: [Self; 4] = [Self::Hello, Self::Report, Self::Sync, Self::Other];
}

/// Messages and bytes on the wire, including framing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
}

/// Counters shared by the server and the pool of one instance.
#[derive(Debug, Default)]
pub struct PeerCounters {
    traffic: RefCell<BTreeMap<PeerMethod, Traffic>>,
    faults: RefCell<BTreeMap<PeerFault, u64>>,
}

impl PeerCounters {
    /// Returns the traffic of an interface.
    pub fn traffic(&self, interface: PeerMethod) -> Traffic {
        self.traffic.borrow().get(&interface).copied().unwrap_or_default()
    }

    /// Returns how many connections were closed because of a fault.
    pub fn faults(&self, fault: PeerFault) -> u64 {
        self.faults.borrow().get(&fault).copied().unwrap_or(0)
    }

    pub(crate) fn record_fault(&self, fault: PeerFault) {
        *self.faults.borrow_mut().entry(fault).or_default() += 1;
    }

    pub(crate) fn record_sent(&self, interface: PeerMethod, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        let entry = traffic.entry(interface).or_default();
        entry.sent += 1;
        entry.sent_bytes += bytes as u64;
    }

    pub(crate) fn record_received(&self, interface: PeerMethod, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        let entry = traffic.entry(interface).or_default();
        entry.received += 1;
        entry.received_bytes += bytes as u64;
    }
}
