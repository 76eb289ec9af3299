//! Requests that wait at one entry for a slot of one pool.

use std::collections::BTreeMap;

use super::{RequestNumber, RequestTicket};
use crate::process::{FastMap, Moment};

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: RequestTicket,
    pub(crate) arrived: Moment,
}

type WaitKey = (Moment, RequestNumber);

/// Waiting requests of each kind, by deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    kinds: Vec<BTreeMap<WaitKey, WaitingRequest>>,
    /// The kinds of which requests wait, in order.
    waiting: Vec<usize>,
    places: FastMap<RequestNumber, (usize, Moment)>,
}

impl WaitQueue {
    /// Makes an empty queue with a place for each kind.
    pub(crate) fn new(kinds: usize) -> Self {
        Self { kinds: vec![BTreeMap::new(); kinds], ..Self::default() }
    }

    /// Adds a request of the `local` kind.
    pub(crate) fn push(&mut self, local: usize, waiting: WaitingRequest) {
        let key = (waiting.ticket.deadline, waiting.ticket.number);
        self.places.insert(waiting.ticket.number, (local, waiting.ticket.deadline));
        self.kinds[local].insert(key, waiting);
        if let Err(place) = self.waiting.binary_search(&local) {
            self.waiting.insert(place, local);
        }
    }

    /// Takes a kind's request with the earliest deadline.
    pub(crate) fn pop(&mut self, local: usize) -> Option<WaitingRequest> {
        let (_, waiting) = self.kinds[local].pop_first()?;
        self.places.remove(&waiting.ticket.number);
        self.note_taken(local);
        Some(waiting)
    }

    /// Takes a request out, wherever it waits.
    pub(crate) fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let (local, deadline) = self.places.remove(&number)?;
        let waiting = self.kinds[local].remove(&(deadline, number));
        self.note_taken(local);
        waiting
    }

    /// Takes out all requests.
    pub(crate) fn drain(&mut self) -> Vec<WaitingRequest> {
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.flat_map(|local| std::mem::take(&mut self.kinds[local]).into_values()).collect()
    }

    /// The kinds of which requests wait, in order.
    pub(crate) fn waiting(&self) -> &[usize] {
        &self.waiting
    }

    /// A kind's request with the earliest deadline.
    pub(crate) fn first(&self, local: usize) -> Option<&WaitingRequest> {
        self.kinds[local].first_key_value().map(|(_, waiting)| waiting)
    }

    /// How many requests of a kind wait.
    pub(crate) fn len_of(&self, local: usize) -> usize {
        self.kinds[local].len()
    }

    /// How many requests of a kind wait with a deadline not after this one.
    pub(crate) fn ahead_of(&self, local: usize, deadline: Moment) -> usize {
        let kind = &self.kinds[local];
        // Deadlines of one kind mostly come in order of arrival, so the newcomer goes last; the
        // count is only walked for one that overtakes.
        match kind.last_key_value() {
            Some((last, _)) if last.0 > deadline => {
                kind.range(..=(deadline, RequestNumber(u64::MAX))).count()
            }
            _ => kind.len(),
        }
    }

    /// How many requests wait in all.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// The earliest deadline in the queue.
    pub(crate) fn earliest(&self) -> Option<Moment> {
        let firsts = self.waiting.iter().filter_map(|local| self.first(*local));
        firsts.map(|first| first.ticket.deadline).min()
    }

    fn note_taken(&mut self, local: usize) {
        if self.kinds[local].is_empty()
            && let Ok(place) = self.waiting.binary_search(&local)
        {
            self.waiting.remove(place);
        }
    }
}
