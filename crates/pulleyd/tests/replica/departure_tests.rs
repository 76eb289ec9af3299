//! Upstreams that have left, and the upstream directory on a replica's disk.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    Announcement, Incarnation, SlotCount, UpstreamDirectory, UpstreamPhase, UpstreamRegistry,
    UpstreamSequence, UpstreamStart,
};
use pulley_core::version::{
    ConfigurationMachine, DEPARTURES_KEPT, LedgerMachine, LogCommand, LogEntry, LogIndex, LogTime,
    ReplicaAnswer, ReplicaMachines, ReplicaMembership, ReplicaQuestion, ReplicaSettings,
    ReplicaSnapshot, SnapshotPosition, Term,
};
use pulleyd::version::DirectoryFile;
use quickcheck::{Arbitrary, Gen};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fake_cluster::{FakeCluster, change};
use super::fake_disk::FakeDisk;
use super::schedule_tests::{ScheduleRun, ScheduleStep};

/// Number of schedules run.
const SCHEDULES: u64 = 300;

fn start(number: u64) -> UpstreamStart {
    let id = format!("upstream-{number}").parse().expect("a valid name");
    UpstreamStart { id, incarnation: Incarnation(1) }
}

fn departure(number: u64) -> ReplicaQuestion {
    ReplicaQuestion::Departure { start: start(number), record: bytes::Bytes::new() }
}

fn settings() -> ReplicaSettings {
    // Two of the five replicas' disks may be lost at once; every snapshot is small.
    ReplicaSettings::default().with_copies(3).with_snapshot_bytes(2_000)
}

fn has_left(cluster: &FakeCluster, number: usize, upstream: u64) -> bool {
    cluster.driver(number).machines().departures.has_left(&start(upstream))
}

/// Asks the leader for its applied index, as a replica does that has just started.
fn applied_by_leader(cluster: &mut FakeCluster) -> LogIndex {
    match cluster.ask_leader_quickly(&ReplicaQuestion::Applied) {
        ReplicaAnswer::Applied(index) => index,
        answer => panic!("no answer to the question: {answer:?}"),
    }
}

// All hosts lose power right after an upstream's departure was acknowledged, and any two of the
// five disks are lost. Every returning replica that has applied what the new leader has applied
// must know of the departure, and must not offer the upstream from its disk.
#[test]
fn an_acknowledged_departure_survives_the_loss_of_any_two_disks() {
    for first in 0..5 {
        for second in first..5 {
            let seed = 700 + first as u64 * 10 + second as u64;
            let mut cluster = FakeCluster::with_settings(5, seed, settings());
            cluster.ask_leader(&change("first", 0));
            assert_eq!(cluster.ask_leader_quickly(&departure(1)), ReplicaAnswer::Done);
            let kept: Vec<usize> =
                (0..5).filter(|number| *number != first && *number != second).collect();
            for number in 0..5 {
                match kept.contains(&number) {
                    true => cluster.kill(number),
                    false => cluster.wipe(number),
                }
            }
            (0..5).for_each(|number| cluster.start(number));
            let index = applied_by_leader(&mut cluster);
            for number in kept {
                cluster.run_until(Duration::from_secs(5), |cluster| {
                    cluster.driver(number).node().applied_index() >= index
                });
                assert!(
                    has_left(&cluster, number, 1),
                    "host {number}, without {first} and {second}"
                );
            }
        }
    }
}

/// A replica's start, and the departures it must know before it may offer what is on its disk.
struct ReplicaStart {
    host: usize,
    epoch: u64,
    token: u64,
    left_before: Vec<u64>,
}

