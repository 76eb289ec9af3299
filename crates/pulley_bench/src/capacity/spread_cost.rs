//! Measures how a change of many rows spreads over links of limited rate, in virtual time.

use std::str::FromStr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use getopts::{Matches, Options};

use super::bulk_change::{BulkChange, REPLICAS};
use super::link_model::LinkRates;

/// A queue counts as long if the wait in it is at least this time.
const LONG_QUEUE: Duration = Duration::from_millis(100);
/// The limit for a change to be in force everywhere; each change is observed for at least this long.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// The percentage of an entry's link that callers use.
const CALLERS_PERCENT: u32 = 50;

fn number_list<T: FromStr>(matches: &Matches, name: &str, default: &str) -> Result<Vec<T>>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    let numbers = text.split(',').map(str::parse);
    numbers.collect::<Result<_, _>>().wrap_err_with(|| format!("--{name} {text}"))
}

/// Prints one line for each number of hosts, rate of the entries' links and number of rows.
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
    let max_time = Duration::from_secs(matches.opt_get_default("seconds", 30)?);
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    ensure!(callers_percent < 100, "--callers-percent {callers_percent}: must be below 100");
    for hosts in number_list(&matches, "hosts", "30,186,482")? {
        ensure!(hosts > REPLICAS, "--hosts {hosts}: must be more than the {REPLICAS} replicas");
        for rate in number_list::<u32>(&matches, "link-bytes", "175000,300000,87000000")? {
            for added_rows in number_list(&matches, "rows", "140,1400,14000")? {
                let entry_link = LinkRates { rate, callers: rate / 100 * callers_percent };
                let change =
                    BulkChange { hosts, entry_link, added_rows, long_queue: LONG_QUEUE, seed };
                report(&change, max_time);
            }
        }
    }
    Ok(())
}

fn report(change: &BulkChange, max_time: Duration) {
    let stats = change.run(IN_FORCE_LIMIT, max_time);
    let in_force_ms = |fraction: f64| {
        let time = stats.time_for_fraction(fraction);
        time.map_or_else(|| "none".to_owned(), |time| time.as_millis().to_string())
    };
    let (entry_mean, entry_max) = stats.sent_by(REPLICAS..change.hosts);
    let (replica_mean, replica_max) = stats.sent_by(0..REPLICAS);
    println!(
        "scenario=spread hosts={} link_bytes={} callers_bytes={} rows={} seed={} half_ms={} \
         all_ms={} lacking={} entry_sent_bytes={entry_mean} most_entry_sent_bytes={entry_max} \
         replica_sent_bytes={replica_mean} most_replica_sent_bytes={replica_max} \
         longest_queue_ms={} long_queue_share={:.4} dropped={} watched_ms={}",
        change.hosts,
        change.entry_link.rate,
        change.entry_link.callers,
        change.added_rows,
        change.seed,
        in_force_ms(0.5),
        in_force_ms(1.0),
        stats.hosts_without_version(),
        stats.longest_queue().as_millis(),
        stats.long_queue_fraction(),
        stats.dropped(),
        stats.watched.as_millis(),
    );
}
