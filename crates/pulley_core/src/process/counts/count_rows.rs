//! The counts, indexed by position in a list that every host derives from the upstreams it knows.

use serde::{Deserialize, Serialize};

use super::CountKey;
use super::count_key::stable_hash;

/// The largest number of upstreams in one message; each takes 13 bytes for key, count and answers.
pub(crate) const ROWS_PER_MESSAGE: usize = 48;

/// The largest number of kinds in one message; each takes 6 bytes.
pub(crate) const KINDS_PER_MESSAGE: usize = 24;

/// Answers that one or several entries received from one upstream since their last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOutcomes {
    /// The upstream's position in the list.
    pub index: u16,
    /// The number of successful answers.
    pub answers: u16,
    /// The number of failures.
    pub failures: u16,
    /// The total latency of the successful answers, in milliseconds.
    pub total_ms: u16,
}

/// The running and waiting requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindUse {
    /// The number of outstanding requests.
    pub in_flight: u16,
    /// The number of waiting requests.
    pub queued: u16,
}

/// The counts of a part of an upstream list.
///
/// Upstreams are identified by position instead of name, because counts are sent many times a
/// second. Both sides derive the list from the upstreams they know, and `layout_digest` tells
/// whether the lists are the same. For a while after a change, when lists may differ, the keys are
/// sent too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRows {
    /// The position of the first row.
    pub first: u16,
    /// A digest of the whole list.
    pub layout_digest: u16,
    /// The key of each row's upstream; empty while the list is stable.
    pub keys: Vec<CountKey>,
    /// The number of outstanding requests at each upstream.
    pub in_flight: Vec<u16>,
    /// Answers since the last report, for upstreams that gave any. Sent up the tree only.
    pub outcomes: Vec<UpstreamOutcomes>,
    /// The usable fraction in 255ths, for upstreams that are not fully usable. Sent down the tree
    /// only.
    pub health: Vec<(u16, u8)>,
    /// A digest of the pool's kinds.
    pub kinds_digest: u16,
    /// The running and waiting requests of each kind.
    pub kinds: Vec<KindUse>,
}

/// The order of a pool's upstreams in count messages.
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

    /// Maps each row of a message to its position in this list; `None` if the message is based on
    /// another list and carries no keys.
    pub(crate) fn indices(&self, rows: &CountRows) -> Option<Vec<Option<usize>>> {
        if rows.layout_digest == self.digest {
            let first = usize::from(rows.first);
            let known = |index: usize| (index < self.keys.len()).then_some(index);
            return Some((first..first + rows.in_flight.len()).map(known).collect());
        }
        if rows.keys.len() != rows.in_flight.len() {
            return None;
        }
        Some(rows.keys.iter().map(|key| self.keys.binary_search(key).ok()).collect())
    }
}

/// Returns a digest of the keys in order.
pub(crate) fn digest_of(keys: &[CountKey]) -> u16 {
    let [low, high, ..] = stable_hash(keys.iter().map(CountKey::bytes)).to_le_bytes();
    u16::from_le_bytes([low, high])
}

/// The counts of a whole list, summed over messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountTotals {
    pub(crate) in_flight: Vec<u32>,
    pub(crate) outcomes: Vec<UpstreamOutcomes>,
    pub(crate) kinds: Vec<(u32, u32)>,
    pub(crate) hosts: u32,
}

impl CountTotals {
    /// Makes empty totals for a list of upstreams and for as many kinds as fit in a message.
    pub(crate) fn new(upstreams: usize, kinds: usize) -> Self {
        Self {
            in_flight: vec![0; upstreams],
            outcomes: vec![UpstreamOutcomes::default(); upstreams],
            kinds: vec![(0, 0); kinds.min(KINDS_PER_MESSAGE)],
            hosts: 0,
        }
    }

    /// Adds a message's counts; returns false if its rows cannot be mapped to this list.
    pub(crate) fn add(
        &mut self,
        layout: &CountLayout,
        kinds_digest: u16,
        rows: &CountRows,
    ) -> bool {
        let Some(indices) = layout.indices(rows) else { return false };
        for (index, count) in indices.iter().zip(&rows.in_flight) {
            if let Some(index) = index {
                self.in_flight[*index] += u32::from(*count);
            }
        }
        for outcomes in &rows.outcomes {
            let row = usize::from(outcomes.index).checked_sub(usize::from(rows.first));
            let index = row.and_then(|row| indices.get(row).copied().flatten());
            if let Some(index) = index {
                self.outcomes[index].add(outcomes);
            }
        }
        // Only the first part carries the kinds, so that several parts do not count them twice.
        if rows.first == 0 && rows.kinds_digest == kinds_digest {
            for (total, kind) in self.kinds.iter_mut().zip(&rows.kinds) {
                total.0 += u32::from(kind.in_flight);
                total.1 += u32::from(kind.queued);
            }
        }
        true
    }

    /// Converts the totals to message rows, in as many parts as needed.
    pub(crate) fn rows(
        &self,
        layout: &CountLayout,
        kinds_digest: u16,
        with_keys: bool,
    ) -> Vec<CountRows> {
        let parts = self.in_flight.chunks(ROWS_PER_MESSAGE).enumerate();
        let mut all: Vec<CountRows> = parts
            .map(|(part, counts)| {
                let first = part * ROWS_PER_MESSAGE;
                let indices = first..first + counts.len();
                CountRows {
                    first: saturate(first),
                    layout_digest: layout.digest(),
                    keys: if with_keys { layout.keys()[indices.clone()].to_vec() } else { vec![] },
                    in_flight: counts.iter().map(|count| saturate(*count as usize)).collect(),
                    outcomes: self.outcome_rows(indices),
                    health: Vec::new(),
                    kinds_digest,
                    kinds: Vec::new(),
                }
            })
            .collect();
        if all.is_empty() {
            all.push(CountRows {
                layout_digest: layout.digest(),
                kinds_digest,
                ..CountRows::default()
            });
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

    fn outcome_rows(&self, indices: std::ops::Range<usize>) -> Vec<UpstreamOutcomes> {
        let changed = indices.filter(|index| self.outcomes[*index].is_some());
        changed
            .map(|index| UpstreamOutcomes { index: saturate(index), ..self.outcomes[index] })
            .collect()
    }
}

impl UpstreamOutcomes {
    /// Whether there is any answer or failure.
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

/// Converts a count, saturating at the largest value that fits.
pub(crate) fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
