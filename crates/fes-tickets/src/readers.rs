//! Which processes read the platform, and when.

use std::hash::Hasher;

use fes_protocol::DataCentreName;
use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::TicketNumber;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher24;

use crate::PlatformContact;
use crate::PlatformFreshness;
use crate::Snapshot;

/// Entries of each data centre that watch the platform all the time.
const READERS_PER_DATA_CENTRE: usize = 3;
/// How long the platform may hold a watch before it answers that nothing changed.
const WATCH_WAIT_MS: u32 = 5_000;
/// Time after which a read without an answer counts as failed, beyond the wait of a watch.
const ANSWER_TIMEOUT_MS: u64 = 3_000;
/// Age of the freshest known contact at which the first stand-in takes over. Above the wait of a
/// watch plus the time that a digest takes through the fleet.
const TAKEOVER_AGE_MS: u32 = 15_000;
/// Each further rank waits this much longer, so that few stand-ins start at once.
const TAKEOVER_STEP_MS: u32 = 3_000;
/// A stand-in stops when others' contacts are this fresh.
const STEP_DOWN_AGE_MS: u32 = 7_000;
/// Spreads the reads of starting processes: 8,790 at once make at most 1,758 reads/s.
const START_SPREAD_MS: u64 = 5_000;
const WATCH_JITTER_MS: u64 = 50;
const FIRST_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 30_000;

/// How to read the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// Read everything now.
    Full,
    /// Wait for changes after an index.
    Watch {
        /// Index of the last answer.
        after_index: u64,
        /// Longest wait in milliseconds.
        wait_ms: u32,
    },
}

/// Reads of this process, for the budget of all readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounters {
    /// Full reads sent.
    pub full_reads: u64,
    /// Watches sent.
    pub watches: u64,
    /// Reads and watches that failed or were not answered in time.
    pub failures: u64,
    /// Answers that were behind the tickets in force (F6007).
    pub stale_answers: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No read in flight; the next one may start at this time.
    Idle { not_before: MonoTime },
    /// A read is in flight.
    Waiting { fails_at: MonoTime },
}

/// Decides whether and when this process reads the platform.
#[derive(Debug)]
pub(crate) struct Readers {
    entry: Option<EntryId>,
    home: DataCentreName,
    started_at: MonoTime,
    rank: Option<usize>,
    phase: Phase,
    index: Option<u64>,
    failures_in_a_row: u32,
    stands_in: bool,
    reported_behind: Option<TicketNumber>,
    counters: ReadCounters,
}

impl Readers {
    pub(crate) fn new(
        node: NodeId,
        home: DataCentreName,
        now: MonoTime,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let entry = match node {
            NodeId::Entry(id) => Some(id),
            NodeId::Agent(_) => None,
        };
        let not_before = now.plus_ms(random.random_range(0..START_SPREAD_MS));
        Self {
            entry,
            home,
            started_at: now,
            rank: None,
            phase: Phase::Idle { not_before },
            index: None,
            failures_in_a_row: 0,
            stands_in: false,
            reported_behind: None,
            counters: ReadCounters::default(),
        }
    }

    pub(crate) const fn counters(&self) -> ReadCounters {
        self.counters
    }

    pub(crate) fn fleet_changed(&mut self, state: &Snapshot) {
        self.rank = self.entry.and_then(|own| rank(own, &self.home, state));
    }

    /// Returns whether this process watches the platform, as of the last decision.
    pub(crate) fn is_reader(&self) -> bool {
        self.stands_in || self.rank.is_some_and(|rank| rank < READERS_PER_DATA_CENTRE)
    }

    pub(crate) const fn next_deadline(&self) -> MonoTime {
        match self.phase {
            Phase::Idle { not_before } => not_before,
            Phase::Waiting { fails_at } => fails_at,
        }
    }

    /// Returns the read to start now, if any.
    pub(crate) fn due_read(
        &mut self,
        now: MonoTime,
        joining: bool,
        freshness: &PlatformFreshness,
        random: &mut ChaCha8Rng,
    ) -> Option<PlatformRead> {
        if let Phase::Waiting { fails_at } = self.phase {
            if now < fails_at {
                return None;
            }
            self.note_failure(now, random);
        }
        self.update_stand_in(now, freshness);
        let Phase::Idle { not_before } = self.phase else {
            return None;
        };
        if now < not_before {
            return None;
        }
        if !joining && !self.is_reader() {
            let recheck_ms = 500 + random.random_range(0..500);
            self.phase = Phase::Idle {
                not_before: now.plus_ms(recheck_ms),
            };
            return None;
        }
        Some(self.start_read(now, joining))
    }

