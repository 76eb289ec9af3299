//! Tests of changes as the log stores them.

use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::process::{ProbeRate, ShareFraction, SlotCount};
use pulley_core::version::{
    CHANGE_BYTES_LIMIT, ChangeAnswer, ChangeContent, ChangeRefusal, ChangeRequest,
    ConfigurationMachine, KindPlan, LogIndex, MethodMatch, PolicyPlan, PoolTerms, RequestPriority,
    RouteTerms, StoredChange, StoredPlan, WorkLength,
};
use quickcheck::{Arbitrary, Gen};

fn row(number: u8, share: u16) -> KindPlan {
    KindPlan {
        pool: "pool".parse().expect("a valid name"),
        service: "service".parse().expect("a valid name"),
        kind: format!("kind-{number}").parse().expect("a valid name"),
        method: MethodMatch::Any,
        path_prefix: "/".into(),
        priority: RequestPriority(1),
        share: ShareFraction::from_basis_points(share).expect("at most the whole"),
        reserved_slots: SlotCount(0),
        deadline: Duration::from_millis(100),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(0),
        route: RouteTerms::default(),
    }
}

/// Creates a sheet whose lines and rows are given by small numbers, so that many are repeated.
fn sheet_of(numbers: &[u8]) -> (String, PolicyPlan) {
    let lines: Vec<String> = numbers.iter().map(|number| format!("line {number}")).collect();
    let kinds = numbers.iter().map(|number| row(number % 16, u16::from(*number))).collect();
    (lines.join("\r\n"), PolicyPlan { kinds, ..PolicyPlan::default() })
}

fn request(expect: u64, sheet: String, plan: PolicyPlan) -> ChangeRequest {
    ChangeRequest {
        change_id: "change".parse().expect("a valid name"),
        actor: "planner".parse().expect("a valid name"),
        expect: ConfigVersion(expect),
        assigned_version: None,
        received_unix_ms: 0,
        sheet,
        plan,
    }
}

fn plan_at(version: u64, numbers: &[u8]) -> StoredPlan {
    let (sheet, plan) = sheet_of(numbers);
    StoredPlan { version: ConfigVersion(version), sheet, plan }
}

#[test]
fn a_change_builds_exactly_the_submitted_sheet() {
    for seed in 0..2_000 {
        let mut random = Gen::from_size_and_seed(40, seed);
        let before: Vec<u8> = Arbitrary::arbitrary(&mut random);
        let mut after: Vec<u8> = if seed % 2 == 0 { before.clone() } else { Vec::new() };
        after.extend(Vec::<u8>::arbitrary(&mut random).into_iter().take(4));
        if !after.is_empty() {
            let by = seed as usize % after.len();
            after.rotate_left(by);
        }
        let base = plan_at(5, &before);
        let (sheet, plan) = sheet_of(&after);
        let change = StoredChange::new(request(5, sheet.clone(), plan.clone()), &base);
        assert_eq!(change.build(&base), Some((sheet, plan)));
    }
}

// A planner changes one row of a large sheet, 2,100 times a day. If the whole sheet were sent to
// each replica, the leader would exceed the bandwidth budget of control traffic.
#[test]
fn a_change_of_one_row_is_small() {
    let numbers: Vec<u8> = (0..200).collect();
    let base = plan_at(1, &numbers);
    let mut edited = numbers.clone();
    edited[77] = 250;
    let (sheet, plan) = sheet_of(&edited);
    let whole = sheet.len();
    let change = StoredChange::new(request(1, sheet, plan), &base);
    let size = postcard::to_allocvec(&change).expect("can be encoded").len();
    assert!(size < whole / 8, "{size} bytes for a sheet of {whole}");
}

// The leader already has a newer version in force, so the change can only be refused and its sheet
// need not be stored. A change ahead of the current version may follow changes not yet applied.
#[test]
fn an_outdated_change_carries_no_sheet() {
    let base = plan_at(3, &[1, 2, 3]);
    let (sheet, plan) = sheet_of(&[1, 2]);
    let outdated = StoredChange::new(request(2, sheet.clone(), plan.clone()), &base);
    assert_eq!(outdated.content, ChangeContent::Outdated);
    let ahead = StoredChange::new(request(4, sheet, plan), &base);
    assert!(matches!(ahead.content, ChangeContent::Whole { .. }));
}

