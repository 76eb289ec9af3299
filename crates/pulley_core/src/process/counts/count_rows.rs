//! The counts themselves, by place in a list that all hosts derive from what they know.

use serde::{Deserialize, Serialize};

use super::CountKey;
use super::count_key::stable_hash;

/// Upstreams in one message at most: 13 bytes each with key, count and news.
pub(crate) const ROWS_PER_MESSAGE: usize = 48;

/// Kinds in one message at most: 6 bytes each.
pub(crate) const KINDS_PER_MESSAGE: usize = 24;

/// Answers that one entry, or several, had from one upstream since their last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamNews {
    /// The upstream's place in the list.
    pub place: u16,
    /// Good answers.
    pub answers: u16,
    /// Failures.
    pub failures: u16,
    /// Time of the good answers together, in milliseconds.
    pub total_ms: u16,
}

/// What is running and waiting of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindUse {
    /// Requests outstanding.
    pub in_flight: u16,
    /// Requests that wait.
    pub queued: u16,
}

/// A part of an upstream list's counts.
///
/// Places stand for names, since counts travel many times a second. Both sides derive the list
/// from the upstreams they know; `layout` tells whether those are the same. The keys are sent
/// along as long as lists may differ, after a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRows {
    /// The place of the first row.
    pub first: u16,
    /// A digest of the whole list.
    pub layout: u16,
    /// Each row's upstream, or nothing while the list is settled.
    pub keys: Vec<CountKey>,
    /// Requests outstanding at each.
    pub in_flight: Vec<u16>,
    /// Answers since the last report, of those upstreams that had any; up the tree only.
    pub news: Vec<UpstreamNews>,
    /// Usable part in 255ths, of those upstreams that are not wholly so; down the tree only.
    pub health: Vec<(u16, u8)>,
    /// A digest of the pool's kinds.
    pub plan: u16,
    /// What is running and waiting of each kind.
    pub kinds: Vec<KindUse>,
}

/// The order of a pool's upstreams in messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CountLayout {
    keys: Vec<CountKey>,
    digest: u16,
}

impl CountLayout {
    /// Orders upstreams by key.
    pub(crate) fn new(mut keys: Vec<CountKey>) -> Self {
        keys.sort_unstable();
        let digest = digest_of(&keys);
        Self { keys, digest }
    }

    pub(crate) fn keys(&self) -> &[CountKey] {
        &self.keys
    }

    pub(crate) fn digest(&self) -> u16 {
        self.digest
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// The place here of each row of a message; nothing if the message cannot be read.
    pub(crate) fn places(&self, rows: &CountRows) -> Option<Vec<Option<usize>>> {
        if rows.layout == self.digest {
            let first = usize::from(rows.first);
            let known = |place: usize| (place < self.keys.len()).then_some(place);
            return Some((first..first + rows.in_flight.len()).map(known).collect());
        }
        if rows.keys.len() != rows.in_flight.len() {
            return None;
        }
        Some(rows.keys.iter().map(|key| self.keys.binary_search(key).ok()).collect())
    }
}

/// A digest of keys in order.
pub(crate) fn digest_of(keys: &[CountKey]) -> u16 {
    let [low, high, ..] = stable_hash(keys.iter().map(CountKey::bytes)).to_le_bytes();
    u16::from_le_bytes([low, high])
}

/// Counts of a whole list, added up from messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountTotals {
    pub(crate) in_flight: Vec<u32>,
    pub(crate) news: Vec<UpstreamNews>,
    pub(crate) kinds: Vec<(u32, u32)>,
    pub(crate) hosts: u32,
}

impl CountTotals {
    /// Makes empty totals for a list and as many of the kinds as a message tells.
    pub(crate) fn new(upstreams: usize, kinds: usize) -> Self {
        Self {
            in_flight: vec![0; upstreams],
            news: vec![UpstreamNews::default(); upstreams],
            kinds: vec![(0, 0); kinds.min(KINDS_PER_MESSAGE)],
            hosts: 0,
        }
    }

    /// Adds a message's counts; false if its list cannot be read here.
    pub(crate) fn add(&mut self, layout: &CountLayout, plan: u16, rows: &CountRows) -> bool {
        let Some(places) = layout.places(rows) else { return false };
        for (place, count) in places.iter().zip(&rows.in_flight) {
            if let Some(place) = place {
                self.in_flight[*place] += u32::from(*count);
            }
        }
        for news in &rows.news {
            let row = usize::from(news.place).checked_sub(usize::from(rows.first));
            let place = row.and_then(|row| places.get(row).copied().flatten());
            if let Some(place) = place {
                self.news[place].add(news);
            }
        }
        // The kinds stand in the first part only, so that several parts do not repeat them.
        if rows.first == 0 && rows.plan == plan {
            for (total, kind) in self.kinds.iter_mut().zip(&rows.kinds) {
                total.0 += u32::from(kind.in_flight);
                total.1 += u32::from(kind.queued);
            }
        }
        true
    }

    /// Writes the totals as message rows, in as many parts as are needed.
    pub(crate) fn rows(&self, layout: &CountLayout, plan: u16, with_keys: bool) -> Vec<CountRows> {
        let parts = self.in_flight.chunks(ROWS_PER_MESSAGE).enumerate();
        let mut all: Vec<CountRows> = parts
            .map(|(part, counts)| {
                let first = part * ROWS_PER_MESSAGE;
                let places = first..first + counts.len();
                CountRows {
                    first: saturate(first),
                    layout: layout.digest(),
                    keys: if with_keys { layout.keys()[places.clone()].to_vec() } else { vec![] },
                    in_flight: counts.iter().map(|count| saturate(*count as usize)).collect(),
                    news: self.news_rows(places),
                    health: Vec::new(),
                    plan,
                    kinds: Vec::new(),
                }
            })
            .collect();
        if all.is_empty() {
            all.push(CountRows { layout: layout.digest(), plan, ..CountRows::default() });
        }
        let kinds = self.kinds.iter();
        all[0].kinds = kinds
            .map(|(in_flight, queued)| KindUse {
                in_flight: saturate(*in_flight as usize),
                queued: saturate(*queued as usize),
            })
            .collect();
        all
    }

    fn news_rows(&self, places: std::ops::Range<usize>) -> Vec<UpstreamNews> {
        let told = places.filter(|place| self.news[*place].is_some());
        told.map(|place| UpstreamNews { place: saturate(place), ..self.news[place] }).collect()
    }
}

impl UpstreamNews {
    /// Whether there is any news.
    #[must_use]
    pub const fn is_some(&self) -> bool {
        self.answers > 0 || self.failures > 0
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.total_ms = self.total_ms.saturating_add(other.total_ms);
    }
}

/// The number, or the largest that fits.
pub(crate) fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
