//! Measures the size of the state machines in memory and in a snapshot.

use std::time::Instant;

use super::stream_bench::row_plan;
use pulley_core::version::{
    ChangeRequest, ClaimantId, ConfigVersion, KeyDigest, LedgerCommand, LedgerLimits, LogIndex,
    LogTime, PolicyPlan, ReplicaMachines, RequestDigest, SnapshotPosition, StoredChange,
};

/// The number of changes in two years, at 2,100 changes a day.
const TWO_YEARS: u64 = 2 * 365 * 2_100;

const PAGE_BYTES: u64 = 4_096;

/// Measures the memory of claims and of changes, at several counts.
pub(crate) fn measure_memory() {
    // Earlier state machines stay allocated, so that later ones cannot reuse their memory.
    let mut retained = Vec::new();
    for claims in [100_000, 200_000, 400_000] {
        retained.push(measure_claims(claims));
    }
    for changes in [10_000, 200_000, TWO_YEARS] {
        retained.extend(measure_changes(changes));
    }
}

fn measure_claims(count: u64) -> ReplicaMachines {
    let before = resident_bytes();
    let mut machines = ReplicaMachines::default();
    let limits = LedgerLimits { capacity: u32::MAX, ..LedgerLimits::default() };
    for number in 0..count {
        let key = KeyDigest::of(&format!("key-{number}"));
        let request = RequestDigest::of(&[1; 32]);
        let claimant = ClaimantId(number);
        let command = LedgerCommand::Claim { key, request, claimant, limits };
        machines.ledger.apply(LogIndex(number + 1), LogTime(number), &command);
    }
    report("claims", count, before, &machines);
    machines
}

fn measure_changes(count: u64) -> Option<ReplicaMachines> {
    let before = resident_bytes();
    let mut machines = ReplicaMachines::default();
    for number in 0..count {
        let (Ok(change_id), Ok(actor)) =
            (format!("planner-2026-12-03-{number}").parse(), "planner".parse())
        else {
            return None;
        };
        let request = ChangeRequest {
            change_id,
            actor,
            expect: ConfigVersion(number),
            assigned_version: None,
            received_unix_ms: number,
            sheet: format!("a sheet with {number}\n"),
            plan: small_plan(number)?,
        };
        let change = StoredChange::new(request, machines.configuration.current());
        machines.configuration.apply(LogIndex(number + 1), &change);
        // Drops the audit records that the storage would write.
        machines.configuration.take_unwritten_chunks();
    }
    report("changes", count, before, &machines);
    Some(machines)
}

/// Returns a plan of one row. The plans of consecutive numbers differ in their share.
fn small_plan(number: u64) -> Option<PolicyPlan> {
    let share = u16::try_from(number % 10_000).ok()?;
    Some(PolicyPlan { kinds: vec![row_plan(1, share).ok()?], ..PolicyPlan::default() })
}

fn report(what: &str, count: u64, before: u64, machines: &ReplicaMachines) {
    let after = resident_bytes();
    let started = Instant::now();
    let snapshot = machines.snapshot(SnapshotPosition::default());
    let elapsed = started.elapsed();
    let size = snapshot.map_or(0, |snapshot| snapshot.state.len());
    println!(
        "part=memory what={what} count={count} resident_bytes={} snapshot_bytes={size} \
         snapshot_ms={:.1}",
        after.saturating_sub(before),
        elapsed.as_secs_f64() * 1e3,
    );
}

/// Returns the resident memory of this process in bytes, as reported by the operating system.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
