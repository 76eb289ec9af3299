//! Request limits that upstreams name, kept by real processes together.

use std::thread;
use std::time::{Duration, Instant};

use crate::ABAY;
use crate::process_support::{HttpClient, StandInUpstream, TestCluster, wait_until};

/// The time from the first answer that names a limit until all hosts must keep to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The span over which requests are counted, and the interval between a caller's requests.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests to each host until `end`. Returns the statuses.
fn call_until(cluster: &TestCluster, hosts: &[usize], end: Instant) -> Vec<u16> {
    let clients: Vec<HttpClient> = hosts.iter().map(|host| cluster.caller(*host)).collect();
    let callers = clients.into_iter().map(|client| {
        thread::spawn(move || {
            let mut statuses = Vec::new();
            while Instant::now() < end {
                statuses.push(client.get("/balances/1").map_or(0, |answer| answer.status));
                thread::sleep(CALL_INTERVAL);
            }
            statuses
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
}

// Each host alone keeps to a named limit, and the sum over hosts overloads an upstream in need.
#[test]
fn hosts_together_keep_to_a_limit_that_an_upstream_names() {
    let cluster = TestCluster::start(3, 1);
    let addresses = cluster.announce_addresses();
    let limited = StandInUpstream::start("u1", "balances", 6, addresses.clone());
    let other = StandInUpstream::start("u2", "balances", 6, addresses);
    cluster.apply_until_answered(&[0, 1, 2], "first", 0, ABAY);
    let hosts = [0, 1, 2, 3];
    cluster.wait_for_version(&hosts, 1);
    assert!(wait_until(Duration::from_secs(30), || {
        hosts.iter().all(|host| cluster.caller(*host).get("/balances/1").is_ok())
            && limited.total() > 0
            && other.total() > 0
    }));

    limited.set_limit(Some("2.5"));
    let named_at = Instant::now();
    let end = named_at + SETTLE_TIME + COUNTED_SPAN + Duration::from_secs(1);
    let statuses = call_until(&cluster, &hosts, end);
    let most = limited.most_arrivals(named_at + SETTLE_TIME, COUNTED_SPAN);
    assert!(most <= 20, "2.5 a second named, {most} requests within 4 s");
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(refused, 0, "of {} callers, whom the other upstream can serve", statuses.len());
}
