//! Whom a host asks for a newer configuration, and what it keeps while they have no room or change.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::version::{ReplicaSet, StoredPlan};

use crate::link_model::{LinkModel, LinkTerms};
use crate::network::{Network, host_name};
use crate::route_rows::RouteRows;

const SECOND: Duration = Duration::from_secs(1);
const ENTRY_LINK: LinkTerms = LinkTerms { rate: 175_000, callers: 87_500 };
const REPLICA_LINK: LinkTerms = LinkTerms { rate: 125_000_000, callers: 0 };

/// Five replicas and entries with links of limited rate, at a version.
fn with_links(count: usize, seed: u64, plan: &Arc<StoredPlan>) -> Network {
    let mut network = Network::new(count, seed);
    network.replicas = ReplicaSet { index: 1, hosts: (0..5).map(host_name).collect() };
    network.leader = Some((0, 1));
    network.run_for(3 * SECOND);
    commit_everywhere(&mut network, plan);
    network.run_for(5 * SECOND);
    let terms = |host| if host < 5 { REPLICA_LINK } else { ENTRY_LINK };
    let terms: Vec<LinkTerms> = (0..count).map(terms).collect();
    for (host, terms) in network.hosts.iter_mut().zip(&terms) {
        assert_eq!(host.plans.version(), plan.version);
        host.plans = host.plans.clone().with_link_rate(Some(f64::from(terms.rate)));
    }
    network.links = Some(LinkModel::new(&terms, network.now, SECOND));
    network
}

fn commit_everywhere(network: &mut Network, plan: &Arc<StoredPlan>) {
    for replica in 0..5 {
        network.commit(replica, plan);
    }
}

// Guards against a start that begins anew with each change, for as long as changes come.
#[test]
fn a_host_that_starts_during_a_storm_of_changes_gets_the_configuration() {
    let mut rows = RouteRows::new(61);
    rows.add(3_000);
    let mut network = with_links(40, 61, &rows.version(1));
    network.restart(30);
    let replicas = network.replicas.hosts.clone();
    network.hosts[30].plans.apply_replicas(&replicas);
    let mut had_after = None;
    for version in 2..=150 {
        rows.weigh(version as usize, 90);
        commit_everywhere(&mut network, &rows.version(version));
        network.run_for(Duration::from_millis(60));
        if network.hosts[30].plans.version() > ConfigVersion(0) && had_after.is_none() {
            had_after = Some(version);
        }
    }
    let counts = network.hosts[30].plans.spread_counts();
    assert!(had_after.is_some(), "nothing in force after 9 s: {counts:?}");
}
