//! Thousands of random schedules of failures, with fixed seeds.

use std::time::Duration;

use pulley_core::version::{
    ClaimAnswer, ClaimantId, LedgerLimits, ReplicaAnswer, ReplicaQuestion, ReplicaSettings,
};
use quickcheck::{Arbitrary, Gen};
use rand::Rng;

use super::fake_cluster::{FakeCluster, NetworkFaults, change, sheet_of};

/// Number of schedules that each test runs.
const SCHEDULES: u64 = 700;

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ScheduleStep {
    Change { host: usize, id: u16, expect: u64 },
    Claim { host: usize, key: u8 },
    Record { host: usize },
    Release { host: usize },
    Read { host: usize },
    Transfer { host: usize },
    Kill { host: usize },
    KillOnSend { host: usize },
    Restart { host: usize },
    Wipe { host: usize },
    HangDisk { host: usize },
    Pause { host: usize, millis: u64 },
    Start { host: usize },
    CutOneWay { from: usize, to: usize },
    Isolate { host: usize },
    Heal,
    Wait { millis: u64 },
}

impl Arbitrary for ScheduleStep {
    fn arbitrary(random: &mut Gen) -> Self {
        let host = usize::arbitrary(random) % 5;
        let to = usize::arbitrary(random) % 5;
        match u8::arbitrary(random) % 42 {
            0..=5 | 35..=37 => Self::Change {
                host,
                id: u16::arbitrary(random) % 40,
                expect: u64::arbitrary(random) % 4,
            },
            6..=8 => Self::Claim { host, key: u8::arbitrary(random) % 6 },
            9 => Self::Record { host },
            10 => Self::Release { host },
            11 => Self::Read { host },
            12 => Self::Transfer { host },
            13 => Self::Kill { host },
            14 | 15 | 28..=30 => Self::Start { host },
            16 => Self::CutOneWay { from: host, to },
            17 => Self::Isolate { host },
            18 | 31 => Self::Heal,
            32 => Self::Wipe { host },
            33 => Self::HangDisk { host },
            34 => Self::Pause { host, millis: u64::arbitrary(random) % 3_000 },
            19 | 20 => Self::KillOnSend { host },
            21 | 22 => Self::Restart { host },
            _ => Self::Wait { millis: u64::arbitrary(random) % 500 },
        }
    }
}

impl ScheduleStep {
    /// Returns the same step at other hosts.
    pub(crate) fn with_hosts(mut self, pick: impl Fn(usize) -> usize) -> Self {
        match &mut self {
            Self::Change { host, .. }
            | Self::Claim { host, .. }
            | Self::Record { host }
            | Self::Release { host }
            | Self::Read { host }
            | Self::Transfer { host }
            | Self::Kill { host }
            | Self::KillOnSend { host }
            | Self::Restart { host }
            | Self::Wipe { host }
            | Self::HangDisk { host }
            | Self::Pause { host, .. }
            | Self::Start { host }
            | Self::Isolate { host } => *host = pick(*host),
            Self::CutOneWay { from, to } => (*from, *to) = (pick(*from), pick(*to)),
            Self::Heal | Self::Wait { .. } => {}
        }
        self
    }
}

/// The state of a schedule between its steps.
pub(crate) struct ScheduleRun {
    pub(crate) cluster: FakeCluster,
    claims: Vec<(u64, u8)>,
    disks_to_lose: usize,
}

impl ScheduleRun {
    fn new(size: usize, seed: u64) -> Self {
        let ledger = LedgerLimits { capacity: 4, ..LedgerLimits::default() };
        let settings = ReplicaSettings::default().with_ledger(ledger).with_snapshot_bytes(2_000);
        let cluster = FakeCluster::on_unreliable_network(size, seed, settings);
        // At most as many disks may be lost as the cluster can do without.
        Self { disks_to_lose: (size - 1) / 2, ..Self::of(cluster) }
    }

    pub(crate) fn of(cluster: FakeCluster) -> Self {
        Self { cluster, claims: Vec::new(), disks_to_lose: 0 }
    }

    pub(crate) fn with_disks_to_lose(mut self, disks: usize) -> Self {
        self.disks_to_lose = disks;
        self
    }

