//! Which upstreams of a zone one entry asks before all others of that zone.

/// How many upstreams of each zone an entry asks before all others of that zone.
///
/// Load it is for: many entries with a few requests a second each, and more upstreams than an entry
/// can keep connections to. Harm: picked among all, nearly every question opened a connection, which
/// takes an upstream a millisecond, an entry more processor time than the request, and longer than
/// an answer that is already there; at an upstream's limit it was refused. Reason for the limit:
/// two rounds of three questions, and two upstreams to spare that rest or fail.
const SUBSET_SIZE: usize = 8;

/// What a change of the ranking does to the subset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SubsetShift {
    /// The upstream that belongs to it now.
    pub(crate) joined: Option<usize>,
    /// The upstream that no longer does.
    pub(crate) left: Option<usize>,
}

/// The upstreams of one zone that take work, in the order in which one entry ranks them.
///
/// The ranks are those of rendezvous hashing: one upstream that leaves or joins changes one place
/// of the subset, and all entries' subsets together cover every upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubsetRanking {
    ranked: Vec<(u64, usize)>,
}

impl SubsetRanking {
    /// Whether no upstream of the zone takes work.
    pub(crate) fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Takes in an upstream.
    pub(crate) fn insert(&mut self, rank: u64, index: usize) -> SubsetShift {
        let Err(place) = self.ranked.binary_search(&(rank, index)) else {
            return SubsetShift::default();
        };
        self.ranked.insert(place, (rank, index));
        if place >= SUBSET_SIZE {
            return SubsetShift::default();
        }
        SubsetShift { joined: Some(index), left: self.at(SUBSET_SIZE) }
    }

    /// Takes out an upstream.
    pub(crate) fn remove(&mut self, rank: u64, index: usize) -> SubsetShift {
        let Ok(place) = self.ranked.binary_search(&(rank, index)) else {
            return SubsetShift::default();
        };
        self.ranked.remove(place);
        if place >= SUBSET_SIZE {
            return SubsetShift::default();
        }
        SubsetShift { joined: self.at(SUBSET_SIZE - 1), left: Some(index) }
    }

    fn at(&self, place: usize) -> Option<usize> {
        self.ranked.get(place).map(|(_, index)| *index)
    }
}
