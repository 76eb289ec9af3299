//! What a coordinator knows of each entry's counts.

use std::time::Duration;

use super::{CountDelta, CountKey, FastMap, HostId, KindUse, Moment, UpstreamTotal, UpstreamUse};

/// How long an entry's counts hold without news.
///
/// A dead entry's requests no longer occupy anyone, but its last counts would keep slots idle;
/// the entries' deltas come several times within the term, so a live entry does not lose its
/// counts to a lost datagram or two.
pub const COUNT_TERM: Duration = Duration::from_millis(800);

/// One entry's counts as last heard.
#[derive(Clone, Debug)]
struct EntryCounts {
    generation: u32,
    retired: Option<u32>,
    sequence: u32,
    heard: Moment,
    upstreams: FastMap<CountKey, SequencedUse>,
    kinds: Vec<KindUse>,
}

#[derive(Clone, Copy, Debug)]
struct SequencedUse {
    sequence: u32,
    usage: UpstreamUse,
}

/// The counts of all entries heard of within the term.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountTable {
    entries: FastMap<HostId, EntryCounts>,
}

impl CountTable {
    /// Takes in a delta; false if it is old news.
    ///
    /// Each upstream keeps the sequence it was last told at. A delta that arrives after a newer
    /// one may still be the only word on an upstream that the newer one did not mention.
    pub(crate) fn receive(&mut self, now: Moment, from: &HostId, delta: &CountDelta) -> bool {
        let entry = self.entries.entry(from.clone()).or_insert_with(|| EntryCounts::new(delta));
        if entry.generation != delta.generation {
            if entry.retired == Some(delta.generation) {
                return false;
            }
            let retired = Some(entry.generation);
            *entry = EntryCounts { retired, ..EntryCounts::new(delta) };
        }
        entry.heard = now;
        for usage in &delta.upstreams {
            entry.note(delta.sequence, *usage);
        }
        let newer = delta.sequence > entry.sequence;
        if newer {
            entry.sequence = delta.sequence;
            entry.kinds.clone_from(&delta.kinds);
        }
        newer
    }

    /// Drops entries not heard of within the term.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now.since(entry.heard) < COUNT_TERM);
    }

    /// The entries, with generation and newest sequence.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&HostId, u32, u32)> {
        self.entries.iter().map(|(host, entry)| (host, entry.generation, entry.sequence))
    }

    /// How many entries are known.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds up one upstream's counts over all entries.
    ///
    /// Latency and health are means weighted by use: an entry that has sent an upstream nothing
    /// lately knows nothing of it.
    pub(crate) fn total(&self, upstream: CountKey) -> UpstreamTotal {
        let mut in_flight = 0_u32;
        let (mut latency, mut latency_weight) = (0_u64, 0_u64);
        let (mut health, mut health_weight) = (0_u64, 0_u64);
        for entry in self.entries.values() {
            let Some(told) = entry.upstreams.get(&upstream) else { continue };
            let usage = told.usage;
            let weight = 1 + u64::from(usage.in_flight);
            in_flight += u32::from(usage.in_flight);
            health += weight * u64::from(usage.health);
            health_weight += weight;
            if usage.latency > 0 {
                latency += weight * u64::from(usage.latency);
                latency_weight += weight;
            }
        }
        UpstreamTotal {
            upstream,
            in_flight: saturate(u64::from(in_flight)),
            latency: saturate(latency.checked_div(latency_weight).unwrap_or(0)),
            health: u8::try_from(health.checked_div(health_weight).unwrap_or(255)).unwrap_or(255),
        }
    }

    /// Adds up the kinds' counts over all entries.
    pub(crate) fn kinds(&self) -> Vec<KindUse> {
        let mut totals: Vec<KindUse> = Vec::new();
        for usage in self.entries.values().flat_map(|entry| &entry.kinds) {
            match totals.iter_mut().find(|total| total.kind == usage.kind) {
                Some(total) => {
                    total.in_flight = total.in_flight.saturating_add(usage.in_flight);
                    total.queued = total.queued.saturating_add(usage.queued);
                }
                None => totals.push(*usage),
            }
        }
        totals.sort_by_key(|total| total.kind);
        totals
    }
}

impl EntryCounts {
    fn new(delta: &CountDelta) -> Self {
        Self {
            generation: delta.generation,
            retired: None,
            sequence: 0,
            heard: Moment::ZERO,
            upstreams: FastMap::default(),
            kinds: Vec::new(),
        }
    }

    fn note(&mut self, sequence: u32, usage: UpstreamUse) {
        let told =
            self.upstreams.entry(usage.upstream).or_insert(SequencedUse { sequence: 0, usage });
        if sequence > told.sequence {
            *told = SequencedUse { sequence, usage };
        }
    }
}

fn saturate(count: u64) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
