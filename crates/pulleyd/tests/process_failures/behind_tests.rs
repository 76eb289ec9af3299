//! A real entry that has learned of a newer configuration but cannot fetch it.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::KOLKHI;
use crate::process_support::{DaemonProcess, TestCluster, wait_until};

/// Long enough for the other hosts' gossip rounds to reach the entry.
const GOSSIP_TIME: Duration = Duration::from_secs(1);
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time within which an accepted change must be in force everywhere. From then on, no host may
/// deny a request based on an older configuration.
const IN_FORCE_EVERYWHERE_LIMIT: Duration = Duration::from_secs(2);

fn status_and_cause(cluster: &TestCluster, host: usize) -> Option<String> {
    let answer = cluster.caller(host).get("/nothing-here").ok()?;
    Some(format!("{} {}", answer.status, answer.header("jacinthpulley-cause")?))
}

// An entry learns of version 2 while the replicas are frozen, so it cannot fetch it. If its view
// did not include what the control thread has learned, it would answer 404 according to version 1.
#[test]
fn an_entry_that_cannot_fetch_a_change_refuses_as_configuration_behind() {
    let mut cluster = TestCluster::start(3, 1);
    cluster.hosts[3].signal_and_wait(Signal::SIGTERM);
    cluster.hosts[3].set_flag("--without-quorum", "serve");
    cluster.hosts[3].restart();
    cluster.apply_until_answered(&[0, 1, 2], "first", 0, KOLKHI);
    cluster.wait_for_version(&[0, 1, 2, 3], 1);
    assert_eq!(status_and_cause(&cluster, 3).as_deref(), Some("404 no-such-kind"));

    cluster.hosts[3].freeze();
    cluster.apply_until_answered(&[0, 1, 2], "second", 1, KOLKHI);
    std::thread::sleep(GOSSIP_TIME);
    cluster.hosts[..3].iter().for_each(DaemonProcess::freeze);
    cluster.hosts[3].signal(Signal::SIGCONT);
    let expected = Some("503 configuration-behind");
    let is_refused = || status_and_cause(&cluster, 3).as_deref() == expected;
    assert!(
        wait_until(IN_FORCE_EVERYWHERE_LIMIT, is_refused),
        "{:?}\n{}",
        status_and_cause(&cluster, 3),
        cluster.hosts[3].log()
    );
    assert_eq!(cluster.health(3), Some((1, true)));
    let metric_is_shown = || {
        let metrics = cluster.operator(3).get("/metrics").map(|answer| answer.text());
        metrics.is_ok_and(|metrics| metrics.contains("\npulley_config_version_awaited 2\n"))
    };
    assert!(wait_until(WAIT_LIMIT, metric_is_shown), "the metric shows no awaited version 2");

    cluster.hosts[..3].iter().for_each(|host| host.signal(Signal::SIGCONT));
    cluster.wait_for_version(&[3], 2);
    assert_eq!(status_and_cause(&cluster, 3).as_deref(), Some("404 no-such-kind"));
}
