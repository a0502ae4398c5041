//! Schedule of a run: the faults, their start times and their durations. The seed and the size of
//! the run determine it.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time before the first fault, in which the fleet becomes stable.
pub(crate) const WARM_UP: Duration = Duration::from_secs(3);

/// Mean time between the starts of two faults that do not start at the same time. It is shorter
/// than most faults, so that they overlap.
const MEAN_PAUSE: Duration = Duration::from_millis(900);

/// Minimum and maximum duration of a fault, in seconds.
const FAULT_SECONDS: (f64, f64) = (0.3, 6.0);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    pub(crate) callers: usize,
    /// Time over which faults start.
    pub(crate) length: Duration,
}

/// Fault of a network link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[display("is slow")]
    Delay,
    #[display("holds back data in the forward direction")]
    CutForward,
    #[display("holds back data in the backward direction")]
    CutBackward,
    #[display("resets connections")]
    Down,
    #[display("silences open connections")]
    Silence,
}

/// Fault of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum UpstreamFault {
    #[display("responds with errors")]
    Errors,
    #[display("does not respond")]
    Hang,
    #[display("closes connections after executing the request")]
    CloseAfterExecution,
    #[display("sends responses that belong to other requests")]
    Mismatch,
    #[display("truncates large responses")]
    Truncate,
    #[display("is slow")]
    Slow,
}

/// A fault, with the index of the affected instance or upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fault {
    #[display("instance {_0} is killed")]
    Kill(usize),
    #[display("instance {_0} is shut down gracefully")]
    Stop(usize),
    #[display("instance {_0} is paused")]
    Pause(usize),
    #[display("instance {_0} receives SIGHUP")]
    HangUp(usize),
    #[display("the store does not respond")]
    StoreSilent,
    #[display("the store rejects calls")]
    StoreBusy,
    #[display("the store drops its history")]
    DropHistory,
    #[display("the store ends all leases")]
    EndLeases,
    #[display("the link from instance {_0} to the store {_1}")]
    StoreLink(usize, LinkFault),
    #[display("the link to upstream {_0} {_1}")]
    UpstreamLink(usize, LinkFault),
    #[display("the link from callers to instance {_0} {_1}")]
    CallerLink(usize, LinkFault),
    #[display("upstream {_0} {_1}")]
    Upstream(usize, UpstreamFault),
    #[display("upstream {_0} leaves and comes back")]
    Leave(usize),
    #[display("a new version of the configuration is accepted")]
    Configure,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.2} s, for {:.2} s: {fault}", at.as_secs_f64(), duration.as_secs_f64())]
pub(crate) struct Step {
    /// Start time, relative to the start of the traffic.
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// The faults of a run in the order of their start times.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

impl Plan {
    /// Creates the plan for a seed.
    pub(crate) fn new(seed: u64, size: Size) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = WARM_UP;
        while at < size.length {
            let seconds = rng.random_range(FAULT_SECONDS.0..FAULT_SECONDS.1);
            let duration = Duration::from_secs_f64(seconds);
            steps.push(Step { at, duration, fault: random_fault(&mut rng, size) });
            // Some faults start at the same moment.
            if rng.random_bool(0.85) {
                at += MEAN_PAUSE.mul_f64(-rng.random_range(0.01_f64..1.0).ln());
            }
        }
        Self { seed, steps }
    }
}

fn random_fault(rng: &mut SmallRng, size: Size) -> Fault {
    let instance = rng.random_range(0..size.instances);
    let upstream = rng.random_range(0..size.upstreams);
    match rng.random_range(0..22) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Stop(instance),
        4 => Fault::Pause(instance),
        5 => Fault::HangUp(instance),
        6 => Fault::StoreSilent,
        7 => Fault::StoreBusy,
        8 => Fault::DropHistory,
        9 => Fault::EndLeases,
        10 | 11 => Fault::StoreLink(instance, random_link_fault(rng)),
        12 | 13 => Fault::UpstreamLink(upstream, random_link_fault(rng)),
        14 => Fault::CallerLink(instance, random_link_fault(rng)),
        15..=17 => Fault::Upstream(upstream, random_upstream_fault(rng)),
        18 | 19 => Fault::Leave(upstream),
        _ => Fault::Configure,
    }
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay,
        1 => LinkFault::CutForward,
        2 => LinkFault::CutBackward,
        3 => LinkFault::Down,
        _ => LinkFault::Silence,
    }
}

fn random_upstream_fault(rng: &mut SmallRng) -> UpstreamFault {
    match rng.random_range(0..6) {
        0 => UpstreamFault::Errors,
        1 => UpstreamFault::Hang,
        2 => UpstreamFault::CloseAfterExecution,
        3 => UpstreamFault::Mismatch,
        4 => UpstreamFault::Truncate,
        _ => UpstreamFault::Slow,
    }
}
