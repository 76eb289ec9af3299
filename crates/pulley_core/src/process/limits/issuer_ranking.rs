//! Which entries issue the permits for an upstream, and which of them an entry asks.

use super::{EntryZones, HostId, StartRate, UpstreamId, ZoneName, stable_hash};

/// Least rate of one slice of a limit, in requests a second, and number of entries that share one
/// issuer. Both bound the questions that one host answers.
const MIN_SLICE_RATE: f32 = 10.0;
const ENTRIES_PER_SLICE: usize = 25;

/// The entries that issue the permits for one upstream, in order of precedence.
///
/// Every host derives the same order from the same list of live entries, without messages. A high
/// limit shared by many entries is divided into slices of equal rate, each with its own issuer, and
/// each entry draws on one slice.
pub(crate) struct IssuerRanking<'a> {
    ranked: Vec<&'a HostId>,
    upstream: &'a UpstreamId,
    slices: usize,
}

impl<'a> IssuerRanking<'a> {
    pub(crate) fn new(
        entries: &'a EntryZones,
        zone: &ZoneName,
        upstream: &'a UpstreamId,
        rate: StartRate,
    ) -> Self {
        let ranked = entries.ranked(zone, upstream);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative; the cast saturates"
        )]
        let by_rate = (rate.per_second() / MIN_SLICE_RATE) as usize;
        let by_entries = entries.len() / ENTRIES_PER_SLICE;
        let slices = by_rate.min(by_entries).clamp(1, ranked.len().max(1));
        Self { ranked, upstream, slices }
    }

    /// Returns the number of slices.
    pub(crate) fn slices(&self) -> usize {
        self.slices
    }

    /// Returns the slice that an entry draws on.
    pub(crate) fn slice_of(&self, entry: &HostId) -> usize {
        let hash = stable_hash(["slice", self.upstream.as_str(), entry.as_str()]);
        usize::try_from(hash % self.slices as u64).unwrap_or(0)
    }

    /// Returns the entry that issues a slice's permits.
    pub(crate) fn issuer(&self, slice: usize) -> Option<&'a HostId> {
        self.ranked.get(slice).copied()
    }

    /// Returns the entry that issues a few permits of a slice while its issuer does not answer.
    pub(crate) fn deputy(&self, slice: usize) -> Option<&'a HostId> {
        let place = (slice + 1) % self.ranked.len().max(1);
        self.ranked.get(place).copied().filter(|_| place != slice)
    }
}
