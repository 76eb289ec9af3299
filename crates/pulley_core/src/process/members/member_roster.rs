//! The table proper: who is known, in which state, and what of it is still to be told.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault};

use super::member_message::{DIGEST_PARTS, MemberUpdate};
use super::{FastMap, FastSet, HostId, MemberRecord, MemberState, Moment};

/// How many updates are looked at for one message; about 20 fit.
const NEWS_LIMIT: usize = 24;
/// How many messages tell of what came in a comparison of tables: others compare as well, and a
/// thousand hosts that all start at once would else fill every message for minutes.
pub(crate) const PAGE_TELLINGS: u32 = 2;

/// One known host.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) update: MemberUpdate,
    /// When its state last changed.
    pub(crate) since: Moment,
    /// How many more messages tell of it.
    pub(crate) tellings: u32,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// Known already, or outranked.
    Old,
    /// Taken over.
    Taken,
    /// There is no room for another host.
    Full,
}

/// The known hosts, bounded in number.
#[derive(Clone, Debug)]
pub(crate) struct MemberRoster {
    entries: FastMap<HostId, MemberEntry>,
    /// The hosts of which there is something to tell, those to be told of first in front.
    news: VecDeque<HostId>,
    limit: usize,
    changes: u64,
    /// The hosts of which [`Self::changes`] has counted a change since they were last taken.
    touched: FastSet<HostId>,
    /// How many of the live hosts are entries.
    live_entries: usize,
}

impl MemberRoster {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            entries: FastMap::default(),
            news: VecDeque::new(),
            limit,
            changes: 0,
            touched: FastSet::default(),
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

    /// Counts every change of what is known of live hosts.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// How many of the live hosts are entries.
    pub(crate) fn live_entries(&self) -> usize {
        self.live_entries
    }

    /// The hosts that have come, gone or changed their description since the last call.
    pub(crate) fn take_touched(&mut self) -> FastSet<HostId> {
        std::mem::take(&mut self.touched)
    }

    /// Takes an update over if it outranks what is known, to be told so many times.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        update: MemberUpdate,
        tellings: u32,
    ) -> UpdateOutcome {
        let live = update.state.is_live();
        if let Some(entry) = self.entries.get_mut(&update.record.host) {
            if !update.outranks(&entry.update) {
                return UpdateOutcome::Old;
            }
            let was_live = entry.update.state.is_live();
            self.live_entries -= usize::from(entry.update.is_live_entry());
            self.live_entries += usize::from(update.is_live_entry());
            if live != was_live || update.record != entry.update.record {
                self.changes += 1;
                self.touched.insert(update.record.host.clone());
            }
            let queued = entry.tellings > 0;
            let host = update.record.host.clone();
            *entry = MemberEntry { update, since: now, tellings };
            self.queue_news(host, queued);
            return UpdateOutcome::Taken;
        }
        // News of the death of a host never heard of: there is nothing to forget.
        if !live {
            return UpdateOutcome::Old;
        }
        if self.entries.len() >= self.limit && !self.forget_oldest_dead() {
            return UpdateOutcome::Full;
        }
        self.changes += 1;
        let host = update.record.host.clone();
        self.touched.insert(host.clone());
        self.live_entries += usize::from(update.is_live_entry());
        self.entries.insert(host.clone(), MemberEntry { update, since: now, tellings });
        self.queue_news(host, false);
        UpdateOutcome::Taken
    }

    fn queue_news(&mut self, host: HostId, queued: bool) {
        if queued {
            self.news.retain(|other| *other != host);
        }
        self.news.push_front(host);
    }

    /// Drops hosts that have been dead for longer than the retention.
    pub(crate) fn forget_dead(&mut self, before: Moment) {
        self.entries.retain(|_, entry| entry.update.state.is_live() || entry.since >= before);
    }

    /// The hosts whose suspicion began before a moment.
    pub(crate) fn overdue_suspects(&self, before: Moment) -> Vec<MemberUpdate> {
        let overdue = |entry: &&MemberEntry| {
            entry.update.state == MemberState::Suspect && entry.since <= before
        };
        self.entries.values().filter(overdue).map(|entry| entry.update.clone()).collect()
    }

    /// Shifts the start of every suspicion, after a pause in which no answer could be heard.
    pub(crate) fn postpone_suspicions(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            if entry.update.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// What is to be told next, the newest first; at most as much as a message may hold.
    pub(crate) fn news(&self) -> Vec<MemberUpdate> {
        let next = self.news.iter().take(NEWS_LIMIT);
        next.filter_map(|host| self.entries.get(host)).map(|entry| entry.update.clone()).collect()
    }

    /// Notes that the first of the news were told once more.
    pub(crate) fn count_tellings(&mut self, count: usize) {
        for _ in 0..count {
            let Some(host) = self.news.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&host) else {
                continue;
            };
            entry.tellings = entry.tellings.saturating_sub(1);
            if entry.tellings > 0 {
                self.news.push_back(host);
            }
        }
    }

    /// One digest for each part of the live hosts and the own one; equal parts have equal digests.
    pub(crate) fn digests(&self, own: &MemberRecord) -> Vec<u32> {
        let mut digests = vec![0_u32; DIGEST_PARTS];
        let others = self.live().map(|entry| &entry.update.record);
        for record in others.chain(std::iter::once(own)) {
            digests[part(&record.host)] ^= fold(hash(&(&record.host, record.incarnation)));
        }
        digests
    }

    /// All that is known of the hosts in parts whose digests differ from another's.
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

    /// How many messages tell of a change: enough that each host is told a few times.
    pub(crate) fn usual_tellings(&self) -> u32 {
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
    #[expect(clippy::cast_possible_truncation, reason = "the upper half is folded in")]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}

fn part(host: &HostId) -> usize {
    fold(hash(host)) as usize % DIGEST_PARTS
}
