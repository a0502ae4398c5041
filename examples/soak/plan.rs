//! The schedule of a run: which faults come when and for how long. It depends on the seed only.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time before the first fault, in which the fleet becomes calm.
pub(crate) const CALM: Duration = Duration::from_secs(3);

/// Mean pause between the starts of two faults. Faults last longer, so they overlap.
const MEAN_PAUSE: Duration = Duration::from_millis(900);

/// Shortest and longest fault.
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

/// What happens to the connections of a link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[display("is slow")]
    Delay,
    #[display("loses what is sent forward")]
    CutForward,
    #[display("loses what is sent backward")]
    CutBackward,
    #[display("resets connections")]
    Down,
    #[display("silences open connections")]
    Silence,
}

/// How an upstream fails.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum UpstreamFault {
    #[display("answers errors")]
    Errors,
    #[display("does not answer")]
    Hang,
    #[display("breaks connections after it has run the request")]
    BreakAfterRun,
    #[display("answers other requests")]
    Crossed,
    #[display("cuts large answers")]
    Cut,
    #[display("is slow")]
    Slow,
}

/// A fault. Numbers name the instance or the upstream that it concerns.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fault {
    #[display("instance {_0} is killed")]
    Kill(usize),
    #[display("instance {_0} is asked to stop")]
    Stop(usize),
    #[display("instance {_0} is paused")]
    Pause(usize),
    #[display("instance {_0} reads its settings again")]
    HangUp(usize),
    #[display("the store is silent")]
    StoreSilent,
    #[display("the store refuses calls")]
    StoreBusy,
    #[display("the store drops its history")]
    DropHistory,
    #[display("the store ends all leases")]
    EndLeases,
    #[display("the link of instance {_0} to the store {_1}")]
    StoreLink(usize, LinkFault),
    #[display("the link to upstream {_0} {_1}")]
    UpstreamLink(usize, LinkFault),
    #[display("the link of callers to instance {_0} {_1}")]
    CallerLink(usize, LinkFault),
    #[display("upstream {_0} {_1}")]
    Upstream(usize, UpstreamFault),
    #[display("upstream {_0} leaves and comes back")]
    Leave(usize),
    #[display("a version is accepted")]
    Configure,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.2} s, for {:.2} s: {fault}", at.as_secs_f64(), lasts.as_secs_f64())]
pub(crate) struct Step {
    /// Start, from the start of the traffic.
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) fault: Fault,
}

/// The faults of a run in the order of their start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

impl Plan {
    /// Draws the faults of a seed.
    pub(crate) fn new(seed: u64, size: Size) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = CALM;
        while at < size.length {
            let seconds = rng.random_range(FAULT_SECONDS.0..FAULT_SECONDS.1);
            let lasts = Duration::from_secs_f64(seconds);
            steps.push(Step { at, lasts, fault: draw(&mut rng, size) });
            // Some faults start at the same moment.
            if rng.random_bool(0.85) {
                at += MEAN_PAUSE.mul_f64(-rng.random_range(0.01_f64..1.0).ln());
            }
        }
        Self { seed, steps }
    }
}

fn draw(rng: &mut SmallRng, size: Size) -> Fault {
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
        10 | 11 => Fault::StoreLink(instance, draw_link(rng)),
        12 | 13 => Fault::UpstreamLink(upstream, draw_link(rng)),
        14 => Fault::CallerLink(instance, draw_link(rng)),
        15..=17 => Fault::Upstream(upstream, draw_upstream(rng)),
        18 | 19 => Fault::Leave(upstream),
        _ => Fault::Configure,
    }
}

fn draw_link(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay,
        1 => LinkFault::CutForward,
        2 => LinkFault::CutBackward,
        3 => LinkFault::Down,
        _ => LinkFault::Silence,
    }
}

fn draw_upstream(rng: &mut SmallRng) -> UpstreamFault {
    match rng.random_range(0..6) {
        0 => UpstreamFault::Errors,
        1 => UpstreamFault::Hang,
        2 => UpstreamFault::BreakAfterRun,
        3 => UpstreamFault::Crossed,
        4 => UpstreamFault::Cut,
        _ => UpstreamFault::Slow,
    }
}
