//! Random schedules of faults with fixed seeds. The invariants are checked at every step.

use std::time::Duration;

use pulley_core::process::{MemberState, UpstreamPhase};
use pulley_core::version::{LogIndex, ReplicaSet};
use pulley_core::{ConfigVersion, Moment};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::network::{Network, NetworkConditions, announcement, host_name};

const HOSTS: usize = 9;
const UPSTREAMS: usize = 8;
const STEP: Duration = Duration::from_millis(100);
/// The lease plus the largest difference between the hosts' clocks, which is the longest delay of
/// the schedules.
const LEASE_BOUND: Duration = Duration::from_millis(3_000 + 100);

#[derive(Clone, Debug)]
enum Fault {
    Restart(usize),
    Pause(usize, u64),
    CutPath(usize, usize),
    CutHost(usize),
    Heal,
    Conditions(u8, u8),
    Publish,
    NewLeader(usize),
    Drain(usize),
    Silence(usize),
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        let upstream = usize::arbitrary(g) % UPSTREAMS;
        match u8::arbitrary(g) % 12 {
            0 => Self::Restart(host),
            1 => Self::Pause(host, u64::arbitrary(g) % 6_000),
            2 | 3 => Self::CutPath(host, usize::arbitrary(g) % HOSTS),
            4 => Self::CutHost(host),
            5 => Self::Heal,
            6 => Self::Conditions(u8::arbitrary(g) % 20, u8::arbitrary(g) % 20),
            7 | 8 => Self::Publish,
            9 => Self::NewLeader(host % 5),
            10 => Self::Drain(upstream),
            _ => Self::Silence(upstream),
        }
    }
}

/// The cluster, and the state that an observer with full knowledge keeps.
struct Model {
    network: Network,
    /// The time at which each version was accepted, indexed by version.
    accepted: Vec<Moment>,
    versions: [ConfigVersion; HOSTS],
    sequences: [u64; UPSTREAMS],
    last_announced: [Moment; UPSTREAMS],
    drained: [Option<Moment>; UPSTREAMS],
    silent: [bool; UPSTREAMS],
    steps: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut network = Network::new(HOSTS, seed);
        network.replicas = ReplicaSet { index: 1, hosts: (0..5).map(host_name).collect() };
        network.leader = Some((0, 1));
        let mut model = Self {
            network,
            accepted: vec![Moment::ZERO],
            versions: [ConfigVersion(0); HOSTS],
            sequences: [0; UPSTREAMS],
            last_announced: [Moment::ZERO; UPSTREAMS],
            drained: [None; UPSTREAMS],
            silent: [false; UPSTREAMS],
            steps: 0,
        };
        model.report_logs();
        model.run(50).unwrap();
        model
    }

    /// Reports every log entry as stored on every replica. The log itself has tests of its own.
    fn report_logs(&mut self) {
        let last = ConfigVersion(self.accepted.len() as u64 - 1);
        for replica in 0..5 {
            let replicas = self.network.replicas.clone();
            self.network.hosts[replica].plans.set_log_report(replicas, last, LogIndex::default());
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Restart(host) => {
                self.network.restart(host);
                self.versions[host] = ConfigVersion(0);
                self.report_logs();
                if let Some((leader, term)) = self.network.leader
                    && leader == host
                {
                    // Elects a replica that is running: a restarted replica reads its log first.
                    self.network.leader = Some(((host + 1) % 5, term));
                    self.new_leader((host + 1) % 5);
                }
            }
            Fault::Pause(host, millis) => {
                let until = self.network.now + Duration::from_millis(millis);
                self.network.hosts[host].paused_until = until;
            }
            Fault::CutPath(from, to) => {
                self.network.cuts.insert((from, to));
            }
            Fault::CutHost(host) => {
                let others: Vec<usize> = (0..HOSTS).filter(|other| *other != host).collect();
                self.network.set_partition(&[host], &others, true);
            }
            Fault::Heal => self.network.cuts.clear(),
            Fault::Conditions(loss, duplicates) => {
                self.network.conditions = NetworkConditions {
                    loss: f64::from(loss) / 100.0,
                    duplicates: f64::from(duplicates) / 100.0,
                    delay: (200, 40_000),
                };
            }
            Fault::Publish => self.publish(),
            Fault::NewLeader(host) => self.new_leader(host),
            Fault::Drain(upstream) => self.drain(upstream),
            Fault::Silence(upstream) => self.silent[upstream] = true,
        }
    }

    /// Publishes a version, unless the leader is paused. A paused leader can't have a majority:
    /// another one has been elected by then.
    fn publish(&mut self) {
        let Some((leader, _)) = self.network.leader else { return };
        if self.network.now < self.network.hosts[leader].paused_until {
            return;
        }
        self.accepted.push(self.network.now);
        self.report_logs();
        self.network.publish(self.accepted.len() as u64 - 1, 40);
    }

    fn new_leader(&mut self, host: usize) {
        if self.network.now < self.network.hosts[host].paused_until {
            return;
        }
        let term = self.network.leader.map_or(1, |(_, term)| term + 1);
        self.network.leader = Some((host, term));
        if self.accepted.len() > 1 {
            self.network.publish(self.accepted.len() as u64 - 1, 40);
        }
    }

    fn drain(&mut self, upstream: usize) {
        if self.drained[upstream].is_none() {
            self.drained[upstream] = Some(self.network.now);
            self.announce(upstream);
        }
    }

    fn announce(&mut self, upstream: usize) {
        self.sequences[upstream] += 1;
        let sequence = self.sequences[upstream];
        let mut announcement = announcement(upstream, 1, sequence);
        if self.drained[upstream].is_some() {
            announcement.phase = UpstreamPhase::Draining;
        }
        let host = (upstream * 5 + usize::try_from(sequence).unwrap() * 7) % HOSTS;
        // A stopped host accepts nothing. The platform's balancer tries the next.
        let awake = |host: &usize| self.network.hosts[*host].paused_until <= self.network.now;
        let Some(host) = (host..host + HOSTS).map(|host| host % HOSTS).find(awake) else {
            return;
        };
        self.last_announced[upstream] = self.network.now;
        self.network.announce(host, announcement);
    }

    fn run(&mut self, steps: u64) -> Result<(), String> {
        for _ in 0..steps {
            if self.steps.is_multiple_of(10) {
                for upstream in 0..UPSTREAMS {
                    if !self.silent[upstream] {
                        self.announce(upstream);
                    }
                }
            }
            self.steps += 1;
            self.network.run_for(STEP);
            self.check()?;
        }
        Ok(())
    }

    /// Checks the invariants of every running host, which hold whatever happens to the network.
    fn check(&mut self) -> Result<(), String> {
        let now = self.network.now;
        for (index, host) in self.network.hosts.iter().enumerate() {
            // A stopped process makes no decision until it has read the time again.
            if now < host.paused_until {
                continue;
            }
            let version = host.plans.version();
            if version < self.versions[index] {
                return Err(format!("{now}: version of host {index} went down to {version}"));
            }
            self.versions[index] = version;
            let newer = self.accepted.get(usize::try_from(version.0).unwrap() + 1);
            let late = newer.is_some_and(|at| now.since(*at) > LEASE_BOUND);
            if host.plans.standing(now).is_ready() && late {
                return Err(format!("{now}: host {index} still serves version {version}"));
            }
            for upstream in 0..UPSTREAMS {
                if !host.registry.takes_work(now, &announcement(upstream, 1, 1).id) {
                    continue;
                }
                if now.since(self.last_announced[upstream]) > LEASE_BOUND {
                    return Err(format!("{now}: host {index} uses silent upstream {upstream}"));
                }
                if self.drained[upstream].is_some_and(|at| now.since(at) > LEASE_BOUND) {
                    return Err(format!("{now}: host {index} uses drained upstream {upstream}"));
                }
            }
        }
        Ok(())
    }

    /// Checks the state of every host some time after the network has recovered.
    fn check_settled(&self) -> Result<(), String> {
        let now = self.network.now;
        let latest = ConfigVersion(self.accepted.len() as u64 - 1);
        for (index, host) in self.network.hosts.iter().enumerate() {
            let live = host.members.live().count();
            if live != HOSTS {
                return Err(format!("host {index} sees {live} hosts"));
            }
            if host.plans.version() != latest || !host.plans.standing(now).is_ready() {
                return Err(format!("host {index} is at {:?}", host.plans.standing(now)));
            }
            for upstream in 0..UPSTREAMS {
                let works = !self.silent[upstream] && self.drained[upstream].is_none();
                if host.registry.takes_work(now, &announcement(upstream, 1, 1).id) != works {
                    return Err(format!("host {index} has a wrong state for upstream {upstream}"));
                }
            }
        }
        Ok(())
    }
}

