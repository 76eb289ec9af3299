//! Processor time by thread, as the system accounts for it.

use std::fs;
use std::time::Duration;

use eyre::Result;

/// Time that this process's threads of one name have been on a processor (Linux).
///
/// # Errors
/// If the system does not tell.
pub(super) fn of_threads(name: &str) -> Result<Duration> {
    let mut total = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task")? {
        let task = entry?.path();
        let Ok(comm) = fs::read_to_string(task.join("comm")) else { continue };
        if comm.trim() != name {
            continue;
        }
        let stat = fs::read_to_string(task.join("schedstat"))?;
        let nanos: u64 = stat.split_whitespace().next().unwrap_or("0").parse()?;
        total += Duration::from_nanos(nanos);
    }
    Ok(total)
}

/// Resident memory of this process in bytes (Linux).
///
/// # Errors
/// If the system does not tell.
pub(crate) fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()).unwrap_or("0");
    Ok(kibibytes.parse::<u64>()? * 1024)
}
