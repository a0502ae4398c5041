//! Counters of the traffic between instances and of the faults that closed connections.

use std::cell::RefCell;
use std::collections::BTreeMap;

use derive_more::Display;

use crate::fault::PeerFault;

/// Method of the Cap'n Proto interface `Peer` to which traffic is attributed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerMethod {
    /// Introduction of one instance to another.
    #[display("hello")]
    Hello,
    /// Evidence reports to a collector.
    #[display("report")]
    Report,
    /// Synchronization of membership and configuration.
    #[display("sync")]
    Sync,
    /// Handshakes and messages of the RPC protocol that belong to no call.
    #[display("other")]
    Other,
}

impl PeerMethod {
    /// All variants, in the order of declaration.
    pub const ALL: [Self; 4] = [Self::Hello, Self::Report, Self::Sync, Self::Other];
}

/// Number of messages and of their bytes on the wire, including frame headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Messages received.
    pub received_messages: u64,
}

/// Counters that the server and the pool of an instance share.
#[derive(Debug, Default)]
pub struct PeerCounters {
    traffic: RefCell<BTreeMap<PeerMethod, Traffic>>,
    faults: RefCell<BTreeMap<PeerFault, u64>>,
}

impl PeerCounters {
    /// Returns the traffic of a method.
    pub fn traffic(&self, method: PeerMethod) -> Traffic {
        self.traffic.borrow().get(&method).copied().unwrap_or_default()
    }

    /// Returns the number of connections that were closed because of `fault`.
    pub fn faults(&self, fault: PeerFault) -> u64 {
        self.faults.borrow().get(&fault).copied().unwrap_or(0)
    }

    pub(crate) fn record_fault(&self, fault: PeerFault) {
        *self.faults.borrow_mut().entry(fault).or_default() += 1;
    }

    pub(crate) fn record_sent(&self, method: PeerMethod, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        let entry = traffic.entry(method).or_default();
        entry.sent_messages += 1;
        entry.sent_bytes += bytes as u64;
    }

    pub(crate) fn record_received(&self, method: PeerMethod, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        let entry = traffic.entry(method).or_default();
        entry.received_messages += 1;
        entry.received_bytes += bytes as u64;
    }
}
