//! Decides which requests are offloaded to a peer.

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
use super::shares::pick_weighted;

/// Smallest surplus that is offloaded, as a share of this agent's demand. A smaller one is within
/// the noise of the demand estimates and not worth a round trip.
const MIN_SURPLUS_SHARE: f64 = 0.02;

/// Share of an agent's capacity that is left for short requests while long ones occupy all slots
/// that they may use. Admission control reserves every second slot for short requests.
const SHORT_CAPACITY_SHARE: f64 = 0.5;

/// Smallest expected reduction of the wait, after the network time, for which a short request is
/// offloaded from an agent that is blocked by long ones, in milliseconds.
const MIN_GAIN_MS: u32 = 20;

/// Time for which a peer that refused an offloaded request receives no further ones, in
/// milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 500;

#[derive(Debug, Clone)]
struct Peer {
    round_trip_ms: u32,
    report: Option<PeerReport>,
    backoff_until: MonoTime,
    /// Whether the peer received a long request from this agent since its last report.
    received_long: bool,
}

/// Plans the offload of requests from one agent, based on the heartbeats of its peers.
#[derive(Debug)]
pub struct OffloadPlanner {
    settings: OffloadSettings,
    peers: BTreeMap<TargetId, Peer>,
    random: ChaCha8Rng,
}

