//! Measures what the request path adds: calls go directly, through the forwarder, and through a
//! minimal one.
//!
//! All three paths share one process, the same stand-in upstreams and the same callers. Their runs
//! alternate, so that other load on the machine affects all of them alike. Processor time is read
//! per thread, so that callers and upstreams are not counted.

mod bare_forwarder;
mod caller_load;
mod forwarder_way;
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
use forwarder_way::ForwarderWay;
use stand_in_upstream::StandInUpstream;

pub(crate) use thread_time::resident_bytes;

/// The number of upstreams over which the forwarders distribute the load.
const UPSTREAMS: usize = 4;

/// The threads of the stand-in upstreams and of the callers, enough not to be the bottleneck.
const SIDE_THREADS: usize = 3;

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
struct MeasuredWay {
    name: &'static str,
    address: SocketAddr,
    /// The name of its threads; `None` for the direct path.
    threads: Option<&'static str>,
    latencies: Histogram<u64>,
    calls: u64,
    errors: u64,
    busy: Duration,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let Some(options) = read_options(arguments)? else { return Ok(()) };
    let side = runtime("stand-in", SIDE_THREADS)?;
    let callers = runtime("caller", SIDE_THREADS)?;
    let bare = runtime("bare", options.threads)?;
    let upstreams = side.block_on(StandInUpstream::start_several(UPSTREAMS))?;
    let forwarder = ForwarderWay::start(options.threads, &upstreams, options.idle)?;
    let bare_address = bare.block_on(bare_forwarder::start(upstreams.clone()))?;
    let mut ways = [
        MeasuredWay::new("direct", upstreams[0], None)?,
        MeasuredWay::new("forwarder", forwarder.address(), Some("traffic"))?,
        MeasuredWay::new("bare", bare_address, Some("bare"))?,
    ];
    let load = CallerLoad::new(options.connections, options.seconds)?;
    let saturation = measure_saturation(&callers, &load, &mut ways, options.rounds)?;
    let rate = options.rate.unwrap_or(saturation / 2);
    measure_latency(&callers, &load, &mut ways, options.rounds, rate)?;
    print_added(&ways, rate);
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
    ways: &mut [MeasuredWay],
    rounds: usize,
) -> Result<u64> {
    let mut forwarder_rate = 0;
    for way in ways.iter_mut() {
        way.reset();
    }
    for _ in 0..rounds {
        for way in ways.iter_mut() {
            way.take_turn(|address| callers.block_on(load.closed_loop(address)))?;
        }
    }
    let elapsed = load.seconds().as_secs_f64() * rounds as f64;
    for way in ways.iter() {
        let rate = way.calls as f64 / elapsed;
        println!("scenario=path-saturation {} calls_per_s={rate:.0}", way.line());
        if way.name == "forwarder" {
            forwarder_rate = rate as u64;
        }
    }
    Ok(forwarder_rate)
}

/// Measures calls sent at a fixed rate, independent of the answers.
fn measure_latency(
    callers: &Runtime,
    load: &CallerLoad,
    ways: &mut [MeasuredWay],
    rounds: usize,
    rate: u64,
) -> Result<()> {
    for way in ways.iter_mut() {
        way.reset();
    }
    for _ in 0..rounds {
        for way in ways.iter_mut() {
            way.take_turn(|address| callers.block_on(load.open_loop(address, rate)))?;
        }
    }
    for way in ways.iter() {
        println!("scenario=path-latency rate={rate} {}", way.line());
    }
    Ok(())
}

fn print_added(ways: &[MeasuredWay], rate: u64) {
    let [direct, others @ ..] = ways else { return };
    for way in others {
        let added = |quantile: f64| {
            let before = direct.latencies.value_at_quantile(quantile);
            way.latencies.value_at_quantile(quantile).saturating_sub(before)
        };
        println!(
            "scenario=path-added rate={rate} way={} p50_us={} p99_us={} p999_us={}",
            way.name,
            added(0.5),
            added(0.99),
            added(0.999)
        );
    }
}

impl MeasuredWay {
    fn new(name: &'static str, address: SocketAddr, threads: Option<&'static str>) -> Result<Self> {
        let latencies = caller_load::new_histogram()?;
        let busy = Duration::ZERO;
        Ok(Self { name, address, threads, latencies, calls: 0, errors: 0, busy })
    }

    fn reset(&mut self) {
        self.latencies.reset();
        (self.calls, self.errors, self.busy) = (0, 0, Duration::ZERO);
    }

    fn take_turn(&mut self, turn: impl FnOnce(SocketAddr) -> Result<LoadResult>) -> Result<()> {
        let before = self.thread_time()?;
        let result = turn(self.address)?;
        self.busy += self.thread_time()?.saturating_sub(before);
        self.calls += result.latencies.len();
        self.errors += result.errors;
        let added = self.latencies.add(&result.latencies);
        added.map_err(|fault| eyre!("the latencies cannot be merged: {fault}"))
    }

    fn thread_time(&self) -> Result<Duration> {
        self.threads.map_or(Ok(Duration::ZERO), thread_time::of_threads)
    }

    fn line(&self) -> String {
        let quantile = |quantile: f64| self.latencies.value_at_quantile(quantile);
        let cost = self.busy.as_secs_f64() * 1e6 / self.calls.max(1) as f64;
        let by_core = if cost > 0.0 { 1e6 / cost } else { 0.0 };
        format!(
            "way={} calls={} errors={} p50_us={} p99_us={} p999_us={} cpu_us_per_call={cost:.1} \
             calls_per_s_per_core={by_core:.0}",
            self.name,
            self.calls,
            self.errors,
            quantile(0.5),
            quantile(0.99),
            quantile(0.999)
        )
    }
}
