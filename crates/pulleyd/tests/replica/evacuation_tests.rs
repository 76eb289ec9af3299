//! Operators evacuate zones and restore them through the replicated log.

use std::collections::BTreeMap;
use std::time::Duration;

use pulley_core::version::{
    ConfigurationMachine, DepartureMachine, EVACUATED_LIMIT, LedgerMachine, LogCommand, LogEntry,
    LogIndex, LogTime, MachineOutcome, ReplicaAnswer, ReplicaMachines, ReplicaMembership,
    ReplicaQuestion, ReplicaSettings, ReplicaSnapshot, SnapshotPosition, Term, ZoneAnswer,
    ZoneOrder, ZoneUse,
};
use quickcheck::{Arbitrary, Gen};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fake_cluster::{FakeCluster, change};
use super::schedule_tests::{ScheduleRun, ScheduleStep};

/// Number of schedules run.
const SCHEDULES: u64 = 300;

fn order(id: &str, zone: u64, zone_use: ZoneUse, based_on: LogIndex) -> ZoneOrder {
    ZoneOrder {
        change_id: id.parse().expect("a valid name"),
        actor: "tester".parse().expect("a valid name"),
        received_unix_ms: 1,
        zone: format!("zone-{zone}").parse().expect("a valid name"),
        zone_use,
        based_on,
    }
}

fn evacuate(id: &str, zone: u64) -> ZoneOrder {
    order(id, zone, ZoneUse::Evacuated, LogIndex::default())
}

fn settings() -> ReplicaSettings {
    ReplicaSettings::default().with_copies(3).with_snapshot_bytes(2_000)
}

fn use_of(cluster: &FakeCluster, number: usize, zone: u64) -> ZoneUse {
    let name = format!("zone-{zone}").parse().expect("a valid name");
    cluster.driver(number).machines().evacuations.evacuated().zone_use(&name)
}

// All hosts lose power right after an evacuation was acknowledged, and any two of the five disks
// are lost. If the next leader does not know the evacuation, callers are sent to machines that are
// being taken away.
#[test]
fn an_acknowledged_evacuation_survives_the_loss_of_any_two_disks() {
    for first in 0..5 {
        for second in first..5 {
            let seed = 800 + first as u64 * 10 + second as u64;
            let mut cluster = FakeCluster::with_settings(5, seed, settings());
            cluster.ask_leader(&change("first", 0));
            let question = ReplicaQuestion::OrderZone(evacuate("order-1", 1));
            let answer = cluster.ask_leader_quickly(&question);
            assert!(matches!(answer, ReplicaAnswer::Zone(ZoneAnswer::Accepted { .. })));
            for number in 0..5 {
                match number == first || number == second {
                    true => cluster.wipe(number),
                    false => cluster.kill(number),
                }
            }
            (0..5).for_each(|number| cluster.start(number));
            let ReplicaAnswer::Zones(zones) =
                cluster.ask_leader_quickly(&ReplicaQuestion::EvacuatedZones)
            else {
                panic!("no answer to the question");
            };
            let names: Vec<&str> = zones.zones.iter().map(|zone| zone.as_str()).collect();
            assert_eq!(names, ["zone-1"], "without {first} and {second}");
        }
    }
}

// Hosts crash, are cut off, lose disks and race while several operators evacuate and restore zones.
// Every order may be repeated for seconds. No host may return to an earlier order, no read may miss
// an accepted one, and all replicas must end with the same zones. The invariants are checked after
// every step.
#[test]
fn accepted_orders_hold_under_any_schedule() {
    let (mut accepted, mut overtaken) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Gen::from_size_and_seed(120, 50_000 + seed);
        let steps = Vec::<ScheduleStep>::arbitrary(&mut random);
        let counts = run_schedule(seed, steps);
        accepted += counts.0;
        overtaken += counts.1;
    }
    assert!(accepted > SCHEDULES, "hardly any order is accepted: {accepted}");
    assert!(overtaken > SCHEDULES / 10, "hardly any order is overtaken: {overtaken}");
}

