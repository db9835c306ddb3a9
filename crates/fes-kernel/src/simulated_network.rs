//! Simulated network that delivers messages and timers to processes in virtual time, with delay,
//! loss, duplication and partitions. A run is determined by the seed and the sequence of calls.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;

use fes_protocol::FastSet;
use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time after which the reliable transport retransmits a lost segment.
const RETRANSMISSION_TIMEOUT_US: u64 = 200_000;
/// Maximum number of retransmissions of one segment; further losses are ignored.
const MAX_RETRANSMISSIONS: u32 = 5;

/// Properties of a one-way path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathQuality {
    /// Minimum delay in microseconds.
    pub delay_us: u64,
    /// Maximum random addition to the delay in microseconds.
    pub jitter_us: u64,
    /// Probability that a message is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is duplicated, 0 to 1.
    pub duplication: f64,
}

impl PathQuality {
    /// Returns a path that delivers every message exactly once after `delay_us`.
    #[must_use]
    pub const fn perfect(delay_us: u64) -> Self {
        Self {
            delay_us,
            jitter_us: 0,
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

/// An event at a simulated process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SimulationEvent<A, M> {
    /// A message arrives.
    Message {
        /// Sender.
        from: A,
        /// Content.
        body: M,
    },
    /// A timer fires.
    Timer,
}

#[derive(Debug)]
struct ScheduledEvent<A, M> {
    at: MonoTime,
    sequence: u64,
    to: A,
    event: SimulationEvent<A, M>,
}

impl<A, M> PartialEq for ScheduledEvent<A, M> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<A, M> Eq for ScheduledEvent<A, M> {}

impl<A, M> PartialOrd for ScheduledEvent<A, M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<A, M> Ord for ScheduledEvent<A, M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A network of processes that have addresses of type `A` and exchange messages of type `M`.
#[derive(Debug)]
pub struct SimulatedNetwork<A, M> {
    now: MonoTime,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<ScheduledEvent<A, M>>>,
    next_sequence: u64,
    blocked: FastSet<(A, A)>,
}

impl<A: Copy + Eq + Hash, M: Clone> SimulatedNetwork<A, M> {
    /// Creates an empty network at time zero.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            now: MonoTime::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next_sequence: 0,
            blocked: FastSet::default(),
        }
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> MonoTime {
        self.now
    }

    /// Blocks the direction from `from` to `to`. Messages already in transit still arrive.
    pub fn block(&mut self, from: A, to: A) {
        self.blocked.insert((from, to));
    }

    /// Unblocks the direction from `from` to `to`.
    pub fn unblock(&mut self, from: A, to: A) {
        self.blocked.remove(&(from, to));
    }

    /// Unblocks all directions.
    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    /// Returns whether the direction from `from` to `to` is blocked.
    #[must_use]
    pub fn is_blocked(&self, from: A, to: A) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Sends a datagram, which may be lost or duplicated.
    pub fn send_datagram(&mut self, from: A, to: A, body: M, path: PathQuality) {
        if self.is_blocked(from, to) || self.rng.random_bool(path.loss) {
            return;
        }
        if self.rng.random_bool(path.duplication) {
            let at = self.arrival_time(path);
            self.push(
                at,
                to,
                SimulationEvent::Message {
                    from,
                    body: body.clone(),
                },
            );
        }
        let at = self.arrival_time(path);
        self.push(at, to, SimulationEvent::Message { from, body });
    }

    /// Sends a message over a reliable transport: a loss delays it, a block in either direction
    /// drops it.
    pub fn send_reliable(&mut self, from: A, to: A, body: M, path: PathQuality) {
        if self.is_blocked(from, to) || self.is_blocked(to, from) {
            return;
        }
        let mut at = self.arrival_time(path);
        for _ in 0..MAX_RETRANSMISSIONS {
            if !self.rng.random_bool(path.loss) {
                break;
            }
            at = at.plus_us(RETRANSMISSION_TIMEOUT_US);
        }
        self.push(at, to, SimulationEvent::Message { from, body });
    }

    /// Sets a timer of the process `owner`.
    pub fn set_timer(&mut self, at: MonoTime, owner: A) {
        self.push(at.max(self.now), owner, SimulationEvent::Timer);
    }

    /// Schedules an event again for a later time, because its receiver is paused.
    pub fn defer(&mut self, at: MonoTime, to: A, event: SimulationEvent<A, M>) {
        self.push(at.max(self.now), to, event);
    }

    /// Returns the time of the next event.
    #[must_use]
    pub fn next_event_at(&self) -> Option<MonoTime> {
        self.queue.peek().map(|Reverse(next)| next.at)
    }

    /// Advances to the next event that is not later than `until` and returns it with its receiver.
    /// Advances to `until` and returns `None` if there is no such event.
    pub fn advance_until(&mut self, until: MonoTime) -> Option<(A, SimulationEvent<A, M>)> {
        if self.next_event_at().is_none_or(|at| at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = next.at;
        Some((next.to, next.event))
    }

    fn arrival_time(&mut self, path: PathQuality) -> MonoTime {
        let jitter_us = self.rng.random_range(0..=path.jitter_us);
        self.now.plus_us(path.delay_us + jitter_us)
    }

    fn push(&mut self, at: MonoTime, to: A, event: SimulationEvent<A, M>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence,
            to,
            event,
        }));
    }
}
