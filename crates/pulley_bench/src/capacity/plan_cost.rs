//! Measures how the number of rows in a configuration affects an entry: the cost of each request,
//! view and change.

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

/// The number of pools. Rows are assigned to them round-robin.
const POOLS: usize = 8;
/// One row in this many matches any host name. All other rows match the same single name.
const ANY_HOST_EVERY: usize = 10;
/// The number of upstreams in the pool that receives the requests.
const UPSTREAMS: u16 = 100;
/// How often each decision is repeated.
const DECISION_REPEATS: u64 = 20_000;
/// How often each step of a change or of a counting round is repeated.
const STEP_REPEATS: u32 = 20;
/// The number of copies of a plan over which its memory is averaged.
const COPIES: usize = 20;

/// Prints one line for each number of rows.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "rows", "numbers of rows", "N,…");
    let matches = options.parse(arguments)?;
    let rows = matches.opt_str("rows").unwrap_or_else(|| "140,1400,14000".to_owned());
    for rows in rows.split(',') {
        let rows: usize = rows.parse().wrap_err_with(|| format!("--rows {rows}"))?;
        let plan = Arc::new(plan(rows)?);
        let bytes_a_row = indexed_plan_bytes(&plan)? / rows as u64;
        let (find_ns, miss_ns) = lookup_cost(&plan, rows);
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

/// Builds the indexed plan that a host hands to its traffic threads after a change.
fn index_plan(plan: &Arc<PolicyPlan>) -> Arc<IndexedPlan> {
    Arc::new(IndexedPlan::new(Arc::clone(plan)))
}

/// Returns the bytes of memory that the indexed plan takes in addition to the stored one.
fn indexed_plan_bytes(plan: &Arc<PolicyPlan>) -> Result<u64> {
    let before = resident_bytes()?;
    let copies: Vec<_> = (0..COPIES).map(|_| index_plan(plan)).collect();
    let after = resident_bytes()?;
    drop(copies);
    Ok(after.saturating_sub(before) / COPIES as u64)
}

/// Returns the nanoseconds of a lookup that finds a row and of one that finds none.
fn lookup_cost(plan: &Arc<PolicyPlan>, rows: usize) -> (u128, u128) {
    let plan = index_plan(plan);
    let hits: Vec<String> =
        (0..DECISION_REPEATS as usize).map(|n| request_path(n * 7_919 % rows)).collect();
    let started = Instant::now();
    for (draw, path) in (0_u32..).zip(&hits) {
        black_box(plan.find("shop.example:8080", "GET", black_box(path), draw));
    }
    let hit_ns = started.elapsed().as_nanos() / u128::from(DECISION_REPEATS);
    let misses: Vec<String> = (0..DECISION_REPEATS).map(|n| format!("/none{n}/x")).collect();
    let started = Instant::now();
    for (draw, path) in (0_u32..).zip(&misses) {
        black_box(plan.find("shop.example:8080", "GET", black_box(path), draw));
    }
    (hit_ns, started.elapsed().as_nanos() / u128::from(DECISION_REPEATS))
}

/// Returns the nanoseconds to look up the connection limit of a pool's upstreams.
fn connections_cost(plan: &Arc<PolicyPlan>) -> Result<u128> {
    let (plan, pool) = (index_plan(plan), pool(0)?);
    let started = Instant::now();
    for _ in 0..DECISION_REPEATS {
        black_box(plan.connections(black_box(&pool)));
    }
    Ok(started.elapsed().as_nanos() / u128::from(DECISION_REPEATS))
}

/// Returns the microseconds to apply a view with an unchanged plan to the schedulers, to apply one
/// with a new plan, and to index the new plan.
fn view_cost(plan: &Arc<PolicyPlan>) -> Result<(f64, f64, f64)> {
    let clock = ProcessClock::start();
    let schedulers = SchedulerSet::new("host0000".parse()?, "zone0".parse()?, clock, 1);
    let (mut index_time, mut new_plan_time, mut same_plan_time) =
        (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    for _ in 0..STEP_REPEATS {
        let started = Instant::now();
        let plan = index_plan(plan);
        index_time += started.elapsed();
        let ready = HostReadiness::Ready;
        let view = RunningView { plan, readiness: ready, ..RunningView::default() };
        let started = Instant::now();
        schedulers.apply_view(&view);
        new_plan_time += started.elapsed();
        let started = Instant::now();
        schedulers.apply_view(&view);
        same_plan_time += started.elapsed();
    }
    Ok((mean_us(same_plan_time), mean_us(new_plan_time), mean_us(index_time)))
}

/// Returns the nanoseconds of a request at a pool's scheduler, the microseconds of a counting round
/// at one entry, and the nanoseconds of a coordinator's tick that has nothing to do.
fn pool_cost(plan: &Arc<PolicyPlan>) -> Result<(u128, f64, u128)> {
    let upstream_records = upstream_records()?;
    let mut scheduler = PoolScheduler::new("h1".parse()?, "a".parse()?, pool(0)?, 7);
    scheduler.apply_plan(Moment::ZERO, index_plan(plan));
    scheduler.apply_upstreams(Moment::ZERO, &upstream_records);
    let place_ns = place_cost(&mut scheduler, plan.kinds.len());
    let mut coordinator = coordinator(plan)?;
    let host = "h1".parse()?;
    let mut now = Moment::from_micros(DECISION_REPEATS * 10);
    let mut round_time = Duration::ZERO;
    for _ in 0..STEP_REPEATS {
        now = now + Duration::from_secs(1);
        let started = Instant::now();
        for output in coordinator.tick(now) {
            if let CoordinatorOutput::Publish { sum, .. } = output {
                black_box(scheduler.receive_sum(now, &sum));
            }
        }
        for offset_ms in [1, 500] {
            let due = now + Duration::from_millis(offset_ms);
            for (_, report) in scheduler.take_reports(due) {
                coordinator.receive(due, &host, &report);
            }
        }
        round_time += started.elapsed();
    }
    let started = Instant::now();
    for _ in 0..DECISION_REPEATS {
        black_box(coordinator.tick(now));
    }
    let tick_ns = started.elapsed().as_nanos() / u128::from(DECISION_REPEATS);
    Ok((place_ns, mean_us(round_time), tick_ns))
}

/// Returns the nanoseconds of a request from its arrival to its end, while others are running.
fn place_cost(scheduler: &mut PoolScheduler, rows: usize) -> u128 {
    const RUNNING: u64 = 50;
    let started = Instant::now();
    for number in 0..DECISION_REPEATS {
        let now = Moment::from_micros(number * 10);
        let index = usize::try_from(number).unwrap_or(0) * 7_919 % rows;
        let ticket = RequestTicket {
            number: RequestNumber(number),
            kind: index - index % POOLS,
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
    started.elapsed().as_nanos() / u128::from(DECISION_REPEATS)
}

/// Returns the microseconds that a coordinator takes to apply an unchanged plan.
fn coordinator_view_cost(plan: &Arc<PolicyPlan>) -> Result<f64> {
    let (plan, mut coordinator) = (index_plan(plan), coordinator(plan)?);
    let started = Instant::now();
    for _ in 0..STEP_REPEATS {
        coordinator.apply_plan(Moment::ZERO, Arc::clone(&plan));
    }
    Ok(mean_us(started.elapsed()))
}

fn coordinator(plan: &Arc<PolicyPlan>) -> Result<PoolCoordinator> {
    let mut coordinator = PoolCoordinator::new(pool(0)?, "a".parse()?, "h0".parse()?, Moment::ZERO);
    coordinator.apply_plan(Moment::ZERO, index_plan(plan));
    coordinator.apply_upstreams(Moment::ZERO, &upstream_records()?);
    Ok(coordinator)
}

fn mean_us(total: Duration) -> f64 {
    total.as_secs_f64() * 1e6 / f64::from(STEP_REPEATS)
}

fn pool(index: usize) -> Result<PoolName> {
    format!("pool{index}").parse().map_err(|fault| eyre!("pool {index}: {fault}"))
}

fn request_path(index: usize) -> String {
    format!("/section{index}/page")
}

fn plan(rows: usize) -> Result<PolicyPlan> {
    let kinds: Result<Vec<KindPlan>> = (0..rows).map(kind).collect();
    Ok(PolicyPlan { kinds: kinds?, ..PolicyPlan::default() })
}

fn kind(index: usize) -> Result<KindPlan> {
    let host = match index % ANY_HOST_EVERY {
        0 => HostMatch::Any,
        _ => HostMatch::Only("shop.example".into()),
    };
    Ok(KindPlan {
        pool: pool(index % POOLS)?,
        service: format!("service{}", index % POOLS).parse()?,
        kind: format!("kind{index}").parse()?,
        method: MethodMatch::Any,
        path_prefix: format!("/section{index}/").into(),
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

fn upstream_records() -> Result<Vec<UpstreamRecord>> {
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
