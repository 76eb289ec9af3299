//! The simulation's event queue, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pulley_core::Moment;

/// Pending events. Events with the same time are returned in the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    bodies: Vec<Option<E>>,
    unused: Vec<usize>,
    added: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), bodies: Vec::new(), unused: Vec::new(), added: 0 }
    }

    pub(crate) fn add(&mut self, at: Moment, event: E) {
        let place = self.unused.pop().unwrap_or_else(|| {
            self.bodies.push(None);
            self.bodies.len() - 1
        });
        self.bodies[place] = Some(event);
        self.added += 1;
        self.heap.push(Reverse((at, self.added, place)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Moment, E)> {
        let Reverse((at, _, place)) = self.heap.pop()?;
        self.unused.push(place);
        let event = self.bodies[place].take()?;
        Some((at, event))
    }
}
