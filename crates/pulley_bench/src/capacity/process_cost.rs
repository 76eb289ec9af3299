//! Measures the resource use of whole daemons at several sizes and fits slopes to it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr};
use getopts::Options;
use serde_json::Value;
use tokio::task::JoinSet;

use super::daemon_group::{DaemonGroup, ProcessUsage, http_caller, request};
use super::linear_fit::LinearFit;

/// The time in which the hosts settle after a change of size.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The measures: processor time in percent of a core, resident memory, and bytes and messages sent.
const MEASURES: [&str; 4] = ["cpu_percent", "rss_mb", "sent_bytes_s", "messages_s"];

struct ProcessSettings {
    daemon: PathBuf,
    hosts: Vec<usize>,
    upstreams: Vec<usize>,
    seconds: u64,
    changes: u64,
    sheet: String,
}

/// The results for one combination of hosts, upstreams and changes.
struct SizePoint {
    hosts: usize,
    upstreams: usize,
    changes_s: f64,
    /// The mean of each of [`MEASURES`] over the hosts.
    mean: [f64; 4],
    /// The maximum of each of [`MEASURES`] over the hosts.
    largest: [f64; 4],
}

/// Runs the measurement.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    for name in ["daemon", "hosts", "upstreams", "seconds", "changes", "sheet"] {
        options.optopt("", name, "", "VALUE");
    }
    let matches = options.parse(arguments)?;
    let text =
        |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    let sheet_path = text("sheet", "examples/kolkhi.csv");
    let settings = ProcessSettings {
        daemon: text("daemon", "target/release/pulleyd").into(),
        hosts: numbers(&text("hosts", "3,9,18,29"))?,
        upstreams: numbers(&text("upstreams", "10,50,100,200"))?,
        seconds: text("seconds", "10").parse()?,
        changes: text("changes", "20").parse()?,
        sheet: std::fs::read_to_string(&sheet_path).wrap_err(sheet_path)?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let points = runtime.block_on(measure_all(&settings))?;
    report_fits(&points);
    Ok(())
}

fn numbers(text: &str) -> Result<Vec<usize>> {
    text.split(',').map(|part| part.parse().wrap_err_with(|| format!("number {part}"))).collect()
}

async fn measure_all(settings: &ProcessSettings) -> Result<Vec<SizePoint>> {
    let mut points = Vec::new();
    for hosts in &settings.hosts {
        let group = DaemonGroup::start(&settings.daemon, *hosts).await?;
        let mut version = group.apply("change-0", 0, &settings.sheet).await?;
        group.await_status(|status| is_ready(status, *hosts)).await?;
        for upstreams in &settings.upstreams {
            let announcers = announce_all(&group.announce_addresses(), *upstreams);
            let known = |status: &Value| {
                status["upstreams"].as_u64().is_some_and(|known| known >= *upstreams as u64)
            };
            group.await_status(known).await?;
            tokio::time::sleep(SETTLE_TIME).await;
            points.push(measure(&group, settings, *upstreams, None).await?);
            if Some(upstreams) == settings.upstreams.last() {
                points.push(measure(&group, settings, *upstreams, Some(&mut version)).await?);
            }
            drop(announcers);
        }
    }
    Ok(points)
}

fn is_ready(status: &Value, hosts: usize) -> bool {
    let live = status["hosts"].as_array().map_or(0, Vec::len);
    status["ready"] == true && live == hosts
}

/// Measures one time window. If a version is given, changes are spread evenly over the window.
async fn measure(
    group: &DaemonGroup,
    settings: &ProcessSettings,
    upstreams: usize,
    version: Option<&mut u64>,
) -> Result<SizePoint> {
    let before = group.usage().await?;
    let started = std::time::Instant::now();
    let window = Duration::from_secs(settings.seconds);
    let mut changes_s = 0.0;
    if let Some(version) = version {
        for change in 0..settings.changes {
            let name = format!("change-{upstreams}-{change}");
            // Applying the same sheet again still makes a new version for every host.
            *version = group.apply(&name, *version, &settings.sheet).await?;
            let next = window / u32::try_from(settings.changes)? * u32::try_from(change + 1)?;
            tokio::time::sleep(next.saturating_sub(started.elapsed())).await;
        }
        changes_s = settings.changes as f64 / started.elapsed().as_secs_f64();
    }
    tokio::time::sleep(window.saturating_sub(started.elapsed())).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = group.usage().await?;
    let point = summarize(&before, &after, seconds, (upstreams, changes_s));
    report(&point);
    Ok(point)
}

