//! Age of the most recent contact of any process with the platform, as far as this process knows.

use fes_protocol::EntryId;
use fes_protocol::MonoTime;

/// A contact of a process with the platform. Digests carry the age of a contact instead of its
/// time, because the clocks of different processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformContact {
    /// Entry that was in contact; `None` if it was an agent.
    pub reader: Option<EntryId>,
    age_ms: u32,
    received_at: MonoTime,
}

impl PlatformContact {
    /// Creates a contact of this process.
    #[must_use]
    pub const fn own(reader: Option<EntryId>, now: MonoTime) -> Self {
        Self::reported(reader, 0, now)
    }

    /// Creates a contact that a digest reported.
    #[must_use]
    pub const fn reported(reader: Option<EntryId>, age_ms: u32, now: MonoTime) -> Self {
        Self {
            reader,
            age_ms,
            received_at: now,
        }
    }

    /// Returns the age of the contact in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> u32 {
        let since_ms = now.ms_since(self.received_at);
        self.age_ms
            .saturating_add(u32::try_from(since_ms).unwrap_or(u32::MAX))
    }
}

/// Most recent contacts of this process and of all other processes. They are tracked separately, so
/// that a standby reader detects that other readers are available again.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFreshness {
    own: Option<PlatformContact>,
    others: Option<PlatformContact>,
}

impl PlatformFreshness {
    /// Records a contact of this process.
    pub const fn record_own(&mut self, contact: PlatformContact) {
        self.own = Some(contact);
    }

    /// Records a contact of another process.
    pub fn record_other(&mut self, contact: PlatformContact, now: MonoTime) {
        if contact.age_ms(now) < self.others_age_ms(now) {
            self.others = Some(contact);
        }
    }

    /// Returns the age of the most recent contact in milliseconds, or `u32::MAX` if none is known.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> u32 {
        self.most_recent(now)
            .map_or(u32::MAX, |contact| contact.age_ms(now))
    }

    /// Returns the age of the most recent contact of another process in milliseconds, or `u32::MAX`
    /// if none is known.
    #[must_use]
    pub fn others_age_ms(&self, now: MonoTime) -> u32 {
        self.others.map_or(u32::MAX, |contact| contact.age_ms(now))
    }

    /// Returns the entry of the most recent contact.
    #[must_use]
    pub fn reader(&self, now: MonoTime) -> Option<EntryId> {
        self.most_recent(now).and_then(|contact| contact.reader)
    }

    fn most_recent(&self, now: MonoTime) -> Option<PlatformContact> {
        let known = [self.own, self.others].into_iter().flatten();
        known.min_by_key(|contact| contact.age_ms(now))
    }
}
