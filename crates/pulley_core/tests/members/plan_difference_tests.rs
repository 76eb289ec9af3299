//! The encoded difference between two plans.

use std::time::Duration;

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec;
use pulley_core::process::{ProbeRate, ShareFraction, SlotCount, StartRate};
use pulley_core::version::{
    AnswerSize, ApiKeyDigest, CallerLimits, HostMatch, KindPlan, MethodMatch, OrganisationTerms,
    PLAN_ROW_LIMIT, PlanDifference, PolicyPlan, PoolTerms, RequestPriority, RequestQuota,
    RouteTerms, WorkLength,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::route_rows::RouteRows;

const LEVEL: u8 = 6;

/// Two plans, the second derived from the first by random changes.
#[derive(Clone, Debug)]
struct PlanPair {
    before: PolicyPlan,
    after: PolicyPlan,
}

fn name<N: std::str::FromStr>(g: &mut Gen) -> N {
    const ALLOWED: &[char] = &['a', 'b', 'Z', '0', '9', '.', '_', ':', '-'];
    let length = 1 + usize::arbitrary(g) % if bool::arbitrary(g) { 3 } else { 64 };
    let text: String = (0..length).filter_map(|_| g.choose(ALLOWED)).collect();
    text.parse().ok().unwrap()
}

fn row(g: &mut Gen) -> KindPlan {
    KindPlan {
        pool: name(g),
        service: name(g),
        kind: name(g),
        method: match bool::arbitrary(g) {
            true => MethodMatch::Any,
            false => MethodMatch::Only(String::arbitrary(g).into()),
        },
        path_prefix: String::arbitrary(g).into(),
        priority: RequestPriority(u8::arbitrary(g)),
        share: ShareFraction::from_basis_points(u16::arbitrary(g) % 10_001).unwrap(),
        reserved_slots: SlotCount(u32::arbitrary(g)),
        deadline: Duration::arbitrary(g),
        idempotent: bool::arbitrary(g),
        length: *g.choose(&[WorkLength::Short, WorkLength::Long]).unwrap(),
        probe_budget: ProbeRate(u32::arbitrary(g)),
        route: RouteTerms {
            host: match bool::arbitrary(g) {
                true => HostMatch::Any,
                false => HostMatch::Only(String::arbitrary(g).into()),
            },
            weight: u32::arbitrary(g),
            attempts: u8::arbitrary(g),
            answers: *g.choose(&[AnswerSize::Small, AnswerSize::Large]).unwrap(),
            target: Option::arbitrary(g),
            connections: Option::arbitrary(g),
            public: bool::arbitrary(g),
        },
    }
}

fn change(g: &mut Gen, plan: &mut PolicyPlan) {
    let rows = plan.kinds.len().max(1);
    let (one, other) = (usize::arbitrary(g) % rows, usize::arbitrary(g) % rows);
    if u8::arbitrary(g) % 4 == 0 {
        return change_organisations(g, plan);
    }
    match u8::arbitrary(g) % 8 {
        0..=2 => plan.kinds.insert(one.min(plan.kinds.len()), row(g)),
        _ if plan.kinds.is_empty() => plan.kinds.push(row(g)),
        3 => drop(plan.kinds.remove(one)),
        4 => plan.kinds.swap(one, other),
        5 => plan.kinds.push(plan.kinds[one].clone()),
        6 => plan.kinds[one].path_prefix = plan.kinds[other].path_prefix.clone(),
        _ if bool::arbitrary(g) => {
            let limits = CallerLimits { body_bytes: u64::arbitrary(g), ..plan.limits };
            plan.limits = limits;
        }
        _ => plan.pools.push(PoolTerms {
            pool: name(g),
            probe_path: String::arbitrary(g).into(),
            warm_up: None,
        }),
    }
}

fn change_organisations(g: &mut Gen, plan: &mut PolicyPlan) {
    let organisations = &mut plan.organisations;
    let place = usize::arbitrary(g) % organisations.len().max(1);
    match organisations.get_mut(place) {
        Some(_) if bool::arbitrary(g) => drop(organisations.remove(place)),
        Some(known) if bool::arbitrary(g) => {
            known.keys.push(ApiKeyDigest::of(&String::arbitrary(g)));
        }
        _ => organisations.push(OrganisationTerms {
            name: name(g),
            keys: vec![ApiKeyDigest::of(&String::arbitrary(g))],
            priority: Option::arbitrary(g).map(RequestPriority),
            quota: Option::arbitrary(g)
                .map(|burst| RequestQuota { rate: StartRate(u32::arbitrary(g)), burst }),
        }),
    }
}

impl Arbitrary for PlanPair {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut before = PolicyPlan::default();
        for _ in 0..usize::arbitrary(g) % 30 {
            change(g, &mut before);
        }
        let mut after = before.clone();
        for _ in 0..usize::arbitrary(g) % 30 {
            change(g, &mut after);
        }
        Self { before, after }
    }
}

#[test]
fn any_difference_round_trips() {
    fn round_trips(pair: PlanPair) -> bool {
        let packed = PlanDifference::between(&pair.before, &pair.after).pack();
        let again = PlanDifference::between(&pair.before, &pair.after).pack();
        let arrived = PlanDifference::unpack(&packed).and_then(|step| step.apply(&pair.before));
        packed == again && arrived == Some(pair.after)
    }
    QuickCheck::new().tests(300).quickcheck(round_trips as fn(PlanPair) -> bool);
}

