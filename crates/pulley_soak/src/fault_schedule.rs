//! The schedule of faults, derived from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ProxyMode;

/// Time without faults at the start, so that every run serves requests at first.
const FAULT_FREE_START: Duration = Duration::from_secs(2);

/// Time without new faults at the end, so that the system can recover.
const FAULT_FREE_END: Duration = Duration::from_secs(5);

/// Distinguishes the random numbers for cuts from those for other faults.
const CUT_SEED: u64 = 0x6375_7473;

/// Distinguishes the random numbers for limits from those for other faults.
const LIMIT_SEED: u64 = 0x6c69_6d69_7473;

/// Distinguishes the random numbers for rests and departures from those for other faults.
const STOP_SEED: u64 = 0x7374_6f70;

/// Distinguishes the random numbers for faults of two replicas at a time from those for other faults.
const PAIR_SEED: u64 = 0x0070_6169_7273;

/// Distinguishes the random numbers for shutdowns of hosts from those for other faults.
const SHUTDOWN_SEED: u64 = 0x7368_7574;

/// Distinguishes the random numbers for requests that end upstreams from those for other faults.
const END_SEED: u64 = 0x656e_6473;

/// Replicas from which on a majority remains when two fail. Runs of all faults with fewer have none
/// of two at a time, so that their seeds give the same faults as before.
const MIN_PAIR_REPLICAS: usize = 5;

/// Longest series of faults of two replicas at a time, and the longest time in milliseconds from the
/// end of one to the beginning of the next.
const PAIR_SERIES: u32 = 3;
const PAIR_PAUSE_MS: u64 = 600;

/// The time from one shutdown of a host to its next one.
const SHUTDOWN_INTERVAL: Duration = Duration::from_secs(7);

/// Pauses between faults, in milliseconds. After the short ones, faults overlap.
const PAUSES_MS: [u64; 4] = [50, 300, 900, 1_800];