/// Returns how many orders were accepted, and how many were overtaken.
fn run_schedule(seed: u64, steps: Vec<ScheduleStep>) -> (u64, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let cluster = FakeCluster::on_unreliable_network(5, seed, settings());
    let mut run = ScheduleRun::of(cluster).with_disks_to_lose(2);
    let mut sent: BTreeMap<u64, ZoneOrder> = BTreeMap::new();
    for step in steps {
        run.take(step);
        let cluster = &mut run.cluster;
        let host = cluster.leader().unwrap_or_else(|| random.random_range(0..5));
        if !cluster.is_up(host) || !random.random_bool(0.6) {
            continue;
        }
        let repeats = random.random_bool(0.3);
        let earlier: Vec<ZoneOrder> = sent.values().cloned().collect();
        let question = match earlier.get(random.random_range(0..=earlier.len())) {
            Some(earlier) if repeats => earlier.clone(),
            _ => {
                let known = random.random_range(0..5);
                let known = if cluster.is_up(known) { known } else { host };
                let based_on = cluster.driver(known).machines().evacuations.evacuated().revision;
                let zone_use =
                    if random.random_bool(0.5) { ZoneUse::Evacuated } else { ZoneUse::InUse };
                let id = format!("order-{}", sent.len());
                order(&id, random.random_range(0..3), zone_use, based_on)
            }
        };
        let token = cluster.ask(host, ReplicaQuestion::OrderZone(question.clone()));
        sent.insert(token, question);
        if random.random_bool(0.2) {
            cluster.ask(host, ReplicaQuestion::EvacuatedZones);
        }
    }
    let count = |wanted: fn(&ZoneAnswer) -> bool| {
        let answers = sent.keys().filter_map(|token| run.cluster.answers.get(token));
        let zones = answers.filter_map(|answer| match answer {
            ReplicaAnswer::Zone(answer) => Some(answer),
            _ => None,
        });
        zones.filter(|answer| wanted(answer)).count() as u64
    };
    (
        count(|answer| matches!(answer, ZoneAnswer::Accepted { .. })),
        count(|answer| matches!(answer, ZoneAnswer::Overtaken { .. })),
    )
}

fn apply(machines: &mut ReplicaMachines, index: u64, order: ZoneOrder) -> ZoneAnswer {
    let command = LogCommand::Zone(Box::new(order));
    let entry = LogEntry { index: LogIndex(index), term: Term(1), time: LogTime(index), command };
    match machines.apply(&entry) {
        MachineOutcome::Zone(answer) => answer,
        outcome => panic!("unexpected outcome of an order: {outcome:?}"),
    }
}

// An operator's order is delayed on its way to the leader and repeated there for seconds. Meanwhile
// the operator sends it to another host and then restores the zone. The delayed repetition must not
// evacuate the zone again, because nobody has asked for that.
#[test]
fn an_order_that_comes_after_its_withdrawal_changes_nothing() {
    let mut machines = ReplicaMachines::default();
    let accepted = |revision| ZoneAnswer::Accepted { revision: LogIndex(revision) };
    assert_eq!(apply(&mut machines, 10, evacuate("second-try", 1)), accepted(10));
    let withdrawal = order("back", 1, ZoneUse::InUse, LogIndex(10));
    assert_eq!(apply(&mut machines, 11, withdrawal), accepted(11));
    let late = apply(&mut machines, 12, evacuate("first-try", 1));
    assert_eq!(late, ZoneAnswer::Overtaken { current: ZoneUse::InUse });
    assert!(machines.evacuations.evacuated().zones.is_empty());
    // A resend of an accepted order is recognised by its id, acknowledged, and changes nothing.
    assert_eq!(apply(&mut machines, 13, evacuate("second-try", 1)), accepted(10));
    assert!(machines.evacuations.evacuated().zones.is_empty());
    let other = order("second-try", 2, ZoneUse::Evacuated, LogIndex(11));
    assert_eq!(apply(&mut machines, 14, other), ZoneAnswer::ChangeIdReused);
    // An order for the use already in force is acknowledged, whatever it is based on.
    assert_eq!(apply(&mut machines, 15, order("x", 1, ZoneUse::InUse, LogIndex(0))), accepted(11));
    let audit = machines.configuration.audit(&Default::default());
    let lines: Vec<&str> = audit.iter().rev().map(|record| record.diff.as_str()).collect();
    assert_eq!(lines[0], "zone zone-1 evacuated");
    assert_eq!(lines[2], "zone zone-1 evacuated, not done: another order came before");
}

