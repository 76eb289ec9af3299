//! Measures what the request path adds: calls go directly, through the forwarder, through one that
//! checks an organisation's key and quota, and through a minimal one.
//!
//! All paths share one process, the same stand-in upstreams and the same callers. Their runs
//! alternate, so that other load on the machine affects all of them alike. Processor time is read
//! per thread, so that callers and upstreams are not counted.

mod bare_forwarder;
mod caller_load;
mod full_forwarder;
mod idle_memory;
mod stand_in_upstream;
mod thread_time;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, eyre};
use getopts::Options;
use hdrhistogram::Histogram;
use tokio::runtime::{Builder, Runtime};

use caller_load::{CallerLoad, LoadResult};
use full_forwarder::FullForwarder;
use stand_in_upstream::StandInUpstream;

pub(crate) use thread_time::resident_bytes;

/// The number of upstreams over which the forwarders distribute the load.
const UPSTREAMS: usize = 4;

/// The number of threads of the stand-in upstreams and of the callers, enough not to be the
/// bottleneck.
const LOAD_THREADS: usize = 3;

/// The options of the subcommand.
#[derive(Clone, Copy, Debug)]
struct PathOptions {
    threads: usize,
    connections: usize,
    seconds: Duration,
    rounds: usize,
    rate: Option<u64>,
    idle: usize,
}

/// One path from callers to upstreams, with its results.
struct MeasuredPath {
    name: &'static str,
    address: SocketAddr,
    /// The name of its threads; `None` for the direct path.
    threads: Option<&'static str>,
    latencies: Histogram<u64>,
    calls: u64,
    errors: u64,
    cpu_time: Duration,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let Some(options) = read_options(arguments)? else { return Ok(()) };
    let stand_ins = runtime("stand-in", LOAD_THREADS)?;
    let callers = runtime("caller", LOAD_THREADS)?;
    let bare = runtime("bare", options.threads)?;
    let upstreams = stand_ins.block_on(StandInUpstream::start_several(UPSTREAMS))?;
    let (threads, idle) = (options.threads, options.idle);
    let forwarder = FullForwarder::start(threads, &upstreams, idle, Vec::new())?;
    let organisations = vec![full_forwarder::keyed_organisation()?];
    let keyed = FullForwarder::start(threads, &upstreams, idle, organisations)?;
    let bare_address = bare.block_on(bare_forwarder::start(upstreams.clone()))?;
    let mut paths = [
        MeasuredPath::new("direct", upstreams[0], None)?,
        MeasuredPath::new("forwarder", forwarder.address(), Some("traffic"))?,
        MeasuredPath::new("keyed", keyed.address(), Some("traffic"))?,
        MeasuredPath::new("bare", bare_address, Some("bare"))?,
    ];
    let load = CallerLoad::new(options.connections, options.seconds)?;
    let saturation_rate = measure_saturation(&callers, &load, &mut paths, options.rounds)?;
    let rate = options.rate.unwrap_or(saturation_rate / 2);
    measure_latency(&callers, &load, &mut paths, options.rounds, rate)?;
    print_added_latency(&paths, rate);
    idle_memory::measure(&callers, forwarder.address(), options.idle)
}

fn read_options(arguments: &[String]) -> Result<Option<PathOptions>> {
    let mut options = Options::new();
    options.optflag("h", "help", "explain");
    options.optopt("", "threads", "threads of each forwarder (2)", "N");
    options.optopt("", "connections", "callers' connections (32)", "N");
    options.optopt("", "seconds", "length of one turn (2)", "S");
    options.optopt("", "rounds", "turns of each way (4)", "N");
    options.optopt("", "rate", "calls a second; half of saturation if not given", "N");
    options.optopt("", "idle", "idle connections whose memory is measured (9500)", "N");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage("pulley_bench path: what the request path adds"));
        return Ok(None);
    }
    Ok(Some(PathOptions {
        threads: matches.opt_get_default("threads", 2)?,
        connections: matches.opt_get_default("connections", 32)?,
        seconds: Duration::from_secs(matches.opt_get_default("seconds", 2)?),
        rounds: matches.opt_get_default("rounds", 4)?,
        rate: matches.opt_get("rate")?,
        idle: matches.opt_get_default("idle", 9_500)?,
    }))
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