// Hosts crash, are cut off, lose disks and race while upstreams leave. A replica that starts asks
// the leader for its applied index. Once the replica has applied that too, it must know every
// departure acknowledged before its start, whatever has happened. Otherwise it would offer an
// upstream that is gone.
#[test]
fn a_replica_knows_what_left_before_its_start_under_any_schedule() {
    let (mut acknowledged, mut verified) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Gen::from_size_and_seed(120, 30_000 + seed);
        let steps = Vec::<ScheduleStep>::arbitrary(&mut random);
        let (left, starts) = run_schedule(seed, steps);
        acknowledged += left;
        verified += starts;
    }
    assert!(acknowledged > SCHEDULES, "hardly any departure is acknowledged: {acknowledged}");
    assert!(verified > SCHEDULES, "hardly any start is verified: {verified}");
}

/// Returns the number of acknowledged departures and the number of verified starts.
fn run_schedule(seed: u64, steps: Vec<ScheduleStep>) -> (u64, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let cluster = FakeCluster::on_unreliable_network(5, seed, settings());
    let mut run = ScheduleRun::of(cluster).with_disks_to_lose(2);
    let mut asked: Vec<(u64, u64)> = Vec::new();
    let mut left: Vec<u64> = Vec::new();
    let mut starts: Vec<ReplicaStart> = Vec::new();
    let mut verified = 0;
    for step in steps {
        let epochs: Vec<u64> = (0..5).map(|host| run.cluster.epoch(host)).collect();
        // A departure that is acknowledged in this step may precede or follow a start in the same
        // step.
        let left_before = left.clone();
        run.take(step);
        let cluster = &mut run.cluster;
        let asked_host = cluster.leader().unwrap_or_else(|| random.random_range(0..5));
        if cluster.is_up(asked_host) {
            if random.random_bool(0.3) {
                let upstream = asked.len() as u64;
                asked.push((cluster.ask(asked_host, departure(upstream)), upstream));
            }
            for (host, before) in epochs.iter().enumerate() {
                let epoch = cluster.epoch(host);
                if cluster.is_up(host) && (epoch != *before || random.random_bool(0.1)) {
                    let token = cluster.ask(asked_host, ReplicaQuestion::Applied);
                    let left_before = left_before.clone();
                    starts.push(ReplicaStart { host, epoch, token, left_before });
                }
            }
        }
        let is_done = |(token, _): &&(u64, u64)| {
            matches!(cluster.answers.get(token), Some(ReplicaAnswer::Done))
        };
        left = asked.iter().filter(is_done).map(|(_, upstream)| *upstream).collect();
        starts.retain(|start| {
            let is_same = cluster.is_up(start.host) && cluster.epoch(start.host) == start.epoch;
            let Some(ReplicaAnswer::Applied(index)) = cluster.answers.get(&start.token) else {
                return is_same;
            };
            if is_same && cluster.driver(start.host).node().applied_index() >= *index {
                verified += 1;
                for upstream in &start.left_before {
                    let is_known = has_left(cluster, start.host, *upstream);
                    assert!(
                        is_known,
                        "seed {seed}: host {} offers departed upstream {upstream}",
                        start.host
                    );
                }
                return false;
            }
            is_same
        });
    }
    (left.len() as u64, verified)
}

fn apply_departure(machines: &mut ReplicaMachines, index: u64) {
    let command = LogCommand::Departure(start(index));
    let entry = LogEntry { index: LogIndex(index), term: Term(1), time: LogTime(index), command };
    machines.apply(&entry);
}

// A replica was off for weeks, and more upstreams have left since than are remembered. It cannot
// tell which upstreams on its disk have left, so it must offer none of them.
#[test]
fn a_directory_older_than_the_departures_kept_is_not_covered() {
    let mut machines = ReplicaMachines::default();
    let kept = DEPARTURES_KEPT as u64;
    (1..=kept + 10).for_each(|index| apply_departure(&mut machines, index));
    assert_eq!(machines.departures.len(), DEPARTURES_KEPT);
    assert!(!machines.departures.has_left(&start(10)));
    assert!(machines.departures.has_left(&start(11)));
    assert!(!machines.departures.remembers_all_since(LogIndex(9)));
    assert!(machines.departures.remembers_all_since(LogIndex(10)));
    apply_departure(&mut machines, kept + 10);
    assert_eq!(machines.departures.len(), DEPARTURES_KEPT, "a resend must not add a departure");
}

