//! State of the peers of one service, as known to one agent.

use std::collections::BTreeMap;
use std::sync::Arc;

use fes_kernel::Decider;
use fes_protocol::DataCentreName;
use fes_protocol::EntryHeartbeat;
use fes_protocol::EntryId;
use fes_protocol::FleetSpec;
use fes_protocol::HeardPeer;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::PeerHeartbeat;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::Verdict;

use crate::PeerLoad;
use crate::PeerState;
use crate::agent_observers;
use crate::clock_monitor::PauseDetector;
use crate::entry_observers;
use crate::peer::Peer;
use crate::targets_observed_by;
use crate::timing::DEAD_AFTER_MS;
use crate::timing::ENTRY_HEARTBEAT_PERIOD_MS;
use crate::timing::PAUSE_MS;
use crate::timing::heartbeat_period_ms;
use crate::verdict_publisher::VerdictPublisher;

/// Identity of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Service of the target.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
}

/// Input of [`PeerTable`].
#[derive(Debug, Clone, PartialEq)]
pub enum PeerTableEvent {
    /// The deadline returned by `next_deadline` was reached.
    Tick,
    /// A heartbeat of a peer arrived.
    Heartbeat(PeerHeartbeat),
    /// Verdicts arrived. Outdated ones in this agent's name are corrected.
    Verdicts(Vec<LivenessVerdict>),
    /// The service in force changed.
    Service(Arc<ServiceSpec>),
    /// The entries in force changed.
    Fleets(Vec<Arc<FleetSpec>>),
    /// The load to report in heartbeats changed.
    Load(PeerLoad),
    /// The life cycle state to report in heartbeats changed.
    Lifecycle(Lifecycle),
    /// The clock jumped or the process was paused.
    ClockJumped,
}

/// Output that the host carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerTableAction {
    /// Send a heartbeat to a peer.
    SendHeartbeat {
        /// Receiver.
        to: TargetId,
        /// Content.
        heartbeat: PeerHeartbeat,
    },
    /// Send a heartbeat to an entry.
    SendEntryHeartbeat {
        /// Receiver.
        to: EntryId,
        /// Content.
        heartbeat: EntryHeartbeat,
    },
    /// Send verdicts to an entry.
    SendVerdicts {
        /// Receiver.
        to: EntryId,
        /// Content.
        verdicts: Vec<LivenessVerdict>,
    },
    /// The state of a peer changed.
    PeerChanged {
        /// The peer.
        target: TargetId,
        /// Its new state.
        state: PeerState,
    },
}

/// Tracks the state of an agent's peers and sends them heartbeats.
#[derive(Debug)]
pub struct PeerTable {
    identity: AgentIdentity,
    service: Option<Arc<ServiceSpec>>,
    /// Agents that observe this one and receive its heartbeats.
    observers: Vec<TargetId>,
    /// Entries that observe this agent and receive its heartbeats and verdicts.
    entries: Vec<EntryId>,
    /// Agents that this one observes.
    peers: BTreeMap<TargetId, Peer>,
    publisher: VerdictPublisher,
    load: PeerLoad,
    lifecycle: Lifecycle,
    sequence: u64,
    heartbeat_at: MonoTime,
    entry_heartbeat_at: MonoTime,
    /// Time before which no peer is reported dead: a dead timeout after the start or the last pause
    /// or clock jump.
    dead_verdicts_after: MonoTime,
    pause_detector: PauseDetector,
    ignored_heartbeat_count: u64,
}

impl PeerTable {
    /// Creates a table without peers.
    #[must_use]
    pub fn new(now: MonoTime, identity: AgentIdentity) -> Self {
        let publisher = VerdictPublisher::new(NodeId::Agent(identity.target));
        Self {
            identity,
            service: None,
            observers: Vec::new(),
            entries: Vec::new(),
            peers: BTreeMap::new(),
            publisher,
            load: PeerLoad::default(),
            lifecycle: Lifecycle::Starting,
            sequence: 0,
            heartbeat_at: now,
            entry_heartbeat_at: now,
            dead_verdicts_after: now.plus_ms(DEAD_AFTER_MS),
            pause_detector: PauseDetector::new(now, PAUSE_MS),
            ignored_heartbeat_count: 0,
        }
    }

    /// Returns the state of a peer.
    #[must_use]
    pub fn state(&self, target: TargetId) -> PeerState {
        self.peers
            .get(&target)
            .map_or(PeerState::Unknown, |peer| peer.state)
    }

    /// Returns all peers with state, incarnation and load, in ascending order of target.
    pub fn peers(
        &self,
    ) -> impl Iterator<Item = (TargetId, PeerState, Option<Incarnation>, PeerLoad)> {
        self.peers
            .iter()
            .map(|(target, peer)| (*target, peer.state, peer.tracker.current(), peer.load))
    }

    /// Returns the incarnation of a peer that is assumed to be running.
    #[must_use]
    pub fn incarnation(&self, target: TargetId) -> Option<Incarnation> {
        self.peers.get(&target)?.tracker.current()
    }

