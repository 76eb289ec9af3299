//! What the rows of a configuration cost an entry: each request, each view, each change.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, eyre};
use getopts::Options;
use pulley_core::process::{
    Announcement, CoordinatorOutput, Incarnation, PoolCoordinator, ProbeRate, ShareFraction,
    SlotCount, UpstreamPhase, UpstreamRecord, UpstreamSequence,
};
use pulley_core::request::{AttemptOutcome, PoolScheduler, RequestNumber, RequestTicket};
use pulley_core::version::{
    HostMatch, KindPlan, MethodMatch, RequestPriority, RouteTerms, WorkLength,
};
use pulley_core::{IndexedPlan, Moment, PolicyPlan, PoolName};
use pulleyd::process::{HostReadiness, ProcessClock, RunningView};
use pulleyd::request::SchedulerSet;

use crate::path::resident_bytes;

/// Pools that the rows belong to in turn.
const POOLS: usize = 8;
/// One row in so many matches any host name, the others all the same one.
const ANY_HOST_EVERY: usize = 10;
/// Upstreams of the pool that requests are placed in.
const UPSTREAMS: u16 = 100;
/// How often each decision is taken.
const CALLS: u64 = 20_000;
/// How often each step is done that a change or a round brings.
const CHANGES: u32 = 20;
/// Copies of a plan that its memory is read from.
const COPIES: usize = 20;

/// Prints a line for each number of rows.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "rows", "numbers of rows", "N,…");
    let matches = options.parse(arguments)?;
    let rows = matches.opt_str("rows").unwrap_or_else(|| "140,1400,14000".to_owned());
    for rows in rows.split(',') {
        let rows: usize = rows.parse().wrap_err_with(|| format!("--rows {rows}"))?;
        let plan = Arc::new(plan(rows)?);
        let bytes_a_row = shown_bytes(&plan)? / rows as u64;
        let (find_ns, miss_ns) = find_cost(&plan, rows);
        let (view_same_us, view_new_us, show_us) = view_cost(&plan)?;
        let (place_ns, round_us, coordinator_ns) = pool_cost(&plan)?;
        println!(
            "measure=plan rows={rows} find_ns={find_ns} miss_ns={miss_ns} place_ns={place_ns} \
             connections_ns={} view_same_us={view_same_us:.1} view_new_us={view_new_us:.1} \
             show_us={show_us:.1} round_us={round_us:.1} coordinator_tick_ns={coordinator_ns} \
             coordinator_view_us={:.1} bytes_a_row={bytes_a_row}",
            connections_cost(&plan)?,
            coordinator_view_cost(&plan)?,
        );
    }
    Ok(())
}

/// The plan as a host shows it to its traffic side after a change.
fn shown(plan: &Arc<PolicyPlan>) -> Arc<IndexedPlan> {
    Arc::new(IndexedPlan::new(Arc::clone(plan)))
}

/// Memory that the shown plan takes besides the stored one.
fn shown_bytes(plan: &Arc<PolicyPlan>) -> Result<u64> {
    let before = resident_bytes()?;
    let copies: Vec<_> = (0..COPIES).map(|_| shown(plan)).collect();
    let after = resident_bytes()?;
    drop(copies);
    Ok(after.saturating_sub(before) / COPIES as u64)
}

/// The time to find a row, and to find that there is none.
fn find_cost(plan: &Arc<PolicyPlan>, rows: usize) -> (u128, u128) {
    let plan = shown(plan);
    let hits: Vec<String> = (0..CALLS as usize).map(|n| path_of(n * 7_919 % rows)).collect();
    let begin = Instant::now();
    for (draw, path) in (0_u32..).zip(&hits) {
        black_box(plan.find("shop.example:8080", "GET", black_box(path), draw));
    }
    let hit = begin.elapsed().as_nanos() / u128::from(CALLS);
    let misses: Vec<String> = (0..CALLS).map(|n| format!("/none{n}/x")).collect();
    let begin = Instant::now();
    for (draw, path) in (0_u32..).zip(&misses) {
        black_box(plan.find("shop.example:8080", "GET", black_box(path), draw));
    }
    (hit, begin.elapsed().as_nanos() / u128::from(CALLS))
}

/// The time that the most connections of an upstream are looked up in.
fn connections_cost(plan: &Arc<PolicyPlan>) -> Result<u128> {
    let (plan, pool) = (shown(plan), pool(0)?);
    let begin = Instant::now();
    for _ in 0..CALLS {
        black_box(plan.connections(black_box(&pool)));
    }
    Ok(begin.elapsed().as_nanos() / u128::from(CALLS))
}

/// The time that schedulers take over a view in: with the same plan, with a new one, and the time
/// that the new plan is made ready to be shown in.
fn view_cost(plan: &Arc<PolicyPlan>) -> Result<(f64, f64, f64)> {
    let clock = ProcessClock::start();
    let schedulers = SchedulerSet::new("host0000".parse()?, "zone0".parse()?, clock, 1);
    let (mut show, mut fresh, mut same) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    for _ in 0..CHANGES {
        let begin = Instant::now();
        let plan = shown(plan);
        show += begin.elapsed();
        let ready = HostReadiness::Ready;
        let view = RunningView { plan, readiness: ready, ..RunningView::default() };
        let begin = Instant::now();
        schedulers.apply_view(&view);
        fresh += begin.elapsed();
        let begin = Instant::now();
        schedulers.apply_view(&view);
        same += begin.elapsed();
    }
    Ok((mean_us(same), mean_us(fresh), mean_us(show)))
}

