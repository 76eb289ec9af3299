//! Random schedules of failures on a replica set that grows and heals itself.

use std::collections::BTreeSet;
use std::time::Duration;

use pulley_core::process::MemberId;
use pulley_core::version::ReplicaSettings;
use quickcheck::{Arbitrary, Gen};

use super::fake_cluster::{FakeCluster, NetworkFaults};
use super::schedule_tests::{ScheduleRun, ScheduleStep};

/// Number of schedules run.
const SCHEDULES: u64 = 500;

/// Number of disks that may be lost at the same time.
const TOLERATED_LOSSES: usize = 2;

/// Number of steps after which all hosts that are only down, cut off or paused come back for a
/// while.
const RECOVERY_INTERVAL: usize = 45;

/// A cluster whose hosts lose disks or are gone for good while others replace them.
struct GrowthRun {
    run: ScheduleRun,
    /// Hosts that never come back.
    gone: BTreeSet<usize>,
    /// Lost disks that no other disk has replaced yet.
    missing: Vec<MissingDisk>,
    lost: u64,
}

/// A lost disk, and the host whose empty disk is to replace it.
#[derive(Clone, Copy)]
struct MissingDisk {
    lost: MemberId,
    successor: usize,
}

impl GrowthRun {
    fn new(seed: u64) -> Self {
        let settings = ReplicaSettings::default()
            .with_growth(true)
            .with_copies(TOLERATED_LOSSES + 1)
            .with_snapshot_bytes(2_000);
        let mut cluster = FakeCluster::with_settings(3, seed, settings);
        cluster.update_replica_lists();
        cluster.add_new_host();
        cluster.add_new_host();
        cluster.run_until(Duration::from_secs(30), FakeCluster::all_vote);
        cluster.forget_founders();
        cluster.faults = NetworkFaults {
            loss: 0.05,
            duplicated: 0.05,
            longest_delay: Duration::from_millis(40),
            longest_write: Duration::from_millis(60),
        };
        let run = ScheduleRun::of(cluster);
        Self { run, gone: BTreeSet::new(), missing: Vec::new(), lost: 0 }
    }

    fn remaining(&self) -> Vec<usize> {
        (0..self.run.cluster.hosts.len()).filter(|number| !self.gone.contains(number)).collect()
    }

    fn take(&mut self, step: ScheduleStep) {
        let remaining = self.remaining();
        let step = step.with_hosts(|drawn| remaining[drawn % remaining.len()]);
        match step {
            ScheduleStep::Wipe { host } => self.lose_disk(host),
            _ => self.run.take(step),
        }
        self.run.cluster.update_replica_lists();
    }

    /// Loses a disk, with or without its host, unless too many are missing already.
    ///
    /// A disk is missing until its successor's vote is committed and the lost disk's vote is gone.
    /// Before that, a third loss leaves two of five, from which no replica set can recover.
    fn lose_disk(&mut self, host: usize) {
        let cluster = &mut self.run.cluster;
        self.missing.retain(|disk| !cluster.has_replaced(disk.lost, disk.successor));
        let is_successor = self.missing.iter().any(|disk| disk.successor == host);
        if self.missing.len() >= TOLERATED_LOSSES || is_successor {
            return;
        }
        self.lost += 1;
        let lost = cluster.member(host);
        if host.is_multiple_of(2) {
            cluster.wipe(host);
            cluster.start(host);
            self.missing.push(MissingDisk { lost, successor: host });
        } else {
            if cluster.is_up(host) {
                cluster.kill(host);
            }
            self.gone.insert(host);
            self.missing.push(MissingDisk { lost, successor: cluster.add_new_host() });
        }
    }

    /// Restores every host that did not lose its disk. Every host that is not gone must then get a
    /// vote.
    fn recover(&mut self, seed: u64) {
        let remaining = self.remaining();
        let cluster = &mut self.run.cluster;
        cluster.heal();
        for number in &remaining {
            cluster.hosts[*number].loses_power_on_send = false;
            cluster.hosts[*number].disk_hangs = false;
            if !cluster.is_up(*number) {
                cluster.start(*number);
            }
        }
        cluster.update_replica_lists();
        let all_vote =
            |cluster: &FakeCluster| remaining.iter().all(|host| cluster.is_up_with_vote(*host));
        let has_recovered = cluster.holds_within(Duration::from_secs(40), all_vote);
        assert!(
            has_recovered,
            "seed {seed}: not every host has a vote again:\n{}",
            cluster.summary()
        );
        // A host may still be paused for three seconds.
        cluster.run(Duration::from_secs(6));
        for number in remaining {
            cluster.invariants.check_nothing_lost(cluster.driver(number));
        }
    }
}

// Hosts with a disk are lost for good, come back empty, or are cut off and return with an outdated
// membership, while others crash with half-written files. Two disks may be missing at a time.
// Nothing acknowledged may be lost, and no term may have two leaders. Once the faults end, every
// remaining host must have a vote, or the next two losses would leave no majority.
#[test]
fn growing_replicas_keep_their_promises_under_any_schedule() {
    let (mut accepted, mut lost) = (0, 0);
    for seed in 90_000..90_000 + SCHEDULES {
        let mut random = Gen::from_size_and_seed(180, seed);
        let mut run = GrowthRun::new(seed);
        for steps in Vec::<ScheduleStep>::arbitrary(&mut random).chunks(RECOVERY_INTERVAL) {
            steps.iter().for_each(|step| run.take(*step));
            run.recover(seed);
        }
        accepted += run.run.cluster.invariants.accepted.len() as u64;
        lost += run.lost;
    }
    assert!(accepted > SCHEDULES, "the schedules hardly change anything: {accepted}");
    assert!(lost > SCHEDULES, "the schedules hardly lose a disk: {lost}");
}
