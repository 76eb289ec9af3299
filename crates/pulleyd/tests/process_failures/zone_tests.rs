//! Evacuation of zones while real processes are frozen, killed and started.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::process_support::{StandInUpstream, TestCluster, wait_until};
use crate::{ABAY, IN_FORCE_LIMIT};

/// Sends a zone order, retrying through the hosts in turn until it is acknowledged. Returns how
/// long that took.
fn order_zone(cluster: &TestCluster, hosts: &[usize], zone: &str, zone_use: &str) -> Duration {
    let start_time = Instant::now();
    let mut next_hosts = hosts.iter().cycle();
    let is_acknowledged = wait_until(Duration::from_secs(30), || {
        let host = *next_hosts.next().expect("at least one host");
        let id = format!("{zone}-{zone_use}-{host}-{}", start_time.elapsed().as_millis());
        let body =
            json!({ "change_id": id, "actor": "tester", "zone": zone, "zone_use": zone_use });
        let answer = cluster.operator(host).send("POST", "/v1/zones", body.to_string().as_bytes());
        answer.is_ok_and(|answer| answer.status == 200)
    });
    assert!(is_acknowledged, "{zone} {zone_use} was not acknowledged");
    start_time.elapsed()
}

// An operator evacuates a zone while the leader is frozen. Right after the acknowledgement all
// hosts are killed and restarted, and a new entry joins. The machines of the zone are being
// removed, so any request that still reached them would be cut off.
#[test]
fn an_evacuated_zone_gets_no_work_through_a_frozen_leader_and_a_restart_of_all_hosts() {
    let mut cluster = TestCluster::start(3, 1);
    let addresses = cluster.announce_addresses();
    let evacuated = StandInUpstream::start_in("z2", "u1", "balances", 6, addresses.clone());
    let staying = StandInUpstream::start("u2", "balances", 6, addresses);
    cluster.apply_until_answered(&[0, 1, 2], "first", 0, ABAY);
    cluster.wait_for_version(&[0, 1, 2, 3], 1);
    let call_all = |cluster: &TestCluster, hosts: &[usize]| {
        hosts.iter().all(|host| {
            cluster.caller(*host).get("/balances/1").is_ok_and(|answer| answer.status == 200)
        })
    };
    assert!(wait_until(Duration::from_secs(30), || call_all(&cluster, &[0, 1, 2, 3])
        && evacuated.total() > 0
        && staying.total() > 0));

    let leader = cluster.leader(&[0, 1, 2]).expect("a leader answers");
    cluster.hosts[leader].signal(Signal::SIGSTOP);
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    order_zone(&cluster, &others, "z2", "evacuated");
    cluster.hosts[leader].signal(Signal::SIGCONT);
    for host in &mut cluster.hosts {
        host.signal_and_wait(Signal::SIGKILL);
    }
    for host in &mut cluster.hosts {
        host.restart();
    }
    let founders = "h1=m1,h2=m2,h3=m3";
    cluster.add("h5", "entry", founders);
    let hosts = [0, 1, 2, 3, 4];
    cluster.wait_for_version(&hosts, 1);
    std::thread::sleep(IN_FORCE_LIMIT);
    let before = evacuated.total();
    assert!(wait_until(Duration::from_secs(30), || call_all(&cluster, &hosts)));
    for _ in 0..20 {
        assert!(call_all(&cluster, &hosts));
    }
    assert_eq!(evacuated.total(), before, "work reached the evacuated zone");
    let status = cluster.status(4).expect("it answers");
    assert_eq!(status.pointer("/evacuated/0"), Some(&json!("z2")));

    order_zone(&cluster, &hosts, "z2", "in-use");
    assert!(wait_until(Duration::from_secs(30), || {
        call_all(&cluster, &hosts) && evacuated.total() > before
    }));
}