// Operators keep naming new zones. What replicas hold and what is sent with every lease must stay
// small. A zone that is no longer remembered must not be evacuated by a very old order.
#[test]
fn orders_for_ever_new_zones_stay_bounded() {
    let mut machines = ReplicaMachines::default();
    let mut index = 0;
    for zone in 0..200 {
        index += 2;
        let based_on = LogIndex(index - 1);
        let evacuated = order(&format!("e{zone}"), zone, ZoneUse::Evacuated, based_on);
        assert!(matches!(apply(&mut machines, index, evacuated), ZoneAnswer::Accepted { .. }));
        index += 1;
        let back = order(&format!("r{zone}"), zone, ZoneUse::InUse, LogIndex(index - 1));
        assert!(matches!(apply(&mut machines, index, back), ZoneAnswer::Accepted { .. }));
    }
    let late = apply(&mut machines, index + 1, evacuate("of-long-ago", 0));
    assert_eq!(late, ZoneAnswer::Overtaken { current: ZoneUse::InUse });
    for zone in 0..=EVACUATED_LIMIT as u64 {
        index += 1;
        let evacuated = order(&format!("m{zone}"), zone, ZoneUse::Evacuated, LogIndex(index));
        let answer = apply(&mut machines, index + 1, evacuated);
        let is_last = zone == EVACUATED_LIMIT as u64;
        assert_eq!(answer == ZoneAnswer::TooMany, is_last, "zone {zone}: {answer:?}");
    }
}

// A replica is updated to this release with a snapshot of the previous one, which has no orders. It
// must start as before, and its own snapshots must keep orders.
#[test]
fn a_snapshot_without_orders_can_still_be_read() {
    let position = SnapshotPosition {
        index: LogIndex(1),
        term: Term(1),
        time: LogTime(0),
        members: ReplicaMembership::default(),
    };
    let previous =
        (ConfigurationMachine::default(), LedgerMachine::default(), DepartureMachine::default());
    let state = postcard::to_stdvec(&previous).expect("it can be encoded");
    let snapshot = ReplicaSnapshot { position: position.clone(), state: state.into() };
    let mut machines = ReplicaMachines::restore(&snapshot).expect("it can be read");
    assert!(machines.evacuations.evacuated().zones.is_empty());
    apply(&mut machines, 2, evacuate("order", 1));
    let snapshot = machines.snapshot(position).expect("it can be encoded");
    let restored = ReplicaMachines::restore(&snapshot).expect("it can be read");
    assert_eq!(restored.evacuations, machines.evacuations);
}

// A leader is cut off while it still believes it leads. It must not acknowledge an order that it
// receives. The order that the other hosts' leader accepts must be in force on all hosts once the
// partition heals.
#[test]
fn a_leader_that_is_cut_off_acknowledges_no_order() {
    let mut cluster = FakeCluster::with_settings(5, 61, settings());
    cluster.ask_leader(&change("first", 0));
    let old = cluster.leader().expect("a leader");
    cluster.isolate(old);
    let lost = cluster.ask(old, ReplicaQuestion::OrderZone(evacuate("lost", 1)));
    cluster.run(Duration::from_secs(3));
    let is_accepted = |cluster: &FakeCluster, token| {
        matches!(
            cluster.answers.get(&token),
            Some(ReplicaAnswer::Zone(ZoneAnswer::Accepted { .. }))
        )
    };
    assert!(!is_accepted(&cluster, lost));
    let new = (0..5).find(|n| *n != old && cluster.driver(*n).node().is_leader()).expect("another");
    let taken = cluster.ask(new, ReplicaQuestion::OrderZone(evacuate("taken", 2)));
    cluster.run(Duration::from_secs(2));
    assert!(is_accepted(&cluster, taken));
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    for number in 0..5 {
        assert_eq!(use_of(&cluster, number, 1), ZoneUse::InUse, "host {number}");
        assert_eq!(use_of(&cluster, number, 2), ZoneUse::Evacuated, "host {number}");
    }
}
