//! Which hosts are asked for a newer configuration, and which received chunks are kept while the
//! asked hosts are busy or others are asked instead.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::PeerRing;
use pulley_core::version::{PlanFollower, PlanSend, ReplicaSet, StoredPlan};
use pulley_core::{ConfigVersion, HostId, Moment};

use crate::link_model::{LinkModel, LinkRates};
use crate::network::{Network, host_name};
use crate::route_rows::RouteRows;

const SECOND: Duration = Duration::from_secs(1);
const ENTRY_LINK: LinkRates = LinkRates { rate: 175_000, callers: 87_500 };
const REPLICA_LINK: LinkRates = LinkRates { rate: 125_000_000, callers: 0 };

/// Makes five replicas, and entries with links of limited rate, all at one version.
fn with_links(count: usize, seed: u64, plan: &Arc<StoredPlan>) -> Network {
    let mut network = Network::new(count, seed);
    network.replicas = ReplicaSet { index: 1, hosts: (0..5).map(host_name).collect() };
    network.leader = Some((0, 1));
    network.run_for(3 * SECOND);
    commit_everywhere(&mut network, plan);
    network.run_for(5 * SECOND);
    let rates = |host| if host < 5 { REPLICA_LINK } else { ENTRY_LINK };
    let rates: Vec<LinkRates> = (0..count).map(rates).collect();
    for (host, rates) in network.hosts.iter_mut().zip(&rates) {
        assert_eq!(host.plans.version(), plan.version);
        host.plans = host.plans.clone().with_link_rate(Some(f64::from(rates.rate)));
    }
    network.links = Some(LinkModel::new(&rates, network.now, SECOND));
    network
}

fn commit_everywhere(network: &mut Network, plan: &Arc<StoredPlan>) {
    for replica in 0..5 {
        network.commit(replica, plan);
    }
}

// Guards against a starting host whose fetch begins again with each change, for as long as changes
// arrive.
#[test]
fn a_host_that_starts_during_a_storm_of_changes_gets_the_configuration() {
    let mut rows = RouteRows::new(61);
    rows.add(3_000);
    let mut network = with_links(40, 61, &rows.version(1));
    network.restart(30);
    let replicas = network.replicas.hosts.clone();
    network.hosts[30].plans.set_announced_replicas(&replicas);
    let mut had_after = None;
    for version in 2..=150 {
        rows.set_weight(version as usize, 90);
        commit_everywhere(&mut network, &rows.version(version));
        network.run_for(Duration::from_millis(60));
        if network.hosts[30].plans.version() > ConfigVersion(0) && had_after.is_none() {
            had_after = Some(version);
        }
    }
    let counts = network.hosts[30].plans.spread_counts();
    assert!(had_after.is_some(), "nothing in force after 9 s: {counts:?}");
}

// Guards against hosts that discard received chunks because the hosts that they ask have no room
// for a while.
#[test]
fn entries_cut_off_from_all_replicas_get_a_wide_change_from_few_peers() {
    let mut rows = RouteRows::new(62);
    rows.add(48);
    let mut network = with_links(40, 62, &rows.version(1));
    let (replicas, far): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (7..40).collect());
    network.set_partition(&replicas, &far, true);
    rows.add(1_400);
    commit_everywhere(&mut network, &rows.version(2));
    network.run_for(20 * SECOND);
    let lacking = network.hosts.iter().filter(|host| host.plans.version() < ConfigVersion(2));
    assert_eq!(lacking.count(), 0);
}

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// Delivers the messages addressed to a host and returns its answers.
fn answers(
    now: Moment,
    from: &HostId,
    to: (&HostId, &mut PlanFollower),
    sends: &[PlanSend],
) -> Vec<PlanSend> {
    let (name, follower) = to;
    let mine = sends.iter().filter(|send| send.to == *name);
    mine.flat_map(|send| follower.receive(now, from, &send.body)).collect()
}

// Guards against a host that asks only the hosts that held replicas when it began to fetch.
#[test]
fn a_host_asks_the_current_replicas_for_an_awaited_version() {
    let ring = PeerRing::default();
    let (old, new, own) = (host_name(1), host_name(2), host_name(3));
    let mut entry = PlanFollower::new(own.clone(), 1);
    let mut rows = RouteRows::new(63);
    rows.add(20);
    let mut former = PlanFollower::new(old.clone(), 2);
    former.apply_committed_plan(&rows.version(1));
    former.issue_lease(1, ReplicaSet { index: 1, hosts: vec![old.clone()] }, at(1));
    entry.set_announced_replicas(std::slice::from_ref(&old));
    let asked = entry.tick(at(10), &ring);
    for answer in answers(at(11), &own, (&old, &mut former), &asked) {
        entry.receive(at(12), &old, &answer.body);
    }
    assert_eq!(entry.awaited_version(), Some(ConfigVersion(1)));
    // The only replica that it knows is gone, and another host holds the log now.
    entry.set_announced_replicas(std::slice::from_ref(&new));
    let mut later = PlanFollower::new(new.clone(), 3);
    later.apply_committed_plan(&rows.version(1));
    later.issue_lease(2, ReplicaSet { index: 2, hosts: vec![new.clone()] }, at(100));
    let mut reached = 0;
    for round in 0..100 {
        let now = at(100 + 50 * round);
        later.issue_lease(2, ReplicaSet { index: 2, hosts: vec![new.clone()] }, now);
        let sends = entry.tick(now, &ring);
        reached += sends.iter().filter(|send| send.to == new).count();
        for answer in answers(now, &own, (&new, &mut later), &sends) {
            let more = entry.receive(now, &new, &answer.body);
            for answer in answers(now, &own, (&new, &mut later), &more) {
                entry.receive(now, &new, &answer.body);
            }
        }
    }
    assert_eq!(entry.version(), ConfigVersion(1), "asked {reached} times");
}

