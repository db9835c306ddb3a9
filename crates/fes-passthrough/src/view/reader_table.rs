//! Which entries read the platform. A few read for all; every entry knows them by gossip.
//!
//! Entries pass on when each reader last read the platform itself. So an entry needs no digest from
//! the readers themselves, of which it would get one in many seconds in a large fleet, and an entry
//! that the platform refuses doesn't count as a reader although its view is current.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::KnownReader;

/// Number of entries that read the platform.
const READER_COUNT: usize = 3;
/// Time since its last read after which an entry no longer counts as a reader. Readers watch the
/// platform for a second at a time, and gossip takes about another.
const READER_TIMEOUT_MS: u64 = 2_500;
/// Limit of the attempts that all entries together make while the platform doesn't respond.
const MAX_RETRIES_PER_S: u64 = 50;
/// Limits of the time between two attempts of one entry.
const MIN_RETRY_DELAY_MS: u64 = 250;
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Latest known reads of the platform by entry.
#[derive(Debug, Default)]
pub struct ReaderTable {
    read_at: FastMap<Ipv4Addr, MonoTime>,
}

impl ReaderTable {
    /// Records that an entry read the platform at the given time.
    pub fn record(&mut self, vm: Ipv4Addr, read_at: MonoTime) {
        let latest = self.read_at.entry(vm).or_insert(read_at);
        *latest = read_at.max(*latest);
    }

    /// Returns the preferred readers, for other entries: those with the lowest addresses.
    #[must_use]
    pub fn preferred(&self, now: MonoTime) -> Vec<KnownReader> {
        let mut readers: Vec<KnownReader> = self
            .current(now)
            .map(|(vm, read_at)| KnownReader {
                vm,
                read_age_ms: now.ms_since(read_at),
            })
            .collect();
        readers.sort_unstable_by_key(|reader| reader.vm);
        readers.truncate(READER_COUNT);
        readers
    }

    /// Returns whether enough entries with lower addresses than `own_vm` read the platform.
    #[must_use]
    pub fn has_enough_before(&self, now: MonoTime, own_vm: Ipv4Addr) -> bool {
        let preferred = self.current(now).filter(|(vm, _)| *vm < own_vm);
        preferred.count() >= READER_COUNT
    }

    /// Removes entries that no longer count as readers.
    pub fn expire(&mut self, now: MonoTime) {
        self.read_at.retain(|_, read_at| is_current(now, *read_at));
    }

    fn current(&self, now: MonoTime) -> impl Iterator<Item = (Ipv4Addr, MonoTime)> {
        let readers = self.read_at.iter().map(|(vm, read_at)| (*vm, *read_at));
        readers.filter(move |(_, read_at)| is_current(now, *read_at))
    }
}

fn is_current(now: MonoTime, read_at: MonoTime) -> bool {
    now.ms_since(read_at) < READER_TIMEOUT_MS
}

/// Returns the time between two attempts to read a platform that doesn't respond, in milliseconds.
/// It grows with the number of entries, any of which may notice that the platform is back.
#[must_use]
pub fn retry_delay_ms(entries: usize) -> u64 {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX);
    let delay_ms = entries.saturating_mul(1_000) / MAX_RETRIES_PER_S;
    delay_ms.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
}
