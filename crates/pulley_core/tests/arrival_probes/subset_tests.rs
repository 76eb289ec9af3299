//! The subset of upstreams that an entry probes where there are more than it can keep connections
//! to.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{UpstreamChange, UpstreamList, UpstreamRecord};
use pulley_core::request::{
    AttemptOutcome, PoolScheduler, ProbeQuery, ProbeReach, RequestNumber, SchedulerEffect,
};
use pulley_core::{Moment, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{entry, ticket, upstream};

const UPSTREAMS: u16 = 40;
const ENTRIES: u64 = 60;

/// Requests of one entry, half a second apart.
const REQUESTS: u64 = 80;

fn probe(
    scheduler: &mut PoolScheduler,
    now: Moment,
    probed: &[UpstreamId],
    reach: ProbeReach,
) -> Vec<UpstreamId> {
    let query = ProbeQuery { probed, wanted: 3, reach };
    let targets = scheduler.probe_targets(now, &ticket(1, now), &query);
    targets.into_iter().map(|target| target.upstream).collect()
}

/// Returns how often one entry probes each upstream, if the first three are always good enough.
fn probed_by(seed: u64, records: &[UpstreamRecord]) -> BTreeMap<UpstreamId, u64> {
    let mut scheduler = entry(seed, records);
    let mut counts = BTreeMap::new();
    for number in 0..REQUESTS {
        let now = Moment::ZERO + Duration::from_millis(1_000 + number * 500);
        for upstream in probe(&mut scheduler, now, &[], ProbeReach::OwnZone) {
            *counts.entry(upstream).or_default() += 1;
        }
    }
    counts
}

// An entry with two requests a second has forty upstreams in its zone. If it picked among all of
// them, each would be probed every seven seconds. Its connection would be closed by then, so most
// probes would open one, and callers would wait for it. Measured by this test: 40 upstreams probed
// by an entry without a subset, 8 with it. Over sixty entries no upstream may be left out or probed
// more than twice as often as the mean.
#[test]
fn an_entry_probes_a_subset_and_all_subsets_cover_every_upstream() {
    let records: Vec<_> = (0..UPSTREAMS).map(|index| upstream(index, "a", 2)).collect();
    let mut sums: BTreeMap<UpstreamId, u64> = BTreeMap::new();
    for seed in 1..=ENTRIES {
        let counts = probed_by(seed, &records);
        assert!(counts.len() <= 8, "entry {seed} probes {} upstreams", counts.len());
        for (upstream, count) in counts {
            *sums.entry(upstream).or_default() += count;
        }
    }
    assert_eq!(sums.len(), usize::from(UPSTREAMS), "some upstream is in no subset");
    let mean = ENTRIES * REQUESTS * 3 / u64::from(UPSTREAMS);
    let most = sums.values().copied().max().unwrap_or_default();
    assert!(most <= 2 * mean, "{most} probes of one upstream, {mean} on average");
}

// Three upstreams of the subset are slowed down or full, and the next few as well. The request must
// look beyond them instead of being refused beside free upstreams.
#[test]
fn a_request_looks_beyond_the_subset_once_it_is_probed() {
    let records: Vec<_> = (0..UPSTREAMS).map(|index| upstream(index, "a", 2)).collect();
    let mut scheduler = entry(1, &records);
    // High enough that none of its probes makes the budget scarce.
    scheduler.set_probe_rate(100.0);
    let now = Moment::ZERO + Duration::from_secs(1);
    let mut probed = Vec::new();
    for _ in 0..4 {
        let more = probe(&mut scheduler, now, &probed, ProbeReach::OwnZone);
        assert_eq!(more.len(), 3);
        probed.extend(more);
    }
    let different: BTreeSet<_> = probed.iter().collect();
    assert_eq!(different.len(), probed.len());
}

// An upstream shuts down and another takes its place, as on every release. If the subset were
// chosen anew with each change, an entry would open all its connections again with each change.
#[test]
fn one_leaving_upstream_changes_one_place_of_the_subset() {
    let mut records: Vec<_> = (0..UPSTREAMS).map(|index| upstream(index, "a", 2)).collect();
    let before: BTreeSet<_> = probed_by(1, &records).into_keys().collect();
    let gone = before.first().expect("some").clone();
    records.retain(|record| record.announcement.id != gone);
    let after: BTreeSet<_> = probed_by(1, &records).into_keys().collect();
    assert_eq!(after.len(), before.len());
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&gone]);
}