fn run_schedule(seed: u64, faults: &[Fault]) -> Result<(), String> {
    let mut model = Model::new(seed);
    for fault in faults {
        model.apply(fault);
        model.run(8)?;
    }
    model.network.cuts.clear();
    model.network.conditions = NetworkConditions::default();
    model.run(250)?;
    model.check_settled()
}

/// Hosts restart, stop and resume, paths and hosts are cut off for long, messages are lost,
/// duplicated and delayed, and leaders change. Failures that a user would notice are an old
/// configuration in force, work sent to an upstream that leaves, and hosts that don't find each
/// other afterwards.
#[test]
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
fn invariants_hold_through_random_faults() {
    fn property(seed: u64, faults: Vec<Fault>) -> TestResult {
        match run_schedule(seed, &faults) {
            Ok(()) => TestResult::passed(),
            Err(fault) => TestResult::error(fault),
        }
    }
    let gen_size = 30;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(gen_size, 4_004))
        .tests(150)
        .quickcheck(property as fn(u64, Vec<Fault>) -> TestResult);
}

/// Up to three paths are silent in one direction each, and messages are lost. If a host that others
/// reach were declared dead, the counts and shares for its callers would be dropped without need.
#[test]
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
fn silent_paths_declare_no_live_host_dead_for_long() {
    fn property(seed: u64, cuts: Vec<(usize, usize)>) -> TestResult {
        let mut network = Network::new(HOSTS, seed);
        network.run_for(Duration::from_secs(5));
        network.conditions.loss = 0.03;
        let pairs = cuts.iter().map(|(from, to)| (from % HOSTS, to % HOSTS));
        network.cuts = pairs.filter(|(from, to)| from != to).take(3).collect();
        let mut dead_for = 0;
        for _ in 0..300 {
            network.run_for(STEP);
            let dead = network.hosts.iter().any(|host| {
                (0..HOSTS)
                    .any(|other| host.members.state(&host_name(other)) == Some(MemberState::Dead))
            });
            dead_for = if dead { dead_for + 1 } else { 0 };
            if dead_for > 20 {
                return TestResult::error(format!("dead for 2 s at {}", network.now));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4_005))
        .tests(60)
        .quickcheck(property as fn(u64, Vec<(usize, usize)>) -> TestResult);
}