/// Two hosts that exchange messages without delay.
struct HostPair {
    names: [HostId; 2],
    rings: [PeerRing; 2],
    holder: PlanFollower,
    entry: PlanFollower,
    now: Moment,
}

impl HostPair {
    /// Makes a leading replica with a link of limited rate, and an entry that has just started.
    fn new(seed: u64, rate: f64, plan: &StoredPlan) -> Self {
        let mut network = Network::new(2, seed);
        network.run_for(3 * SECOND);
        let names = [host_name(0), host_name(1)];
        let rings = [0, 1].map(|host| network.hosts[host].members.ring().clone());
        let mut holder = PlanFollower::new(names[0].clone(), seed).with_link_rate(Some(rate));
        let mut entry = PlanFollower::new(names[1].clone(), seed + 1);
        holder.apply_committed_plan(plan);
        entry.set_announced_replicas(&names[..1]);
        let mut pair = Self { names, rings, holder, entry, now: at(1) };
        pair.confirm_leader();
        pair
    }

    fn confirm_leader(&mut self) {
        let replicas = ReplicaSet { index: 1, hosts: vec![self.names[0].clone()] };
        self.holder.issue_lease(1, replicas, self.now);
    }

    fn accept(&mut self, plan: &StoredPlan) {
        self.holder.apply_committed_plan(plan);
        self.confirm_leader();
    }

    /// Advances the time. `pass` decides what happens to each message to the entry.
    fn run(&mut self, millis: u64, mut pass: impl FnMut(&[u8]) -> Option<Vec<u8>>) {
        for _ in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            if self.now.micros().is_multiple_of(200_000) {
                self.confirm_leader();
            }
            let mut asked = self.entry.tick(self.now, &self.rings[1]);
            let mut told = self.holder.tick(self.now, &self.rings[0]);
            while !asked.is_empty() || !told.is_empty() {
                for question in asked.drain(..) {
                    told.extend(self.holder.receive(self.now, &self.names[1], &question.body));
                }
                for body in told.drain(..).filter_map(|answer| pass(&answer.body)) {
                    asked.extend(self.entry.receive(self.now, &self.names[0], &body));
                }
            }
        }
    }

    fn chunks_taken(&self) -> u64 {
        self.entry.spread_counts().chunks_taken
    }
}

// Guards against a host that discards received chunks because the host that it asks has no room
// for a while.
#[test]
fn a_host_keeps_received_chunks_while_the_holder_has_no_room() {
    let mut rows = RouteRows::new(64);
    rows.add(1_400);
    let plan = rows.version(1);
    let mut fast = HostPair::new(64, 125_000_000.0, &plan);
    fast.run(3_000, |body| Some(body.to_vec()));
    assert_eq!(fast.entry.version(), ConfigVersion(1));
    let mut slow = HostPair::new(64, 60_000.0, &plan);
    slow.run(10_000, |body| Some(body.to_vec()));
    assert_eq!(slow.entry.version(), ConfigVersion(1));
    let counts = slow.entry.spread_counts();
    assert_eq!(counts.chunks_taken, fast.chunks_taken(), "{counts:?}");
}

// Guards against fetching a whole plan for every later change after one difference arrived damaged.
#[test]
fn a_damaged_difference_does_not_make_later_changes_fetch_whole_plans() {
    let mut rows = RouteRows::new(65);
    rows.add(1_400);
    let mut pair = HostPair::new(65, 125_000_000.0, &rows.version(1));
    pair.run(3_000, |body| Some(body.to_vec()));
    assert_eq!(pair.entry.version(), ConfigVersion(1));
    let whole = pair.chunks_taken();
    (0..20).for_each(|row| rows.set_weight(row, 90));
    pair.accept(&rows.version(2));
    let (mut is_damaged, mut messages_left) = (false, 10);
    pair.run(350, |body| {
        let mut body = body.to_vec();
        if !is_damaged && body.len() > 400 {
            is_damaged = true;
            *body.last_mut()? ^= 0x55;
        } else if body.len() > 1_000 {
            messages_left -= 1;
        }
        (messages_left > 0).then_some(body)
    });
    assert!(is_damaged && pair.entry.spread_counts().dropped_paths == 1);
    assert_eq!(pair.entry.version(), ConfigVersion(1));
    rows.set_weight(20, 90);
    pair.accept(&rows.version(3));
    pair.run(3_000, |body| Some(body.to_vec()));
    assert_eq!(pair.entry.version(), ConfigVersion(3));
    let taken = pair.chunks_taken();
    assert!(taken < 3 * whole, "{taken} chunks where a whole plan takes {whole}");
}