/// Returns the upstreams of the entry's zone: the subset, and the rest.
fn ranked(
    scheduler: &mut PoolScheduler,
    now: Moment,
) -> (BTreeSet<UpstreamId>, BTreeSet<UpstreamId>) {
    scheduler.set_probe_rate(10_000.0);
    let query = ProbeQuery { probed: &[], wanted: 1_000, reach: ProbeReach::OwnZone };
    let targets = scheduler.probe_targets(now, &ticket(1, now), &query);
    let mut ids: Vec<UpstreamId> = targets.into_iter().map(|target| target.upstream).collect();
    let rest = ids.split_off(ids.len().min(8));
    (ids.into_iter().collect(), rest.into_iter().collect())
}

// Upstreams join, drain, move and leave by the hundred, and an entry receives the changes one by
// one. It must end with the same ranking as an entry that has just started. An upstream that it
// keeps probing after it left costs callers time, and one that it has lost stands idle.
#[test]
fn incremental_changes_end_in_the_state_of_a_fresh_start() {
    for seed in 1..=20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut scheduler = entry(seed, &[]);
        let mut list = UpstreamList::default();
        for step in 1..=300_u64 {
            let now = Moment::ZERO + Duration::from_millis(20 * step);
            let index = rng.random_range(0..UPSTREAMS);
            let change = if rng.random_range(0..3) == 0 {
                UpstreamChange::Removed(upstream(index, "a", 2).announcement.id)
            } else {
                let zone = if rng.random_range(0..4) == 0 { "b" } else { "a" };
                let takes_work = rng.random_range(0..4) > 0;
                let record = UpstreamRecord { takes_work, ..upstream(index, zone, 2) };
                UpstreamChange::Put(Arc::new(record))
            };
            let next = list.with_changes([change]);
            scheduler.apply_changes(now, &next.changes_since(&list));
            list = next;
            // Requests that outlast their upstream keep its slot in the table.
            let number = RequestNumber(step);
            match scheduler.arrive(now, &ticket(step, now)).as_slice() {
                [SchedulerEffect::Start { .. }] if rng.random() => {
                    scheduler.finish(now, number, AttemptOutcome::Cancelled, None);
                }
                [] => drop(scheduler.cancel(now, number)),
                _ => {}
            }
        }
        let now = Moment::ZERO + Duration::from_secs(60);
        let records: Vec<UpstreamRecord> =
            list.iter().map(|record| UpstreamRecord::clone(record)).collect();
        let mut fresh = entry(seed, &records);
        assert_eq!(ranked(&mut scheduler, now), ranked(&mut fresh, now), "seed {seed}");
    }
}

// Callers of one zone send more to its forty upstreams than these can answer, while another zone's
// stand idle. A request that has probed a few in its own zone without success must look further. If
// it probed all forty before any other, it would be refused beside idle upstreams.
#[test]
fn a_request_that_found_its_zone_busy_looks_in_others_too() {
    let own = (0..UPSTREAMS).map(|index| upstream(index, "a", 2));
    let others = (UPSTREAMS..2 * UPSTREAMS).map(|index| upstream(index, "b", 2));
    let records: Vec<_> = own.chain(others).collect();
    let mut scheduler = entry(1, &records);
    scheduler.set_probe_rate(100.0);
    let now = Moment::ZERO + Duration::from_secs(1);
    let is_away = |id: &UpstreamId| {
        records.iter().any(|r| r.announcement.id == *id && r.announcement.zone.as_str() == "b")
    };
    let first = probe(&mut scheduler, now, &[], ProbeReach::OwnZone);
    assert_eq!(first.iter().filter(|id| is_away(id)).count(), 0, "its own zone goes first");
    let further = probe(&mut scheduler, now, &first, ProbeReach::EveryZone);
    let away = further.iter().filter(|id| is_away(id)).count();
    assert!((1..=2).contains(&away), "{away} of {} in another zone", further.len());
}