/// One fault. Hosts and upstreams are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a daemon and restarts it later.
    Kill {
        /// Index of the daemon.
        host: usize,
        /// How long it is down.
        down: Duration,
    },
    /// Kills all daemons at once and restarts them later.
    KillAll {
        /// How long they are down.
        down: Duration,
    },
    /// Signals a daemon to shut down, and restarts it once it has ended.
    Stop {
        /// Index of the daemon.
        host: usize,
    },
    /// Pauses a daemon's process for a while.
    Pause {
        /// Index of the daemon.
        host: usize,
        /// How long it is paused.
        span: Duration,
    },
    /// Signals a daemon to reload its settings.
    Reload {
        /// Index of the daemon.
        host: usize,
    },
    /// Kills a replica, deletes its data and restarts it.
    Wipe {
        /// Index of the daemon.
        host: usize,
    },
    /// Injects a fault into the connections to an upstream for a while.
    Proxy {
        /// Index of the upstream.
        upstream: usize,
        /// The fault.
        mode: ProxyMode,
        /// How long the fault lasts.
        span: Duration,
    },
    /// Makes an upstream announce that it drains. It serves for some more time, and another
    /// upstream then replaces it.
    Drain {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Ends an upstream without an announcement, and starts another in its place later.
    Crash {
        /// Index of the upstream.
        upstream: usize,
        /// How long it is down.
        down: Duration,
    },
    /// Ends an upstream so that connections to it are refused, and starts another in its place later.
    End {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Makes an upstream name a request limit for a while.
    Limit {
        /// Index of the upstream.
        upstream: usize,
        /// The requests a second, in tenths.
        tenths: u32,
        /// How long it names the limit.
        span: Duration,
    },
    /// Makes an upstream turn requests away and ask for rest for a while.
    Rest {
        /// Index of the upstream.
        upstream: usize,
        /// The rest that each of its answers asks for.
        rest: Duration,
        /// How long it turns requests away.
        span: Duration,
    },
    /// Makes an upstream say in its answers, and nowhere else, that it leaves. Another upstream
    /// replaces it later.
    Leave {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Cuts a daemon off from all upstreams for a while.
    CutOff {
        /// Index of the daemon.
        host: usize,
        /// The fault of its connections to them.
        mode: ProxyMode,
        /// How long it is cut off.
        span: Duration,
    },
    /// Sends requests whose content ends each upstream that runs it.
    EndingCalls {
        /// Number of callers, each of whom repeats its request through other hosts.
        callers: u32,
        /// Pause between two callers.
        pause: Duration,
    },
    /// Applies changes of the sheet in quick succession.
    ChangeBurst {
        /// Number of changes.
        changes: u32,
    },
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Which faults a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMix {
    /// All kinds, overlapping.
    #[default]
    All,
    /// Hosts that are cut off from all upstreams, and nothing else.
    Cuts,
    /// Replicas that fail two at a time, and nothing else.
    Pairs,
    /// Requests that end their upstreams, while single hosts fail and upstreams crash.
    Ends,
    /// Hosts that are told to shut down or to reload, in series and together, while some work takes
    /// longer than a shutdown. Nothing else fails.
    Shutdowns,
}

/// The faults of one run, ordered by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSchedule(pub Vec<ScheduledFault>);

impl FaultSchedule {
    /// Draws the faults of a run of length `span`. `sizes` holds the numbers of hosts, of replicas
    /// and of upstreams. The first hosts are the replicas.
    #[must_use]
    pub fn draw(seed: u64, span: Duration, sizes: (usize, usize, usize), mix: FaultMix) -> Self {
        let end = span.saturating_sub(FAULT_FREE_END);
        let mut faults = Vec::new();
        if mix == FaultMix::Ends {
            faults.extend(draw_ends(seed, end, sizes));
        } else if mix == FaultMix::Shutdowns {
            faults.extend(draw_shutdowns(seed, end, sizes));
        } else if mix != FaultMix::Pairs {
            faults.extend(draw_cuts(seed, end, sizes.0));
        }
        let keeps_majority = sizes.1 >= MIN_PAIR_REPLICAS;
        if mix == FaultMix::Pairs || (mix == FaultMix::All && keeps_majority) {
            faults.extend(draw_pairs(seed, end, sizes.1));
        }
        if mix == FaultMix::All {
            faults.extend(draw_others(seed, end, sizes));
        }
        faults.sort_by_key(|fault| fault.at);
        Self(faults)
    }
}

fn draw_others(seed: u64, end: Duration, sizes: (usize, usize, usize)) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        faults.push(ScheduledFault { at, fault: draw_fault(&mut random, sizes) });
        at += Duration::from_millis(PAUSES_MS[random.random_range(0..PAUSES_MS.len())]);
    }
    // Drawn apart from the other faults, so that a seed gives the same ones as before.
    let mut limits = SmallRng::seed_from_u64(seed ^ LIMIT_SEED);
    let mut at = FAULT_FREE_START;
    while at < end {
        faults.push(ScheduledFault { at, fault: draw_limit(&mut limits, sizes.2) });
        at += Duration::from_millis(limits.random_range(1_000..5_000));
    }
    faults.extend(draw_stops(seed, end, sizes.2));
    faults
}

/// Draws rests and departures, drawn apart too. Several upstreams rest at a time, and at times all.
fn draw_stops(seed: u64, end: Duration, upstreams: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ STOP_SEED);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        let first = random.random_range(0..upstreams);
        let count = random.random_range(1..=upstreams);
        let rest = Duration::from_millis(random.random_range(300..4_000));
        let span = Duration::from_millis(random.random_range(500..4_000));
        for upstream in (first..first + count).map(|upstream| upstream % upstreams) {
            faults.push(ScheduledFault { at, fault: SoakFault::Rest { upstream, rest, span } });
        }
        at += Duration::from_millis(random.random_range(1_000..6_000));
        if random.random_range(0..3) == 0 && at < end {
            faults.push(ScheduledFault { at, fault: SoakFault::Leave { upstream: first } });
        }
    }
    faults
}

/// Draws faults of two replicas at a time, drawn apart too. Several pairs may fail in series: the
/// next fails as the one before has come back.
fn draw_pairs(seed: u64, end: Duration, replicas: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ PAIR_SEED);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        for _ in 0..random.random_range(1..=PAIR_SERIES) {
            let first = random.random_range(0..replicas);
            let other = random.random_range(1..replicas.max(2));
            let span = Duration::from_millis(random.random_range(500..4_000));
            let kind = random.random_range(0..4);
            for host in [first, (first + other) % replicas] {
                faults.push(ScheduledFault { at, fault: pair_fault(kind, host, span) });
            }
            at += span + Duration::from_millis(random.random_range(0..PAIR_PAUSE_MS));
        }
        at += Duration::from_millis(random.random_range(2_000..5_000));
    }
    faults.retain(|fault| fault.at < end);
    faults
}

