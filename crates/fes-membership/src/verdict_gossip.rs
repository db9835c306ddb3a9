//! Gossip of verdicts among entries. Each new verdict is sent once to a few random entries, and
//! digests repair losses. The bytes per second are limited.

use std::collections::VecDeque;

use fes_protocol::EntryId;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::RangeHash;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::byte_budget::ByteBudget;

/// Number of entries that a routine verdict is sent to.
const ROUTINE_FANOUT: usize = 3;
/// Number of entries that an urgent verdict is sent to. With three, 7 % of the placements on
/// targets of a lost data centre remained after 6 s, because a fifth of the receivers were lost as
/// well.
const URGENT_FANOUT: usize = 5;
/// Maximum number of verdicts in a datagram; the largest take 30 bytes each.
pub(crate) const MAX_VERDICTS_PER_DATAGRAM: usize = 40;
/// Time that verdicts wait for others to share a datagram with.
const FLUSH_PERIOD_MS: u64 = 100;
const MAX_BATCHES_PER_FLUSH: usize = 4;
const DIGEST_PERIOD_MS: u64 = 1_000;
/// Budget of urgent verdicts, which change placement. The loss of a data centre with 1,600 targets
/// causes about 3,200 of them, each sent to five entries. With a burst of 128 KB, two fifths of the
/// placements on lost targets remained after 5 s.
const URGENT_BYTES_PER_SECOND: u64 = 1_000;
const URGENT_BURST_BYTES: u64 = 524_288;
/// Budget of all other verdicts and of repairs. It is separate, because a burst of urgent verdicts
/// leaves gaps that only repairs close.
const ROUTINE_BYTES_PER_SECOND: u64 = 1_500;
const ROUTINE_BURST_BYTES: u64 = 32_768;
/// Sizes by which the budgets are charged: a typical verdict, and the headers of a datagram.
const BYTES_PER_VERDICT: u64 = 24;
const BYTES_PER_DATAGRAM: u64 = 100;
const MAX_QUEUED_VERDICTS: usize = 65_536;

/// Queues and byte budgets of outgoing verdicts.
#[derive(Debug)]
pub(crate) struct VerdictGossip {
    own: EntryId,
    entries: Vec<EntryId>,
    urgent: VecDeque<LivenessVerdict>,
    routine: VecDeque<LivenessVerdict>,
    flush_at: MonoTime,
    digest_at: MonoTime,
    urgent_budget: ByteBudget,
    routine_budget: ByteBudget,
    random: ChaCha8Rng,
}

impl VerdictGossip {
    pub(crate) fn new(own: EntryId, now: MonoTime, mut random: ChaCha8Rng) -> Self {
        let phase_ms = random.random_range(0..DIGEST_PERIOD_MS);
        Self {
            own,
            entries: Vec::new(),
            urgent: VecDeque::new(),
            routine: VecDeque::new(),
            flush_at: MonoTime::NEVER,
            digest_at: now.plus_ms(phase_ms),
            urgent_budget: ByteBudget::new(now, URGENT_BYTES_PER_SECOND, URGENT_BURST_BYTES),
            routine_budget: ByteBudget::new(now, ROUTINE_BYTES_PER_SECOND, ROUTINE_BURST_BYTES),
            random,
        }
    }

    pub(crate) fn set_entries(&mut self, entries: impl Iterator<Item = EntryId>) {
        let own = self.own;
        self.entries = entries.filter(|entry| *entry != own).collect();
    }

    /// Queues a verdict. Verdicts that change placement are urgent.
    pub(crate) fn push(&mut self, now: MonoTime, verdict: LivenessVerdict, urgent: bool) {
        let queue = if urgent {
            &mut self.urgent
        } else {
            &mut self.routine
        };
        if queue.len() >= MAX_QUEUED_VERDICTS {
            // Digests repair the verdicts dropped here.
            return;
        }
        queue.push_back(verdict);
        if self.flush_at == MonoTime::NEVER {
            self.flush_at = now.plus_ms(FLUSH_PERIOD_MS);
        }
    }

    pub(crate) fn next_deadline(&self) -> MonoTime {
        self.flush_at.min(self.digest_at)
    }

    /// Returns the batches of verdicts that are due, each with its receivers.
    pub(crate) fn due_batches(
        &mut self,
        now: MonoTime,
    ) -> Vec<(Vec<EntryId>, Vec<LivenessVerdict>)> {
        let mut batches = Vec::new();
        if now < self.flush_at {
            return batches;
        }
        while batches.len() < MAX_BATCHES_PER_FLUSH {
            match self.next_batch(now) {
                Some(batch) => batches.push(batch),
                None => break,
            }
        }
        let is_empty = self.urgent.is_empty() && self.routine.is_empty();
        self.flush_at = if is_empty {
            MonoTime::NEVER
        } else {
            now.plus_ms(FLUSH_PERIOD_MS)
        };
        batches
    }

    fn next_batch(&mut self, now: MonoTime) -> Option<(Vec<EntryId>, Vec<LivenessVerdict>)> {
        let is_urgent = !self.urgent.is_empty();
        let fanout = if is_urgent {
            URGENT_FANOUT
        } else {
            ROUTINE_FANOUT
        };
        let receivers = self.random_entries(fanout);
        if receivers.is_empty() {
            self.urgent.clear();
            self.routine.clear();
            return None;
        }
        let (queue, budget) = if is_urgent {
            (&mut self.urgent, &mut self.urgent_budget)
        } else {
            (&mut self.routine, &mut self.routine_budget)
        };
        let count = queue.len().min(MAX_VERDICTS_PER_DATAGRAM);
        if count == 0 || !budget.try_spend(now, cost_bytes(count, receivers.len())) {
            return None;
        }
        Some((receivers, queue.drain(..count).collect()))
    }

    /// Returns the receiver of a digest, if one is due.
    pub(crate) fn due_digest(&mut self, now: MonoTime) -> Option<EntryId> {
        if now < self.digest_at {
            return None;
        }
        self.digest_at = now.plus_ms(DIGEST_PERIOD_MS);
        self.random_entries(1).first().copied()
    }

    /// Takes the bytes of `datagram_count` datagrams with `verdict_count` verdicts each from the
    /// routine budget. Returns whether enough were available.
    pub(crate) fn try_spend(
        &mut self,
        now: MonoTime,
        verdict_count: usize,
        datagram_count: usize,
    ) -> bool {
        let cost = cost_bytes(verdict_count, datagram_count);
        self.routine_budget.try_spend(now, cost)
    }

    /// Takes the bytes of a digest with `range_count` range hashes from the routine budget. Returns
    /// whether enough were available.
    pub(crate) fn try_spend_on_ranges(&mut self, now: MonoTime, range_count: usize) -> bool {
        let cost = (range_count * size_of::<RangeHash>()) as u64 + BYTES_PER_DATAGRAM;
        self.routine_budget.try_spend(now, cost)
    }

    fn random_entries(&mut self, count: usize) -> Vec<EntryId> {
        let mut chosen: Vec<EntryId> = Vec::with_capacity(count);
        for _ in 0..count {
            if self.entries.is_empty() {
                break;
            }
            let entry = self.entries[self.random.random_range(0..self.entries.len())];
            if !chosen.contains(&entry) {
                chosen.push(entry);
            }
        }
        chosen
    }
}

const fn cost_bytes(verdict_count: usize, datagram_count: usize) -> u64 {
    let per_datagram = verdict_count as u64 * BYTES_PER_VERDICT + BYTES_PER_DATAGRAM;
    per_datagram * datagram_count as u64
}
