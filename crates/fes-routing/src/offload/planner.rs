//! Decides which requests run at a peer.

use std::collections::BTreeMap;

use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::TargetId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::LocalLoad;
use super::OffloadChoice;
use super::OffloadPeer;
use super::OffloadRequest;
use super::OffloadSettings;
use super::PeerReport;
use super::shares::Member;
use super::shares::Shares;
use super::shares::pick;

/// Surplus below this share of the own demand stays here: it is within the noise of the demand
/// estimates, and each hop costs a round trip.
const MIN_SURPLUS_SHARE: f64 = 0.02;

/// Share of an agent's capacity that is left to short requests while long ones hold all slots
/// that they may hold; admission reserves one slot in two.
const SHORT_SHARE: f64 = 0.5;

/// Least expected gain, beyond the hop, for which a short request leaves an agent that is held up
/// by long ones, in milliseconds.
const MIN_GAIN_MS: u32 = 20;

/// Time for which a peer that refused an offloaded request gets none, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 500;

#[derive(Debug, Clone)]
struct Peer {
    hop_ms: u32,
    report: Option<PeerReport>,
    paused_until: MonoTime,
    /// Whether a long request was passed to the peer since its last report.
    got_long: bool,
}

/// Plans offload for one agent from its peers' heartbeats.
#[derive(Debug)]
pub struct OffloadPlanner {
    settings: OffloadSettings,
    peers: BTreeMap<TargetId, Peer>,
    random: ChaCha8Rng,
}

