//! Queue of the requests that wait at one entry for a slot of one pool.

use std::collections::BTreeMap;

use super::{RequestNumber, RequestTicket};
use crate::process::{FastMap, Moment};

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: RequestTicket,
    pub(crate) arrived: Moment,
}

type WaitKey = (Moment, RequestNumber);

/// Waiting requests by kind, each kind ordered by deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    kinds: Vec<BTreeMap<WaitKey, WaitingRequest>>,
    /// The kinds that have waiting requests, in ascending order.
    waiting: Vec<usize>,
    places: FastMap<RequestNumber, (usize, Moment)>,
}

impl WaitQueue {
    /// Creates an empty queue for `kinds` kinds.
    pub(crate) fn new(kinds: usize) -> Self {
        Self { kinds: vec![BTreeMap::new(); kinds], ..Self::default() }
    }

    /// Adds a request of the kind with index `local`.
    pub(crate) fn push(&mut self, local: usize, waiting: WaitingRequest) {
        let key = (waiting.ticket.deadline, waiting.ticket.number);
        self.places.insert(waiting.ticket.number, (local, waiting.ticket.deadline));
        self.kinds[local].insert(key, waiting);
        if let Err(place) = self.waiting.binary_search(&local) {
            self.waiting.insert(place, local);
        }
    }

    /// Removes and returns a kind's request with the earliest deadline.
    pub(crate) fn pop(&mut self, local: usize) -> Option<WaitingRequest> {
        let (_, waiting) = self.kinds[local].pop_first()?;
        self.places.remove(&waiting.ticket.number);
        self.note_taken(local);
        Some(waiting)
    }

    /// Removes a request, whatever its kind and position.
    pub(crate) fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let (local, deadline) = self.places.remove(&number)?;
        let waiting = self.kinds[local].remove(&(deadline, number));
        self.note_taken(local);
        waiting
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<WaitingRequest> {
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.flat_map(|local| std::mem::take(&mut self.kinds[local]).into_values()).collect()
    }

    /// Returns the kinds that have waiting requests, in ascending order.
    pub(crate) fn waiting(&self) -> &[usize] {
        &self.waiting
    }

    /// Returns a kind's request with the earliest deadline.
    pub(crate) fn first(&self, local: usize) -> Option<&WaitingRequest> {
        self.kinds[local].first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns how many requests of a kind wait.
    pub(crate) fn len_of(&self, local: usize) -> usize {
        self.kinds[local].len()
    }

    /// Returns how many requests of a kind wait with a deadline no later than this one.
    pub(crate) fn ahead_of(&self, local: usize, deadline: Moment) -> usize {
        let kind = &self.kinds[local];
        // Deadlines of one kind mostly come in order of arrival, so a new request usually goes
        // last. The requests ahead are only counted one by one for a request that overtakes others.
        match kind.last_key_value() {
            Some((last, _)) if last.0 > deadline => {
                kind.range(..=(deadline, RequestNumber(u64::MAX))).count()
            }
            _ => kind.len(),
        }
    }

    /// Returns how many requests wait in all.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the earliest deadline in the queue.
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
