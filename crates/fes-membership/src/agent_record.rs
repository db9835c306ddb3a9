//! What an entry hears directly from the agents that it watches.

use fes_protocol::EntryHeartbeat;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;

use crate::IncarnationCheck;
use crate::IncarnationTracker;
use crate::timing::ENTRY_DEAD_AFTER_MS;
use crate::timing::ENTRY_SUSPECT_AFTER_MS;

/// Record of one agent that sends heartbeats to this entry.
#[derive(Debug, Clone)]
pub(crate) struct AgentRecord {
    tracker: IncarnationTracker,
    lifecycle: Lifecycle,
    flow_count: u32,
    suspect_at: MonoTime,
    dead_at: MonoTime,
    verified: bool,
    said_goodbye: bool,
}

impl AgentRecord {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            tracker: IncarnationTracker::default(),
            lifecycle: Lifecycle::Starting,
            flow_count: 0,
            suspect_at: now,
            dead_at: now.plus_ms(ENTRY_DEAD_AFTER_MS),
            verified: false,
            said_goodbye: false,
        }
    }

    pub(crate) fn take(&mut self, now: MonoTime, heartbeat: &EntryHeartbeat) -> bool {
        let silent = !self.verified || now >= self.suspect_at;
        let admission = self
            .tracker
            .check(now, heartbeat.incarnation, heartbeat.sequence, silent);
        if !admission.is_accepted() {
            return false;
        }
        if admission == IncarnationCheck::NewIncarnation {
            self.said_goodbye = false;
        }
        self.verified = true;
        self.suspect_at = now.plus_ms(ENTRY_SUSPECT_AFTER_MS);
        self.dead_at = now.plus_ms(ENTRY_DEAD_AFTER_MS);
        self.lifecycle = heartbeat.lifecycle;
        self.flow_count = heartbeat.flow_count;
        true
    }

    pub(crate) fn take_goodbye(&mut self, incarnation: Incarnation) {
        self.said_goodbye |= self.tracker.current() == Some(incarnation);
    }

    pub(crate) const fn renew(&mut self, now: MonoTime) {
        self.verified = false;
        self.suspect_at = now;
        self.dead_at = now.plus_ms(ENTRY_DEAD_AFTER_MS);
    }

    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.tracker.current()
    }

    pub(crate) const fn flow_count(&self) -> u32 {
        self.flow_count
    }

    pub(crate) fn is_heard(&self, now: MonoTime) -> bool {
        self.verified && now < self.suspect_at
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let leaving = matches!(self.lifecycle, Lifecycle::Draining | Lifecycle::Stopped);
        leaving || self.said_goodbye
    }

    pub(crate) fn is_silent(&self, now: MonoTime) -> bool {
        now >= self.dead_at
    }

    pub(crate) fn next_deadline(&self, now: MonoTime) -> MonoTime {
        let pending = [self.suspect_at, self.dead_at];
        let later = pending.into_iter().filter(|at| *at > now);
        later.min().unwrap_or(MonoTime::NEVER)
    }
}
