//! The simulation's event queue, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pulley_core::Moment;

/// Pending events. Events with the same time are returned in the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    events: Vec<Option<E>>,
    free_indices: Vec<usize>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), events: Vec::new(), free_indices: Vec::new(), sequence: 0 }
    }

    pub(crate) fn schedule(&mut self, at: Moment, event: E) {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, index)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Moment, E)> {
        let Reverse((at, _, index)) = self.heap.pop()?;
        self.free_indices.push(index);
        let event = self.events[index].take()?;
        Some((at, event))
    }
}
