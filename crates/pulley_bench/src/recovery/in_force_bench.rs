//! Measures the time from acceptance of a change until it is in force, over real daemons.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use hdrhistogram::Histogram;

use super::daemon_hosts::{DaemonHosts, accepted_version};

const CHANGES: u64 = 60;

/// The time between two changes. At 2,100 changes a day it would be 41 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// The time limit for a version to be in force, after which the measurement fails.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);

/// The length of the measurement of idle hosts.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Measures clusters of several sizes. `program` is the daemon and `sheet` any valid sheet.
pub(crate) fn measure_in_force(
    folder: &Path,
    program: &Path,
    sheet: &str,
    sizes: &[usize],
) -> Result<()> {
    for size in sizes {
        let folder = tempfile::tempdir_in(folder)?;
        let replicas = if *size < 5 { 3 } else { 5 };
        let mut hosts = DaemonHosts::start(program, folder.path(), *size, replicas, sheet)?;
        measure_idle(&hosts);
        measure_changes(&hosts, sheet)?;
        measure_leader_loss(&mut hosts, sheet)?;
    }
    Ok(())
}

/// Returns the path of the daemon in the folder of this program.
///
/// # Errors
/// If the path of this program is unknown.
pub(crate) fn sibling_daemon() -> Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("pulleyd"))
}

fn measure_idle(hosts: &DaemonHosts) {
    let before = hosts.processor_seconds();
    thread::sleep(IDLE_TIME);
    let after = hosts.processor_seconds();
    let mut shares: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (after - before) / IDLE_TIME.as_secs_f64() * 100.0)
        .collect();
    shares.sort_by(f64::total_cmp);
    println!(
        "part=in-force hosts={} load=idle core_percent_median={:.2} core_percent_max={:.2}",
        shares.len(),
        shares[shares.len() / 2],
        shares.last().copied().unwrap_or_default(),
    );
}

fn measure_changes(hosts: &DaemonHosts, sheet: &str) -> Result<()> {
    let mut acceptance = Histogram::<u64>::new(3)?;
    let mut in_force = Histogram::<u64>::new(3)?;
    for version in 2..2 + CHANGES {
        let target = usize::try_from(version)? % hosts.hosts.len();
        let requested_at = Instant::now();
        let answer = hosts.apply(target, &format!("change-{version}"), version - 1, sheet)?;
        let answered_at = Instant::now();
        if accepted_version(&answer) != Some(version) {
            bail!("change {version} was answered with {answer}");
        }
        acceptance.record(micros(answered_at - requested_at))?;
        let all_hosts: Vec<usize> = (0..hosts.hosts.len()).collect();
        for time in times_until_served(hosts, &all_hosts, version, answered_at)? {
            in_force.record(micros(time))?;
        }
        thread::sleep(CHANGE_INTERVAL);
    }
    println!(
        "part=in-force hosts={} load=changes count={CHANGES} accepted_p50_ms={:.1} \
         accepted_p99_ms={:.1} in_force_p50_ms={:.1} in_force_p99_ms={:.1} in_force_max_ms={:.1}",
        hosts.hosts.len(),
        millis(acceptance.value_at_quantile(0.5)),
        millis(acceptance.value_at_quantile(0.99)),
        millis(in_force.value_at_quantile(0.5)),
        millis(in_force.value_at_quantile(0.99)),
        millis(in_force.max()),
    );
    Ok(())
}

/// Kills the leader and requests a change at once, resending it until it is accepted.
fn measure_leader_loss(hosts: &mut DaemonHosts, sheet: &str) -> Result<()> {
    let leader = hosts.leader()?;
    hosts.kill(leader)?;
    let requested_at = Instant::now();
    let remaining: Vec<usize> = (0..hosts.hosts.len()).filter(|host| *host != leader).collect();
    let base = 1 + CHANGES;
    let mut tries = 0;
    let version = loop {
        let target = remaining[tries % remaining.len()];
        tries += 1;
        let answer = hosts.apply(target, "after-the-loss", base, sheet);
        if let Some(version) = answer.ok().as_ref().and_then(accepted_version) {
            break version;
        }
        if requested_at.elapsed() > IN_FORCE_LIMIT {
            bail!("no change is accepted within {IN_FORCE_LIMIT:?} after the leader was lost");
        }
        thread::sleep(Duration::from_millis(50));
    };
    let answered_at = Instant::now();
    let times = times_until_served(hosts, &remaining, version, answered_at)?;
    let worst = times.into_iter().max().unwrap_or_default();
    println!(
        "part=in-force hosts={} load=leader-lost tries={tries} asked_to_accepted_ms={:.1} \
         accepted_to_in_force_max_ms={:.1}",
        hosts.hosts.len(),
        millis(micros(answered_at - requested_at)),
        millis(micros(worst)),
    );
    Ok(())
}

/// Returns the time from `since` until each of the hosts served a version.
fn times_until_served(
    hosts: &DaemonHosts,
    watched: &[usize],
    version: u64,
    since: Instant,
) -> Result<Vec<Duration>> {
    thread::scope(|scope| {
        let watchers: Vec<_> = watched
            .iter()
            .map(|host| {
                scope.spawn(move || -> Result<Duration> {
                    hosts.await_version(*host, version, IN_FORCE_LIMIT)?;
                    Ok(since.elapsed())
                })
            })
            .collect();
        watchers
            .into_iter()
            .map(|watcher| watcher.join().map_err(|_| eyre!("a watcher panicked"))?)
            .collect()
    })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1e3
}
