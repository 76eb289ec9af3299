//! A real entry that has learned of a newer configuration but cannot fetch it.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::KOLKHI;
use crate::process_support::{DaemonProcess, TestCluster, wait_until};

/// Long enough for the other hosts' gossip rounds to reach the entry.
const ROUNDS: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(20);
/// Time within which an accepted change must be in force everywhere. From then on, no host may
/// deny a request based on an older configuration.
const HEARD_LIMIT: Duration = Duration::from_secs(2);

fn cause(cluster: &TestCluster, host: usize) -> Option<String> {
    let answer = cluster.caller(host).get("/nothing-here").ok()?;
    Some(format!("{} {}", answer.status, answer.header("jacinthpulley-cause")?))
}

// An entry learns of version 2 while the replicas are frozen, so it cannot fetch it. If its view
// did not include what the control thread has learned, it would answer 404 according to version 1.
#[test]
fn an_entry_that_cannot_fetch_a_change_denies_nothing_by_the_version_before() {
    let mut cluster = TestCluster::start(3, 1);
    cluster.hosts[3].end(Signal::SIGTERM);
    cluster.hosts[3].set_flag("--without-quorum", "serve");
    cluster.hosts[3].restart();
    cluster.apply_surely(&[0, 1, 2], "first", 0, KOLKHI);
    cluster.await_version(&[0, 1, 2, 3], 1);
    assert_eq!(cause(&cluster, 3).as_deref(), Some("404 no-such-kind"));

    cluster.hosts[3].freeze();
    cluster.apply_surely(&[0, 1, 2], "second", 1, KOLKHI);
    std::thread::sleep(ROUNDS);
    cluster.hosts[..3].iter().for_each(DaemonProcess::freeze);
    cluster.hosts[3].signal(Signal::SIGCONT);
    let expected = Some("503 configuration-behind");
    let refuses = || cause(&cluster, 3).as_deref() == expected;
    assert!(
        wait_until(HEARD_LIMIT, refuses),
        "{:?}\n{}",
        cause(&cluster, 3),
        cluster.hosts[3].log()
    );
    assert_eq!(cluster.health(3), Some((1, true)));
    let shows = || {
        let metrics = cluster.operator(3).get("/metrics").map(|answer| answer.text());
        metrics.is_ok_and(|metrics| metrics.contains("\npulley_config_version_awaited 2\n"))
    };
    assert!(wait_until(PATIENCE, shows), "the metric");

    cluster.hosts[..3].iter().for_each(|host| host.signal(Signal::SIGCONT));
    cluster.await_version(&[3], 2);
    assert_eq!(cause(&cluster, 3).as_deref(), Some("404 no-such-kind"));
}
