//! A change of many rows at hundreds of hosts with slow links.

use std::time::Duration;

use crate::bulk_change::{BulkChange, ChangeStats, REPLICAS};
use crate::link_model::LinkRates;

/// The time after its acceptance within which a change must be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Callers expect answers within 300 ms. A queue at one link may take half of that.
const LONGEST_QUEUE: Duration = Duration::from_millis(150);
/// A queue of this length counts as long. Queues may be that long for one part in a hundred of the
/// links' time.
const LONG_QUEUE: Duration = Duration::from_millis(100);
const LONG_SHARE: f64 = 0.01;

fn change_of(added_rows: usize) -> ChangeStats {
    let entry_link = LinkRates { rate: 175_000, callers: 87_500 };
    let change =
        BulkChange { hosts: 186, entry_link, added_rows, long_queue: LONG_QUEUE, seed: 51 };
    change.run(IN_FORCE_WITHIN, IN_FORCE_WITHIN)
}

fn assert_in_force(stats: &ChangeStats) {
    let (entries, replicas) = (stats.sent_by(REPLICAS..186), stats.sent_by(0..REPLICAS));
    assert_eq!(
        stats.hosts_without_version(),
        0,
        "hosts without the last version {IN_FORCE_WITHIN:?} after its acceptance; half had it after \
         {:?}; entries sent {entries:?} bytes (mean, most), replicas {replicas:?}",
        stats.time_for_fraction(0.5),
    );
}

fn assert_links_free(stats: &ChangeStats) {
    let (longest, share) = (stats.longest_queue(), stats.long_queue_fraction());
    let dropped = stats.dropped();
    assert!(
        longest <= LONGEST_QUEUE && share <= LONG_SHARE,
        "a queue of {longest:?} at a link of an entry, in {:.1} % of the time one over \
         {LONG_QUEUE:?}, {dropped} datagrams dropped there",
        share * 100.0,
    );
}

#[test]
fn a_change_of_many_rows_is_in_force_everywhere_within_seconds() {
    assert_in_force(&change_of(1_400));
}

/// Guards against queues that delay callers: a change is sent over the same links as callers'
/// requests and answers.
#[test]
fn callers_do_not_wait_behind_a_change_of_many_rows() {
    assert_links_free(&change_of(1_400));
}

#[test]
fn a_change_of_few_rows_is_in_force_everywhere_and_delays_no_caller() {
    let stats = change_of(10);
    assert_in_force(&stats);
    assert_links_free(&stats);
}
