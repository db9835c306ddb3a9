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
const MAX_DATAGRAMS_PER_FLUSH: usize = 4;
const DIGEST_PERIOD_MS: u64 = 1_000;
/// Sustained rate of verdict datagrams. With digests and heartbeats an entry stays below 3 KB/s.
const BYTES_PER_SECOND: u64 = 2_000;
/// What may be saved up for a burst. The loss of a data centre with 1,600 targets makes some 3,200
/// urgent verdicts; at the sustained rate alone they would take minutes.
const BURST_BYTES: u64 = 131_072;
/// Repairs and verdicts that change no placement leave this much for those that do.
const RESERVED_BYTES: u64 = BURST_BYTES / 2;
const BYTES_PER_VERDICT: u64 = 24;
const BYTES_PER_DATAGRAM: u64 = 100;
const MAX_QUEUED: usize = 65_536;

/// Queue and budget of verdicts on their way out.
#[derive(Debug)]
pub(crate) struct VerdictGossip {
    own: EntryId,
    entries: Vec<EntryId>,
    urgent: VecDeque<LivenessVerdict>,
    routine: VecDeque<LivenessVerdict>,
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
            urgent: VecDeque::new(),
            routine: VecDeque::new(),
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

    /// Queues a verdict. Those that change where flows are placed are urgent.
    pub(crate) fn push(&mut self, now: MonoTime, verdict: LivenessVerdict, urgent: bool) {
        let queue = if urgent {
            &mut self.urgent
        } else {
            &mut self.routine
        };
        if queue.len() >= MAX_QUEUED {
            // Digests repair what is dropped here.
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

    /// Returns the datagrams of verdicts that are due, each with its receivers.
    pub(crate) fn due(&mut self, now: MonoTime) -> Vec<(Vec<EntryId>, Vec<LivenessVerdict>)> {
        let mut datagrams = Vec::new();
        if now < self.flush_at {
            return datagrams;
        }
        while datagrams.len() < MAX_DATAGRAMS_PER_FLUSH {
            match self.next_batch(now) {
                Some(datagram) => datagrams.push(datagram),
                None => break,
            }
        }
        let is_empty = self.urgent.is_empty() && self.routine.is_empty();
        self.flush_at = if is_empty {
            MonoTime::NEVER
        } else {
            now.plus_ms(FLUSH_PERIOD_MS)
        };
        datagrams
    }

    fn next_batch(&mut self, now: MonoTime) -> Option<(Vec<EntryId>, Vec<LivenessVerdict>)> {
        let receivers = self.random_entries(FANOUT);
        if receivers.is_empty() {
            self.urgent.clear();
            self.routine.clear();
            return None;
        }
        let urgent_count = self.urgent.len().min(MAX_PER_DATAGRAM);
        if urgent_count > 0 {
            let affordable = self.spend_down_to(now, urgent_count, receivers.len(), 0);
            return affordable.then(|| (receivers, self.urgent.drain(..urgent_count).collect()));
        }
        let count = self.routine.len().min(MAX_PER_DATAGRAM);
        if count == 0 || !self.spend(now, count, receivers.len()) {
            return None;
        }
        Some((receivers, self.routine.drain(..count).collect()))
    }

    /// Returns the receiver of the digest that is due.
    pub(crate) fn due_digest(&mut self, now: MonoTime) -> Option<EntryId> {
        if now < self.digest_at {
            return None;
        }
        self.digest_at = now.plus_ms(DIGEST_PERIOD_MS);
        self.random_entries(1).first().copied()
    }

    /// Takes the bytes of routine datagrams from the budget. Returns whether there were enough.
    pub(crate) fn spend(&mut self, now: MonoTime, verdicts: usize, datagrams: usize) -> bool {
        self.spend_down_to(now, verdicts, datagrams, RESERVED_BYTES)
    }

    fn spend_down_to(
        &mut self,
        now: MonoTime,
        verdicts: usize,
        datagrams: usize,
        kept_bytes: u64,
    ) -> bool {
        let earned = now.ms_since(self.budget_from) * BYTES_PER_SECOND / 1_000;
        if earned > 0 {
            self.budget_bytes = (self.budget_bytes + earned).min(BURST_BYTES);
            self.budget_from = now;
        }
        let per_datagram = verdicts as u64 * BYTES_PER_VERDICT + BYTES_PER_DATAGRAM;
        let cost = per_datagram * datagrams as u64;
        let enough = cost + kept_bytes <= self.budget_bytes;
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
