//! Selects the processes that read the platform and schedules their reads.

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

/// Number of entries of each data centre that continuously watch the platform.
const READERS_PER_DATA_CENTRE: usize = 3;
/// Time after which the platform answers a watch if nothing changed.
const WATCH_WAIT_MS: u32 = 5_000;
/// Time after which a read without an answer counts as failed. For a watch, it starts at the end of
/// its wait.
const ANSWER_TIMEOUT_MS: u64 = 3_000;
/// Age of the most recent known platform contact above which the first standby reader takes over.
/// It exceeds the wait of a watch plus the propagation time of a digest to all processes.
const TAKEOVER_AGE_MS: u32 = 15_000;
/// Additional age for each further rank, so that few standby readers take over at once.
const TAKEOVER_STEP_MS: u32 = 3_000;
/// Age of the most recent contact of another process below which a standby reader steps down.
const STEP_DOWN_AGE_MS: u32 = 7_000;
/// Upper bound of the random delay before the first read. If all 8,790 processes start at once, it
/// limits their load on the platform to 1,758 reads/s.
const START_JITTER_MS: u64 = 5_000;
const WATCH_JITTER_MS: u64 = 50;
const FIRST_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 30_000;

/// Kind of read of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// Read all tickets immediately.
    Full,
    /// Wait for changes after an index (long polling).
    Watch {
        /// Index of the last answer.
        after_index: u64,
        /// Maximum wait in milliseconds.
        wait_ms: u32,
    },
}

/// Counters of the reads of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounters {
    /// Full reads that were started.
    pub full_reads: u64,
    /// Watches that were started.
    pub watches: u64,
    /// Reads and watches that failed or timed out.
    pub failures: u64,
    /// Answers whose highest ticket number was below the one in force (F6007).
    pub stale_answers: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No read is in flight. The next one may start at this time.
    Idle { not_before: MonoTime },
    /// A read is in flight and times out at this time.
    InFlight { times_out_at: MonoTime },
}

/// Decides whether and when this process reads the platform.
///
/// The entries of each data centre are ranked by a hash. The first [`READERS_PER_DATA_CENTRE`] are
/// readers. The others are standby readers, which take over in order of their rank if the contacts
/// of all other processes are too old.
#[derive(Debug)]
pub(crate) struct ReadScheduler {
    entry: Option<EntryId>,
    data_centre: DataCentreName,
    started_at: MonoTime,
    /// Position of this entry in the hash order of its data centre; `None` for agents and for
    /// entries that aren't listed in the fleet of their data centre.
    rank: Option<usize>,
    phase: Phase,
    /// Index of the last answer; `None` if the next read must be a full one.
    last_index: Option<u64>,
    consecutive_failures: u32,
    is_active_standby: bool,
    last_reported_stale_number: Option<TicketNumber>,
    counters: ReadCounters,
}

impl ReadScheduler {
    pub(crate) fn new(
        node: NodeId,
        data_centre: DataCentreName,
        now: MonoTime,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let entry = match node {
            NodeId::Entry(id) => Some(id),
            NodeId::Agent(_) => None,
        };
        let not_before = now.plus_ms(random.random_range(0..START_JITTER_MS));
        Self {
            entry,
            data_centre,
            started_at: now,
            rank: None,
            phase: Phase::Idle { not_before },
            last_index: None,
            consecutive_failures: 0,
            is_active_standby: false,
            last_reported_stale_number: None,
            counters: ReadCounters::default(),
        }
    }

    pub(crate) const fn counters(&self) -> ReadCounters {
        self.counters
    }

    pub(crate) fn update_rank(&mut self, state: &Snapshot) {
        self.rank = self
            .entry
            .and_then(|own| rank(own, &self.data_centre, state));
    }

    /// Returns whether this process continuously watches the platform, as of the last call of
    /// [`Self::due_read`].
    pub(crate) fn is_reader(&self) -> bool {
        self.is_active_standby || self.rank.is_some_and(|rank| rank < READERS_PER_DATA_CENTRE)
    }

    pub(crate) const fn next_deadline(&self) -> MonoTime {
        match self.phase {
            Phase::Idle { not_before } => not_before,
            Phase::InFlight { times_out_at } => times_out_at,
        }
    }

    /// Returns the read to start now, if one is due. `needs_first_answer` means that this process
    /// is starting and has no answer of the platform yet: it then makes a full read, reader or not.
    pub(crate) fn due_read(
        &mut self,
        now: MonoTime,
        needs_first_answer: bool,
        freshness: &PlatformFreshness,
        random: &mut ChaCha8Rng,
    ) -> Option<PlatformRead> {
        if let Phase::InFlight { times_out_at } = self.phase {
            if now < times_out_at {
                return None;
            }
            self.record_failure(now, random);
        }
        self.update_standby(now, freshness);
        let Phase::Idle { not_before } = self.phase else {
            return None;
        };
        if now < not_before {
            return None;
        }
        if !needs_first_answer && !self.is_reader() {
            let recheck_ms = 500 + random.random_range(0..500);
            self.phase = Phase::Idle {
                not_before: now.plus_ms(recheck_ms),
            };
            return None;
        }
        Some(self.start_read(now, needs_first_answer))
    }

