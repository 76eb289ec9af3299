//! Measures how fast the replicated log processes changes and claims, and how fast a replica
//! recovers after a restart.
//!
//! Each replica runs on a thread with its real storage. The links are channels in memory, so that
//! the results show the cost of the log and the disk, not of the network.

mod audit_bench;
mod daemon_hosts;
mod in_force_bench;
mod memory_bench;
mod replica_cluster;
mod size_bench;
mod start_bench;
mod stream_bench;
mod traffic_bench;

use eyre::{Result, bail};

/// A valid sheet to apply.
const SHEET: &str = include_str!("../../../../examples/kolkhi.csv");

const USAGE: &str = "usage: pulley_bench recovery [--folder DIR] [--hosts N] [PART...]

parts (all if none is named):
  changes  changes a second and latency, alone and batched
  claims   claims a second and latency, by how many are under way
  start    start-up time against log length, with and without snapshots
  traffic  bytes between replicas, idle and a change
  in-force from accepted to in force, over real pulleyd processes built beside this program
  audit    a search through old audit records
  memory   bytes a claim, an audit record and a change id
  sizes    what one change takes, by how many routes the configuration has

DIR holds the replicas' data folders; its disk decides the figures. N is the number of hosts for
in-force; 3, 15 and 29 if it is not given.";

/// Runs the parts named in the arguments, or all parts if none is named.
///
/// # Errors
/// If an argument is unknown, a data folder cannot be written or a measurement fails.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let mut folder = std::env::temp_dir();
    let mut sizes = vec![3, 15, 29];
    let mut parts = Vec::new();
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        match (argument.as_str(), rest.as_slice().first()) {
            ("--help" | "-h", _) => {
                println!("{USAGE}");
                return Ok(());
            }
            ("--folder", Some(path)) => {
                folder = path.into();
                rest.next();
            }
            ("--hosts", Some(count)) => {
                sizes = vec![count.parse()?];
                rest.next();
            }
            (
                "audit" | "in-force" | "changes" | "claims" | "start" | "traffic" | "memory"
                | "sizes",
                _,
            ) => {
                parts.push(argument.as_str());
            }
            _ => bail!("unknown or incomplete argument {argument}\n{USAGE}"),
        }
    }
    let wanted = |part| parts.is_empty() || parts.contains(&part);
    if wanted("changes") {
        stream_bench::measure_changes(&folder)?;
    }
    if wanted("sizes") {
        size_bench::measure_sizes()?;
    }
    if wanted("claims") {
        stream_bench::measure_claims(&folder)?;
    }
    if wanted("start") {
        start_bench::measure_starts(&folder)?;
    }
    if wanted("traffic") {
        traffic_bench::measure_traffic(&folder)?;
    }
    if wanted("in-force") {
        let program = in_force_bench::sibling_daemon()?;
        in_force_bench::measure_in_force(&folder, &program, SHEET, &sizes)?;
    }
    if wanted("audit") {
        audit_bench::measure_audit(&folder)?;
    }
    if wanted("memory") {
        memory_bench::measure_memory();
    }
    Ok(())
}
