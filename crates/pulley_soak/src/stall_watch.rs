//! Detects that the machine has kept daemons from running.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;

use crate::{DaemonProcess, RequestHistory};

/// How often stalls are looked for.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// How long the thread that sends a daemon's heartbeats may be ready to run without running. Replicas
/// exchange heartbeats every 100 ms that count for 250 ms, so that two such delays look to them like
/// the loss of others.
const STALL_LIMIT: Duration = Duration::from_millis(75);

/// The name of that thread.
const CONTROL_THREAD: &str = "control";

/// Records stalls of daemons, and of the whole machine, as outages.
pub(crate) struct StallWatch {
    pub(crate) daemons: Vec<Arc<Mutex<DaemonProcess>>>,
    pub(crate) folder: PathBuf,
    pub(crate) history: Arc<RequestHistory>,
}

impl StallWatch {
    /// Watches until `stopped` is set. Returns the number of stalls.
    pub(crate) async fn run(self, stopped: Arc<AtomicBool>) -> usize {
        let mut stalls = 0;
        let mut delays = vec![None; self.daemons.len()];
        while !stopped.load(Ordering::Relaxed) {
            let began = Instant::now();
            tokio::time::sleep(CHECK_PERIOD).await;
            let overslept = began.elapsed().saturating_sub(CHECK_PERIOD);
            for (host, last) in delays.iter_mut().enumerate() {
                let delay = self.control_delay(host);
                let added = delay.zip(*last).map(|((id, delay), (last_id, last))| {
                    if id == last_id { delay.saturating_sub(last) } else { Duration::ZERO }
                });
                *last = delay;
                let longest = added.unwrap_or_default().max(overslept);
                if longest > STALL_LIMIT {
                    stalls += 1;
                    self.record(host, longest);
                }
            }
        }
        stalls
    }

    /// Returns the id of a daemon's process, and how long its control thread has waited for a
    /// processor since its start; `None` if the daemon does not run or is just being started.
    fn control_delay(&self, host: usize) -> Option<(u32, Duration)> {
        let id = self.daemons[host].try_lock()?.process_id()?;
        let threads = fs::read_dir(format!("/proc/{id}/task")).ok()?.flatten();
        let name = |path: &Path| fs::read_to_string(path.join("comm")).unwrap_or_default();
        let mut paths = threads.map(|thread| thread.path());
        let control = paths.find(|path| name(path).trim_end() == CONTROL_THREAD)?;
        let schedule = fs::read_to_string(control.join("schedstat")).ok()?;
        let nanos = schedule.split(' ').nth(1)?.parse().ok()?;
        Some((id, Duration::from_nanos(nanos)))
    }

    fn record(&self, host: usize, span: Duration) {
        let now = Instant::now();
        let from = now.checked_sub(span + CHECK_PERIOD).unwrap_or(now);
        self.history.record_outage(host, from, now);
        log_fault(&self.folder, &format!("Stall {{ host: {host}, span: {span:?} }}"));
    }
}

/// Writes a fault beside the daemons' logs, with the seconds since the epoch.
pub(crate) fn log_fault(folder: &Path, fault: &str) {
    let file = OpenOptions::new().create(true).append(true).open(folder.join("faults.log"));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{:.3} {fault}", now.as_secs_f64());
    }
}