impl OffloadPlanner {
    /// Makes a planner without peers.
    #[must_use]
    pub fn new(settings: OffloadSettings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            peers: BTreeMap::new(),
            settings,
        }
    }

    /// Replaces the peers by those that the tickets in force name as taking new work. Reports of
    /// peers that stay are kept.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = OffloadPeer>) {
        let mut held = std::mem::take(&mut self.peers);
        for peer in peers {
            if peer.target == self.settings.local_target {
                continue;
            }
            let mut entry = held.remove(&peer.target).unwrap_or(Peer {
                hop_ms: 0,
                report: None,
                paused_until: MonoTime::ZERO,
                got_long: false,
            });
            entry.hop_ms = peer.hop_ms;
            self.peers.insert(peer.target, entry);
        }
    }

    /// Takes over a peer's heartbeat. Heartbeats of unknown targets and late or repeated ones
    /// are ignored.
    pub fn on_heartbeat(&mut self, now: MonoTime, own: &LocalLoad, heartbeat: &PeerHeartbeat) {
        let Some(peer) = self.peers.get_mut(&heartbeat.target) else {
            return;
        };
        let next =
            PeerReport::from_heartbeat(peer.report.as_ref(), now, heartbeat, own.capacity_milli);
        if next.is_some() {
            peer.report = next;
            peer.got_long = false;
        }
    }

    /// Notes that a peer refused an offloaded request or can't be reached; it gets none for a
    /// while, whatever its heartbeats say.
    pub fn on_refused(&mut self, now: MonoTime, target: TargetId) {
        if let Some(peer) = self.peers.get_mut(&target) {
            peer.paused_until = now.plus_ms(REFUSAL_PAUSE_MS);
        }
    }

    /// Decides where a request runs.
    pub fn choose(
        &mut self,
        now: MonoTime,
        own: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        if !request.repeatable || request.already_forwarded {
            return OffloadChoice::Local;
        }
        if request.long && own.long_wait_ms > 0 {
            return self.choose_for_long(now, own, request);
        }
        if !request.long && own.long_wait_ms > 0 {
            let choice = self.choose_unblocked(now, own, request);
            if choice != OffloadChoice::Local {
                return choice;
            }
        }
        let shares = Shares::compute(self.own_for_short(own), &self.members_for_short(now));
        let movable = f64::from(own.movable_milli);
        if shares.surplus <= f64::from(own.demand_milli) * MIN_SURPLUS_SHARE || movable <= 0.0 {
            return OffloadChoice::Local;
        }
        if self.random.random::<f64>() >= shares.surplus / movable {
            return OffloadChoice::Local;
        }
        let deficits: Vec<(TargetId, f64)> = shares
            .deficits
            .into_iter()
            .filter(|(target, _)| self.is_reachable_in_time(now, *target, request.deadline))
            .filter(|(target, _)| !request.long || self.long_start_ms(now, *target) == Some(0))
            .collect();
        self.send(&deficits, request.long)
    }

    /// Picks a peer for a short request that would wait for long ones to end. Peers whose long
    /// slots are taken are left out, because their reports on short waits are soon out of date.
    fn choose_unblocked(
        &mut self,
        now: MonoTime,
        own: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        let better: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter(|m| self.long_start_ms(now, m.target) == Some(0))
            .filter(|m| {
                let hop_ms = self.peers.get(&m.target).map_or(0, |p| p.hop_ms);
                let there_ms = self.queue_wait_ms(m.target).saturating_add(hop_ms);
                own.queue_wait_ms > there_ms.saturating_add(MIN_GAIN_MS)
            })
            .map(|m| (m.target, m.capacity * m.trust))
            .collect();
        self.send(&better, false)
    }

    /// Long requests are too few for shares to even out: a second one in an agent's queue waits
    /// for many times its own service. They go where one would start earlier, one per peer and
    /// report, so that a stale report attracts no second one.
    fn choose_for_long(
        &mut self,
        now: MonoTime,
        own: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        let earlier: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter_map(|m| {
                let gain_ms = own
                    .long_wait_ms
                    .checked_sub(self.long_start_ms(now, m.target)?)?;
                Some((m.target, f64::from(gain_ms) * m.capacity * m.trust))
            })
            .collect();
        self.send(&earlier, true)
    }

    /// Returns this agent as short requests find it.
    fn own_for_short(&self, own: &LocalLoad) -> Member {
        let mut member = self.own_member(own);
        if own.long_wait_ms > 0 {
            member.capacity *= SHORT_SHARE;
        }
        member
    }

    /// Returns the peers as short requests find them: without the slots that long requests hold.
    fn members_for_short(&self, now: MonoTime) -> Vec<Member> {
        let mut members = self.members(now);
        for member in &mut members {
            if self.long_start_ms(now, member.target) != Some(0) {
                member.capacity *= SHORT_SHARE;
            }
        }
        members
    }

    /// Returns when a long request would start at a peer, hop included; 0 if at once. `None` if
    /// the peer got one since its last report.
    fn long_start_ms(&self, now: MonoTime, target: TargetId) -> Option<u32> {
        let peer = self.peers.get(&target).filter(|peer| !peer.got_long)?;
        let report = peer.report?;
        let age_ms = now.ms_since(report.received_at) as u32;
        let wait_ms = report.long_wait_ms.saturating_sub(age_ms);
        Some(if wait_ms == 0 {
            0
        } else {
            wait_ms + peer.hop_ms
        })
    }

    fn send(&mut self, weights: &[(TargetId, f64)], long: bool) -> OffloadChoice {
        let choice = self.pick(weights);
        if let OffloadChoice::Peer(target) = choice
            && let Some(peer) = self.peers.get_mut(&target)
        {
            peer.got_long |= long;
        }
        choice
    }

    /// Picks a peer for a repeatable request that this agent would have to refuse. Returns
    /// `Here` if no peer reports a free place; the request is then refused here.
    pub fn choose_for_overflow(
        &mut self,
        now: MonoTime,
        own: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        if !request.repeatable || request.already_forwarded {
            return OffloadChoice::Local;
        }
        let spare: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter(|m| self.queue_wait_ms(m.target) < own.queue_wait_ms)
            .map(|m| (m.target, (m.capacity - m.demand).max(0.0) * m.trust))
            .collect();
        self.pick(&spare)
    }

    /// Returns whether every peer with a usable report has no spare capacity.
    #[must_use]
    pub fn are_all_peers_full(&self, now: MonoTime) -> bool {
        self.members(now).iter().all(|m| m.demand >= m.capacity)
    }

    fn pick(&mut self, weights: &[(TargetId, f64)]) -> OffloadChoice {
        match pick(weights, self.random.random()) {
            Some(target) if target != self.settings.local_target => OffloadChoice::Peer(target),
            _ => OffloadChoice::Local,
        }
    }

    fn own_member(&self, own: &LocalLoad) -> Member {
        Member {
            target: self.settings.local_target,
            capacity: f64::from(own.capacity_milli),
            demand: f64::from(own.demand_milli),
            trust: 1.0,
        }
    }

    /// Returns the peers with usable reports. When more than half of the peers are silent, the
    /// silence says more about this agent's reception than about them, and the last reports of
    /// all are used.
    fn members(&self, now: MonoTime) -> Vec<Member> {
        let usable = |peer: &Peer| self.trust(now, peer) > 0.0;
        let usable_count = self.peers.values().filter(|p| usable(p)).count();
        let panic = usable_count * 2 < self.peers.len();
        let mut members = Vec::with_capacity(self.peers.len());
        for (target, peer) in &self.peers {
            let Some(report) = peer.report.filter(|r| r.serving) else {
                continue;
            };
            let trust = if panic { 1.0 } else { self.trust(now, peer) };
            if trust > 0.0 {
                members.push(Member {
                    target: *target,
                    capacity: f64::from(report.capacity_milli),
                    demand: f64::from(report.demand_milli),
                    trust,
                });
            }
        }
        members
    }

    fn trust(&self, now: MonoTime, peer: &Peer) -> f64 {
        let Some(report) = peer.report else {
            return 0.0;
        };
        let age_ms = now.ms_since(report.received_at);
        if age_ms <= self.settings.fresh_ms {
            return 1.0;
        }
        let fade_ms = self.settings.stale_ms - self.settings.fresh_ms;
        let late_ms = age_ms - self.settings.fresh_ms;
        1.0 - (late_ms as f64 / fade_ms.max(1) as f64).min(1.0)
    }

    fn queue_wait_ms(&self, target: TargetId) -> u32 {
        let report = self.peers.get(&target).and_then(|p| p.report);
        report.map_or(u32::MAX, |r| r.queue_wait_ms)
    }

    /// Returns whether the peer isn't paused and the deadline leaves time for hop and queue.
    fn is_reachable_in_time(&self, now: MonoTime, target: TargetId, deadline: MonoTime) -> bool {
        let Some(peer) = self.peers.get(&target) else {
            return false;
        };
        let wait_ms = u64::from(peer.hop_ms) + u64::from(self.queue_wait_ms(target));
        now >= peer.paused_until && now.plus_ms(wait_ms) < deadline
    }
}
