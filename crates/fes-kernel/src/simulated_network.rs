//! Messages and timers of many processes on virtual time, with delay, loss, duplication and
//! partitions. Runs depend on nothing but the seed and the calls.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;

use fes_protocol::FastSet;
use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Delay after which a reliable transport sends a lost segment again.
const RETRANSMISSION_DELAY_US: u64 = 200_000;
/// Further losses of the same segment are ignored above this number.
const MAX_RETRANSMISSIONS: u32 = 5;

/// Properties of a one-way path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathQuality {
    /// Smallest delay in microseconds.
    pub delay_us: u64,
    /// Largest random addition to the delay in microseconds.
    pub jitter_us: u64,
    /// Probability that a message is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a datagram arrives twice, 0 to 1.
    pub duplication: f64,
}

impl PathQuality {
    /// Returns a path that delivers everything after `delay_us`.
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

/// Something that happens at a process.
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
struct Scheduled<A, M> {
    at: MonoTime,
    sequence: u64,
    to: A,
    arrival: SimulationEvent<A, M>,
}

impl<A, M> PartialEq for Scheduled<A, M> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<A, M> Eq for Scheduled<A, M> {}

impl<A, M> PartialOrd for Scheduled<A, M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<A, M> Ord for Scheduled<A, M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A network of processes with addresses of type `A` that exchange messages of type `M`.
#[derive(Debug)]
pub struct SimulatedNetwork<A, M> {
    now: MonoTime,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Scheduled<A, M>>>,
    next_sequence: u64,
    blocked: FastSet<(A, A)>,
}

impl<A: Copy + Eq + Hash, M: Clone> SimulatedNetwork<A, M> {
    /// Makes a network without messages at time zero.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            now: MonoTime::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
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

    /// Drops all later messages from `from` to `to`, one way.
    pub fn block(&mut self, from: A, to: A) {
        self.blocked.insert((from, to));
    }

    /// Lets messages from `from` to `to` pass again.
    pub fn unblock(&mut self, from: A, to: A) {
        self.blocked.remove(&(from, to));
    }

    /// Lets all messages pass again.
    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    /// Returns whether messages from `from` to `to` are dropped.
    #[must_use]
    pub fn is_blocked(&self, from: A, to: A) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Sends a datagram, which may get lost or arrive twice.
    pub fn send_datagram(&mut self, from: A, to: A, body: M, path: PathQuality) {
        if self.is_blocked(from, to) || self.random.random_bool(path.loss) {
            return;
        }
        if self.random.random_bool(path.duplication) {
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

    /// Sends a message over a reliable link: a loss delays it, a blocked path drops it.
    pub fn send_reliable(&mut self, from: A, to: A, body: M, path: PathQuality) {
        if self.is_blocked(from, to) || self.is_blocked(to, from) {
            return;
        }
        let mut at = self.arrival_time(path);
        for _ in 0..MAX_RETRANSMISSIONS {
            if !self.random.random_bool(path.loss) {
                break;
            }
            at = at.plus_us(RETRANSMISSION_DELAY_US);
        }
        self.push(at, to, SimulationEvent::Message { from, body });
    }

    /// Lets a timer fire at a process.
    pub fn set_timer(&mut self, at: MonoTime, owner: A) {
        self.push(at.max(self.now), owner, SimulationEvent::Timer);
    }

    /// Delivers an arrival later, for a receiver that is paused.
    pub fn defer(&mut self, at: MonoTime, to: A, arrival: SimulationEvent<A, M>) {
        self.push(at.max(self.now), to, arrival);
    }

    /// Returns the time of the next arrival.
    #[must_use]
    pub fn next_event_at(&self) -> Option<MonoTime> {
        self.queue.peek().map(|Reverse(next)| next.at)
    }

    /// Advances to the next arrival not later than `until` and returns it with its receiver.
    /// Without one, advances to `until`.
    pub fn advance_until(&mut self, until: MonoTime) -> Option<(A, SimulationEvent<A, M>)> {
        if self.next_event_at().is_none_or(|at| at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = next.at;
        Some((next.to, next.arrival))
    }

    fn arrival_time(&mut self, path: PathQuality) -> MonoTime {
        let jitter_us = self.random.random_range(0..=path.jitter_us);
        self.now.plus_us(path.delay_us + jitter_us)
    }

    fn push(&mut self, at: MonoTime, to: A, arrival: SimulationEvent<A, M>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence,
            to,
            arrival,
        }));
    }
}