    fn start_read(&mut self, now: MonoTime, needs_first_answer: bool) -> PlatformRead {
        let index = self.last_index.filter(|_| !needs_first_answer);
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
        self.phase = Phase::InFlight {
            times_out_at: now.plus_ms(wait_ms + ANSWER_TIMEOUT_MS),
        };
        read
    }

    /// Records an answer. Returns whether the platform's index decreased, in which case the next
    /// read is a full one.
    pub(crate) fn record_answer(
        &mut self,
        now: MonoTime,
        index: u64,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let decreased = self.last_index.is_some_and(|last| index < last);
        self.last_index = (!decreased).then_some(index);
        self.consecutive_failures = 0;
        let jitter_ms = random.random_range(0..WATCH_JITTER_MS);
        self.phase = Phase::Idle {
            not_before: now.plus_ms(jitter_ms),
        };
        decreased
    }

    pub(crate) fn record_failure(&mut self, now: MonoTime, random: &mut ChaCha8Rng) {
        self.counters.failures += 1;
        let doubled = FIRST_BACKOFF_MS << self.consecutive_failures.min(10);
        let backoff_ms = doubled.min(MAX_BACKOFF_MS);
        self.consecutive_failures += 1;
        let wait_ms = random.random_range(backoff_ms / 2..=backoff_ms);
        self.phase = Phase::Idle {
            not_before: now.plus_ms(wait_ms),
        };
    }

    /// Schedules the next read immediately, after a pause of the process.
    pub(crate) const fn read_now(&mut self, now: MonoTime) {
        self.phase = Phase::Idle { not_before: now };
    }

    /// Records an answer whose highest ticket number is below the one in force. Returns whether to
    /// report it to the operator: consecutive answers with the same highest number are reported
    /// once.
    pub(crate) fn record_stale_answer(&mut self, platform_highest: TicketNumber) -> bool {
        self.counters.stale_answers += 1;
        let should_report = self.last_reported_stale_number != Some(platform_highest);
        self.last_reported_stale_number = Some(platform_highest);
        should_report
    }

    /// Records an answer that isn't stale.
    pub(crate) const fn record_current_answer(&mut self) {
        self.last_reported_stale_number = None;
    }

    fn update_standby(&mut self, now: MonoTime, freshness: &PlatformFreshness) {
        let Some(rank) = self.rank else {
            self.is_active_standby = false;
            return;
        };
        let Some(standby_rank) = rank.checked_sub(READERS_PER_DATA_CENTRE) else {
            self.is_active_standby = false;
            return;
        };
        // A process that just started doesn't know of any contact yet, which must not make it take
        // over.
        let uptime_ms = u32::try_from(now.ms_since(self.started_at)).unwrap_or(u32::MAX);
        let age_ms = freshness.others_age_ms(now).min(uptime_ms);
        if self.is_active_standby {
            self.is_active_standby = age_ms >= STEP_DOWN_AGE_MS;
            return;
        }
        let rank_delay_ms =
            TAKEOVER_STEP_MS.saturating_mul(u32::try_from(standby_rank).unwrap_or(u32::MAX));
        self.is_active_standby = age_ms > TAKEOVER_AGE_MS.saturating_add(rank_delay_ms);
    }

    /// Returns the platform contact to record when an answer arrives.
    pub(crate) const fn contact(&self, now: MonoTime) -> PlatformContact {
        PlatformContact::own(self.entry, now)
    }
}

/// Returns the position of an entry in the hash order of its data centre, or `None` if the entry
/// isn't part of the fleet.
fn rank(own: EntryId, data_centre: &DataCentreName, state: &Snapshot) -> Option<usize> {
    let fleet = state.fleet(data_centre)?;
    let own_score = score(own, data_centre);
    let entries = &fleet.value.entries;
    if !entries.iter().any(|entry| entry.id == own) {
        return None;
    }
    let ranks_before = |id: EntryId| (score(id, data_centre), id) > (own_score, own);
    Some(
        entries
            .iter()
            .filter(|entry| ranks_before(entry.id))
            .count(),
    )
}

fn score(entry: EntryId, data_centre: &DataCentreName) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(data_centre.as_str().as_bytes());
    hasher.write_u32(entry.0);
    hasher.finish()
}
