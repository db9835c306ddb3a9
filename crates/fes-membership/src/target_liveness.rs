//! Liveness of all targets, as known to one entry.

use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::EntryHeartbeat;
use fes_protocol::EntryId;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::FleetSpec;
use fes_protocol::Goodbye;
use fes_protocol::LivenessDigest;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::RangeHash;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;
use fes_protocol::Verdict;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::MergeOutcome;
use crate::TargetLivenessAction;
use crate::TargetLivenessEvent;
use crate::VerdictStore;
use crate::VmList;
use crate::agent_record::AgentRecord;
use crate::assessment::Assessment;
use crate::assessment::Evidence;
use crate::clock_monitor::PauseDetector;
use crate::entry_observers;
use crate::timing::DEAD_AFTER_MS;
use crate::timing::PAUSE_MS;
use crate::verdict_gossip::MAX_VERDICTS_PER_DATAGRAM;
use crate::verdict_gossip::VerdictGossip;
use crate::verdict_publisher::VerdictPublisher;

/// Period at which expired verdicts and those of former members are removed.
const CLEANUP_PERIOD_MS: u64 = 60_000;

/// Period at which agents receive the negative verdicts (all but `Alive`) that are held in their
/// name.
const ECHO_PERIOD_MS: u64 = 5_000;

/// Decides which targets an entry may place new flows on and which are confirmed lost.
#[derive(Debug)]
pub struct TargetLiveness {
    own: EntryId,
    services: FastMap<ServiceId, Arc<ServiceSpec>>,
    /// Service and data centre of each target that a ticket in force lists.
    members: FastMap<TargetId, (ServiceId, DataCentreName)>,
    fleets: Vec<Arc<FleetSpec>>,
    /// Records of the agents that send heartbeats to this entry.
    agent_records: FastMap<TargetId, AgentRecord>,
    verdicts: VerdictStore,
    publisher: VerdictPublisher,
    gossip: VerdictGossip,
    vm_list: VmList,
    assessments: FastMap<ServiceId, Assessment>,
    placeable: FastSet<TargetId>,
    lost: FastSet<TargetId>,
    services_to_reassess: FastSet<ServiceId>,
    /// Position of the last verdict that a repair contained; the next repair continues after it.
    repair_cursor: Option<(TargetId, NodeId)>,
    next_record_deadline: MonoTime,
    cleanup_at: MonoTime,
    echo_at: MonoTime,
    /// End of the dead timeout after the last pause or clock jump.
    verified_at: MonoTime,
    /// Whether all services have to be reassessed at `verified_at`.
    is_reverifying: bool,
    pause_detector: PauseDetector,
}

impl TargetLiveness {
    /// Creates an instance without services. `random_seed` seeds the choice of gossip receivers.
    #[must_use]
    pub fn new(now: MonoTime, own: EntryId, random_seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(random_seed);
        Self {
            own,
            services: FastMap::default(),
            members: FastMap::default(),
            fleets: Vec::new(),
            agent_records: FastMap::default(),
            verdicts: VerdictStore::default(),
            publisher: VerdictPublisher::new(NodeId::Entry(own)),
            gossip: VerdictGossip::new(own, now, random),
            vm_list: VmList::default(),
            assessments: FastMap::default(),
            placeable: FastSet::default(),
            lost: FastSet::default(),
            services_to_reassess: FastSet::default(),
            repair_cursor: None,
            next_record_deadline: MonoTime::NEVER,
            cleanup_at: now.plus_ms(CLEANUP_PERIOD_MS),
            echo_at: now.plus_ms(ECHO_PERIOD_MS),
            verified_at: now,
            is_reverifying: false,
            pause_detector: PauseDetector::new(now, PAUSE_MS),
        }
    }

    /// Returns whether new flows may be placed on the target.
    #[must_use]
    pub fn placeable(&self, target: TargetId) -> bool {
        self.placeable.contains(&target)
    }

