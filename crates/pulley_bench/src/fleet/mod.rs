//! Measures a whole installation on this machine: real daemons, stand-in upstreams with slots, and
//! open-loop load.
//!
//! While `decisions` measures the policy in virtual time, this measures the daemons that implement
//! it. With `--compare`, rounds alternate between daemons that share counts and daemons that use
//! only their own counts, under the same load.

mod daemon_fleet;
mod fleet_report;
mod open_load;
mod pool_upstreams;

use std::time::Duration;

use eyre::{Result, bail};
use getopts::Options;
use tokio::runtime::Builder;

pub(crate) use daemon_fleet::{DaemonFleet, FleetPlan};
use fleet_report::FleetReport;
use open_load::{OpenLoad, OpenLoadPlan};
use pool_upstreams::{PoolUpstreams, UpstreamPlan};

/// Worker threads for callers and upstreams, enough that they do not limit the measurement.
const LOAD_THREADS: usize = 4;

/// How long the load runs before it is measured, so that connections are open and counts have
/// settled.
const WARM_UP: Duration = Duration::from_secs(2);

/// Options of the subcommand.
#[derive(Clone, Debug)]
struct FleetOptions {
    hosts: usize,
    upstreams: usize,
    slots: u32,
    service_time: Duration,
    load: f64,
    seconds: Duration,
    rounds: usize,
    compare: bool,
    seed: u64,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let Some(options) = read_options(arguments)? else { return Ok(()) };
    let modes: &[bool] = if options.compare { &[true, false] } else { &[true] };
    let mut reports: Vec<FleetReport> =
        modes.iter().map(|share_counts| FleetReport::new(*share_counts)).collect();
    for round in 0..options.rounds {
        for report in &mut reports {
            measure(&options, options.seed + round as u64, report)?;
        }
    }
    for report in &reports {
        report.print(&options);
    }
    Ok(())
}

fn measure(options: &FleetOptions, seed: u64, report: &mut FleetReport) -> Result<()> {
    let load_runtime =
        Builder::new_multi_thread().worker_threads(LOAD_THREADS).enable_all().build()?;
    let fleet = DaemonFleet::start(FleetPlan {
        hosts: options.hosts,
        replicas: options.hosts.min(3),
        share_counts: report.share_counts(),
    })?;
    fleet.apply_sheet(&sheet())?;
    let upstreams = load_runtime.block_on(PoolUpstreams::start(UpstreamPlan {
        pool: "cover".to_owned(),
        count: options.upstreams,
        slots: options.slots,
        service_time: options.service_time,
        announce_to: fleet.announce_addresses(),
        seed,
    }))?;
    fleet.wait_for_upstreams(options.upstreams)?;
    let capacity =
        f64::from(options.slots) * options.upstreams as f64 / options.service_time.as_secs_f64();
    let plan = OpenLoadPlan {
        entries: fleet.caller_addresses(),
        path: "/cover/check".to_owned(),
        rate: capacity * options.load,
        warm_up: WARM_UP,
        duration: options.seconds,
        seed,
    };
    let load = OpenLoad::new(plan);
    load_runtime.block_on(load.warm_up());
    let before = fleet.cost()?;
    upstreams.reset();
    let result = load_runtime.block_on(load.measure());
    let after = fleet.cost()?;
    report.add(&result, &upstreams.counts(), &after.since(&before));
    Ok(())
}

fn sheet() -> String {
    let header = "pool,service,kind,method,path_prefix,priority,share,reserved_slots,deadline_ms,\
                  idempotent,length,probes_per_s";
    format!("{header}\ncover,desk,check,GET,/cover,1,100%,0,5000,yes,short,1\n")
}

fn read_options(arguments: &[String]) -> Result<Option<FleetOptions>> {
    let mut options = Options::new();
    options.optflag("h", "help", "explain");
    options.optopt("", "hosts", "daemons; the first three hold the log (25)", "N");
    options.optopt("", "upstreams", "stand-in upstreams (15)", "N");
    options.optopt("", "slots", "requests an upstream works on at once (2)", "N");
    options.optopt("", "service-ms", "mean service time, log-normal with cv 1 (20)", "MS");
    options.optopt("", "load", "part of the upstreams' capacity (0.8)", "PART");
    options.optopt("", "seconds", "length of a round (8)", "S");
    options.optopt("", "rounds", "rounds, each with daemons of its own (1)", "N");
    options.optflag("", "compare", "also without shared counts, in turns");
    options.optopt("", "seed", "seed of arrivals and service times (1)", "N");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage("pulley_bench fleet: real daemons under open load"));
        return Ok(None);
    }
    let parsed = FleetOptions {
        hosts: matches.opt_get_default("hosts", 25)?,
        upstreams: matches.opt_get_default("upstreams", 15)?,
        slots: matches.opt_get_default("slots", 2)?,
        service_time: Duration::from_millis(matches.opt_get_default("service-ms", 20)?),
        load: matches.opt_get_default("load", 0.8)?,
        seconds: Duration::from_secs(matches.opt_get_default("seconds", 8)?),
        rounds: matches.opt_get_default("rounds", 1)?,
        compare: matches.opt_present("compare"),
        seed: matches.opt_get_default("seed", 1)?,
    };
    if parsed.hosts == 0 || parsed.upstreams == 0 || parsed.service_time.is_zero() {
        bail!("hosts, upstreams and service time are at least 1");
    }
    Ok(Some(parsed))
}