// A replica is updated to this release with a snapshot of the previous one, which has no
// departures. It must start as before, and its own snapshots must keep departures.
#[test]
fn a_snapshot_without_departures_can_still_be_read() {
    let position = SnapshotPosition {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime(0),
        members: ReplicaMembership::default(),
    };
    let previous = (ConfigurationMachine::default(), LedgerMachine::default());
    let state = postcard::to_stdvec(&previous).expect("it can be encoded");
    let snapshot = ReplicaSnapshot { position: position.clone(), state: state.into() };
    let mut machines = ReplicaMachines::restore(&snapshot).expect("it can be read");
    assert!(machines.departures.is_empty());
    apply_departure(&mut machines, 2);
    let snapshot = machines.snapshot(position).expect("it can be encoded");
    let restored = ReplicaMachines::restore(&snapshot).expect("it can be read");
    assert_eq!(restored.departures, machines.departures);
}

// -------------------------------------------------------------------------------------------------
// The directory on a disk

fn directory(upstreams: u64, applied: u64) -> UpstreamDirectory {
    let mut registry = UpstreamRegistry::new();
    for number in 0..upstreams {
        let announcement = Announcement {
            id: start(number).id,
            address: ([10, 0, 0, 1], 8_000).into(),
            zone: "z1".parse().expect("a valid name"),
            pool: "pool".parse().expect("a valid name"),
            slots: SlotCount(2),
            connections: 100,
            incarnation: Incarnation(1),
            sequence: UpstreamSequence(1),
            phase: UpstreamPhase::Ready,
        };
        registry.announce(Moment::ZERO, announcement).expect("it is well formed");
    }
    let mut directory = registry.directory(Moment::ZERO, |_| false);
    directory.applied = applied;
    directory
}

// Power is lost while a directory is being written, once or several times. The directory that is
// read back must be the previous one or the new one, complete, never a mixture and never an older
// one.
#[test]
fn a_directory_that_was_synced_is_read_back_after_any_crash() {
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let disk = FakeDisk::new(1);
        let mut synced = 0;
        for number in 1..=random.random_range(1..12) {
            let (mut file, reading) = DirectoryFile::open(disk.clone());
            let newest = reading.newest.map_or(0, |directory| directory.applied);
            assert!(newest >= synced, "directory {synced} was synced, {newest} was read");
            let is_cut_short = random.random_bool(0.3);
            disk.fail_syncs(is_cut_short);
            let written = file.write(&directory(number, number));
            assert_eq!(written.is_err(), is_cut_short);
            if !is_cut_short {
                synced = number;
            }
            disk.crash(&mut random);
        }
    }
}

// A disk is full, or returns damaged data. The replica must start all the same, name the file that
// it could not read, and write again once it can.
#[test]
fn a_damaged_directory_is_left_out_and_named() {
    let disk = FakeDisk::new(1);
    let (mut file, reading) = DirectoryFile::open(disk.clone());
    assert!(reading.newest.is_none() && reading.faults.is_empty());
    file.write(&directory(3, 1)).expect("the disk works");
    file.write(&directory(3, 2)).expect("the disk works");
    disk.fail_appends(true);
    file.write(&directory(3, 3)).expect_err("the disk is full");
    disk.fail_appends(false);
    let (_, reading) = DirectoryFile::open(disk.clone());
    assert_eq!(reading.newest.map(|newest| newest.applied), Some(2));
    assert_eq!(reading.faults.len(), 1);
    for name in ["upstreams-a", "upstreams-b"] {
        disk.damage(name, -1);
    }
    let (mut file, reading) = DirectoryFile::open(disk.clone());
    assert!(reading.newest.is_none());
    assert_eq!(reading.faults.len(), 2);
    file.write(&directory(3, 4)).expect("the disk works again");
    let (_, reading) = DirectoryFile::open(disk);
    assert_eq!(reading.newest.map(|newest| newest.applied), Some(4));
}