    /// Returns whether the loss of the target is confirmed: no ticket in force lists it, or enough
    /// of its peers report it dead.
    #[must_use]
    pub fn confirmed_lost(&self, target: TargetId) -> bool {
        !self.members.contains_key(&target) || self.lost.contains(&target)
    }

    /// Returns whether more than half of the service's targets look unusable, so that their
    /// verdicts are ignored for placement.
    #[must_use]
    pub fn is_in_panic_mode(&self, service: ServiceId) -> bool {
        self.assessments
            .get(&service)
            .is_some_and(|assessment| assessment.is_in_panic_mode)
    }

    /// Returns whether a full dead timeout has passed since the last pause or clock jump.
    #[must_use]
    pub fn is_verified(&self, now: MonoTime) -> bool {
        now >= self.verified_at
    }

    /// Returns the number of open flows in the agent's last heartbeat, if this entry observes it.
    #[must_use]
    pub fn flow_count(&self, target: TargetId) -> Option<u32> {
        self.agent_records.get(&target).map(AgentRecord::flow_count)
    }

    /// Returns the verdicts of all observers.
    #[must_use]
    pub const fn verdicts(&self) -> &VerdictStore {
        &self.verdicts
    }

    /// Returns when the next `Tick` is due.
    #[must_use]
    pub fn next_deadline(&self) -> MonoTime {
        self.gossip
            .next_deadline()
            .min(self.next_record_deadline)
            .min(self.cleanup_at)
            .min(self.echo_at)
    }

