//! Selects the entry through which a datagram returns to its client.

use std::net::SocketAddr;

use fes_protocol::EntryId;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

/// Time for which an entry counts as live after any datagram from it, in milliseconds. With a
/// longer time, agents kept using failed entries until connections timed out.
const LIVENESS_TIMEOUT_MS: u64 = 1_000;

/// Number of datagrams sent through a client's last entry without a datagram from the client, after
/// which further ones are distributed over the live entries.
const MAX_UNANSWERED_DATAGRAMS: u32 = 8;

/// Number of entries that are used in rotation when no entry is live: those heard last.
const FALLBACK_ENTRIES: usize = 3;

/// Capacity of the client map. The map is cleared when it would exceed this size.
const MAX_CLIENTS: usize = 65_536;

/// An entry that can return datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnEntry {
    /// The entry.
    pub entry: EntryId,
    /// UDP address at which the entry receives return datagrams.
    pub address: SocketAddr,
}

#[derive(Debug, Clone, Copy)]
struct KnownEntry {
    entry: ReturnEntry,
    live_until: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct ClientPath {
    entry: EntryId,
    /// Datagrams sent to the client since its last one.
    unanswered: u32,
}

/// Tracks which entries delivered datagrams recently and selects the entry for the return path.
///
/// Datagrams to a client return through the entry that delivered the client's last datagram, which
/// keeps bursts in order. If the client stops answering or that entry is no longer live, they are
/// distributed over the live entries in rotation.
#[derive(Debug, Default)]
pub struct ReturnPath {
    entries: Vec<KnownEntry>,
    positions: FastMap<EntryId, usize>,
    clients: FastMap<SocketAddr, ClientPath>,
    /// Position of the round-robin rotation over the entries.
    rotation: usize,
}

impl ReturnPath {
    /// Creates a return path without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `entry` delivered a datagram from `client`.
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

    /// Records that `entry` is live, from a message that belongs to no client.
    pub fn record_entry(&mut self, now: MonoTime, entry: ReturnEntry) {
        let known = KnownEntry {
            entry,
            live_until: now.plus_ms(LIVENESS_TIMEOUT_MS),
        };
        match self.positions.get(&entry.entry) {
            Some(position) => self.entries[*position] = known,
            None => {
                self.positions.insert(entry.entry, self.entries.len());
                self.entries.push(known);
            }
        }
    }

    /// Removes an entry that announced its shutdown.
    pub fn remove(&mut self, entry: EntryId) {
        let Some(position) = self.positions.remove(&entry) else {
            return;
        };
        self.entries.swap_remove(position);
        if let Some(moved) = self.entries.get(position) {
            self.positions.insert(moved.entry.entry, position);
        }
    }

    /// Removes a client whose flows have ended.
    pub fn remove_client(&mut self, client: SocketAddr) {
        self.clients.remove(&client);
    }

    /// Returns the number of live entries.
    #[must_use]
    pub fn live_entry_count(&self, now: MonoTime) -> usize {
        self.entries
            .iter()
            .filter(|known| known.live_until > now)
            .count()
    }

    /// Selects the entry for a datagram to `client`. Returns `None` only if no entry is known.
    pub fn choose(&mut self, now: MonoTime, client: SocketAddr) -> Option<ReturnEntry> {
        if let Some(entry) = self.last_entry_of(now, client) {
            return Some(entry);
        }
        self.rotation = self.rotation.wrapping_add(1);
        self.next_live(now).or_else(|| self.next_fallback())
    }

    fn last_entry_of(&mut self, now: MonoTime, client: SocketAddr) -> Option<ReturnEntry> {
        let path = self.clients.get_mut(&client)?;
        path.unanswered = path.unanswered.saturating_add(1);
        if path.unanswered > MAX_UNANSWERED_DATAGRAMS {
            return None;
        }
        let known = self.entries.get(*self.positions.get(&path.entry)?)?;
        (known.live_until > now).then_some(known.entry)
    }

    fn next_live(&self, now: MonoTime) -> Option<ReturnEntry> {
        let count = self.entries.len();
        let rotated = (0..count).map(|step| &self.entries[(self.rotation + step) % count]);
        let mut live = rotated.filter(|known| known.live_until > now);
        live.next().map(|known| known.entry)
    }

    fn next_fallback(&self) -> Option<ReturnEntry> {
        let mut latest: Vec<&KnownEntry> = self.entries.iter().collect();
        latest.sort_by_key(|known| std::cmp::Reverse((known.live_until, known.entry.entry)));
        latest.truncate(FALLBACK_ENTRIES);
        let count = latest.len().max(1);
        latest.get(self.rotation % count).map(|known| known.entry)
    }
}
