//! The organisations of a run, and the check of their quota from what upstreams see.

use std::time::{Duration, Instant};

/// Two organisations whose callers send all the time: one without a quota, one that presses beyond
/// its own. The keys of the third change with each version.
pub(crate) const STEADY: &str = "steady";
pub(crate) const PRESSING: &str = "pressing";
pub(crate) const ROLLED: &str = "rolled";

/// The quota of the pressing organisation.
const RATE: u32 = 40;
const BURST: u32 = 20;

/// What may run in a window: this many times the quota, and some requests more.
const WINDOW: Duration = Duration::from_secs(5);
const FACTOR: f64 = 1.1;
const SLACK: f64 = 20.0;

/// How long after the acceptance of a version without it a key may still work, on any host. It is
/// longer than the daemons' key lease.
pub(crate) const REVOKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the lines of a version's sheet that describe the organisations.
pub(crate) fn organisation_lines(version: u64) -> String {
    format!(
        "#organisation {STEADY} key={}\n\
         #organisation {PRESSING} rate={RATE} burst={BURST} key={}\n\
         #organisation {ROLLED} key={}\n",
        key_of(STEADY),
        key_of(PRESSING),
        rolled_key(version),
    )
}

/// Returns the key of an organisation whose key does not change.
pub(crate) fn key_of(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// Returns the key that works in one version only.
pub(crate) fn rolled_key(version: u64) -> String {
    format!("key-of-version-{version}")
}

/// Returns by how much the pressing organisation's runs exceeded its quota, as text, if they did.
pub(crate) fn check_quota(mut runs: Vec<Instant>) -> Option<String> {
    runs.sort();
    let within = |(index, start): (usize, &Instant)| {
        runs[index..].iter().take_while(|at| **at < *start + WINDOW).count()
    };
    let most = runs.iter().enumerate().map(within).max().unwrap_or(0);
    let quota = f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(BURST);
    let allowed = quota * FACTOR + SLACK;
    (most as f64 > allowed).then(|| format!("{PRESSING} ran {most} in 5 s, allowed {allowed}"))
}
