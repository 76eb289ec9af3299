//! The subset of a zone's upstreams that one entry probes before the others of the zone.

/// Number of upstreams of each zone that an entry probes before the others of that zone.
///
/// There may be many entries with a few requests a second each, and more upstreams than an entry
/// can keep connections to. When upstreams were picked among all, nearly every probe opened a
/// connection. That takes an upstream a millisecond, costs the entry more processor time than the
/// request, and takes longer than an answer on an open connection. At an upstream's connection
/// limit the probe was refused. Eight upstreams are enough for two rounds of three probes, and two
/// of them may be paused or fail.
const SUBSET_SIZE: usize = 8;

/// The change of the subset caused by a change of the ranking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SubsetShift {
    /// The upstream that joined the subset.
    pub(crate) joined: Option<usize>,
    /// The upstream that left the subset.
    pub(crate) left: Option<usize>,
}

/// The upstreams of one zone that take work, as ranked by one entry.
///
/// The ranks are those of rendezvous hashing. An upstream that leaves or joins changes one place of
/// the subset, and all entries' subsets together cover every upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubsetRanking {
    ranked: Vec<(u64, usize)>,
}

impl SubsetRanking {
    /// Whether no upstream of the zone takes work.
    pub(crate) fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Adds an upstream.
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

    /// Removes an upstream.
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