/// Creates a JSON sheet in a single line, as some operators send it.
fn json_of(numbers: &[u8]) -> String {
    let rows: Vec<String> = numbers.iter().map(|n| format!("{{\"Name\":\"{n}\"}}")).collect();
    format!("{{\"Rows\":[{}]}}", rows.join(","))
}

fn given(version: u64, numbers: &[u8]) -> ChangeRequest {
    let (_, plan) = sheet_of(numbers);
    let change_id = format!("change-{version}").parse().expect("a valid name");
    let sheet = json_of(numbers);
    ChangeRequest {
        change_id,
        assigned_version: Some(ConfigVersion(version)),
        ..request(0, sheet, plan)
    }
}

// Guards against storing the whole sheet for each change with a chosen version and a single line.
#[test]
fn a_change_with_a_given_version_is_stored_as_a_difference() {
    let numbers: Vec<u8> = (0..200).collect();
    let (_, plan) = sheet_of(&numbers);
    let base = StoredPlan { version: ConfigVersion(3), sheet: json_of(&numbers), plan };
    let mut edited = numbers.clone();
    edited[77] = 250;
    edited.extend([251, 252]);
    let asked = given(9, &edited);
    let change = StoredChange::new(asked.clone(), &base);
    assert!(matches!(change.content, ChangeContent::Edit(_)));
    let size = postcard::to_allocvec(&change).expect("can be encoded").len();
    assert!(size < asked.sheet.len() / 8, "{size} bytes");
    assert_eq!(change.build(&base), Some((asked.sheet, asked.plan)));
}

// Adding services changes pools and limits as well as rows, so the difference must hold them too.
#[test]
fn a_difference_holds_pools_and_limits_too() {
    let numbers: Vec<u8> = (0..100).collect();
    let base = plan_at(1, &numbers);
    let (sheet, mut plan) = sheet_of(&numbers);
    let pool = "added".parse().expect("a valid name");
    plan.pools.push(PoolTerms { pool, probe_path: "/".into(), warm_up: None });
    plan.limits.body_bytes = 7;
    let change = StoredChange::new(request(1, sheet.clone(), plan.clone()), &base);
    assert!(matches!(change.content, ChangeContent::Edit(_)));
    assert_eq!(change.build(&base), Some((sheet, plan)));
}

// A difference that is applied to a version other than its base must change nothing, and its
// operator must be able to send the change again.
#[test]
fn a_difference_against_another_version_changes_nothing() {
    let mut machine = ConfigurationMachine::default();
    let numbers: Vec<u8> = (0..100).collect();
    let mut edited = numbers.clone();
    edited[3] = 200;
    let first = StoredChange::new(given(1, &numbers), machine.current());
    machine.apply(LogIndex(1), &first);
    let stale = StoredChange::new(given(5, &edited), machine.current());
    let second = StoredChange::new(given(2, &[1, 2, 3]), machine.current());
    machine.apply(LogIndex(2), &second);
    let before = machine.current().clone();
    let refusal = ChangeRefusal::VersionMoved { current: ConfigVersion(2) };
    assert_eq!(machine.apply(LogIndex(3), &stale), ChangeAnswer::Refused(refusal));
    assert_eq!(machine.current(), &before);
    let again = StoredChange::new(given(5, &edited), machine.current());
    let accepted = ChangeAnswer::Accepted { version: ConfigVersion(5) };
    assert_eq!(machine.apply(LogIndex(4), &again), accepted);
    // From now on it is recognised as a resend, however it is stored.
    assert_eq!(machine.apply(LogIndex(5), &stale), accepted);
}

// Decompression allocates the size that a packed value declares, so an excessive size must be
// rejected before that.
#[test]
fn a_packed_change_that_declares_gigabytes_is_not_unpacked() {
    let base = plan_at(0, &[]);
    let (sheet, plan) = sheet_of(&[1, 2]);
    let mut change = StoredChange::new(request(1, sheet, plan), &base);
    let packed_with_size = |size: u32| {
        let mut bytes = size.to_le_bytes().to_vec();
        bytes.extend([0xff; 64]);
        let encoded = postcard::to_allocvec(&bytes).expect("can be encoded");
        postcard::from_bytes(&encoded).expect("bytes are a packed value")
    };
    for size in [u32::MAX, u32::try_from(CHANGE_BYTES_LIMIT).expect("a small limit") + 1] {
        change.content = ChangeContent::Whole(packed_with_size(size));
        assert_eq!(change.build(&base), None);
        change.content = ChangeContent::Edit(packed_with_size(size));
        assert_eq!(change.build(&base), None);
    }
}