/// The time of a request at a pool's scheduler, of a round of counts at one entry, and of a
/// coordinator's look at what is due.
fn pool_cost(plan: &Arc<PolicyPlan>) -> Result<(u128, f64, u128)> {
    let records = records()?;
    let mut scheduler = PoolScheduler::new("h1".parse()?, "a".parse()?, pool(0)?, 7);
    scheduler.apply_plan(Moment::ZERO, shown(plan));
    scheduler.apply_upstreams(Moment::ZERO, &records);
    let place_ns = place_cost(&mut scheduler, plan.kinds.len());
    let mut coordinator = coordinator(plan)?;
    let host = "h1".parse()?;
    let mut now = Moment::from_micros(CALLS * 10);
    let mut round = Duration::ZERO;
    for _ in 0..CHANGES {
        now = now + Duration::from_secs(1);
        let begin = Instant::now();
        for output in coordinator.tick(now) {
            if let CoordinatorOutput::Publish { sum, .. } = output {
                black_box(scheduler.receive_sum(now, &sum));
            }
        }
        for wait in [1, 500] {
            let due = now + Duration::from_millis(wait);
            for (_, delta) in scheduler.take_reports(due) {
                coordinator.receive(due, &host, &delta);
            }
        }
        round += begin.elapsed();
    }
    let begin = Instant::now();
    for _ in 0..CALLS {
        black_box(coordinator.tick(now));
    }
    let tick_ns = begin.elapsed().as_nanos() / u128::from(CALLS);
    Ok((place_ns, mean_us(round), tick_ns))
}

/// The time of a request from its arrival to its end, with several running.
fn place_cost(scheduler: &mut PoolScheduler, rows: usize) -> u128 {
    const RUNNING: u64 = 50;
    let begin = Instant::now();
    for number in 0..CALLS {
        let now = Moment::from_micros(number * 10);
        let place = usize::try_from(number).unwrap_or(0) * 7_919 % rows;
        let ticket = RequestTicket {
            number: RequestNumber(number),
            kind: place - place % POOLS,
            deadline: now + Duration::from_secs(1),
            target: None,
            attempt: 0,
            avoid: Vec::new(),
        };
        black_box(scheduler.arrive(now, &ticket));
        if let Some(oldest) = number.checked_sub(RUNNING) {
            let outcome = AttemptOutcome::Answered;
            black_box(scheduler.finish(now, RequestNumber(oldest), outcome, None));
        }
    }
    begin.elapsed().as_nanos() / u128::from(CALLS)
}

/// The time that a coordinator takes over a view with the same plan in.
fn coordinator_view_cost(plan: &Arc<PolicyPlan>) -> Result<f64> {
    let (plan, mut coordinator) = (shown(plan), coordinator(plan)?);
    let begin = Instant::now();
    for _ in 0..CHANGES {
        coordinator.apply_plan(Moment::ZERO, Arc::clone(&plan));
    }
    Ok(mean_us(begin.elapsed()))
}

fn coordinator(plan: &Arc<PolicyPlan>) -> Result<PoolCoordinator> {
    let mut coordinator = PoolCoordinator::new(pool(0)?, "a".parse()?, "h0".parse()?, Moment::ZERO);
    coordinator.apply_plan(Moment::ZERO, shown(plan));
    coordinator.apply_upstreams(Moment::ZERO, &records()?);
    Ok(coordinator)
}

fn mean_us(total: Duration) -> f64 {
    total.as_secs_f64() * 1e6 / f64::from(CHANGES)
}

fn pool(place: usize) -> Result<PoolName> {
    format!("pool{place}").parse().map_err(|fault| eyre!("pool {place}: {fault}"))
}

fn path_of(place: usize) -> String {
    format!("/section{place}/page")
}

fn plan(rows: usize) -> Result<PolicyPlan> {
    let kinds: Result<Vec<KindPlan>> = (0..rows).map(kind).collect();
    Ok(PolicyPlan { kinds: kinds?, ..PolicyPlan::default() })
}

fn kind(place: usize) -> Result<KindPlan> {
    let host = match place % ANY_HOST_EVERY {
        0 => HostMatch::Any,
        _ => HostMatch::Only("shop.example".into()),
    };
    Ok(KindPlan {
        pool: pool(place % POOLS)?,
        service: format!("service{}", place % POOLS).parse()?,
        kind: format!("kind{place}").parse()?,
        method: MethodMatch::Any,
        path_prefix: format!("/section{place}/").into(),
        priority: RequestPriority(1),
        share: ShareFraction::WHOLE,
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(1),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(1),
        route: RouteTerms { host, ..RouteTerms::default() },
    })
}

fn records() -> Result<Vec<UpstreamRecord>> {
    let record = |index: u16| -> Result<UpstreamRecord> {
        let announcement = Announcement {
            id: format!("upstream-{index}").parse()?,
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            zone: "a".parse()?,
            pool: pool(0)?,
            slots: SlotCount(2),
            connections: 500,
            incarnation: Incarnation(1),
            sequence: UpstreamSequence(1),
            phase: UpstreamPhase::Ready,
        };
        Ok(UpstreamRecord { announcement, takes_work: true })
    };
    (0..UPSTREAMS).map(record).collect()
}