    /// Returns how many heartbeats were ignored as replays or as from another incarnation.
    #[must_use]
    pub const fn ignored_heartbeat_count(&self) -> u64 {
        self.ignored_heartbeat_count
    }

    /// Returns when the next `Tick` is due.
    #[must_use]
    pub fn next_deadline(&self, now: MonoTime) -> MonoTime {
        let peers = self.peers.values().map(|peer| peer.next_deadline(now));
        peers.fold(
            self.heartbeat_at.min(self.entry_heartbeat_at),
            MonoTime::min,
        )
    }

    /// Handles an event and returns the actions that the host has to carry out.
    pub fn handle(&mut self, now: MonoTime, event: PeerTableEvent) -> Vec<PeerTableAction> {
        let mut actions = Vec::new();
        if self.pause_detector.detect_pause(now) {
            self.reset_timeouts(now);
        }
        match event {
            PeerTableEvent::Tick => {}
            PeerTableEvent::Heartbeat(heartbeat) => self.handle_heartbeat(now, &heartbeat),
            PeerTableEvent::Verdicts(held) => self.correct_verdicts(now, &held),
            PeerTableEvent::Service(service) => self.set_service(now, service),
            PeerTableEvent::Fleets(fleets) => {
                let identity = &self.identity;
                self.entries = entry_observers(&fleets, identity.target, &identity.data_centre);
            }
            PeerTableEvent::Load(load) => self.load = load,
            PeerTableEvent::Lifecycle(lifecycle) => self.set_lifecycle(now, lifecycle),
            PeerTableEvent::ClockJumped => self.reset_timeouts(now),
        }
        let has_new_verdict = self.evaluate_peers(now, &mut actions);
        self.send_due(now, has_new_verdict, &mut actions);
        actions
    }

    fn handle_heartbeat(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        if heartbeat.service != self.identity.service {
            return;
        }
        let (own, own_tag) = (self.identity.target, self.identity.incarnation.tag());
        let Some(peer) = self.peers.get_mut(&heartbeat.target) else {
            return;
        };
        if !peer
            .apply_heartbeat(now, heartbeat, own, own_tag)
            .is_accepted()
        {
            self.ignored_heartbeat_count += 1;
        }
    }

    fn set_service(&mut self, now: MonoTime, service: Arc<ServiceSpec>) {
        let own = self.identity.target;
        let observed = targets_observed_by(&service, own);
        self.observers = agent_observers(&service, own);
        self.peers
            .retain(|target, _| observed.binary_search(target).is_ok());
        self.publisher
            .retain(|target| observed.binary_search(&target).is_ok());
        for target in observed {
            self.peers.entry(target).or_insert_with(|| Peer::new(now));
        }
        self.service = Some(service);
    }

    /// Sets the life cycle state. A change is sent at once, because peers and entries must not send
    /// new work to a leaving agent.
    fn set_lifecycle(&mut self, now: MonoTime, lifecycle: Lifecycle) {
        if self.lifecycle == lifecycle {
            return;
        }
        self.lifecycle = lifecycle;
        self.heartbeat_at = now;
        self.entry_heartbeat_at = now;
    }

    /// Restarts all timeouts after a pause or clock jump. Peers count as unknown until they are
    /// heard again, and none is declared dead before a full dead timeout has passed.
    fn reset_timeouts(&mut self, now: MonoTime) {
        self.dead_verdicts_after = now.plus_ms(DEAD_AFTER_MS);
        for peer in self.peers.values_mut() {
            peer.reset_timeouts(now);
        }
    }

    fn correct_verdicts(&mut self, now: MonoTime, held: &[LivenessVerdict]) {
        for verdict in held {
            let Some(peer) = self.peers.get(&verdict.target) else {
                continue;
            };
            let current = verdict_on(now, self.dead_verdicts_after, peer);
            let Some(current) = current else {
                continue;
            };
            if self.publisher.correct(verdict, current) {
                self.entry_heartbeat_at = now;
            }
        }
    }

    /// Updates the state of all peers. Returns whether there is a new verdict to send.
    fn evaluate_peers(&mut self, now: MonoTime, actions: &mut Vec<PeerTableAction>) -> bool {
        let targets: Vec<TargetId> = self.peers.keys().copied().collect();
        let mut has_new_verdict = false;
        for target in targets {
            let state = self.evaluate(now, target);
            let Some(peer) = self.peers.get_mut(&target) else {
                continue;
            };
            if peer.state != state {
                peer.state = state;
                actions.push(PeerTableAction::PeerChanged { target, state });
            }
            if let Some((incarnation, verdict)) = verdict_on(now, self.dead_verdicts_after, peer) {
                let service = self.identity.service;
                has_new_verdict |=
                    self.publisher
                        .set_verdict(service, target, incarnation, verdict);
            }
        }
        has_new_verdict
    }

