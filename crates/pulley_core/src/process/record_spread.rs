//! Passes records on along the ring of live hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::registry::{UpdateReach, split_by_size};
use super::{Moment, PeerRing};

/// Records that have just changed, each to be passed on within its reach.
#[derive(Clone, Debug)]
pub(crate) struct RecordSpread<R> {
    updates: Vec<(UpdateReach, R)>,
    /// The minimum interval between two sends. Records that change with every answer would otherwise
    /// cost every host a message each.
    interval: Duration,
    next_send: Moment,
}

impl<R: Clone + Serialize> RecordSpread<R> {
    /// Creates a spread without records.
    pub(crate) const fn new(interval: Duration) -> Self {
        Self { updates: Vec::new(), interval, next_send: Moment::ZERO }
    }

    /// Returns the number of records that wait to be sent.
    pub(crate) const fn len(&self) -> usize {
        self.updates.len()
    }

    /// Returns when the next send is due; `None` if no record waits.
    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        (!self.updates.is_empty()).then_some(self.next_send)
    }

    /// Adds a record in place of a waiting one that `is_same` matches.
    pub(crate) fn push(&mut self, reach: UpdateReach, record: R, is_same: impl Fn(&R) -> bool) {
        let replaced = self.updates.extract_if(.., |(_, old)| is_same(old));
        let reach = replaced.map(|(reach, _)| reach).fold(reach, UpdateReach::max);
        if reach > UpdateReach::NONE {
            self.updates.push((reach, record));
        }
    }

    /// Returns the messages that are due, each made by `pack`.
    pub(crate) fn take_due(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        pack: impl Fn(UpdateReach, Vec<R>) -> Bytes,
    ) -> Vec<(SocketAddr, Bytes)> {
        if self.updates.is_empty() || now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + self.interval;
        let updates = std::mem::take(&mut self.updates);
        let mut sends = Vec::new();
        for step in 0..ring.rounds() {
            let reach = UpdateReach(u8::try_from(step).unwrap_or(u8::MAX));
            let selected = updates.iter().filter(|(to, _)| *to > reach);
            let selected: Vec<R> = selected.map(|(_, record)| record.clone()).collect();
            let Some(to) = ring.target(step) else { break };
            for records in split_by_size(selected) {
                sends.push((to.address, pack(reach, records)));
            }
        }
        sends
    }
}

/// Whose turn it is to be sent which part of a host's records, for those that missed a change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SyncTurn {
    round: u32,
}

impl SyncTurn {
    /// Returns the next part of some records and whom to send it to.
    pub(crate) fn next<R: Serialize>(
        &mut self,
        ring: &PeerRing,
        records: Vec<R>,
    ) -> Option<(SocketAddr, Vec<R>)> {
        let mut parts = split_by_size(records);
        let to = ring.target(self.round)?;
        // The targets repeat after a cycle, so that each target gets the next part in its turn.
        let part = (self.round / ring.rounds().max(1)) as usize % parts.len().max(1);
        self.round = self.round.wrapping_add(1);
        (part < parts.len()).then(|| (to.address, parts.swap_remove(part)))
    }
}