impl OffloadPlanner {
    /// Creates a planner without peers.
    #[must_use]
    pub fn new(settings: OffloadSettings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            peers: BTreeMap::new(),
            settings,
        }
    }

    /// Replaces the peers by those that accept new work according to the tickets in force. Reports
    /// of peers that remain are kept.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = OffloadPeer>) {
        let mut previous = std::mem::take(&mut self.peers);
        for peer in peers {
            if peer.target == self.settings.local_target {
                continue;
            }
            let mut updated = previous.remove(&peer.target).unwrap_or(Peer {
                round_trip_ms: 0,
                report: None,
                backoff_until: MonoTime::ZERO,
                received_long: false,
            });
            updated.round_trip_ms = peer.round_trip_ms;
            self.peers.insert(peer.target, updated);
        }
    }

    /// Handles a heartbeat of a peer. Ignores heartbeats of unknown targets, and late or repeated
    /// ones.
    pub fn on_heartbeat(&mut self, now: MonoTime, local: &LocalLoad, heartbeat: &PeerHeartbeat) {
        let Some(peer) = self.peers.get_mut(&heartbeat.target) else {
            return;
        };
        let next =
            PeerReport::from_heartbeat(peer.report.as_ref(), now, heartbeat, local.capacity_milli);
        if next.is_some() {
            peer.report = next;
            peer.received_long = false;
        }
    }

    /// Records that a peer refused an offloaded request or is unreachable. It receives no requests
    /// for a short time, whatever its heartbeats report.
    pub fn on_refused(&mut self, now: MonoTime, target: TargetId) {
        if let Some(peer) = self.peers.get_mut(&target) {
            peer.backoff_until = now.plus_ms(REFUSAL_BACKOFF_MS);
        }
    }

    /// Selects the agent that runs a request.
    pub fn choose(
        &mut self,
        now: MonoTime,
        local: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        if !request.repeatable || request.already_forwarded {
            return OffloadChoice::Local;
        }
        if request.long && local.long_wait_ms > 0 {
            return self.choose_for_long(now, local, request);
        }
        if !request.long && local.long_wait_ms > 0 {
            let choice = self.choose_for_blocked_short(now, local, request);
            if choice != OffloadChoice::Local {
                return choice;
            }
        }
        let shares = Shares::compute(self.local_for_short(local), &self.members_for_short(now));
        let movable = f64::from(local.movable_milli);
        if shares.surplus <= f64::from(local.demand_milli) * MIN_SURPLUS_SHARE || movable <= 0.0 {
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
        self.pick_and_record(&deficits, request.long)
    }

    /// Selects a peer for a short request that would have to wait for long ones to finish. Peers
    /// whose slots for long requests are occupied are excluded, because their reported wait of
    /// short requests is soon out of date.
    fn choose_for_blocked_short(
        &mut self,
        now: MonoTime,
        local: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        let better: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter(|m| self.long_start_ms(now, m.target) == Some(0))
            .filter(|m| {
                let round_trip_ms = self.peers.get(&m.target).map_or(0, |p| p.round_trip_ms);
                let peer_wait_ms = self.queue_wait_ms(m.target).saturating_add(round_trip_ms);
                local.queue_wait_ms > peer_wait_ms.saturating_add(MIN_GAIN_MS)
            })
            .map(|m| (m.target, m.capacity * m.report_weight))
            .collect();
        self.pick_and_record(&better, false)
    }

    /// Selects a peer for a long request. Long requests are too few to be balanced by shares: a
    /// second one in the queue of an agent may wait for many times its own service time. So each
    /// goes to a peer where it would start earlier. A peer receives one per report, so that an
    /// outdated report doesn't attract a second one.
    fn choose_for_long(
        &mut self,
        now: MonoTime,
        local: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        let earlier: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter_map(|m| {
                let gain_ms = local
                    .long_wait_ms
                    .checked_sub(self.long_start_ms(now, m.target)?)?;
                Some((m.target, f64::from(gain_ms) * m.capacity * m.report_weight))
            })
            .collect();
        self.pick_and_record(&earlier, true)
    }

    /// Returns this agent's demand and its capacity for short requests, without the slots that long
    /// requests occupy.
    fn local_for_short(&self, local: &LocalLoad) -> Member {
        let mut member = self.local_member(local);
        if local.long_wait_ms > 0 {
            member.capacity *= SHORT_CAPACITY_SHARE;
        }
        member
    }

    /// Returns the peers' demand and their capacity for short requests, without the slots that long
    /// requests occupy.
    fn members_for_short(&self, now: MonoTime) -> Vec<Member> {
        let mut members = self.members(now);
        for member in &mut members {
            if self.long_start_ms(now, member.target) != Some(0) {
                member.capacity *= SHORT_CAPACITY_SHARE;
            }
        }
        members
    }

    /// Returns the time until a long request would start at a peer in milliseconds, network time
    /// included, or 0 if it would start on arrival. Returns `None` if the peer has sent no
    /// report or received a long request since its last one.
    fn long_start_ms(&self, now: MonoTime, target: TargetId) -> Option<u32> {
        let peer = self.peers.get(&target).filter(|peer| !peer.received_long)?;
        let report = peer.report?;
        let age_ms = now.ms_since(report.received_at) as u32;
        let wait_ms = report.long_wait_ms.saturating_sub(age_ms);
        Some(if wait_ms == 0 {
            0
        } else {
            wait_ms + peer.round_trip_ms
        })
    }

    /// Selects a peer and records a long request that is offloaded to it.
    fn pick_and_record(&mut self, weights: &[(TargetId, f64)], long: bool) -> OffloadChoice {
        let choice = self.pick(weights);
        if let OffloadChoice::Peer(target) = choice
            && let Some(peer) = self.peers.get_mut(&target)
        {
            peer.received_long |= long;
        }
        choice
    }

    /// Selects a peer for a repeatable request that this agent would have to refuse. Returns
    /// [`OffloadChoice::Local`] if no peer reports spare capacity; the request is then refused.
    pub fn choose_for_overflow(
        &mut self,
        now: MonoTime,
        local: &LocalLoad,
        request: &OffloadRequest,
    ) -> OffloadChoice {
        if !request.repeatable || request.already_forwarded {
            return OffloadChoice::Local;
        }
        let with_spare: Vec<(TargetId, f64)> = self
            .members(now)
            .into_iter()
            .filter(|m| self.is_reachable_in_time(now, m.target, request.deadline))
            .filter(|m| self.queue_wait_ms(m.target) < local.queue_wait_ms)
            .map(|m| (m.target, (m.capacity - m.demand).max(0.0) * m.report_weight))
            .collect();
        self.pick(&with_spare)
    }

    /// Returns whether no peer with a usable report has spare capacity.
    #[must_use]
    pub fn are_all_peers_full(&self, now: MonoTime) -> bool {
        self.members(now).iter().all(|m| m.demand >= m.capacity)
    }

    fn pick(&mut self, weights: &[(TargetId, f64)]) -> OffloadChoice {
        match pick_weighted(weights, self.random.random()) {
            Some(target) if target != self.settings.local_target => OffloadChoice::Peer(target),
            _ => OffloadChoice::Local,
        }
    }

    fn local_member(&self, local: &LocalLoad) -> Member {
        Member {
            target: self.settings.local_target,
            capacity: f64::from(local.capacity_milli),
            demand: f64::from(local.demand_milli),
            report_weight: 1.0,
        }
    }

    /// Returns the serving peers whose reports aren't stale. If more than half of the peers have no
    /// report or a stale one, the cause is more likely this agent's own connectivity. Then the
    /// latest reports of all serving peers are used, whatever their age.
    fn members(&self, now: MonoTime) -> Vec<Member> {
        let usable = |peer: &Peer| self.report_weight(now, peer) > 0.0;
        let usable_count = self.peers.values().filter(|p| usable(p)).count();
        let is_panic_mode = usable_count * 2 < self.peers.len();
        let mut members = Vec::with_capacity(self.peers.len());
        for (target, peer) in &self.peers {
            let Some(report) = peer.report.filter(|r| r.serving) else {
                continue;
            };
            let report_weight = if is_panic_mode {
                1.0
            } else {
                self.report_weight(now, peer)
            };
            if report_weight > 0.0 {
                members.push(Member {
                    target: *target,
                    capacity: f64::from(report.capacity_milli),
                    demand: f64::from(report.demand_milli),
                    report_weight,
                });
            }
        }
        members
    }

    /// Returns the weight of a peer's report, which decreases linearly from 1 to 0 with its age.
    fn report_weight(&self, now: MonoTime, peer: &Peer) -> f64 {
        let Some(report) = peer.report else {
            return 0.0;
        };
        let age_ms = now.ms_since(report.received_at);
        if age_ms <= self.settings.fresh_ms {
            return 1.0;
        }
        let decay_ms = self.settings.stale_ms - self.settings.fresh_ms;
        let late_ms = age_ms - self.settings.fresh_ms;
        1.0 - (late_ms as f64 / decay_ms.max(1) as f64).min(1.0)
    }

    fn queue_wait_ms(&self, target: TargetId) -> u32 {
        let report = self.peers.get(&target).and_then(|p| p.report);
        report.map_or(u32::MAX, |r| r.queue_wait_ms)
    }

    /// Returns whether the peer isn't in its backoff after a refusal and the deadline leaves time
    /// for the network and the peer's queue.
    fn is_reachable_in_time(&self, now: MonoTime, target: TargetId, deadline: MonoTime) -> bool {
        let Some(peer) = self.peers.get(&target) else {
            return false;
        };
        let wait_ms = u64::from(peer.round_trip_ms) + u64::from(self.queue_wait_ms(target));
        now >= peer.backoff_until && now.plus_ms(wait_ms) < deadline
    }
}
