//! Changes and claims a second, and how long one takes.

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

/// Bytes of a sheet with some 1,200 rows.
pub(crate) const SHEET_BYTES: usize = 100_000;

/// Bytes of a sheet as it is today, with some 30 rows.
const SMALL_SHEET_BYTES: usize = 3_000;

const REPLICAS: usize = 3;

/// Measures changes a second, one at a time and several under way.
pub(crate) fn measure_changes(folder: &Path) -> Result<()> {
    for bytes in [SHEET_BYTES, SMALL_SHEET_BYTES] {
        for (under_way, count) in [(1, 500), (16, 2_000), (64, 2_000)] {
            let stream = QuestionStream { under_way, count };
            let figures = stream.run(folder, |number| change(number, bytes), is_accepted)?;
            figures.print(&format!("changes sheet_bytes={bytes}"), under_way);
        }
    }
    Ok(())
}

/// Measures claims a second, by how many are under way.
pub(crate) fn measure_claims(folder: &Path) -> Result<()> {
    for (under_way, count) in [(1, 1_000), (16, 10_000), (256, 100_000), (2_048, 200_000)] {
        let stream = QuestionStream { under_way, count };
        let figures = stream.run(folder, claim, is_granted)?;
        figures.print("claims", under_way);
    }
    Ok(())
}

/// The change that makes version `number + 1` of version `number`.
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

/// A change of one row in a sheet of some 1,200.
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

/// A row of a sheet.
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

/// Questions of which a fixed number is always under way.
struct QuestionStream {
    under_way: u64,
    count: u64,
}

struct StreamFigures {
    per_second: f64,
    latency: Histogram<u64>,
}

impl QuestionStream {
    fn run(
        &self,
        folder: &Path,
        question: impl Fn(u64) -> Result<ReplicaQuestion>,
        is_good: impl Fn(&ReplicaAnswer) -> bool,
    ) -> Result<StreamFigures> {
        let folder = tempfile::tempdir_in(folder)?;
        let ledger = LedgerLimits { capacity: 1_000_000, ..LedgerLimits::default() };
        let settings = ReplicaSettings::default().with_ledger(ledger);
        let cluster = ReplicaCluster::start(REPLICAS, folder.path(), &settings)?;
        let mut latency = Histogram::<u64>::new(3)?;
        let mut asked = BTreeMap::new();
        let mut next = 0;
        let begin = Instant::now();
        for _ in 0..self.count {
            while next < self.count && asked.len() < self.under_way as usize {
                asked.insert(next, Instant::now());
                cluster.ask(next, question(next)?);
                next += 1;
            }
            let (token, answer) = cluster.answer()?;
            if !is_good(&answer) {
                bail!("question {token} was answered with {answer:?}");
            }
            if let Some(at) = asked.remove(&token) {
                latency.record(u64::try_from(at.elapsed().as_micros())?)?;
            }
        }
        let per_second = self.count as f64 / begin.elapsed().as_secs_f64();
        Ok(StreamFigures { per_second, latency })
    }
}

impl StreamFigures {
    fn print(&self, what: &str, under_way: u64) {
        println!(
            "part={what} replicas={REPLICAS} under_way={under_way} count={} per_second={:.0} \
             p50_us={} p99_us={} max_us={}",
            self.latency.len(),
            self.per_second,
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.max(),
        );
    }
}
