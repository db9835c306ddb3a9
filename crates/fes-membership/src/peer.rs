//! State that an agent keeps about one peer.

use fes_protocol::HeardPeer;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::TargetId;

use crate::FlapDamper;
use crate::IncarnationCheck;
use crate::IncarnationTracker;
use crate::timing::DEAD_AFTER_MS;
use crate::timing::SUSPECT_AFTER_MS;

/// State of a peer from one agent's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// Not heard since this process started or resumed after a pause.
    Unknown,
    /// Heard within the suspicion timeout; the link works in both directions.
    Alive,
    /// Heard, but doesn't hear this process.
    OneWay,
    /// Heard, but doesn't hear this process, and hears fewer than half as many other peers as this
    /// process does.
    Deaf,
    /// Heard, but its link failed several times, with less than a minute between recoveries, and is
    /// suppressed by flap damping.
    Unstable,
    /// Completes its work and accepts no new work.
    Leaving,
    /// Silent for longer than the suspicion timeout.
    Suspect,
    /// Silent for longer than the dead timeout, but heard by another peer.
    HeardByOthers,
    /// Silent for longer than the dead timeout, and heard by no peer.
    Dead,
}

impl PeerState {
    /// Returns whether new work may be sent to the peer.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Alive)
    }
}

/// Load reported by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerLoad {
    /// Estimated capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Demand in milli-slots of a reference VM.
    pub demand_milli: u32,
    /// Expected queue wait of a short request, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected queue wait of a long request, in milliseconds.
    pub long_wait_ms: u32,
    /// Open flows.
    pub flow_count: u32,
    /// Reading of the peer's monotonic clock for key prefixes, in milliseconds.
    pub key_issue_ms: u64,
}

/// Record of one peer.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) tracker: IncarnationTracker,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) load: PeerLoad,
    pub(crate) state: PeerState,
    heard: Vec<HeardPeer>,
    /// Whether a heartbeat was accepted since the record was created or its timeouts restarted.
    heard_since_reset: bool,
    /// Whether a timeout has passed since the last accepted heartbeat.
    has_failed: bool,
    suspect_at: MonoTime,
    dead_at: MonoTime,
    hears_us_until: MonoTime,
    flap_damper: FlapDamper,
}

impl Peer {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            tracker: IncarnationTracker::default(),
            lifecycle: Lifecycle::Starting,
            load: PeerLoad::default(),
            state: PeerState::Unknown,
            heard: Vec::new(),
            heard_since_reset: false,
            has_failed: false,
            suspect_at: now.plus_ms(SUSPECT_AFTER_MS),
            dead_at: now.plus_ms(DEAD_AFTER_MS),
            hears_us_until: now.plus_ms(DEAD_AFTER_MS),
            flap_damper: FlapDamper::default(),
        }
    }

    /// Applies a heartbeat. `own` and `own_tag` identify this process in the peer's list of heard
    /// peers.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: MonoTime,
        heartbeat: &PeerHeartbeat,
        own: TargetId,
        own_tag: u16,
    ) -> IncarnationCheck {
        let current_is_silent = now >= self.suspect_at;
        let check = self.tracker.check(
            now,
            heartbeat.incarnation,
            heartbeat.sequence,
            current_is_silent,
        );
        if !check.is_accepted() {
            return check;
        }
        if check == IncarnationCheck::NewIncarnation {
            self.hears_us_until = now.plus_ms(DEAD_AFTER_MS);
            self.flap_damper = FlapDamper::default();
        } else if self.has_failed {
            self.flap_damper.record_recovery(now);
        }
        self.has_failed = false;
        self.heard_since_reset = true;
        self.suspect_at = now.plus_ms(SUSPECT_AFTER_MS);
        self.dead_at = now.plus_ms(DEAD_AFTER_MS);
        self.lifecycle = heartbeat.lifecycle;
        self.load = load_of(heartbeat);
        self.heard.clone_from(&heartbeat.heard);
        let hears_us = |peer: &HeardPeer| peer.target == own && peer.incarnation_tag == own_tag;
        if heartbeat.heard.iter().any(hears_us) {
            self.hears_us_until = now.plus_ms(SUSPECT_AFTER_MS);
        }
        check
    }

    /// Restarts all timeouts. Earlier state doesn't count until the peer is heard again.
    pub(crate) fn reset_timeouts(&mut self, now: MonoTime) {
        self.heard_since_reset = false;
        self.suspect_at = now.plus_ms(SUSPECT_AFTER_MS);
        self.dead_at = now.plus_ms(DEAD_AFTER_MS);
        self.hears_us_until = now.plus_ms(DEAD_AFTER_MS);
        self.heard.clear();
    }

    /// Returns whether the peer was heard within the suspicion timeout.
    pub(crate) fn is_heard(&self, now: MonoTime) -> bool {
        self.heard_since_reset && now < self.suspect_at
    }

    /// Returns whether the peer is heard and reports that it hears this incarnation of a target.
    pub(crate) fn hears(&self, now: MonoTime, target: TargetId, incarnation: Incarnation) -> bool {
        let tag = incarnation.tag();
        let is_same = |peer: &HeardPeer| peer.target == target && peer.incarnation_tag == tag;
        self.is_heard(now) && self.heard.iter().any(is_same)
    }

    /// Returns how many peers this peer hears, not counting this process.
    pub(crate) fn heard_count(&self, own: TargetId) -> usize {
        self.heard.iter().filter(|peer| peer.target != own).count()
    }

    /// Returns whether the peer has recently reported that it hears this process. It also counts as
    /// hearing it for a dead timeout after a new incarnation or a restart of the timeouts.
    pub(crate) fn hears_us(&self, now: MonoTime) -> bool {
        now < self.hears_us_until
    }

    /// Returns the state that follows from this peer's heartbeats and timeouts alone.
    pub(crate) fn state_by_timeouts(&mut self, now: MonoTime) -> PeerState {
        if now >= self.dead_at {
            self.has_failed = true;
            return PeerState::Dead;
        }
        if now >= self.suspect_at {
            self.has_failed = true;
            return PeerState::Suspect;
        }
        if !self.heard_since_reset {
            return PeerState::Unknown;
        }
        match self.lifecycle {
            Lifecycle::Draining | Lifecycle::Stopped => PeerState::Leaving,
            Lifecycle::Starting => PeerState::Unknown,
            Lifecycle::Serving if self.flap_damper.is_suppressed(now) => PeerState::Unstable,
            Lifecycle::Serving => PeerState::Alive,
        }
    }

    /// Returns the next time at which the state can change without a heartbeat.
    pub(crate) fn next_deadline(&self, now: MonoTime) -> MonoTime {
        [
            self.suspect_at,
            self.dead_at,
            self.hears_us_until,
            self.flap_damper.suppressed_until(),
        ]
        .into_iter()
        .filter(|at| *at > now)
        .min()
        .unwrap_or(MonoTime::NEVER)
    }
}

const fn load_of(heartbeat: &PeerHeartbeat) -> PeerLoad {
    PeerLoad {
        capacity_milli: heartbeat.capacity_milli,
        demand_milli: heartbeat.demand_milli,
        queue_wait_ms: heartbeat.queue_wait_ms,
        long_wait_ms: heartbeat.long_wait_ms,
        flow_count: heartbeat.flow_count,
        key_issue_ms: heartbeat.key_issue_ms,
    }
}
