//! Timer queue, ordered by deadline and then by order of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fes_protocol::MonoTime;

use crate::ComponentName;
use crate::TimerToken;

type TimerEntry = Reverse<(MonoTime, u64, ComponentName, TimerToken)>;

#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<TimerEntry>,
    next_sequence: u64,
}

impl Timers {
    pub(crate) fn push(&mut self, deadline: MonoTime, owner: ComponentName, token: TimerToken) {
        self.heap
            .push(Reverse((deadline, self.next_sequence, owner, token)));
        self.next_sequence += 1;
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.heap.peek().map(|Reverse((deadline, ..))| *deadline)
    }

    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<(ComponentName, TimerToken)> {
        if self.next_deadline()? > now {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse((_, _, owner, token))| (owner, token))
    }
}