fn pair_fault(kind: u32, host: usize, span: Duration) -> SoakFault {
    match kind {
        0 => SoakFault::Kill { host, down: span },
        1 => SoakFault::Pause { host, span },
        2 => SoakFault::Stop { host },
        _ => SoakFault::CutOff { host, mode: ProxyMode::DropAll, span },
    }
}

/// Draws requests that end their upstreams, and at times a fault of one host or a crash meanwhile.
fn draw_ends(
    seed: u64,
    end: Duration,
    (hosts, _, upstreams): (usize, usize, usize),
) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ END_SEED);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        let callers = random.random_range(1..8);
        let pause = Duration::from_millis(random.random_range(0..300));
        faults.push(ScheduledFault { at, fault: SoakFault::EndingCalls { callers, pause } });
        let host = random.random_range(0..hosts);
        let span = Duration::from_millis(random.random_range(200..1_500));
        let meanwhile = match random.random_range(0..6) {
            0 => Some(SoakFault::Kill { host, down: span }),
            1 => Some(SoakFault::Pause { host, span }),
            2 => Some(SoakFault::Stop { host }),
            3 => Some(SoakFault::End { upstream: random.random_range(0..upstreams) }),
            _ => None,
        };
        let soon = at + Duration::from_millis(random.random_range(0..400));
        faults.extend(meanwhile.map(|fault| ScheduledFault { at: soon, fault }));
        at += Duration::from_millis(random.random_range(2_000..5_000));
    }
    faults
}

/// Draws shutdowns of one host after the other, reloads of any host, and changes of the sheet. A host
/// has recovered before it is told to shut down again: a second signal ends its drain early.
fn draw_shutdowns(
    seed: u64,
    end: Duration,
    (hosts, replicas, _): (usize, usize, usize),
) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ SHUTDOWN_SEED);
    let mut faults = Vec::new();
    let first = if hosts > replicas { replicas } else { 0 };
    let pause = SHUTDOWN_INTERVAL / u32::try_from(hosts - first).unwrap_or(1).max(1);
    let mut at = FAULT_FREE_START;
    for host in (first..hosts).cycle() {
        if at >= end {
            break;
        }
        faults.push(ScheduledFault { at, fault: SoakFault::Stop { host } });
        let meanwhile = match random.random_range(0..3) {
            0 => SoakFault::Reload { host: random.random_range(0..hosts) },
            1 => SoakFault::Reload { host },
            _ => SoakFault::ChangeBurst { changes: random.random_range(1..4) },
        };
        let soon = at + pause.mul_f64(random.random_range(0.0..1.0));
        faults.push(ScheduledFault { at: soon, fault: meanwhile });
        at += pause;
    }
    faults
}

/// Draws cuts of hosts. They are drawn apart too.
fn draw_cuts(seed: u64, end: Duration, hosts: usize) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ CUT_SEED);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        let first = random.random_range(0..hosts);
        let count = random.random_range(1..hosts.max(2));
        let modes = [ProxyMode::DropAll, ProxyMode::DropAnswers, ProxyMode::Reset];
        let mode = modes[random.random_range(0..modes.len())];
        let span = Duration::from_millis(random.random_range(2_000..9_000));
        for host in (first..first + count).map(|host| host % hosts) {
            faults.push(ScheduledFault { at, fault: SoakFault::CutOff { host, mode, span } });
        }
        at += span + Duration::from_millis(random.random_range(500..3_000));
    }
    faults
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
        _ => SoakFault::ChangeBurst { changes: random.random_range(1..6) },
    }
}

fn draw_limit(random: &mut SmallRng, upstreams: usize) -> SoakFault {
    const TENTHS: [u32; 6] = [4, 15, 45, 120, 300, 900];
    let upstream = random.random_range(0..upstreams);
    let tenths = TENTHS[random.random_range(0..TENTHS.len())];
    let span = Duration::from_millis(random.random_range(4_000..12_000));
    SoakFault::Limit { upstream, tenths, span }
}

fn draw_mode(random: &mut SmallRng) -> ProxyMode {
    match random.random_range(0..5) {
        0 => ProxyMode::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::DropRequests,
        3 => ProxyMode::DropAnswers,
        _ => ProxyMode::DropAll,
    }
}