    fn start_read(&mut self, now: MonoTime, joining: bool) -> PlatformRead {
        let index = self.index.filter(|_| !joining);
        let (read, wait_ms) = match index {
            None => (PlatformRead::Full, 0),
            Some(after_index) => (
                PlatformRead::Watch {
                    after_index,
                    wait_ms: WATCH_WAIT_MS,
                },
                u64::from(WATCH_WAIT_MS),
            ),
        };
        match read {
            PlatformRead::Full => self.counters.full_reads += 1,
            PlatformRead::Watch { .. } => self.counters.watches += 1,
        }
        self.phase = Phase::Waiting {
            fails_at: now.plus_ms(wait_ms + ANSWER_TIMEOUT_MS),
        };
        read
    }

    /// Takes note of an answer. Returns whether the platform went back and must be read in full.
    pub(crate) fn note_answer(
        &mut self,
        now: MonoTime,
        index: u64,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let went_back = self.index.is_some_and(|last| index < last);
        self.index = (!went_back).then_some(index);
        self.failures_in_a_row = 0;
        let jitter_ms = random.random_range(0..WATCH_JITTER_MS);
        self.phase = Phase::Idle {
            not_before: now.plus_ms(jitter_ms),
        };
        went_back
    }

    pub(crate) fn note_failure(&mut self, now: MonoTime, random: &mut ChaCha8Rng) {
        self.counters.failures += 1;
        let doubled = FIRST_BACKOFF_MS << self.failures_in_a_row.min(10);
        let backoff_ms = doubled.min(MAX_BACKOFF_MS);
        self.failures_in_a_row += 1;
        let wait_ms = random.random_range(backoff_ms / 2..=backoff_ms);
        self.phase = Phase::Idle {
            not_before: now.plus_ms(wait_ms),
        };
    }

    /// Lets the next read start at once, after a pause.
    pub(crate) const fn read_now(&mut self, now: MonoTime) {
        self.phase = Phase::Idle { not_before: now };
    }

    /// Returns whether an answer that is behind is news to the operator. Each highest number is
    /// reported once.
    pub(crate) fn note_behind(&mut self, platform_highest: TicketNumber) -> bool {
        self.counters.stale_answers += 1;
        let is_news = self.reported_behind != Some(platform_highest);
        self.reported_behind = Some(platform_highest);
        is_news
    }

    pub(crate) const fn note_current(&mut self) {
        self.reported_behind = None;
    }

    fn update_stand_in(&mut self, now: MonoTime, freshness: &PlatformFreshness) {
        let Some(rank) = self.rank else {
            self.stands_in = false;
            return;
        };
        let Some(place) = rank.checked_sub(READERS_PER_DATA_CENTRE) else {
            self.stands_in = false;
            return;
        };
        // A process that just started has heard of no contact yet; that is no reason to take over.
        let uptime_ms = u32::try_from(now.ms_since(self.started_at)).unwrap_or(u32::MAX);
        let age_ms = freshness.others_age_ms(now).min(uptime_ms);
        if self.stands_in {
            self.stands_in = age_ms >= STEP_DOWN_AGE_MS;
            return;
        }
        let steps_ms = TAKEOVER_STEP_MS.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX));
        self.stands_in = age_ms > TAKEOVER_AGE_MS.saturating_add(steps_ms);
    }

    /// Returns the contact to record for an answer of the platform.
    pub(crate) const fn contact(&self, now: MonoTime) -> PlatformContact {
        PlatformContact::own(self.entry, now)
    }
}

/// Returns the position of an entry in the hash order of its data centre.
fn rank(own: EntryId, home: &DataCentreName, state: &Snapshot) -> Option<usize> {
    let fleet = state.fleet(home)?;
    let own_score = score(own, home);
    let entries = &fleet.value.entries;
    if !entries.iter().any(|entry| entry.id == own) {
        return None;
    }
    let before = |id: EntryId| (score(id, home), id) > (own_score, own);
    Some(entries.iter().filter(|entry| before(entry.id)).count())
}

fn score(entry: EntryId, home: &DataCentreName) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(home.as_str().as_bytes());
    hasher.write_u32(entry.0);
    hasher.finish()
}
