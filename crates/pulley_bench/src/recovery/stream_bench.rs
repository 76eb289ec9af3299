//! Measures the throughput and the latency of changes and claims.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use hdrhistogram::Histogram;
use pulley_core::ConfigVersion;
use pulley_core::process::{ProbeRate, ShareFraction, SlotCount};
use pulley_core::version::{
    ChangeAnswer, ChangeRequest, ClaimAnswer, ClaimantId, KindPlan, LedgerLimits, MethodMatch,
    PolicyPlan, ReplicaAnswer, ReplicaQuestion, ReplicaSettings, RequestPriority, RouteTerms,
    WorkLength,
};

use super::replica_cluster::ReplicaCluster;

/// The bytes of a sheet with about 1,200 rows.
pub(crate) const SHEET_BYTES: usize = 100_000;

/// The bytes of a sheet of today's usual size, about 30 rows.
const SMALL_SHEET_BYTES: usize = 3_000;

const REPLICAS: usize = 3;

/// Measures changes a second, for several numbers of changes in flight.
pub(crate) fn measure_changes(folder: &Path) -> Result<()> {
    for bytes in [SHEET_BYTES, SMALL_SHEET_BYTES] {
        for (in_flight, count) in [(1, 500), (16, 2_000), (64, 2_000)] {
            let stream = QuestionStream { in_flight, count };
            let result = stream.run(folder, |number| change(number, bytes), is_accepted)?;
            result.print(&format!("changes sheet_bytes={bytes}"), in_flight);
        }
    }
    Ok(())
}

/// Measures claims a second, for several numbers of claims in flight.
pub(crate) fn measure_claims(folder: &Path) -> Result<()> {
    for (in_flight, count) in [(1, 1_000), (16, 10_000), (256, 100_000), (2_048, 200_000)] {
        let stream = QuestionStream { in_flight, count };
        let result = stream.run(folder, claim, is_granted)?;
        result.print("claims", in_flight);
    }
    Ok(())
}

/// Returns the change that makes version `number + 1` from version `number`.
pub(crate) fn change(number: u64, bytes: usize) -> Result<ReplicaQuestion> {
    Ok(ReplicaQuestion::Apply(ChangeRequest {
        change_id: format!("change-{number}").parse()?,
        actor: "planner".parse()?,
        expect: ConfigVersion(number),
        assigned_version: None,
        received_unix_ms: 0,
        sheet: "x".repeat(bytes),
        plan: PolicyPlan::default(),
    }))
}

/// Returns a change of one row in a sheet of 1,200 rows.
pub(crate) fn row_change(number: u64) -> Result<ReplicaQuestion> {
    const ROWS: u64 = 1_200;
    let mut kinds = Vec::new();
    let mut sheet = String::new();
    for row in 0..ROWS {
        let share = if row == number % ROWS { 1 + u16::try_from(number % 9)? } else { 0 };
        let plan = row_plan(row, share)?;
        sheet.push_str(&format!(
            "pool-{row},service-{row},kind-{row},POST,/path/of/kind/{row},3,0.{share:04},1,250,no,short,2\r\n"
        ));
        kinds.push(plan);
    }
    Ok(ReplicaQuestion::Apply(ChangeRequest {
        change_id: format!("change-{number}").parse()?,
        actor: "planner".parse()?,
        expect: ConfigVersion(number),
        assigned_version: None,
        received_unix_ms: 0,
        sheet,
        plan: PolicyPlan { kinds, ..PolicyPlan::default() },
    }))
}

/// Returns one row of a plan, with the given share.
pub(crate) fn row_plan(row: u64, share: u16) -> Result<KindPlan> {
    Ok(KindPlan {
        pool: format!("pool-{row}").parse()?,
        service: format!("service-{row}").parse()?,
        kind: format!("kind-{row}").parse()?,
        method: MethodMatch::Only("POST".into()),
        path_prefix: format!("/path/of/kind/{row}").into(),
        priority: RequestPriority(3),
        share: ShareFraction::from_basis_points(share).unwrap_or_default(),
        reserved_slots: SlotCount(1),
        deadline: Duration::from_millis(250),
        idempotent: false,
        length: WorkLength::Short,
        probe_budget: ProbeRate(2_000),
        route: RouteTerms::default(),
    })
}

fn claim(number: u64) -> Result<ReplicaQuestion> {
    let claimant = ClaimantId(number);
    Ok(ReplicaQuestion::Claim { key: format!("key-{number}").into(), digest: [1; 32], claimant })
}

fn is_accepted(answer: &ReplicaAnswer) -> bool {
    matches!(answer, ReplicaAnswer::Change(ChangeAnswer::Accepted { .. }))
}

fn is_granted(answer: &ReplicaAnswer) -> bool {
    matches!(answer, ReplicaAnswer::Claim(ClaimAnswer::Granted(_)))
}

/// A stream of questions with a fixed number in flight.
struct QuestionStream {
    in_flight: u64,
    count: u64,
}

struct StreamResult {
    per_second: f64,
    latency: Histogram<u64>,
}

impl QuestionStream {
    fn run(
        &self,
        folder: &Path,
        question: impl Fn(u64) -> Result<ReplicaQuestion>,
        is_expected: impl Fn(&ReplicaAnswer) -> bool,
    ) -> Result<StreamResult> {
        let folder = tempfile::tempdir_in(folder)?;
        let ledger = LedgerLimits { capacity: 1_000_000, ..LedgerLimits::default() };
        let settings = ReplicaSettings::default().with_ledger(ledger);
        let cluster = ReplicaCluster::start(REPLICAS, folder.path(), &settings)?;
        let mut latency = Histogram::<u64>::new(3)?;
        let mut pending = BTreeMap::new();
        let mut next = 0;
        let started = Instant::now();
        for _ in 0..self.count {
            while next < self.count && pending.len() < self.in_flight as usize {
                pending.insert(next, Instant::now());
                cluster.ask(next, question(next)?);
                next += 1;
            }
            let (token, answer) = cluster.next_answer()?;
            if !is_expected(&answer) {
                bail!("question {token} was answered with {answer:?}");
            }
            if let Some(asked_at) = pending.remove(&token) {
                latency.record(u64::try_from(asked_at.elapsed().as_micros())?)?;
            }
        }
        let per_second = self.count as f64 / started.elapsed().as_secs_f64();
        Ok(StreamResult { per_second, latency })
    }
}

impl StreamResult {
    fn print(&self, what: &str, in_flight: u64) {
        println!(
            "part={what} replicas={REPLICAS} under_way={in_flight} count={} per_second={:.0} \
             p50_us={} p99_us={} max_us={}",
            self.latency.len(),
            self.per_second,
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.max(),
        );
    }
}
