//! Priority queue of simulation events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use fes_protocol::MonoTime;

#[derive(Debug)]
struct Entry<E> {
    at: MonoTime,
    sequence: u64,
    event: E,
}

/// Events ordered by time, then by insertion.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn push(&mut self, at: MonoTime, event: E) {
        self.heap.push(Entry {
            at,
            sequence: self.next_sequence,
            event,
        });
        self.next_sequence += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(MonoTime, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because `BinaryHeap` pops the greatest entry.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