// Guards against a host that knows enough holders, all of them gone, and asks no others.
#[test]
fn a_host_asks_others_when_all_holders_that_it_knows_are_silent() {
    let own = host_name(12);
    let mut network = Network::new(13, 66);
    network.run_for(3 * SECOND);
    let ring = network.hosts[12].members.ring().clone();
    let mut entry = PlanFollower::new(own.clone(), 66);
    let mut rows = RouteRows::new(66);
    rows.add(1_400);
    let plan = rows.version(1);
    let mut holders: Vec<PlanFollower> =
        (0..12).map(|index| PlanFollower::new(host_name(index), index as u64)).collect();
    holders.iter_mut().for_each(|holder| holder.apply_committed_plan(&plan));
    // The first eight hosts announce that they hold the plan, but no chunk from them arrives. Later
    // only the others are left.
    for round in 0..400 {
        let now = at(1_000 + 50 * round);
        let mut asked = entry.tick(now, &ring);
        while let Some(send) = asked.pop() {
            let index: usize = send.to.as_str()[4..].parse().unwrap();
            if (index < 8) != (round < 200) {
                continue;
            }
            for answer in holders[index].receive(now, &own, &send.body) {
                if index >= 8 || answer.body.len() < 900 {
                    asked.extend(entry.receive(now, &send.to, &answer.body));
                }
            }
        }
    }
    assert_eq!(entry.version(), ConfigVersion(1));
}

// Guards against a holder that charges its send budget for the bytes requested instead of those
// sent: most changes take only one small chunk.
#[test]
fn a_holder_charges_its_send_budget_by_bytes_sent() {
    let mut rows = RouteRows::new(67);
    rows.add(20);
    let mut pair = HostPair::new(67, 175_000.0, &rows.version(1));
    pair.run(3_000, |body| Some(body.to_vec()));
    rows.set_weight(3, 90);
    let (later, now) = (rows.version(2), pair.now);
    pair.accept(&later);
    let told = pair.holder.tick(now, &pair.rings[0]);
    for lease in told {
        pair.entry.receive(now, &pair.names[0], &lease.body);
    }
    let asked = pair.entry.tick(now, &pair.rings[1]);
    let before = pair.holder.spread_counts();
    for host in 10..50 {
        for question in &asked {
            pair.holder.receive(now, &host_name(host), &question.body);
        }
    }
    let counts = pair.holder.spread_counts();
    let served = counts.windows_served - before.windows_served;
    assert_eq!((served, counts.windows_unserved), (40, 0), "{counts:?}");
}

// Guards against a control thread that is woken again and again with nothing to do.
#[test]
fn a_tick_leaves_no_wakeup_due() {
    let mut rows = RouteRows::new(68);
    rows.add(48);
    let mut network = with_links(24, 68, &rows.version(1));
    let replicas = network.replicas.hosts.clone();
    network.hosts.iter_mut().for_each(|host| host.plans.set_announced_replicas(&replicas));
    network.conditions.loss = 0.1;
    network.conditions.duplicates = 0.1;
    rows.add(1_400);
    for version in 2..40 {
        rows.set_weight(version as usize, 90);
        match version {
            10 => network.set_partition(
                &(0..5).collect::<Vec<_>>(),
                &(9..24).collect::<Vec<_>>(),
                true,
            ),
            20 => network.set_partition(
                &(0..5).collect::<Vec<_>>(),
                &(9..24).collect::<Vec<_>>(),
                false,
            ),
            25 => network.restart(20),
            30 => (1..5).for_each(|replica| network.restart(replica)),
            _ => {}
        }
        commit_everywhere(&mut network, &rows.version(version));
        for _ in 0..30 {
            network.run_for(Duration::from_millis(7));
            let now = network.now;
            for (index, host) in network.hosts.iter_mut().enumerate() {
                let (mut plans, ring) = (host.plans.clone(), host.members.ring().clone());
                plans.tick(now, &ring);
                plans.tick(now, &ring);
                let next = plans.next_wakeup();
                assert!(next > now, "host {index} at {now}, version {version}: {next}");
            }
        }
    }
    network.run_for(5 * SECOND);
    let lacking = network.hosts.iter().filter(|host| host.plans.version() < ConfigVersion(39));
    assert_eq!(lacking.count(), 0);
}
