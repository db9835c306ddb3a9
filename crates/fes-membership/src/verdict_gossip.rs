//! Spreads verdicts among entries: each new one goes once to a few others, digests repair what
//! got lost. The bytes per second are bounded.

use std::collections::VecDeque;

use fes_protocol::EntryId;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Entries that a new verdict is sent to.
const FANOUT: usize = 3;
/// Verdicts per datagram; the largest take 30 bytes each.
pub(crate) const MAX_PER_DATAGRAM: usize = 40;
/// Verdicts wait this long for others that can share the datagram.
const FLUSH_PERIOD_MS: u64 = 100;
const DIGEST_PERIOD_MS: u64 = 1_000;
/// Sustained rate of verdict datagrams, and what may be saved up for a burst such as the loss of a
/// data centre.
const BYTES_PER_SECOND: u64 = 1_500;
const BURST_BYTES: u64 = 32_768;
const BYTES_PER_VERDICT: u64 = 24;
const BYTES_PER_DATAGRAM: u64 = 100;
const MAX_QUEUED: usize = 65_536;

/// Queue and budget of verdicts on their way out.
#[derive(Debug)]
pub(crate) struct VerdictGossip {
    own: EntryId,
    entries: Vec<EntryId>,
    queue: VecDeque<LivenessVerdict>,
    flush_at: MonoTime,
    digest_at: MonoTime,
    budget_bytes: u64,
    budget_from: MonoTime,
    random: ChaCha8Rng,
}

impl VerdictGossip {
    pub(crate) fn new(own: EntryId, now: MonoTime, mut random: ChaCha8Rng) -> Self {
        let phase_ms = random.random_range(0..DIGEST_PERIOD_MS);
        Self {
            own,
            entries: Vec::new(),
            queue: VecDeque::new(),
            flush_at: MonoTime::NEVER,
            digest_at: now.plus_ms(phase_ms),
            budget_bytes: BURST_BYTES,
            budget_from: now,
            random,
        }
    }

    pub(crate) fn set_entries(&mut self, entries: impl Iterator<Item = EntryId>) {
        let own = self.own;
        self.entries = entries.filter(|entry| *entry != own).collect();
    }

    pub(crate) fn push(&mut self, now: MonoTime, verdict: LivenessVerdict, urgent: bool) {
        if self.queue.len() >= MAX_QUEUED {
            // Digests repair what is dropped here.
            return;
        }
        if urgent {
            self.queue.push_front(verdict);
        } else {
            self.queue.push_back(verdict);
        }
        if self.flush_at == MonoTime::NEVER {
            self.flush_at = now.plus_ms(FLUSH_PERIOD_MS);
        }
    }

    pub(crate) fn next_deadline(&self) -> MonoTime {
        self.flush_at.min(self.digest_at)
    }

    /// Returns the datagram of verdicts that is due and its receivers.
    pub(crate) fn due(&mut self, now: MonoTime) -> Option<(Vec<EntryId>, Vec<LivenessVerdict>)> {
        if now < self.flush_at {
            return None;
        }
        let count = self.queue.len().min(MAX_PER_DATAGRAM);
        let receivers = self.random_entries(FANOUT);
        if count == 0 || receivers.is_empty() {
            self.queue.clear();
            self.flush_at = MonoTime::NEVER;
            return None;
        }
        self.flush_at = now.plus_ms(FLUSH_PERIOD_MS);
        if !self.spend(now, count, receivers.len()) {
            return None;
        }
        let batch = self.queue.drain(..count).collect();
        if self.queue.is_empty() {
            self.flush_at = MonoTime::NEVER;
        }
        Some((receivers, batch))
    }

    /// Returns the receiver of the digest that is due.
    pub(crate) fn due_digest(&mut self, now: MonoTime) -> Option<EntryId> {
        if now < self.digest_at {
            return None;
        }
        self.digest_at = now.plus_ms(DIGEST_PERIOD_MS);
        self.random_entries(1).first().copied()
    }

    /// Takes bytes from the budget. Returns whether there were enough.
    pub(crate) fn spend(&mut self, now: MonoTime, verdicts: usize, datagrams: usize) -> bool {
        let earned = now.ms_since(self.budget_from) * BYTES_PER_SECOND / 1_000;
        if earned > 0 {
            self.budget_bytes = (self.budget_bytes + earned).min(BURST_BYTES);
            self.budget_from = now;
        }
        let per_datagram = verdicts as u64 * BYTES_PER_VERDICT + BYTES_PER_DATAGRAM;
        let cost = per_datagram * datagrams as u64;
        let enough = cost <= self.budget_bytes;
        if enough {
            self.budget_bytes -= cost;
        }
        enough
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