/// Measures calls sent as fast as answers arrive. Returns the forwarder's calls a second.
fn measure_saturation(
    callers: &Runtime,
    load: &CallerLoad,
    paths: &mut [MeasuredPath],
    rounds: usize,
) -> Result<u64> {
    let mut forwarder_rate = 0;
    for path in paths.iter_mut() {
        path.reset();
    }
    for _ in 0..rounds {
        for path in paths.iter_mut() {
            path.measure_run(|address| callers.block_on(load.closed_loop(address)))?;
        }
    }
    let elapsed = load.duration().as_secs_f64() * rounds as f64;
    for path in paths.iter() {
        let rate = path.calls as f64 / elapsed;
        println!("scenario=path-saturation {} calls_per_s={rate:.0}", path.summary());
        if path.name == "forwarder" {
            forwarder_rate = rate as u64;
        }
    }
    Ok(forwarder_rate)
}

/// Measures calls sent at a fixed rate, independent of the answers.
fn measure_latency(
    callers: &Runtime,
    load: &CallerLoad,
    paths: &mut [MeasuredPath],
    rounds: usize,
    rate: u64,
) -> Result<()> {
    for path in paths.iter_mut() {
        path.reset();
    }
    for _ in 0..rounds {
        for path in paths.iter_mut() {
            path.measure_run(|address| callers.block_on(load.open_loop(address, rate)))?;
        }
    }
    for path in paths.iter() {
        println!("scenario=path-latency rate={rate} {}", path.summary());
    }
    Ok(())
}

fn print_added_latency(paths: &[MeasuredPath], rate: u64) {
    let [direct, others @ ..] = paths else { return };
    for path in others {
        let added = |quantile: f64| {
            let before = direct.latencies.value_at_quantile(quantile);
            path.latencies.value_at_quantile(quantile).saturating_sub(before)
        };
        println!(
            "scenario=path-added rate={rate} way={} p50_us={} p99_us={} p999_us={}",
            path.name,
            added(0.5),
            added(0.99),
            added(0.999)
        );
    }
}

impl MeasuredPath {
    fn new(name: &'static str, address: SocketAddr, threads: Option<&'static str>) -> Result<Self> {
        let latencies = caller_load::new_histogram()?;
        let cpu_time = Duration::ZERO;
        Ok(Self { name, address, threads, latencies, calls: 0, errors: 0, cpu_time })
    }

    fn reset(&mut self) {
        self.latencies.reset();
        (self.calls, self.errors, self.cpu_time) = (0, 0, Duration::ZERO);
    }

    fn measure_run(
        &mut self,
        run_load: impl FnOnce(SocketAddr) -> Result<LoadResult>,
    ) -> Result<()> {
        let before = self.thread_time()?;
        let result = run_load(self.address)?;
        self.cpu_time += self.thread_time()?.saturating_sub(before);
        self.calls += result.latencies.len();
        self.errors += result.errors;
        let added = self.latencies.add(&result.latencies);
        added.map_err(|fault| eyre!("the latencies cannot be merged: {fault}"))
    }

    fn thread_time(&self) -> Result<Duration> {
        self.threads.map_or(Ok(Duration::ZERO), thread_time::cpu_time_by_name)
    }

    fn summary(&self) -> String {
        let quantile = |quantile: f64| self.latencies.value_at_quantile(quantile);
        let cpu_us = self.cpu_time.as_secs_f64() * 1e6 / self.calls.max(1) as f64;
        let calls_per_core = if cpu_us > 0.0 { 1e6 / cpu_us } else { 0.0 };
        format!(
            "way={} calls={} errors={} p50_us={} p99_us={} p999_us={} cpu_us_per_call={cpu_us:.1} \
             calls_per_s_per_core={calls_per_core:.0}",
            self.name,
            self.calls,
            self.errors,
            quantile(0.5),
            quantile(0.99),
            quantile(0.999)
        )
    }
}