/// Makes a plan with this many rows, and its packed form.
fn packed_rows(rows: usize) -> (PolicyPlan, Vec<u8>) {
    let mut sheet = RouteRows::new(5);
    sheet.add(rows);
    let plan = sheet.version(1).plan.clone();
    let packed = PlanDifference::between(&PolicyPlan::default(), &plan).pack();
    (plan, packed.to_vec())
}

fn parts(packed: &[u8]) -> (Vec<u8>, Vec<u8>) {
    let (columns, letters): (&[u8], &[u8]) = postcard::from_bytes(packed).unwrap();
    (decompress_to_vec(columns).unwrap(), decompress_to_vec(letters).unwrap())
}

fn pack_parts(columns: &[u8], letters: &[u8]) -> Vec<u8> {
    let (columns, letters) = (compress_to_vec(columns, LEVEL), compress_to_vec(letters, LEVEL));
    postcard::to_stdvec(&(&columns[..], &letters[..])).unwrap()
}

#[test]
fn a_thousand_random_names_take_little_more_than_their_letters() {
    let (plan, packed) = packed_rows(1_400);
    assert!(packed.len() <= 13 * plan.kinds.len(), "{} bytes", packed.len());
    let arrived = PlanDifference::unpack(&packed).unwrap().apply(&PolicyPlan::default());
    assert_eq!(arrived, Some(plan));
}

/// Mutates the data before it is compressed: deflate and its checks would reject most bytes mutated
/// on the wire before the code behind them is reached.
#[test]
fn no_mutated_columns_panic_or_make_more_rows_than_a_plan_may_have() {
    let (plan, packed) = packed_rows(60);
    let (columns, letters) = parts(&packed);
    let mut rng = SmallRng::seed_from_u64(34);
    for _ in 0..5_000 {
        let (mut columns, mut letters) = (columns.clone(), letters.clone());
        for _ in 0..rng.random_range(1..4) {
            let part = if rng.random_bool(0.8) { &mut columns } else { &mut letters };
            let at = rng.random_range(0..part.len());
            match rng.random_range(0..4) {
                0 => part[at] = rng.random(),
                1 => part[at] = part[at].wrapping_add(1),
                2 => part.truncate(at.max(1)),
                _ => part.insert(at, 0xff),
            }
        }
        let step = PlanDifference::unpack(&pack_parts(&columns, &letters));
        let made = step.and_then(|step| step.apply(&plan));
        assert!(made.is_none_or(|made| made.kinds.len() <= PLAN_ROW_LIMIT));
    }
}

#[test]
fn data_that_inflates_beyond_a_plan_is_refused() {
    let (_, packed) = packed_rows(60);
    let (columns, letters) = parts(&packed);
    assert!(PlanDifference::unpack(&pack_parts(&columns, &letters)).is_some());
    let padded = |part: &[u8], by: usize| [part, &vec![0; by][..]].concat();
    let unpack = |columns: &[u8]| PlanDifference::unpack(&pack_parts(columns, &letters));
    assert!(unpack(&padded(&columns, 1 << 20)).is_some());
    assert!(unpack(&padded(&columns, 64 << 20)).is_none());
    assert!(PlanDifference::unpack(&pack_parts(&columns, &padded(&letters, 64 << 20))).is_none());
}

#[test]
fn more_rows_than_a_plan_may_have_are_refused() {
    let (plan, _) = packed_rows(1);
    let of = |rows: usize| PolicyPlan { kinds: vec![plan.kinds[0].clone(); rows], ..plan.clone() };
    let packed = |rows: usize| PlanDifference::between(&PolicyPlan::default(), &of(rows)).pack();
    assert!(PlanDifference::unpack(&packed(PLAN_ROW_LIMIT)).is_some());
    assert!(PlanDifference::unpack(&packed(PLAN_ROW_LIMIT + 1)).is_none());
}

/// Each of 8,000 paths is a byte longer than the one before: 24 KB that would expand to 32 MB.
#[test]
fn names_that_share_long_parts_are_refused_where_they_sum_up_to_more_than_a_plan() {
    let (plan, _) = packed_rows(1);
    let of = |rows: usize| {
        let row = |length: usize| KindPlan {
            path_prefix: "a".repeat(length).into(),
            ..plan.kinds[0].clone()
        };
        PolicyPlan { kinds: (0..rows).map(row).collect(), ..plan.clone() }
    };
    let packed = |rows: usize| PlanDifference::between(&PolicyPlan::default(), &of(rows)).pack();
    assert!(PlanDifference::unpack(&packed(2_000)).is_some());
    assert!(PlanDifference::unpack(&packed(8_000)).is_none());
}

// Guards against sending all organisations to every host when one key changes.
#[test]
fn a_changed_key_costs_a_few_bytes() {
    let organisation = |index: usize| OrganisationTerms {
        name: format!("organisation-{index}").parse().unwrap(),
        keys: vec![ApiKeyDigest::of(&index.to_string())],
        priority: None,
        quota: Some(RequestQuota { rate: StartRate(1_000), burst: 5 }),
    };
    let organisations = (0..1_000).map(organisation).collect();
    let before = PolicyPlan { organisations, ..PolicyPlan::default() };
    let mut after = before.clone();
    after.organisations[500].keys.push(ApiKeyDigest::of("new"));
    let packed = PlanDifference::between(&before, &after).pack();
    assert!(packed.len() < 200, "{} bytes", packed.len());
    assert_eq!(PlanDifference::unpack(&packed).unwrap().apply(&before), Some(after));
}
