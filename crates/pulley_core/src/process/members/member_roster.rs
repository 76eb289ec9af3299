//! The known hosts, their states and the updates that are still to be gossiped.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault};

use super::member_message::{DIGEST_PARTS, MemberUpdate};
use super::{FastMap, FastSet, HostId, MemberRecord, MemberState, Moment};

/// The number of updates considered for one message; about 20 fit.
const UPDATES_PER_MESSAGE: usize = 24;
/// The number of messages that pass on an update from a sync page. Few suffice, because other hosts
/// compare their tables too. With more, a thousand hosts that start at once would fill every
/// message for minutes.
pub(crate) const SYNC_TRANSMISSIONS: u32 = 2;

/// A known host's latest update, and how often it is still to be sent.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) update: MemberUpdate,
    /// When its state last changed.
    pub(crate) since: Moment,
    /// The number of messages that are still to carry its update.
    pub(crate) transmissions: u32,
}

/// The outcome of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The update is known already or outranked.
    Stale,
    /// The update was applied.
    Applied,
    /// The limit on the number of hosts is reached.
    Full,
}

/// The known hosts, bounded in number.
#[derive(Clone, Debug)]
pub(crate) struct MemberRoster {
    entries: FastMap<HostId, MemberEntry>,
    /// The hosts whose updates are to be sent; the update of the first is sent next.
    queue: VecDeque<HostId>,
    limit: usize,
    changes: u64,
    /// The hosts changed since the last call of [`Self::take_changed_hosts`].
    changed_hosts: FastSet<HostId>,
    /// The number of known live hosts that are entries.
    live_entries: usize,
}

impl MemberRoster {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            entries: FastMap::default(),
            queue: VecDeque::new(),
            limit,
            changes: 0,
            changed_hosts: FastSet::default(),
            live_entries: 0,
        }
    }

    pub(crate) fn find(&self, host: &HostId) -> Option<&MemberEntry> {
        self.entries.get(host)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|entry| entry.update.state.is_live())
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns a counter of all changes of the live hosts and their descriptions.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of live entries.
    pub(crate) fn live_entries(&self) -> usize {
        self.live_entries
    }

    /// Takes the hosts that were added or removed, or that changed their description, since the
    /// last call.
    pub(crate) fn take_changed_hosts(&mut self) -> FastSet<HostId> {
        std::mem::take(&mut self.changed_hosts)
    }

    /// Applies an update if it outranks the known one, and queues it for `transmissions` messages.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        update: MemberUpdate,
        transmissions: u32,
    ) -> UpdateOutcome {
        let live = update.state.is_live();
        if let Some(entry) = self.entries.get_mut(&update.record.host) {
            if !update.outranks(&entry.update) {
                return UpdateOutcome::Stale;
            }
            let was_live = entry.update.state.is_live();
            self.live_entries -= usize::from(entry.update.is_live_entry());
            self.live_entries += usize::from(update.is_live_entry());
            if live != was_live || update.record != entry.update.record {
                self.changes += 1;
                self.changed_hosts.insert(update.record.host.clone());
            }
            let queued = entry.transmissions > 0;
            let host = update.record.host.clone();
            *entry = MemberEntry { update, since: now, transmissions };
            self.queue_update(host, queued);
            return UpdateOutcome::Applied;
        }
        // The host is unknown and no longer live, so there is nothing to change.
        if !live {
            return UpdateOutcome::Stale;
        }
        if self.entries.len() >= self.limit && !self.forget_oldest_dead() {
            return UpdateOutcome::Full;
        }
        self.changes += 1;
        let host = update.record.host.clone();
        self.changed_hosts.insert(host.clone());
        self.live_entries += usize::from(update.is_live_entry());
        self.entries.insert(host.clone(), MemberEntry { update, since: now, transmissions });
        self.queue_update(host, false);
        UpdateOutcome::Applied
    }

    fn queue_update(&mut self, host: HostId, queued: bool) {
        if queued {
            self.queue.retain(|other| *other != host);
        }
        self.queue.push_front(host);
    }

    /// Drops the hosts that died or left before a moment.
    pub(crate) fn forget_dead(&mut self, before: Moment) {
        self.entries.retain(|_, entry| entry.update.state.is_live() || entry.since >= before);
    }

    /// Returns the hosts whose suspicion began at or before a moment.
    pub(crate) fn overdue_suspects(&self, before: Moment) -> Vec<MemberUpdate> {
        let overdue = |entry: &&MemberEntry| {
            entry.update.state == MemberState::Suspect && entry.since <= before
        };
        self.entries.values().filter(overdue).map(|entry| entry.update.clone()).collect()
    }

    /// Restarts the timeout of every suspicion, after a pause in which no refutation could be read.
    pub(crate) fn restart_suspicions(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            if entry.update.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// Returns the next updates to send, newest first; at most [`UPDATES_PER_MESSAGE`].
    pub(crate) fn next_updates(&self) -> Vec<MemberUpdate> {
        let next = self.queue.iter().take(UPDATES_PER_MESSAGE);
        next.filter_map(|host| self.entries.get(host)).map(|entry| entry.update.clone()).collect()
    }

    /// Counts one more transmission of the first `count` queued updates.
    pub(crate) fn count_transmissions(&mut self, count: usize) {
        for _ in 0..count {
            let Some(host) = self.queue.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&host) else {
                continue;
            };
            entry.transmissions = entry.transmissions.saturating_sub(1);
            if entry.transmissions > 0 {
                self.queue.push_back(host);
            }
        }
    }

    /// Returns one digest for each part of the live hosts, including this host. Equal parts have
    /// equal digests.
    pub(crate) fn digests(&self, own: &MemberRecord) -> Vec<u32> {
        let mut digests = vec![0_u32; DIGEST_PARTS];
        let others = self.live().map(|entry| &entry.update.record);
        for record in others.chain(std::iter::once(own)) {
            digests[part(&record.host)] ^= fold(hash(&(&record.host, record.incarnation)));
        }
        digests
    }

    /// Returns the updates of the hosts in parts whose digests differ from another host's.
    pub(crate) fn differing(&self, ours: &[u32], theirs: &[u32]) -> Vec<MemberUpdate> {
        let differs = |index: usize| theirs.get(index) != ours.get(index);
        let mut updates: Vec<MemberUpdate> = self
            .entries
            .values()
            .filter(|entry| differs(part(&entry.update.record.host)))
            .map(|entry| entry.update.clone())
            .collect();
        updates.sort_by(|a, b| a.record.host.cmp(&b.record.host));
        updates
    }

    /// Returns the number of messages that carry a change, enough for each host to receive it a few
    /// times.
    pub(crate) fn default_transmissions(&self) -> u32 {
        3 * (usize::BITS - self.entries.len().leading_zeros()).max(1)
    }

    fn forget_oldest_dead(&mut self) -> bool {
        let oldest = self
            .entries
            .values()
            .filter(|entry| !entry.update.state.is_live())
            .min_by_key(|entry| entry.since)
            .map(|entry| entry.update.record.host.clone());
        oldest.is_some_and(|host| self.entries.remove(&host).is_some())
    }
}

fn hash<T: std::hash::Hash>(value: &T) -> u64 {
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(value)
}

fn fold(hash: u64) -> u32 {
    #[expect(clippy::cast_possible_truncation, reason = "the upper half is XORed in")]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}

fn part(host: &HostId) -> usize {
    fold(hash(host)) as usize % DIGEST_PARTS
}
