//! One upstream's announcement as hosts gossip it, and the merge of two such records.

use std::cmp::Ordering;
use std::hash::{BuildHasher, BuildHasherDefault};

use serde::{Deserialize, Serialize};

use super::{Announcement, UpstreamId, UpstreamPhase, UpstreamStart};

/// The state of an upstream: its latest announced change, and whether a host drains it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    pub(crate) announcement: Announcement,
    /// Set by a reply of the upstream or by an operator. Applies to this incarnation only.
    pub(crate) drained: bool,
}

impl LeaseRecord {
    pub(crate) fn new(announcement: Announcement) -> Self {
        Self { announcement, drained: false }
    }

    pub(crate) fn start(&self) -> UpstreamStart {
        self.announcement.start()
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.announcement.phase.takes_work() && !self.drained
    }

    /// Merges another host's record of the same upstream. The order of merges does not matter.
    ///
    /// A later incarnation replaces an earlier one. Within an incarnation the phase only moves
    /// forward, from working to draining to gone, whatever the sequence number. Otherwise a delayed
    /// message would send work again to an upstream that is leaving, and its callers would see
    /// refused connections.
    pub(crate) fn merged(&self, other: &Self) -> Self {
        match self.precedence().cmp(&other.precedence()) {
            Ordering::Less if self.is_same_start(other) => {
                Self { drained: self.drained | other.drained, ..other.clone() }
            }
            Ordering::Less => other.clone(),
            Ordering::Equal | Ordering::Greater if self.is_same_start(other) => {
                Self { drained: self.drained | other.drained, ..self.clone() }
            }
            Ordering::Equal | Ordering::Greater => self.clone(),
        }
    }

    /// Whether both records belong to the same incarnation of the same process.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        let (ours, theirs) = (&self.announcement, &other.announcement);
        ours.incarnation == theirs.incarnation && ours.address == theirs.address
    }

    /// Whether an announcement only renews the lease and changes nothing else.
    pub(crate) fn is_renewed_by(&self, announcement: &Announcement) -> bool {
        let sequence = self.announcement.sequence;
        Announcement { sequence, ..announcement.clone() } == self.announcement
    }

    pub(crate) fn hash(&self) -> u64 {
        let announcement = &self.announcement;
        let endpoint = (announcement.address, announcement.slots, announcement.connections);
        let order = (announcement.incarnation, announcement.sequence, announcement.phase);
        hash_of(&(&announcement.id, endpoint, order, self.drained))
    }

    /// The key that decides which of two records of one upstream wins. If two processes use the
    /// same id and incarnation, the lower address wins on every host, regardless of arrival order.
    fn precedence(&self) -> impl Ord + '_ {
        let announcement = &self.announcement;
        let address = std::cmp::Reverse(announcement.address);
        let size = (announcement.slots, announcement.connections);
        let names = (&announcement.pool, &announcement.zone);
        let phase = (phase_rank(announcement.phase), announcement.sequence, announcement.phase);
        (announcement.incarnation, address, phase, size, names)
    }
}

/// The rank of a phase on the way from working to gone.
pub(crate) const fn phase_rank(phase: UpstreamPhase) -> u8 {
    match phase {
        UpstreamPhase::Warming | UpstreamPhase::Ready => 0,
        UpstreamPhase::Draining => 1,
        UpstreamPhase::Gone => 2,
    }
}

/// The hash that identifies an upstream in messages. Its leading bits determine the bucket.
pub(crate) fn id_hash(id: &UpstreamId) -> u64 {
    hash_of(id)
}

fn hash_of<T: std::hash::Hash>(value: &T) -> u64 {
    const MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
    let hash = BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(value);
    // The fast hash varies little in some of its bits.
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 29)
}
