//! Processor time per thread and resident memory, as accounted by the operating system.

use std::fs;
use std::time::Duration;

use eyre::Result;

/// Returns the processor time used by all threads of this process with the given name (Linux).
///
/// # Errors
/// If `/proc` cannot be read.
pub(super) fn cpu_time_by_name(name: &str) -> Result<Duration> {
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

/// Returns the resident memory of this process in bytes (Linux).
///
/// # Errors
/// If `/proc` cannot be read.
pub(crate) fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()).unwrap_or("0");
    Ok(kibibytes.parse::<u64>()? * 1024)
}
