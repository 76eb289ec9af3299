//! All hosts of a large installation restart at once.

use std::time::Duration;

use pulley_core::version::{LogIndex, PlanStanding, ReplicaSet};
use pulley_core::{ConfigVersion, HostId};

use crate::network::{MessageKind, Network, announcement, host_name};

const SECOND: Duration = Duration::from_secs(1);
const REPLICAS: usize = 5;

fn sent(network: &Network, kind: MessageKind, hosts: std::ops::Range<usize>) -> u64 {
    let sent = network.hosts[hosts].iter().filter_map(|host| host.sent.get(&kind));
    sent.map(|(messages, _)| messages).sum()
}

/// There is no leader yet, and every entry asks the replicas for the configuration until one can
/// answer. If each of hundreds asked ten times a second, the replicas would be busy with nothing
/// else and elect a leader later, while all callers are refused.
#[test]
fn entries_that_wait_for_a_leader_do_not_keep_replicas_busy() {
    const HOSTS: usize = 200;
    let mut network = Network::new(HOSTS, 41);
    let replicas: Vec<HostId> = (0..REPLICAS).map(host_name).collect();
    network.hosts.iter_mut().for_each(|host| host.plans.set_announced_replicas(&replicas));
    network.run_for(SECOND);
    let before = sent(&network, MessageKind::Plan, 0..REPLICAS);
    network.run_for(SECOND);
    let answers = sent(&network, MessageKind::Plan, 0..REPLICAS) - before;
    // Each replica answers each entry five times a second at most.
    let most = 5 * (HOSTS * REPLICAS) as u64;
    assert!(answers <= most, "{answers} answers of the replicas within a second, at most {most}");
}

/// Three hundred entries wait for a configuration when a leader appears. Those whose question gets
/// no answer ask again later and refuse their callers until then, so all of them must be answered
/// at once.
#[test]
fn all_entries_have_the_configuration_as_soon_as_there_is_a_leader() {
    assert_in_force_at_once(false);
}

// Guards against entries that wait for an answer from replicas that do not know of the leader yet.
#[test]
fn entries_that_know_the_replicas_have_the_configuration_as_soon_as_one_of_them_does() {
    assert_in_force_at_once(true);
}

fn assert_in_force_at_once(knows_replicas: bool) {
    const HOSTS: usize = 300;
    let mut network = Network::new(HOSTS, 42);
    let hosts = (0..REPLICAS).map(host_name).collect();
    network.replicas = ReplicaSet { index: 1, hosts };
    for replica in 0..REPLICAS {
        let replicas = network.replicas.clone();
        network.hosts[replica].plans.set_log_report(
            replicas,
            ConfigVersion(1),
            LogIndex::default(),
        );
    }
    if knows_replicas {
        let replicas = network.replicas.hosts.clone();
        network.hosts.iter_mut().for_each(|host| host.plans.set_announced_replicas(&replicas));
    }
    network.run_for(SECOND);
    network.leader = Some((0, 1));
    network.publish(1, 10);
    network.run_for(Duration::from_millis(100));
    let wanted = PlanStanding::InForce(ConfigVersion(1));
    let waits = |host: &&crate::network::Host| host.plans.standing(network.now) != wanted;
    let waiting = network.hosts.iter().filter(waits).count();
    assert_eq!(waiting, 0, "hosts without the configuration 0.1 s after the leader");
}

/// After a restart every upstream's record is an update, and every host forwards updates to several
/// others. With a datagram for each, small hosts are busy with datagrams for seconds. Updates that
/// arrive together must be sent together, and still reach every host within moments.
#[test]
fn updates_of_many_upstreams_are_batched() {
    const HOSTS: usize = 60;
    const UPSTREAMS: usize = 100;
    let mut network = Network::new(HOSTS, 43);
    network.run_for(5 * SECOND);
    let before = sent(&network, MessageKind::Upstream, 0..HOSTS);
    for upstream in 0..UPSTREAMS {
        network.announce(upstream % REPLICAS, announcement(upstream, 1, 1));
        network.run_for(SECOND / 100);
    }
    let messages = (sent(&network, MessageKind::Upstream, 0..HOSTS) - before) / HOSTS as u64;
    // Twenty sends a second to four hosts each, and as many messages again for comparisons.
    assert!(messages <= 160, "{messages} messages of each host within a second");
    network.run_for(SECOND);
    let id = |upstream| announcement(upstream, 1, 1).id;
    for (index, host) in network.hosts.iter().enumerate() {
        let known = (0..UPSTREAMS).filter(|u| host.registry.takes_work(network.now, &id(*u)));
        assert_eq!(known.count(), UPSTREAMS, "host {index} at {}", network.now);
    }
}
