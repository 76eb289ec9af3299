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

    /// Adds a request of the kind with index `kind_index`.
    pub(crate) fn push(&mut self, kind_index: usize, waiting: WaitingRequest) {
        let key = (waiting.ticket.deadline, waiting.ticket.number);
        self.places.insert(waiting.ticket.number, (kind_index, waiting.ticket.deadline));
        self.kinds[kind_index].insert(key, waiting);
        if let Err(place) = self.waiting.binary_search(&kind_index) {
            self.waiting.insert(place, kind_index);
        }
    }

    /// Removes and returns a kind's request with the earliest deadline.
    pub(crate) fn pop(&mut self, kind_index: usize) -> Option<WaitingRequest> {
        let (_, waiting) = self.kinds[kind_index].pop_first()?;
        self.places.remove(&waiting.ticket.number);
        self.record_taken(kind_index);
        Some(waiting)
    }

    /// Removes a request, whatever its kind and position.
    pub(crate) fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let (kind_index, deadline) = self.places.remove(&number)?;
        let waiting = self.kinds[kind_index].remove(&(deadline, number));
        self.record_taken(kind_index);
        waiting
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<WaitingRequest> {
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting
            .flat_map(|kind_index| std::mem::take(&mut self.kinds[kind_index]).into_values())
            .collect()
    }

    /// Returns the kinds that have waiting requests, in ascending order.
    pub(crate) fn waiting(&self) -> &[usize] {
        &self.waiting
    }

    /// Returns a kind's request with the earliest deadline.
    pub(crate) fn first(&self, kind_index: usize) -> Option<&WaitingRequest> {
        self.kinds[kind_index].first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns how many requests of a kind wait.
    pub(crate) fn len_of(&self, kind_index: usize) -> usize {
        self.kinds[kind_index].len()
    }

    /// Returns how many requests of a kind wait with a deadline no later than this one.
    pub(crate) fn ahead_of(&self, kind_index: usize, deadline: Moment) -> usize {
        let kind = &self.kinds[kind_index];
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
        let firsts = self.waiting.iter().filter_map(|kind_index| self.first(*kind_index));
        firsts.map(|first| first.ticket.deadline).min()
    }

    fn record_taken(&mut self, kind_index: usize) {
        if self.kinds[kind_index].is_empty()
            && let Ok(place) = self.waiting.binary_search(&kind_index)
        {
            self.waiting.remove(place);
        }
    }
}
