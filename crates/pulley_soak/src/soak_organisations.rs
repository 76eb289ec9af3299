//! The organisations of a run, their quotas, and how their callers send.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// An organisation without a quota, whose callers send all the time.
pub(crate) const STEADY: &str = "steady";
/// Two organisations that exceed their quotas in phases.
pub(crate) const PRESSING: &str = "pressing";
pub(crate) const SURGING: &str = "surging";
/// Two organisations that stay well below their quotas.
pub(crate) const MODEST: &str = "modest";
pub(crate) const SMALL: &str = "small";
/// An organisation whose key changes with each version.
pub(crate) const ROLLED: &str = "rolled";

/// The organisations of callers, in turn.
const CALLERS: [&str; 8] = [PRESSING, STEADY, MODEST, STEADY, SURGING, STEADY, SMALL, STEADY];

/// The organisations with quotas.
const QUOTAS: [(&str, SoakQuota); 4] = [
    (PRESSING, SoakQuota { rate: 40, burst: 20 }),
    (SURGING, SoakQuota { rate: 15, burst: 30 }),
    (MODEST, SoakQuota { rate: 60, burst: 30 }),
    (SMALL, SoakQuota { rate: 6, burst: 6 }),
];

/// Ranges of the pauses between two requests of a caller, in milliseconds.
const STEADY_PAUSE_MS: Range<u64> = 2..60;
const PRESSING_PAUSE_MS: Range<u64> = 10..40;
const QUIET_PAUSE_MS: Range<u64> = 200..400;
const MODEST_PAUSE_MS: Range<u64> = 60..140;
const SMALL_PAUSE_MS: Range<u64> = 1_500..2_500;

/// Range of the time from the beginning of one phase of pressing to that of the next, in
/// milliseconds, and the part of it in which callers press.
const PERIOD_MS: Range<u64> = 3_000..8_000;
const PRESSING_PART: f64 = 0.6;

/// Distinguishes the random numbers for phases from those for faults.
const PHASE_SEED: u64 = 0x7068_6173_6573;

/// How long after the acceptance of a version without it a key may still work, on any host. It is
/// longer than the daemons' key lease.
pub(crate) const REVOKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The quota of an organisation over all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakQuota {
    /// Requests per second.
    pub(crate) rate: u32,
    /// Requests at once.
    pub(crate) burst: u32,
}

/// How the callers of one organisation send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerPhases {
    pub(crate) organisation: &'static str,
    period: Duration,
    /// How far into a period the run begins.
    offset: Duration,
}

impl CallerPhases {
    /// Draws the phases of a caller's organisation. They are the same for all its callers.
    pub(crate) fn draw(seed: u64, caller: usize) -> Self {
        let place = caller % CALLERS.len();
        let mut random = SmallRng::seed_from_u64(seed ^ PHASE_SEED ^ place as u64);
        let period = random.random_range(PERIOD_MS);
        let offset = Duration::from_millis(random.random_range(0..period));
        let period = Duration::from_millis(period);
        Self { organisation: CALLERS[place], period, offset }
    }

    /// Returns the range of a caller's pauses, in milliseconds, at a time since its start.
    pub(crate) fn pause_ms(&self, elapsed: Duration) -> Range<u64> {
        match self.organisation {
            STEADY => STEADY_PAUSE_MS,
            MODEST => MODEST_PAUSE_MS,
            SMALL => SMALL_PAUSE_MS,
            organisation if may_press(organisation) && self.presses_at(elapsed) => {
                PRESSING_PAUSE_MS
            }
            _ => QUIET_PAUSE_MS,
        }
    }

    fn presses_at(&self, elapsed: Duration) -> bool {
        let periods = (elapsed + self.offset).div_duration_f64(self.period);
        periods.fract() < PRESSING_PART
    }
}

/// Whether an organisation's callers exceed its quota at times.
pub(crate) fn may_press(organisation: &str) -> bool {
    [PRESSING, SURGING].contains(&organisation)
}

/// Returns the quota of an organisation, if it has one.
pub(crate) fn quota_of(organisation: &str) -> Option<SoakQuota> {
    QUOTAS.iter().find(|(name, _)| *name == organisation).map(|(_, quota)| *quota)
}

/// Returns the lines of a version's sheet that describe the organisations.
pub(crate) fn organisation_lines(version: u64) -> String {
    let mut lines = format!(
        "#organisation {STEADY} key={}\n\
         #organisation {ROLLED} key={}\n",
        key_of(STEADY),
        rolled_key(version),
    );
    for (name, SoakQuota { rate, burst }) in QUOTAS {
        let key = key_of(name);
        lines += &format!("#organisation {name} rate={rate} burst={burst} key={key}\n");
    }
    lines
}

/// Returns the key of an organisation whose key does not change.
pub(crate) fn key_of(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// Returns the key that works in one version only.
pub(crate) fn rolled_key(version: u64) -> String {
    format!("key-of-version-{version}")
}