    pub(crate) fn take(&mut self, step: ScheduleStep) {
        let size = self.cluster.hosts.len();
        let cluster = &mut self.cluster;
        match step {
            ScheduleStep::Change { host, id, expect } => {
                let newest = cluster.invariants.accepted.keys().max().map_or(0, |last| last.0);
                // Close to the newest version, so that some changes win and some lose.
                let expect = (newest + 1).saturating_sub(expect % 3);
                self.ask(host % size, change(&format!("change-{id}-{expect}"), expect));
            }
            ScheduleStep::Claim { host, key } => {
                let question = ReplicaQuestion::Claim {
                    key: format!("key-{key}").into(),
                    digest: [key; 32],
                    claimant: ClaimantId(self.claims.len() as u64 + 1),
                };
                if let Some(token) = self.ask(host % size, question) {
                    self.claims.push((token, key));
                }
            }
            ScheduleStep::Record { host } => self.finish_claim(host % size, true),
            ScheduleStep::Release { host } => self.finish_claim(host % size, false),
            ScheduleStep::Read { host } => {
                self.ask(host % size, ReplicaQuestion::CurrentPlan);
            }
            ScheduleStep::Transfer { host } => cluster.transfer(host % size),
            ScheduleStep::Kill { host } if cluster.is_up(host % size) => cluster.kill(host % size),
            ScheduleStep::KillOnSend { host } => cluster.kill_on_send(host % size),
            ScheduleStep::Restart { host } => {
                if cluster.is_up(host % size) {
                    cluster.kill(host % size);
                }
                cluster.start(host % size);
            }
            ScheduleStep::Pause { host, millis } => {
                cluster.pause(host % size, Duration::from_millis(millis));
            }
            ScheduleStep::HangDisk { host } => {
                let host = &mut cluster.hosts[host % size];
                host.disk_hangs = !host.disk_hangs;
            }
            ScheduleStep::Wipe { host } if self.disks_to_lose > 0 => {
                self.disks_to_lose -= 1;
                cluster.wipe(host % size);
                cluster.start(host % size);
            }
            ScheduleStep::Start { host } if !cluster.is_up(host % size) => {
                cluster.start(host % size);
            }
            ScheduleStep::Kill { .. } | ScheduleStep::Start { .. } | ScheduleStep::Wipe { .. } => {}
            ScheduleStep::CutOneWay { from, to } => cluster.cut(from % size, to % size),
            ScheduleStep::Isolate { host } => cluster.isolate(host % size),
            ScheduleStep::Heal => {
                cluster.heal();
                cluster.hosts.iter_mut().for_each(|host| host.disk_hangs = false);
            }
            ScheduleStep::Wait { millis } => cluster.run(Duration::from_millis(millis)),
        }
    }

    fn ask(&mut self, host: usize, question: ReplicaQuestion) -> Option<u64> {
        // Most questions go to the leader. A fifth go to the given host, which forwards them to the
        // leader it knows and may be outdated.
        let host = match self.cluster.leader() {
            Some(leader) if self.cluster.random.random_bool(0.8) => leader,
            _ => host,
        };
        self.cluster.is_up(host).then(|| self.cluster.ask(host, question))
    }

    fn finish_claim(&mut self, host: usize, ran: bool) {
        let granted = self.claims.iter().rev().find_map(|(asked, key)| {
            match self.cluster.answers.get(asked) {
                Some(ReplicaAnswer::Claim(ClaimAnswer::Granted(token))) => Some((*key, *token)),
                _ => None,
            }
        });
        let Some((key, token)) = granted else { return };
        let key = format!("key-{key}").into();
        let question = if ran {
            ReplicaQuestion::Record { key, token, answer: None }
        } else {
            ReplicaQuestion::Release { key, token }
        };
        self.ask(host, question);
    }

    /// Ends all faults. All hosts must then agree and hold everything that was accepted.
    fn finish(mut self) -> FakeCluster {
        let cluster = &mut self.cluster;
        cluster.heal();
        cluster.faults = NetworkFaults::NONE;
        for number in 0..cluster.hosts.len() {
            cluster.hosts[number].loses_power_on_send = false;
            cluster.hosts[number].disk_hangs = false;
            if !cluster.is_up(number) {
                cluster.start(number);
            }
        }
        cluster.run_until(Duration::from_secs(30), FakeCluster::all_vote);
        cluster.run(Duration::from_secs(6));
        let leader = cluster.leader().expect("a healed cluster has a leader");
        for number in 0..cluster.hosts.len() {
            cluster.invariants.check_nothing_lost(cluster.driver(number));
            let current = cluster.driver(number).machines().configuration.current();
            assert_eq!(current, cluster.driver(leader).machines().configuration.current());
        }
        let current = cluster.driver(leader).machines().configuration.current();
        if let Some(id) = cluster.invariants.accepted.get(&current.version) {
            assert_eq!(current.sheet, sheet_of(id.as_str()));
        }
        self.cluster
    }
}

fn run_schedules(size: usize, first_seed: u64) -> (u64, u64) {
    let (mut accepted, mut granted) = (0, 0);
    for seed in first_seed..first_seed + SCHEDULES {
        let mut random = Gen::from_size_and_seed(180, seed);
        let steps = Vec::<ScheduleStep>::arbitrary(&mut random);
        let mut run = ScheduleRun::new(size, seed);
        for step in steps {
            run.take(step);
        }
        let cluster = run.finish();
        accepted += cluster.invariants.accepted.len() as u64;
        granted += cluster.invariants.granted;
    }
    (accepted, granted)
}

// Hosts crash with half-written files, and links lose, duplicate, delay and reorder messages or
// pass them in one direction only, while operators race and resend. Whatever the order, no operator
// and no caller may see a change undone, a key granted twice or a version go down.
#[test]
fn three_replicas_keep_their_promises_under_any_schedule() {
    let (accepted, granted) = run_schedules(3, 10_000);
    assert!(accepted > SCHEDULES, "the schedules hardly change anything: {accepted}");
    assert!(granted > SCHEDULES / 2, "the schedules hardly claim anything: {granted}");
}

#[test]
fn five_replicas_keep_their_promises_under_any_schedule() {
    let (accepted, granted) = run_schedules(5, 50_000);
    assert!(accepted > SCHEDULES, "the schedules hardly change anything: {accepted}");
    assert!(granted > SCHEDULES / 2, "the schedules hardly claim anything: {granted}");
}