    /// Handles an event and returns the actions that the host has to carry out.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: TargetLivenessEvent,
    ) -> Vec<TargetLivenessAction> {
        let mut actions = Vec::new();
        if self.pause_detector.detect_pause(now) {
            self.reset_timeouts(now);
        }
        match event {
            TargetLivenessEvent::Tick => {}
            TargetLivenessEvent::Services(services) => self.set_services(now, services),
            TargetLivenessEvent::Fleets(fleets) => self.set_fleets(fleets),
            TargetLivenessEvent::Heartbeat(heartbeat) => self.handle_heartbeat(now, &heartbeat),
            TargetLivenessEvent::Verdicts { from, verdicts } => {
                self.handle_verdicts(now, from, verdicts, &mut actions);
            }
            TargetLivenessEvent::Digest(digest) => self.handle_digest(now, &digest, &mut actions),
            TargetLivenessEvent::Goodbye(goodbye) => self.handle_goodbye(&goodbye),
            TargetLivenessEvent::VmList(hints) => {
                self.vm_list.set(&hints);
                self.services_to_reassess.extend(self.services.keys());
            }
            TargetLivenessEvent::ClockJumped => self.reset_timeouts(now),
        }
        self.evaluate_records(now);
        self.send_due(now, &mut actions);
        self.reassess(now, &mut actions);
        actions
    }

    fn set_services(&mut self, now: MonoTime, services: Vec<Arc<ServiceSpec>>) {
        for service in services {
            let id = service.id;
            self.services_to_reassess.insert(id);
            self.remove_members(id);
            for upstream in &service.upstreams {
                let data_centre = upstream.data_centre.clone();
                self.members.insert(upstream.target, (id, data_centre));
            }
            self.services.insert(id, service);
        }
        self.cleanup(now);
    }

    fn remove_members(&mut self, id: ServiceId) {
        let Some(old) = self.services.get(&id) else {
            return;
        };
        for upstream in &old.upstreams {
            let member = self.members.get(&upstream.target);
            if member.is_some_and(|(member_of, _)| *member_of == id) {
                self.members.remove(&upstream.target);
            }
        }
    }

    fn set_fleets(&mut self, fleets: Vec<Arc<FleetSpec>>) {
        let entries = fleets.iter().flat_map(|fleet| &fleet.entries);
        self.gossip.set_entries(entries.map(|entry| entry.id));
        self.fleets = fleets;
    }

    fn handle_heartbeat(&mut self, now: MonoTime, heartbeat: &EntryHeartbeat) {
        let Some((service, _)) = self.members.get(&heartbeat.target) else {
            return;
        };
        if *service != heartbeat.service {
            return;
        }
        self.services_to_reassess.insert(*service);
        let record = self.agent_records.entry(heartbeat.target);
        let record = record.or_insert_with(|| AgentRecord::new(now));
        if record.apply_heartbeat(now, heartbeat) {
            self.next_record_deadline = self.next_record_deadline.min(record.next_deadline(now));
        }
    }

    fn handle_goodbye(&mut self, goodbye: &Goodbye) {
        let NodeId::Agent(target) = goodbye.node else {
            return;
        };
        if let Some(record) = self.agent_records.get_mut(&target) {
            record.apply_goodbye(goodbye.incarnation);
        }
        self.services_to_reassess
            .extend(self.members.get(&target).map(|m| m.0));
    }

    fn handle_verdicts(
        &mut self,
        now: MonoTime,
        from: NodeId,
        verdicts: Vec<LivenessVerdict>,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let mut corrections = Vec::new();
        for verdict in verdicts {
            let member = self.members.get(&verdict.target);
            if member.is_none_or(|(service, _)| *service != verdict.service) {
                continue;
            }
            match self.verdicts.merge(now, verdict) {
                MergeOutcome::Known => {}
                MergeOutcome::Outdated(later) => corrections.push(later),
                MergeOutcome::New if verdict.observer == NodeId::Entry(self.own) => {
                    self.services_to_reassess.insert(verdict.service);
                    self.correct_own_verdict(now, &verdict);
                }
                MergeOutcome::New => {
                    self.services_to_reassess.insert(verdict.service);
                    // Two observers exclude a target, so later verdicts rarely change placement.
                    let verdict_count = self.verdicts.about(verdict.target).count();
                    self.gossip.push(now, verdict, verdict_count <= 2);
                    self.echo(from, verdict, actions);
                }
            }
        }
        corrections.truncate(MAX_VERDICTS_PER_DATAGRAM);
        if !corrections.is_empty() && self.gossip.try_spend(now, corrections.len(), 1) {
            actions.push(TargetLivenessAction::SendVerdicts {
                to: from,
                verdicts: corrections,
            });
        }
    }

    /// Replaces a verdict that others hold in this entry's name although it isn't the current one,
    /// for example from before a restart. The target counts as alive unless this entry observes it
    /// and its dead timeout has passed.
    fn correct_own_verdict(&mut self, now: MonoTime, held: &LivenessVerdict) {
        let record = self.agent_records.get(&held.target);
        let incarnation = record.and_then(AgentRecord::incarnation);
        let verdict = match record {
            Some(record) if record.is_past_dead_timeout(now) => Verdict::Dead,
            _ => Verdict::Alive,
        };
        let current = (incarnation.unwrap_or(held.incarnation), verdict);
        if self.publisher.correct(held, current) {
            self.publish_own(now);
        }
    }

    fn publish_own(&mut self, now: MonoTime) {
        for verdict in self.publisher.take_due() {
            if self.verdicts.merge(now, verdict) == MergeOutcome::New {
                self.services_to_reassess.insert(verdict.service);
                self.gossip.push(now, verdict, true);
            }
        }
    }

    /// Sends a verdict that arrived through another process back to its observer, if the observer
    /// is an agent that sends heartbeats to this entry. An observer that has restarted or was
    /// partitioned off then corrects the verdict.
    fn echo(
        &self,
        from: NodeId,
        verdict: LivenessVerdict,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let NodeId::Agent(observer) = verdict.observer else {
            return;
        };
        if from != verdict.observer && self.agent_records.contains_key(&observer) {
            actions.push(TargetLivenessAction::SendVerdicts {
                to: verdict.observer,
                verdicts: vec![verdict],
            });
        }
    }

    fn handle_digest(
        &mut self,
        now: MonoTime,
        digest: &LivenessDigest,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        if digest.hash == self.verdicts.hash() {
            return;
        }
        let NodeId::Entry(to) = digest.node else {
            return;
        };
        if digest.ranges.is_empty() {
            self.send_range_hashes(now, to, actions);
        } else {
            self.send_missing(now, to, digest, actions);
        }
    }

    /// Sends the hashes of all ranges to another entry, so that it answers with the verdicts that
    /// are missing here.
    fn send_range_hashes(
        &mut self,
        now: MonoTime,
        to: EntryId,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let ranges = self.verdicts.range_hashes(self.verdicts.hash());
        if self.gossip.try_spend_on_ranges(now, ranges.len()) {
            let digest = self.digest(ranges);
            actions.push(TargetLivenessAction::SendDigest { to, digest });
        }
    }

    /// Sends verdicts that another entry may lack, judging by its digest.
    fn send_missing(
        &mut self,
        now: MonoTime,
        to: EntryId,
        other: &LivenessDigest,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let verdicts = self
            .verdicts
            .page_for(other, self.repair_cursor, MAX_VERDICTS_PER_DATAGRAM);
        self.repair_cursor = verdicts.last().map(|v| (v.target, v.observer));
        if !verdicts.is_empty() && self.gossip.try_spend(now, verdicts.len(), 1) {
            let to = NodeId::Entry(to);
            actions.push(TargetLivenessAction::SendVerdicts { to, verdicts });
        }
    }

    fn digest(&self, ranges: Vec<RangeHash>) -> LivenessDigest {
        LivenessDigest {
            node: NodeId::Entry(self.own),
            hash: self.verdicts.hash(),
            count: self.verdicts.negative_count(),
            ranges,
        }
    }

    /// Restarts all timeouts after a pause or clock jump. Losses are confirmed again only after a
    /// full dead timeout, in which heartbeats and digests refresh the state.
    fn reset_timeouts(&mut self, now: MonoTime) {
        self.verified_at = now.plus_ms(DEAD_AFTER_MS);
        self.is_reverifying = true;
        for record in self.agent_records.values_mut() {
            record.reset_timeouts(now);
        }
        self.next_record_deadline = self.verified_at;
        self.services_to_reassess.extend(self.services.keys());
    }

    /// Publishes this entry's own verdicts about the agents that it observes. Removes the records
    /// of agents that no ticket lists, and of silent ones that it doesn't observe.
    fn evaluate_records(&mut self, now: MonoTime) {
        if self.is_reverifying && now >= self.verified_at {
            self.is_reverifying = false;
            self.services_to_reassess.extend(self.services.keys());
        }
        if now < self.next_record_deadline {
            return;
        }
        let mut next = MonoTime::NEVER;
        let mut removed = Vec::new();
        let mut verdicts = Vec::new();
        for (target, record) in &self.agent_records {
            next = next.min(record.next_deadline(now));
            let Some((service, data_centre)) = self.members.get(target) else {
                removed.push(*target);
                continue;
            };
            let Some(incarnation) = record.incarnation() else {
                continue;
            };
            if record.is_heard(now) {
                verdicts.push((*service, *target, incarnation, Verdict::Alive));
            } else if record.is_past_dead_timeout(now) {
                if entry_observers(&self.fleets, *target, data_centre).contains(&self.own) {
                    verdicts.push((*service, *target, incarnation, Verdict::Dead));
                } else {
                    removed.push(*target);
                }
            }
            self.services_to_reassess.insert(*service);
        }
        for target in removed {
            self.agent_records.remove(&target);
        }
        if now < self.verified_at {
            next = next.min(self.verified_at);
        }
        self.next_record_deadline = next;
        verdicts.sort_by_key(|verdict| verdict.1);
        for (service, target, incarnation, verdict) in verdicts {
            self.publisher
                .set_verdict(service, target, incarnation, verdict);
        }
        self.publish_own(now);
    }

    fn send_due(&mut self, now: MonoTime, actions: &mut Vec<TargetLivenessAction>) {
        for (receivers, verdicts) in self.gossip.due_batches(now) {
            let send = |to| TargetLivenessAction::SendVerdicts {
                to: NodeId::Entry(to),
                verdicts: verdicts.clone(),
            };
            actions.extend(receivers.into_iter().map(send));
        }
        if let Some(to) = self.gossip.due_digest(now) {
            let digest = self.digest(Vec::new());
            actions.push(TargetLivenessAction::SendDigest { to, digest });
        }
        if now >= self.cleanup_at {
            self.cleanup(now);
        }
        if now >= self.echo_at {
            self.echo_at = now.plus_ms(ECHO_PERIOD_MS);
            self.echo_negative_verdicts(now, actions);
        }
    }

    /// Sends each heard agent the negative verdicts that are held in its name. An agent that has
    /// restarted, or whose withdrawal was lost, then corrects them.
    fn echo_negative_verdicts(&mut self, now: MonoTime, actions: &mut Vec<TargetLivenessAction>) {
        if self.verdicts.negative_count() == 0 {
            return;
        }
        let mut heard: Vec<TargetId> = self
            .agent_records
            .iter()
            .filter(|(_, record)| record.is_heard(now))
            .map(|(target, _)| *target)
            .collect();
        heard.sort_unstable();
        for observer in heard {
            let observer = NodeId::Agent(observer);
            let verdicts = self
                .verdicts
                .negative_verdicts_of(observer, MAX_VERDICTS_PER_DATAGRAM);
            if !verdicts.is_empty() && self.gossip.try_spend(now, verdicts.len(), 1) {
                let to = observer;
                actions.push(TargetLivenessAction::SendVerdicts { to, verdicts });
            }
        }
    }

    fn cleanup(&mut self, now: MonoTime) {
        self.cleanup_at = now.plus_ms(CLEANUP_PERIOD_MS);
        let members = &self.members;
        let entries = self.fleets.iter().flat_map(|fleet| &fleet.entries);
        let entries: FastSet<EntryId> = entries.map(|entry| entry.id).collect();
        self.verdicts.cleanup(now, |verdict| {
            let service = |target| members.get(&target).map(|(service, _)| *service);
            let target_is_member = service(verdict.target) == Some(verdict.service);
            let observer_is_member = match verdict.observer {
                NodeId::Agent(observer) => service(observer) == Some(verdict.service),
                NodeId::Entry(observer) => entries.is_empty() || entries.contains(&observer),
            };
            target_is_member && observer_is_member
        });
    }

    fn reassess(&mut self, now: MonoTime, actions: &mut Vec<TargetLivenessAction>) {
        if self.services_to_reassess.is_empty() {
            return;
        }
        let mut ids: Vec<ServiceId> = std::mem::take(&mut self.services_to_reassess)
            .into_iter()
            .collect();
        ids.sort_unstable();
        for id in ids {
            let Some(service) = self.services.get(&id) else {
                continue;
            };
            let evidence = Evidence {
                now,
                verdicts: &self.verdicts,
                agent_records: &self.agent_records,
                vm_list: &self.vm_list,
                entry_count: self.fleets.iter().map(|fleet| fleet.entries.len()).sum(),
                is_verified: now >= self.verified_at,
            };
            let new = evidence.assess(service);
            if self.assessments.get(&id) != Some(&new) {
                self.apply_assessment(id, new, actions);
            }
        }
    }

    fn apply_assessment(
        &mut self,
        id: ServiceId,
        new: Assessment,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        if let Some(old) = self.assessments.get(&id) {
            for target in &old.placeable {
                self.placeable.remove(target);
            }
            for target in &old.lost {
                self.lost.remove(target);
            }
        }
        self.placeable.extend(new.placeable.iter().copied());
        self.lost.extend(new.lost.iter().copied());
        actions.push(TargetLivenessAction::AssessmentChanged {
            service: id,
            placeable: new.placeable.clone(),
            lost: new.lost.clone(),
            is_in_panic_mode: new.is_in_panic_mode,
        });
        self.assessments.insert(id, new);
    }
}
