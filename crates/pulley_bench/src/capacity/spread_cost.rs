//! How a change of many rows spreads over links of limited rate, in virtual time.

use std::str::FromStr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use getopts::{Matches, Options};

use super::link_model::LinkRates;
use super::wide_change::{REPLICAS, WideChange};

/// From which wait on a queue counts as long.
const LONG_QUEUE: Duration = Duration::from_millis(100);
/// A change is watched at least for as long as it may take until it is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// The part of an entry's link that callers take, in hundredths.
const CALLERS_PERCENT: u32 = 50;

fn list<T: FromStr>(matches: &Matches, name: &str, otherwise: &str) -> Result<Vec<T>>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.opt_str(name).unwrap_or_else(|| otherwise.to_owned());
    let numbers = text.split(',').map(str::parse);
    numbers.collect::<Result<_, _>>().wrap_err_with(|| format!("--{name} {text}"))
}

/// Prints a line for each number of hosts, rate of the entries' links and number of rows.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    for name in ["hosts", "link-bytes", "rows"] {
        options.optopt("", name, "numbers", "N,…");
    }
    for name in ["callers-percent", "seconds", "seed"] {
        options.optopt("", name, "a number", "N");
    }
    let matches = options.parse(arguments)?;
    let callers_percent: u32 = matches.opt_get_default("callers-percent", CALLERS_PERCENT)?;
    let most = Duration::from_secs(matches.opt_get_default("seconds", 30)?);
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    ensure!(callers_percent < 100, "--callers-percent {callers_percent}: they leave nothing");
    for hosts in list(&matches, "hosts", "30,186,482")? {
        ensure!(hosts > REPLICAS, "--hosts {hosts}: no more than replicas");
        for rate in list::<u32>(&matches, "link-bytes", "175000,300000,87000000")? {
            for added_rows in list(&matches, "rows", "140,1400,14000")? {
                let entry_link = LinkRates { rate, callers: rate / 100 * callers_percent };
                let change =
                    WideChange { hosts, entry_link, added_rows, long_queue: LONG_QUEUE, seed };
                report(&change, most);
            }
        }
    }
    Ok(())
}

fn report(change: &WideChange, most: Duration) {
    let figures = change.run(IN_FORCE_WITHIN, most);
    let millis = |part: f64| {
        let time = figures.time_for_fraction(part);
        time.map_or_else(|| "none".to_owned(), |time| time.as_millis().to_string())
    };
    let (entry_mean, entry_most) = figures.sent_by(REPLICAS..change.hosts);
    let (replica_mean, replica_most) = figures.sent_by(0..REPLICAS);
    println!(
        "scenario=spread hosts={} link_bytes={} callers_bytes={} rows={} seed={} half_ms={} \
         all_ms={} lacking={} entry_sent_bytes={entry_mean} most_entry_sent_bytes={entry_most} \
         replica_sent_bytes={replica_mean} most_replica_sent_bytes={replica_most} \
         longest_queue_ms={} long_queue_share={:.4} dropped={} watched_ms={}",
        change.hosts,
        change.entry_link.rate,
        change.entry_link.callers,
        change.added_rows,
        change.seed,
        millis(0.5),
        millis(1.0),
        figures.hosts_without_version(),
        figures.longest_queue().as_millis(),
        figures.long_queue_fraction(),
        figures.dropped(),
        figures.watched.as_millis(),
    );
}
