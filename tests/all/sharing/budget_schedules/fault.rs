//! Faults of a fleet at random times.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::INSTANCES;

/// What happens to a part of the fleet, or to all of it.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    /// The instances neither send nor receive datagrams of the others.
    Cut,
    /// The processes stand still. Their sockets accept requests and datagrams.
    Freeze,
    /// The processes are killed, and start again at the end of the fault.
    Restart,
    /// A share of all datagrams is lost.
    Loss(f64),
    /// Datagrams are delayed by up to this time.
    Delay(Duration),
    /// The store does not answer.
    StoreDown,
    /// The rate of requests is multiplied.
    Burst(f64),
    /// Attempts take up to this time to arrive at an upstream.
    SlowArrivals(Duration),
    /// The callers of the instances move to the others.
    CallersMove,
    /// The machines are suspended, and their clocks with them. Their callers move to the others.
    Suspend,
}

/// A fault of a part of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    pub(super) kind: FaultKind,
    from: Duration,
    until: Duration,
    /// The instances that it affects.
    pub(super) members: Vec<bool>,
}

impl Fault {
    pub(super) fn random(rng: &mut SmallRng) -> Self {
        let kind = match rng.random_range(0..8) {
            0 => FaultKind::Cut,
            1 => FaultKind::Freeze,
            2 => FaultKind::Restart,
            3 => FaultKind::Loss(rng.random_range(0.1..1.0)),
            4 => FaultKind::Delay(Duration::from_millis(rng.random_range(50..2_000))),
            5 => FaultKind::StoreDown,
            6 => FaultKind::Burst(rng.random_range(0.1..3.0)),
            _ => FaultKind::SlowArrivals(Duration::from_millis(rng.random_range(10..450))),
        };
        Self::new(kind, rng)
    }

    /// Creates a fault at a random time and at a random part of the fleet.
    pub(super) fn new(kind: FaultKind, rng: &mut SmallRng) -> Self {
        let from = Duration::from_secs_f64(rng.random_range(8.0..40.0));
        let until = from + Duration::from_secs_f64(rng.random_range(0.5..12.0));
        let share = rng.random_range(0.2..1.0);
        let members = (0..INSTANCES).map(|_| rng.random::<f64>() < share).collect();
        Self { kind, from, until, members }
    }

    pub(super) fn is_active(&self, at: Duration) -> bool {
        self.from <= at && at < self.until
    }
}