fn summarize(
    before: &[ProcessUsage],
    after: &[ProcessUsage],
    seconds: f64,
    (upstreams, changes_s): (usize, f64),
) -> SizePoint {
    let each: Vec<[f64; 4]> = before
        .iter()
        .zip(after)
        .map(|(from, to)| {
            let processor = (to.processor - from.processor) / seconds * 100.0;
            let bytes = (to.sent - from.sent) / seconds;
            let messages = (to.messages - from.messages) / seconds;
            [processor, to.resident / 1e6, bytes, messages]
        })
        .collect();
    let count = each.len() as f64;
    let mean = [0, 1, 2, 3].map(|index| each.iter().map(|one| one[index]).sum::<f64>() / count);
    let largest = [0, 1, 2, 3].map(|index| each.iter().map(|one| one[index]).fold(0.0, f64::max));
    SizePoint { hosts: each.len(), upstreams, changes_s, mean, largest }
}

fn report(point: &SizePoint) {
    println!(
        "scenario=processes hosts={} upstreams={} changes_s={:.2} cpu_percent={:.2} \
         cpu_percent_max={:.2} rss_mb={:.1} rss_mb_max={:.1} sent_bytes_s={:.0} \
         sent_bytes_s_max={:.0} messages_s={:.1}",
        point.hosts,
        point.upstreams,
        point.changes_s,
        point.mean[0],
        point.largest[0],
        point.mean[1],
        point.largest[1],
        point.mean[2],
        point.largest[2],
        point.mean[3],
    );
}

/// Fits each measure to a base and to slopes per host, per upstream and per change a second.
fn report_fits(points: &[SizePoint]) {
    for (index, name) in MEASURES.iter().enumerate() {
        for (statistic, values) in [("mean", 0), ("max", 1)] {
            let rows: Vec<(Vec<f64>, f64)> = points
                .iter()
                .map(|point| {
                    let value = if values == 0 { point.mean[index] } else { point.largest[index] };
                    let (hosts, upstreams) = (point.hosts as f64, point.upstreams as f64);
                    (vec![1.0, hosts, upstreams, point.changes_s], value)
                })
                .collect();
            let Some(fit) = LinearFit::new(&rows) else {
                println!("scenario=fit of={name} over={statistic} fit=none");
                continue;
            };
            println!(
                "scenario=fit of={name} over={statistic} points={} base={:.4} a_host={:.5} \
                 an_upstream={:.6} a_change_s={:.4} rms_error={:.4} worst_error={:.4}",
                rows.len(),
                fit.slopes[0],
                fit.slopes[1],
                fit.slopes[2],
                fit.slopes[3],
                fit.rms_error,
                fit.worst_error,
            );
        }
    }
}

/// Starts stand-in upstreams that announce themselves each second, each time to the next host.
fn announce_all(hosts: &[SocketAddr], count: usize) -> JoinSet<()> {
    let mut announcers = JoinSet::new();
    let caller = http_caller();
    for upstream in 0..count {
        let (hosts, caller) = (hosts.to_vec(), caller.clone());
        announcers.spawn(async move {
            let start = Duration::from_millis(upstream as u64 * 997 % 1_000);
            tokio::time::sleep(start).await;
            let mut ticker = tokio::time::interval(Duration::from_secs(1));
            // Starts at the present time, so that sequences continue above those of earlier announcers.
            let mut sequence = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(1, |elapsed| elapsed.as_secs());
            loop {
                ticker.tick().await;
                sequence += 1;
                let index = usize::try_from(sequence).unwrap_or(0) + upstream * 7;
                let body = announcement(upstream, sequence);
                let to = hosts[index % hosts.len()];
                // The next announcement makes up for a lost one.
                let _ = request(&caller, to, ("POST", "/v1/announce"), &body).await;
            }
        });
    }
    announcers
}

fn announcement(upstream: usize, sequence: u64) -> String {
    serde_json::json!({
        "id": format!("u{upstream}"),
        "address": format!("127.9.9.9:{}", 20_000 + upstream),
        "zone": format!("z{}", upstream % 3),
        "pool": "cover",
        "slots": 2,
        "connections": 500,
        "incarnation": 1,
        "sequence": sequence,
        "phase": "ready",
    })
    .to_string()
}