    fn evaluate(&mut self, now: MonoTime, target: TargetId) -> PeerState {
        let own = self.identity.target;
        let heard_peer_count = self.peers.values().filter(|p| p.is_heard(now)).count();
        let heard_by_others = self.is_heard_by_others(now, target);
        let Some(peer) = self.peers.get_mut(&target) else {
            return PeerState::Unknown;
        };
        match peer.state_by_timeouts(now) {
            PeerState::Dead if heard_by_others => PeerState::HeardByOthers,
            PeerState::Alive => {
                // Number of other peers that this agent hears.
                let others_heard = heard_peer_count.saturating_sub(1);
                if peer.hears_us(now) {
                    PeerState::Alive
                } else if others_heard > 0 && peer.heard_count(own) * 2 < others_heard {
                    PeerState::Deaf
                } else {
                    PeerState::OneWay
                }
            }
            other => other,
        }
    }

    fn is_heard_by_others(&self, now: MonoTime, target: TargetId) -> bool {
        let Some(incarnation) = self.incarnation(target) else {
            return false;
        };
        let others = self.peers.iter().filter(|(other, _)| **other != target);
        let mut others = others.map(|(_, peer)| peer);
        others.any(|peer| peer.hears(now, target, incarnation))
    }

    fn send_due(
        &mut self,
        now: MonoTime,
        has_new_verdict: bool,
        actions: &mut Vec<PeerTableAction>,
    ) {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now.plus_ms(heartbeat_period_ms(self.observers.len()));
            self.sequence += 1;
            let heartbeat = self.heartbeat(now);
            let send = |to: &TargetId| PeerTableAction::SendHeartbeat {
                to: *to,
                heartbeat: heartbeat.clone(),
            };
            actions.extend(self.observers.iter().map(send));
        }
        let entry_heartbeat_is_due = now >= self.entry_heartbeat_at;
        if entry_heartbeat_is_due {
            self.entry_heartbeat_at = now.plus_ms(ENTRY_HEARTBEAT_PERIOD_MS);
            self.sequence += 1;
            let heartbeat = self.entry_heartbeat();
            let send = |to: &EntryId| PeerTableAction::SendEntryHeartbeat {
                to: *to,
                heartbeat: heartbeat.clone(),
            };
            actions.extend(self.entries.iter().map(send));
        }
        if has_new_verdict || entry_heartbeat_is_due {
            let verdicts = self.publisher.take_due();
            if verdicts.is_empty() {
                return;
            }
            let send = |to: &EntryId| PeerTableAction::SendVerdicts {
                to: *to,
                verdicts: verdicts.clone(),
            };
            actions.extend(self.entries.iter().map(send));
        }
    }

    fn heartbeat(&self, now: MonoTime) -> PeerHeartbeat {
        let heard_peers = self.peers.iter().filter(|(_, peer)| peer.is_heard(now));
        let heard = heard_peers.filter_map(|(target, peer)| {
            Some(HeardPeer {
                target: *target,
                incarnation_tag: peer.tracker.current()?.tag(),
            })
        });
        PeerHeartbeat {
            service: self.identity.service,
            target: self.identity.target,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            lifecycle: self.lifecycle,
            capacity_milli: self.load.capacity_milli,
            demand_milli: self.load.demand_milli,
            queue_wait_ms: self.load.queue_wait_ms,
            long_wait_ms: self.load.long_wait_ms,
            flow_count: self.load.flow_count,
            key_issue_ms: self.load.key_issue_ms,
            heard: heard.collect(),
        }
    }

    const fn entry_heartbeat(&self) -> EntryHeartbeat {
        EntryHeartbeat {
            service: self.identity.service,
            target: self.identity.target,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            lifecycle: self.lifecycle,
            flow_count: self.load.flow_count,
        }
    }
}

impl Decider for PeerTable {
    type Event = PeerTableEvent;
    type Action = PeerTableAction;

    fn tick() -> PeerTableEvent {
        PeerTableEvent::Tick
    }

    fn decide(&mut self, now: MonoTime, event: PeerTableEvent) -> Vec<PeerTableAction> {
        self.handle(now, event)
    }

    fn next_deadline(&self, now: MonoTime) -> MonoTime {
        Self::next_deadline(self, now)
    }
}

/// Returns the verdict about a peer to report to entries, or `None` while its state is undecided.
/// A peer that is unreachable only over its link to this agent counts as alive.
fn verdict_on(
    now: MonoTime,
    dead_verdicts_after: MonoTime,
    peer: &Peer,
) -> Option<(Incarnation, Verdict)> {
    let verdict = match peer.state {
        PeerState::Alive | PeerState::OneWay | PeerState::HeardByOthers => Verdict::Alive,
        PeerState::Deaf | PeerState::Unstable => Verdict::Impaired,
        PeerState::Leaving => Verdict::Leaving,
        PeerState::Dead if now >= dead_verdicts_after => Verdict::Dead,
        PeerState::Dead | PeerState::Unknown | PeerState::Suspect => return None,
    };
    Some((
        peer.tracker.current().unwrap_or(UNKNOWN_INCARNATION),
        verdict,
    ))
}

/// Placeholder for a target of which no incarnation was ever heard. Verdicts about it exclude the
/// target from placement but never confirm a loss.
pub const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);
