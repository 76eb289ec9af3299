//! One upstream's announcement as hosts gossip it, and how two of them are merged.

use std::cmp::Ordering;
use std::hash::{BuildHasher, BuildHasherDefault};

use serde::{Deserialize, Serialize};

use super::{Announcement, UpstreamId, UpstreamPhase, UpstreamStart};

/// What holds of an upstream: the latest change it announced, and whether a host drains it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    pub(crate) announcement: Announcement,
    /// Set by a reply of the upstream or by an operator; holds for the incarnation.
    pub(crate) drained: bool,
}

impl LeaseRecord {
    pub(crate) fn new(announcement: Announcement) -> Self {
        Self { announcement, drained: false }
    }

    pub(crate) fn start(&self) -> UpstreamStart {
        let announcement = &self.announcement;
        UpstreamStart { id: announcement.id.clone(), incarnation: announcement.incarnation }
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.announcement.phase.takes_work() && !self.drained
    }

    /// Merges what another host holds of the same upstream; every order of merges ends the same.
    ///
    /// A later incarnation replaces an earlier one. Within one, the way is only from working over
    /// draining to gone, whatever the sequence: a message that was under way for long would else
    /// bring work back to an upstream that leaves, and its callers would see refused connections.
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

    /// Whether two records are of one start of one process.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        let (ours, theirs) = (&self.announcement, &other.announcement);
        ours.incarnation == theirs.incarnation && ours.address == theirs.address
    }

    /// Whether an announcement says nothing new but that the upstream lives.
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

    /// Orders records of one upstream. Of two processes that use one id and incarnation, the one
    /// with the lower address wins everywhere, whoever was heard of first.
    fn precedence(&self) -> impl Ord + '_ {
        let announcement = &self.announcement;
        let address = std::cmp::Reverse(announcement.address);
        let size = (announcement.slots, announcement.connections);
        let names = (&announcement.pool, &announcement.zone);
        let phase = (phase_rank(announcement.phase), announcement.sequence, announcement.phase);
        (announcement.incarnation, address, phase, size, names)
    }
}

/// How far an upstream is on its way out.
pub(crate) const fn phase_rank(phase: UpstreamPhase) -> u8 {
    match phase {
        UpstreamPhase::Warming | UpstreamPhase::Ready => 0,
        UpstreamPhase::Draining => 1,
        UpstreamPhase::Gone => 2,
    }
}

/// The hash that numbers an upstream in messages.
pub(crate) fn id_hash(id: &UpstreamId) -> u64 {
    hash_of(id)
}

fn hash_of<T: std::hash::Hash>(value: &T) -> u64 {
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(value)
}
