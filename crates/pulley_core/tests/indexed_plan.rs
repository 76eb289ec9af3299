//! Compares the look-ups of an indexed plan with a search through all rows.

use std::time::Duration;

use pulley_core::PoolName;
use pulley_core::process::{ProbeRate, ShareFraction, SlotCount, StartRate};
use pulley_core::version::{
    HostMatch, IndexedPlan, KindPlan, MethodMatch, PolicyPlan, PoolTerms, RequestPriority,
    RouteTerms, WarmUpTerms, WorkLength,
};
use quickcheck::{Arbitrary, Gen};

/// Number of random plans per property, and of requests per plan.
const PLANS: u64 = 2_000;
const REQUESTS: usize = 40;

/// Number of pools that a plan may name.
const POOLS: usize = 6;

const HOSTS: [&str; 7] = ["a.example", "A.example", "b.example", "[::1]", "b:80", "é.example", ""];
const PORTS: [&str; 3] = ["", ":8080", ":"];
const METHODS: [&str; 3] = ["GET", "POST", "get"];
/// Only a few path pieces, so that prefixes often begin with other prefixes.
const PIECES: [&str; 6] = ["a", "b", "/", "a/", "é", "0"];

fn chosen<'a>(random: &mut Gen, among: &[&'a str]) -> &'a str {
    random.choose(among).copied().unwrap_or_default()
}

fn number(random: &mut Gen, below: usize) -> usize {
    usize::arbitrary(random) % below
}

fn path(random: &mut Gen, longest: usize) -> String {
    let pieces = number(random, longest + 1);
    (0..pieces).fold("/".to_owned(), |path, _| path + chosen(random, &PIECES))
}

fn small(random: &mut Gen, below: usize) -> u32 {
    u32::try_from(number(random, below)).expect("small")
}

fn pool(index: usize) -> PoolName {
    format!("pool-{index}").parse().expect("a valid name")
}

fn terms(random: &mut Gen) -> PoolTerms {
    let span = Duration::from_millis(u64::arbitrary(random) % 1_000);
    let warm_up = WarmUpTerms { span, rate: StartRate(small(random, 9)) };
    PoolTerms {
        pool: pool(number(random, POOLS)),
        probe_path: path(random, 3).into(),
        warm_up: bool::arbitrary(random).then_some(warm_up),
    }
}

fn row(random: &mut Gen, index: usize) -> KindPlan {
    let host = match bool::arbitrary(random) {
        true => HostMatch::Any,
        false => HostMatch::Only(chosen(random, &HOSTS).into()),
    };
    let method = match bool::arbitrary(random) {
        true => MethodMatch::Any,
        false => MethodMatch::Only(chosen(random, &METHODS).into()),
    };
    let path_prefix = if number(random, 20) == 0 { String::new() } else { path(random, 4) };
    let weight = small(random, 4);
    let connections = bool::arbitrary(random).then(|| small(random, 100));
    KindPlan {
        pool: pool(number(random, POOLS)),
        service: "service".parse().expect("a valid name"),
        kind: format!("kind-{index}").parse().expect("a valid name"),
        method,
        path_prefix: path_prefix.into(),
        priority: RequestPriority(1),
        share: ShareFraction::WHOLE,
        reserved_slots: SlotCount(0),
        deadline: Duration::from_millis(100),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(u32::arbitrary(random)),
        route: RouteTerms { host, weight, connections, ..RouteTerms::default() },
    }
}

fn plan(random: &mut Gen) -> PolicyPlan {
    let rows = number(random, 60);
    let kinds = (0..rows).map(|index| row(random, index)).collect();
    let pools = (0..number(random, 4)).map(|_| terms(random)).collect();
    PolicyPlan { kinds, pools, ..PolicyPlan::default() }
}

fn without_port(host: &str) -> &str {
    match host.rfind(':') {
        Some(at) if !host[at..].contains(']') => &host[..at],
        _ => host,
    }
}

