//! The rate to a cold upstream while two halves of the entries cannot see each other.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{EntryZones, StartRate, UpstreamPhase};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeReading, RequestNumber, RequestTicket,
    SchedulerEffect,
};
use pulley_core::version::WarmUpTerms;
use pulley_core::{HostId, Moment};

use crate::entry_fleet::{COLD_SPAN, MILLISECOND, TARGET, ZONES, plan, record};

/// The rate that the upstream bears, in requests a second, and what is allowed within one second.
const RATE: u32 = 60;
const ALLOWED: usize = 98;
const HALF: usize = 12;

fn host(index: usize) -> HostId {
    format!("host{index}").parse().unwrap()
}

/// Returns the entries that a half sees, all of the zone of the upstream.
fn half(first: usize) -> Arc<EntryZones> {
    let named = (first..first + HALF).map(|index| (ZONES[0].parse().unwrap(), host(index)));
    Arc::new(named.collect::<EntryZones>().with_lost(HALF))
}

fn ticket(number: u64, now: Moment) -> RequestTicket {
    RequestTicket {
        number: RequestNumber(number),
        kind: 0,
        deadline: now + Duration::from_secs(4),
        target: Some(now + TARGET),
        attempt: 0,
        avoid: Vec::new(),
    }
}

// Both halves assign a cold upstream to entries of their own, and each sends it the whole rate.
#[test]
fn two_halves_do_not_add_up_to_twice_the_rate_of_a_cold_upstream() {
    let terms = WarmUpTerms { span: COLD_SPAN, rate: StartRate(RATE * 1_000) };
    let cold = record(0, 2, UpstreamPhase::Warming);
    let halves = [half(0), half(HALF)];
    let entries = (0..2 * HALF).map(|index| {
        let (zone, pool) = (ZONES[0].parse().unwrap(), "cover".parse().unwrap());
        let mut scheduler = PoolScheduler::new(host(index), zone, pool, index as u64);
        scheduler.set_entries(Moment::ZERO, &halves[index / HALF]);
        scheduler.apply_plan(Moment::ZERO, plan(Some(terms)));
        scheduler.apply_upstreams(Moment::ZERO, std::slice::from_ref(&cold));
        scheduler
    });
    let mut entries: Vec<PoolScheduler> = entries.collect();
    let idle = LoadReport { in_flight: Some(0), waiting: Some(0), ..LoadReport::default() };
    let report = LoadReport { slowdown: Some(1.0), cold_left: Some(COLD_SPAN), ..idle };
    let reading = ProbeReading { upstream: cold.announcement.id.clone(), report };
    let (mut number, mut sent) = (0, 0);
    for millis in 0..1_000 {
        let now = Moment::ZERO + MILLISECOND * millis;
        for entry in &mut entries {
            number += 1;
            let ticket = ticket(number, now);
            let effects = entry.arrive_probed(now, &ticket, std::slice::from_ref(&reading));
            if matches!(effects.as_slice(), [SchedulerEffect::Start { .. }]) {
                sent += 1;
                entry.finish(now, ticket.number, AttemptOutcome::Answered, Some(report));
            }
        }
    }
    assert!(sent <= ALLOWED, "{sent} requests within one second");
    assert!(sent >= RATE as usize / 2, "{sent} requests leave the cold upstream idle");
}
