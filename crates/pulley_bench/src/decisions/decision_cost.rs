//! Measures the processor time of scheduling and coordination in real time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use pulley_core::process::{
    Announcement, CountReport, Incarnation, PoolCoordinator, ProbeRate, ShareFraction, SlotCount,
    UpstreamPhase, UpstreamRecord, UpstreamSequence, ZoneName,
};
use pulley_core::request::{AttemptOutcome, PoolScheduler, RequestNumber, RequestTicket};
use pulley_core::version::{KindPlan, MethodMatch, RequestPriority, RouteTerms, WorkLength};
use pulley_core::{HostId, Moment, PolicyPlan};

/// Calls scheduled for one measurement.
const CALLS: u64 = 200_000;

/// Measures pools of 15 and 200 upstreams and prints one line for each.
pub(crate) fn run() -> Result<()> {
    for upstreams in [15_u16, 200] {
        let call_ns = call_cost(upstreams)?;
        let (receive_ns, publish_us) = coordinator_cost(upstreams)?;
        println!(
            "measure=cost upstreams={upstreams} call_ns={call_ns} receive_delta_ns={receive_ns} \
             publish_round_us={publish_us}"
        );
    }
    Ok(())
}

fn call_cost(upstreams: u16) -> Result<u128> {
    let zone: ZoneName = "a".parse()?;
    let mut scheduler = PoolScheduler::new("h1".parse()?, zone, "cover".parse()?, 7);
    scheduler.apply_plan(Moment::ZERO, Arc::new(plan()?.into()));
    scheduler.apply_upstreams(Moment::ZERO, &records(upstreams)?);
    let outstanding = u64::from(upstreams);
    let begin = Instant::now();
    for number in 0..CALLS {
        let now = Moment::from_micros(number * 10);
        let ticket = RequestTicket {
            number: RequestNumber(number),
            kind: 0,
            deadline: now + Duration::from_secs(1),
            target: None,
            attempt: 0,
            avoid: Vec::new(),
        };
        let _effects = scheduler.arrive(now, &ticket);
        if let Some(oldest) = number.checked_sub(outstanding) {
            let outcome = AttemptOutcome::Answered;
            let _effects = scheduler.finish(now, RequestNumber(oldest), outcome, None);
        }
    }
    Ok(begin.elapsed().as_nanos() / u128::from(CALLS))
}

fn coordinator_cost(upstreams: u16) -> Result<(u128, u128)> {
    const ENTRIES: u32 = 25;
    const ROUNDS: u32 = 400;
    let zone: ZoneName = "a".parse()?;
    let records = records(upstreams)?;
    let mut coordinator =
        PoolCoordinator::new("cover".parse()?, zone.clone(), "h0".parse()?, Moment::ZERO)
            .with_bytes_per_second(u32::MAX);
    coordinator.apply_plan(Moment::ZERO, Arc::new(plan()?.into()));
    coordinator.apply_upstreams(Moment::ZERO, &records);
    let mut reports: Vec<(HostId, CountReport)> = Vec::new();
    for entry in 0..ENTRIES {
        let host: HostId = format!("h{entry}").parse()?;
        let mut scheduler =
            PoolScheduler::new(host.clone(), zone.clone(), "cover".parse()?, u64::from(entry));
        scheduler.apply_upstreams(Moment::ZERO, &records);
        let mut taken = scheduler.take_reports(Moment::ZERO);
        reports.push((host, taken.remove(0).1));
    }
    let (mut receiving, mut publishing) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let now = Moment::from_micros(u64::from(round) * 100_000);
        let begin = Instant::now();
        for (host, report) in &mut reports {
            coordinator.receive(now, host, report);
        }
        receiving += begin.elapsed();
        let begin = Instant::now();
        let _outputs = coordinator.tick(now);
        publishing += begin.elapsed();
    }
    let messages = u128::from(ROUNDS * ENTRIES);
    Ok((receiving.as_nanos() / messages, publishing.as_micros() / u128::from(ROUNDS)))
}

fn plan() -> Result<PolicyPlan> {
    let kind = KindPlan {
        pool: "cover".parse()?,
        service: "cover".parse()?,
        kind: "lookup".parse()?,
        method: MethodMatch::Any,
        path_prefix: "/".into(),
        priority: RequestPriority(0),
        share: ShareFraction::WHOLE,
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(1),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(1_000),
        route: RouteTerms::default(),
    };
    Ok(PolicyPlan { kinds: vec![kind], ..PolicyPlan::default() })
}

fn records(upstreams: u16) -> Result<Vec<UpstreamRecord>> {
    let mut records = Vec::new();
    for index in 0..upstreams {
        let announcement = Announcement {
            id: format!("upstream-{index}").parse()?,
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            zone: "a".parse()?,
            pool: "cover".parse()?,
            slots: SlotCount(2),
            connections: 500,
            incarnation: Incarnation(1),
            sequence: UpstreamSequence(1),
            phase: UpstreamPhase::Ready,
        };
        records.push(UpstreamRecord { announcement, takes_work: true });
    }
    Ok(records)
}
