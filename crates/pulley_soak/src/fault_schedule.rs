//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ProxyMode;

/// Time at the start in which nothing fails, so that every run serves at first.
const CALM_START: Duration = Duration::from_secs(2);

/// Time at the end in which nothing new fails, so that what was broken can heal.
const CALM_END: Duration = Duration::from_secs(5);

/// Pauses between two faults; the short ones make series that overlap.
const PAUSES_MS: [u64; 4] = [50, 300, 900, 1_800];

/// One fault. Hosts and upstreams are named by their place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A daemon is killed, and started again after a while.
    Kill {
        /// Which one.
        host: usize,
        /// How long it is down.
        down: Duration,
    },
    /// All daemons are killed at once and started again.
    KillAll {
        /// How long they are down.
        down: Duration,
    },
    /// A daemon is told to shut down, and started again once it has.
    Stop {
        /// Which one.
        host: usize,
    },
    /// A daemon stands still for a while.
    Pause {
        /// Which one.
        host: usize,
        /// How long.
        span: Duration,
    },
    /// A daemon is told that its settings have changed.
    Reload {
        /// Which one.
        host: usize,
    },
    /// A replica is killed, loses its disk, and is started again.
    Wipe {
        /// Which one.
        host: usize,
    },
    /// The connections to an upstream misbehave for a while.
    Proxy {
        /// Which upstream.
        upstream: usize,
        /// How.
        mode: ProxyMode,
        /// How long.
        span: Duration,
    },
    /// An upstream says that it leaves, serves on for a while, ends, and another comes.
    Drain {
        /// Which one.
        upstream: usize,
    },
    /// An upstream ends without a word, and comes back.
    Crash {
        /// Which one.
        upstream: usize,
        /// How long it is away.
        down: Duration,
    },
    /// Changes of the sheet come in quick succession.
    Storm {
        /// How many.
        changes: u32,
    },
}

/// A fault and when it comes, from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: SoakFault,
}

/// The faults of one run, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSchedule(pub Vec<ScheduledFault>);

impl FaultSchedule {
    /// Draws the faults of a run of `span` with so many hosts, the first `replicas` of which hold
    /// the log, and upstreams.
    #[must_use]
    pub fn draw(seed: u64, span: Duration, sizes: (usize, usize, usize)) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = CALM_START;
        let end = span.saturating_sub(CALM_END);
        while at < end {
            faults.push(ScheduledFault { at, fault: draw_fault(&mut random, sizes) });
            at += Duration::from_millis(PAUSES_MS[random.random_range(0..PAUSES_MS.len())]);
        }
        Self(faults)
    }
}

fn draw_fault(
    random: &mut SmallRng,
    (hosts, replicas, upstreams): (usize, usize, usize),
) -> SoakFault {
    let host = random.random_range(0..hosts);
    let upstream = random.random_range(0..upstreams);
    let span = Duration::from_millis(random.random_range(200..2_500));
    let down = Duration::from_millis(random.random_range(50..1_500));
    match random.random_range(0..20) {
        0..3 => SoakFault::Kill { host, down },
        3..6 => SoakFault::Stop { host },
        6..9 => SoakFault::Pause { host, span },
        9 => SoakFault::Reload { host },
        10 => SoakFault::Wipe { host: random.random_range(0..replicas) },
        11 => SoakFault::KillAll { down: Duration::from_millis(random.random_range(50..600)) },
        12..16 => SoakFault::Proxy { upstream, mode: draw_mode(random), span },
        16 => SoakFault::Drain { upstream },
        17 => SoakFault::Crash { upstream, down },
        _ => SoakFault::Storm { changes: random.random_range(1..6) },
    }
}

fn draw_mode(random: &mut SmallRng) -> ProxyMode {
    match random.random_range(0..5) {
        0 => ProxyMode::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::LosesRequests,
        3 => ProxyMode::LosesAnswers,
        _ => ProxyMode::Silent,
    }
}