fn matches(row: &KindPlan, host: &str, method: &str, path: &str) -> bool {
    let host_fits = match &row.route.host {
        HostMatch::Any => true,
        HostMatch::Only(wanted) => without_port(host).eq_ignore_ascii_case(wanted),
    };
    let method_fits = match &row.method {
        MethodMatch::Any => true,
        MethodMatch::Only(wanted) => wanted == method,
    };
    host_fits && method_fits && path.starts_with(row.path_prefix.as_str())
}

/// Finds the row by a search through all rows.
fn find_by_search(
    plan: &PolicyPlan,
    host: &str,
    method: &str,
    path: &str,
    draw: u32,
) -> Option<usize> {
    let rank = |row: &KindPlan| {
        let (host, method) = (&row.route.host, &row.method);
        (*host != HostMatch::Any, row.path_prefix.len(), *method != MethodMatch::Any)
    };
    let rows = plan.kinds.iter().enumerate();
    let matching: Vec<_> = rows.filter(|(_, row)| matches(row, host, method, path)).collect();
    let best = matching.iter().map(|(_, row)| rank(row)).max()?;
    let equal_matches: Vec<_> = matching.into_iter().filter(|(_, row)| rank(row) == best).collect();
    // Each row is repeated as often as its weight.
    let tickets: Vec<usize> = equal_matches
        .iter()
        .flat_map(|(index, row)| (0..row.route.weight).map(|_| *index))
        .collect();
    match tickets.is_empty() {
        true => equal_matches.first().map(|(index, _)| *index),
        false => Some(tickets[draw as usize % tickets.len()]),
    }
}

#[test]
fn each_request_gets_the_row_that_a_full_search_finds() {
    let mut found = 0;
    for seed in 0..PLANS {
        let mut random = Gen::from_size_and_seed(64, seed);
        let plan = plan(&mut random);
        let indexed = IndexedPlan::from(plan.clone());
        for _ in 0..REQUESTS {
            let host = chosen(&mut random, &HOSTS).to_owned() + chosen(&mut random, &PORTS);
            let (method, path) = (chosen(&mut random, &METHODS), path(&mut random, 7));
            let draw = u32::arbitrary(&mut random);
            let row = indexed.find(&host, method, &path, draw).map(|(index, _)| index);
            assert_eq!(
                row,
                find_by_search(&plan, &host, method, &path, draw),
                "{host:?} {method} {path} {draw} {plan:#?}"
            );
            found += usize::from(row.is_some());
        }
    }
    let asked = usize::try_from(PLANS).expect("few") * REQUESTS;
    assert!(found > asked / 4 && found < asked, "{found} of {asked} have a row");
}

#[test]
fn each_pool_gets_the_settings_that_a_full_search_finds() {
    for seed in 0..PLANS {
        let plan = plan(&mut Gen::from_size_and_seed(64, seed));
        let indexed = IndexedPlan::from(plan.clone());
        let mut named: Vec<&PoolName> = Vec::new();
        let rows = plan.kinds.iter().map(|row| &row.pool);
        for pool in rows.chain(plan.pools.iter().map(|terms| &terms.pool)) {
            if !named.contains(&pool) {
                named.push(pool);
            }
        }
        assert_eq!(indexed.pools().iter().collect::<Vec<_>>(), named);
        for pool in (0..POOLS).map(pool) {
            let rows = plan.kinds.iter().enumerate();
            let rows: Vec<_> = rows.filter(|(_, row)| row.pool == pool).collect();
            let connections = rows.iter().filter_map(|(_, row)| row.route.connections).min();
            let budgets = rows.iter().map(|(_, row)| row.probe_budget.0);
            let terms = plan.pools.iter().find(|terms| terms.pool == pool);
            assert_eq!(indexed.contains_pool(&pool), named.contains(&&pool));
            assert_eq!(indexed.rows_of(&pool).collect::<Vec<_>>(), rows);
            assert_eq!(indexed.connections(&pool), connections);
            assert_eq!(indexed.probe_budget(&pool).0, budgets.fold(0, u32::saturating_add));
            assert_eq!(indexed.probe_path(&pool), terms.map(|terms| &terms.probe_path));
            assert_eq!(indexed.warm_up(&pool), terms.and_then(|terms| terms.warm_up));
        }
    }
}
