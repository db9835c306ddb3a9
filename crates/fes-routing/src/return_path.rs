//! Choice of the entry that returns a datagram to its client.

use std::net::SocketAddr;

use fes_protocol::EntryId;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

/// An entry counts as fresh for this long after any datagram from it, in milliseconds. Agents that
/// kept using dead entries longer made connections time out.
const FRESH_MS: u64 = 1_000;

/// Datagrams that may go through one entry without any datagram from the client before the next
/// one goes elsewhere.
const MAX_UNANSWERED_DATAGRAMS: u32 = 8;

/// Entries that are tried in turn when none is fresh.
const FALLBACK_ENTRIES: usize = 3;

/// Clients remembered at most; the memory is emptied when it is exceeded.
const MAX_CLIENTS: usize = 65_536;

/// An entry that can return datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnEntry {
    /// The entry.
    pub entry: EntryId,
    /// UDP address at which the entry takes return datagrams.
    pub address: SocketAddr,
}

#[derive(Debug, Clone, Copy)]
struct HeardEntry {
    entry: ReturnEntry,
    fresh_deadline: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct ClientPath {
    entry: EntryId,
    unanswered: u32,
}

/// Remembers which entries delivered datagrams lately.
///
/// A flow's datagrams return through the entry that delivered its last one, which keeps bursts in
/// order; without an answer they move to other fresh entries.
#[derive(Debug, Default)]
pub struct ReturnPath {
    entries: Vec<HeardEntry>,
    positions: FastMap<EntryId, usize>,
    clients: FastMap<SocketAddr, ClientPath>,
    next: usize,
}

impl ReturnPath {
    /// Makes a return path that knows no entry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `entry` delivered a datagram of `client`.
    pub fn record(&mut self, now: MonoTime, entry: ReturnEntry, client: SocketAddr) {
        self.record_entry(now, entry);
        if self.clients.len() >= MAX_CLIENTS && !self.clients.contains_key(&client) {
            self.clients.clear();
        }
        self.clients.insert(
            client,
            ClientPath {
                entry: entry.entry,
                unanswered: 0,
            },
        );
    }

    /// Records a sign of life of `entry` that belongs to no client.
    pub fn record_entry(&mut self, now: MonoTime, entry: ReturnEntry) {
        let heard = HeardEntry {
            entry,
            fresh_deadline: now.plus_ms(FRESH_MS),
        };
        match self.positions.get(&entry.entry) {
            Some(position) => self.entries[*position] = heard,
            None => {
                self.positions.insert(entry.entry, self.entries.len());
                self.entries.push(heard);
            }
        }
    }

    /// Forgets an entry that announced its stop.
    pub fn remove(&mut self, entry: EntryId) {
        let Some(position) = self.positions.remove(&entry) else {
            return;
        };
        self.entries.swap_remove(position);
        if let Some(moved) = self.entries.get(position) {
            self.positions.insert(moved.entry.entry, position);
        }
    }

    /// Forgets a client whose flows have ended.
    pub fn remove_client(&mut self, client: SocketAddr) {
        self.clients.remove(&client);
    }

    /// Returns the number of entries heard within the freshness bound.
    #[must_use]
    pub fn fresh_count(&self, now: MonoTime) -> usize {
        self.entries
            .iter()
            .filter(|heard| heard.fresh_deadline > now)
            .count()
    }

    /// Chooses the entry for a datagram to `client`, or `None` if no entry was ever heard.
    pub fn choose(&mut self, now: MonoTime, client: SocketAddr) -> Option<ReturnEntry> {
        if let Some(entry) = self.last_entry_of(now, client) {
            return Some(entry);
        }
        self.next = self.next.wrapping_add(1);
        self.next_fresh(now).or_else(|| self.next_fallback())
    }

    fn last_entry_of(&mut self, now: MonoTime, client: SocketAddr) -> Option<ReturnEntry> {
        let path = self.clients.get_mut(&client)?;
        path.unanswered = path.unanswered.saturating_add(1);
        if path.unanswered > MAX_UNANSWERED_DATAGRAMS {
            return None;
        }
        let heard = self.entries.get(*self.positions.get(&path.entry)?)?;
        (heard.fresh_deadline > now).then_some(heard.entry)
    }

    fn next_fresh(&self, now: MonoTime) -> Option<ReturnEntry> {
        let count = self.entries.len();
        let in_turn = (0..count).map(|step| &self.entries[(self.next + step) % count]);
        let mut fresh = in_turn.filter(|heard| heard.fresh_deadline > now);
        fresh.next().map(|heard| heard.entry)
    }

    fn next_fallback(&self) -> Option<ReturnEntry> {
        let mut latest: Vec<&HeardEntry> = self.entries.iter().collect();
        latest.sort_by_key(|heard| std::cmp::Reverse((heard.fresh_deadline, heard.entry.entry)));
        latest.truncate(FALLBACK_ENTRIES);
        let count = latest.len().max(1);
        latest.get(self.next % count).map(|heard| heard.entry)
    }
}
