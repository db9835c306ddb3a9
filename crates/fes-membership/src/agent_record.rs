//! State that an entry keeps about an agent that it observes.

use fes_protocol::EntryHeartbeat;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;

use crate::IncarnationCheck;
use crate::IncarnationTracker;
use crate::timing::ENTRY_DEAD_AFTER_MS;
use crate::timing::ENTRY_SUSPECT_AFTER_MS;

/// Record of an agent that sends heartbeats to this entry.
#[derive(Debug, Clone)]
pub(crate) struct AgentRecord {
    tracker: IncarnationTracker,
    lifecycle: Lifecycle,
    flow_count: u32,
    suspect_at: MonoTime,
    dead_at: MonoTime,
    /// Whether a heartbeat was accepted since the record was created or its timeouts restarted.
    heard_since_reset: bool,
    goodbye_received: bool,
}

impl AgentRecord {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            tracker: IncarnationTracker::default(),
            lifecycle: Lifecycle::Starting,
            flow_count: 0,
            suspect_at: now,
            dead_at: now.plus_ms(ENTRY_DEAD_AFTER_MS),
            heard_since_reset: false,
            goodbye_received: false,
        }
    }

    pub(crate) fn apply_heartbeat(&mut self, now: MonoTime, heartbeat: &EntryHeartbeat) -> bool {
        let current_is_silent = !self.heard_since_reset || now >= self.suspect_at;
        let check = self.tracker.check(
            now,
            heartbeat.incarnation,
            heartbeat.sequence,
            current_is_silent,
        );
        if !check.is_accepted() {
            return false;
        }
        if check == IncarnationCheck::NewIncarnation {
            self.goodbye_received = false;
        }
        self.heard_since_reset = true;
        self.suspect_at = now.plus_ms(ENTRY_SUSPECT_AFTER_MS);
        self.dead_at = now.plus_ms(ENTRY_DEAD_AFTER_MS);
        self.lifecycle = heartbeat.lifecycle;
        self.flow_count = heartbeat.flow_count;
        true
    }

    pub(crate) fn apply_goodbye(&mut self, incarnation: Incarnation) {
        self.goodbye_received |= self.tracker.current() == Some(incarnation);
    }

    /// Restarts the timeouts. Earlier heartbeats don't count until the agent is heard again.
    pub(crate) const fn reset_timeouts(&mut self, now: MonoTime) {
        self.heard_since_reset = false;
        self.suspect_at = now;
        self.dead_at = now.plus_ms(ENTRY_DEAD_AFTER_MS);
    }

    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.tracker.current()
    }

    pub(crate) const fn flow_count(&self) -> u32 {
        self.flow_count
    }

    /// Returns whether the agent was heard within the suspicion timeout.
    pub(crate) fn is_heard(&self, now: MonoTime) -> bool {
        self.heard_since_reset && now < self.suspect_at
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let leaving = matches!(self.lifecycle, Lifecycle::Draining | Lifecycle::Stopped);
        leaving || self.goodbye_received
    }

    /// Returns whether the dead timeout has passed.
    pub(crate) fn is_past_dead_timeout(&self, now: MonoTime) -> bool {
        now >= self.dead_at
    }

    pub(crate) fn next_deadline(&self, now: MonoTime) -> MonoTime {
        let pending = [self.suspect_at, self.dead_at];
        let later = pending.into_iter().filter(|at| *at > now);
        later.min().unwrap_or(MonoTime::NEVER)
    }
}
