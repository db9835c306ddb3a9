//! Liveness of all targets, as one entry sees it.

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
use crate::publisher::Publisher;
use crate::timing::DEAD_AFTER_MS;
use crate::timing::PAUSE_MS;
use crate::verdict_gossip::MAX_PER_DATAGRAM;
use crate::verdict_gossip::VerdictGossip;

/// Withdrawn verdicts are cleaned up this often.
const CLEAN_PERIOD_MS: u64 = 60_000;

/// Agents are shown the doubts that are held in their name this often.
const ECHO_PERIOD_MS: u64 = 5_000;

/// Decides where an entry may place new flows and which targets are lost.
#[derive(Debug)]
pub struct TargetLiveness {
    own: EntryId,
    services: FastMap<ServiceId, Arc<ServiceSpec>>,
    members: FastMap<TargetId, (ServiceId, DataCentreName)>,
    fleets: Vec<Arc<FleetSpec>>,
    watches: FastMap<TargetId, AgentRecord>,
    verdicts: VerdictStore,
    publisher: Publisher,
    gossip: VerdictGossip,
    vms: VmList,
    assessments: FastMap<ServiceId, Assessment>,
    placeable: FastSet<TargetId>,
    lost: FastSet<TargetId>,
    dirty: FastSet<ServiceId>,
    page_after: Option<(TargetId, NodeId)>,
    next_watch_at: MonoTime,
    clean_at: MonoTime,
    echo_at: MonoTime,
    verified_at: MonoTime,
    renewing: bool,
    pause: PauseDetector,
}

impl TargetLiveness {
    /// Makes a view that knows no services.
    #[must_use]
    pub fn new(now: MonoTime, own: EntryId, random_seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(random_seed);
        Self {
            own,
            services: FastMap::default(),
            members: FastMap::default(),
            fleets: Vec::new(),
            watches: FastMap::default(),
            verdicts: VerdictStore::default(),
            publisher: Publisher::new(NodeId::Entry(own)),
            gossip: VerdictGossip::new(own, now, random),
            vms: VmList::default(),
            assessments: FastMap::default(),
            placeable: FastSet::default(),
            lost: FastSet::default(),
            dirty: FastSet::default(),
            page_after: None,
            next_watch_at: MonoTime::NEVER,
            clean_at: now.plus_ms(CLEAN_PERIOD_MS),
            echo_at: now.plus_ms(ECHO_PERIOD_MS),
            verified_at: now,
            renewing: false,
            pause: PauseDetector::new(now, PAUSE_MS),
        }
    }

    /// Returns whether new flows of the service may be placed on the target.
    #[must_use]
    pub fn placeable(&self, target: TargetId) -> bool {
        self.placeable.contains(&target)
    }

    /// Returns whether the target is lost: no ticket in force names it, or enough of its peers
    /// report it dead.
    #[must_use]
    pub fn confirmed_lost(&self, target: TargetId) -> bool {
        !self.members.contains_key(&target) || self.lost.contains(&target)
    }

    /// Returns whether more than half of the service looks dead.
    #[must_use]
    pub fn is_in_panic_mode(&self, service: ServiceId) -> bool {
        self.assessments
            .get(&service)
            .is_some_and(|assessment| assessment.is_in_panic_mode)
    }

    /// Returns whether everything was renewed since the process last woke up.
    #[must_use]
    pub fn is_verified(&self, now: MonoTime) -> bool {
        now >= self.verified_at
    }

    /// Returns the open flows that the agent reported last, if this entry watches it.
    #[must_use]
    pub fn flow_count(&self, target: TargetId) -> Option<u32> {
        self.watches.get(&target).map(AgentRecord::flow_count)
    }

    /// Returns the verdicts held.
    #[must_use]
    pub const fn verdicts(&self) -> &VerdictStore {
        &self.verdicts
    }

    /// Returns when the next `Tick` is due.
    #[must_use]
    pub fn next_deadline(&self) -> MonoTime {
        self.gossip
            .next_deadline()
            .min(self.next_watch_at)
            .min(self.clean_at)
            .min(self.echo_at)
    }

    /// Reacts to an event.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: TargetLivenessEvent,
    ) -> Vec<TargetLivenessAction> {
        let mut actions = Vec::new();
        if self.pause.is_pause(now) {
            self.renew(now);
        }
        match event {
            TargetLivenessEvent::Tick => {}
            TargetLivenessEvent::Services(services) => self.set_services(now, services),
            TargetLivenessEvent::Fleets(fleets) => self.set_fleets(fleets),
            TargetLivenessEvent::Heartbeat(heartbeat) => self.take_heartbeat(now, &heartbeat),
            TargetLivenessEvent::Verdicts { from, verdicts } => {
                self.take_verdicts(now, from, verdicts, &mut actions);
            }
            TargetLivenessEvent::Digest(digest) => self.compare(now, &digest, &mut actions),
            TargetLivenessEvent::Goodbye(goodbye) => self.take_goodbye(&goodbye),
            TargetLivenessEvent::VmList(hints) => {
                self.vms.set(&hints);
                self.dirty.extend(self.services.keys());
            }
            TargetLivenessEvent::ClockJumped => self.renew(now),
        }
        self.judge_watches(now);
        self.send_due(now, &mut actions);
        self.reassess(now, &mut actions);
        actions
    }

    fn set_services(&mut self, now: MonoTime, services: Vec<Arc<ServiceSpec>>) {
        for service in services {
            let id = service.id;
            self.dirty.insert(id);
            self.remove_members(id);
            for upstream in &service.upstreams {
                let home = upstream.data_centre.clone();
                self.members.insert(upstream.target, (id, home));
            }
            self.services.insert(id, service);
        }
        self.clean(now);
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

    fn take_heartbeat(&mut self, now: MonoTime, heartbeat: &EntryHeartbeat) {
        let Some((service, _)) = self.members.get(&heartbeat.target) else {
            return;
        };
        if *service != heartbeat.service {
            return;
        }
        self.dirty.insert(*service);
        let watch = self.watches.entry(heartbeat.target);
        let watch = watch.or_insert_with(|| AgentRecord::new(now));
        if watch.take(now, heartbeat) {
            self.next_watch_at = self.next_watch_at.min(watch.next_deadline(now));
        }
    }

    fn take_goodbye(&mut self, goodbye: &Goodbye) {
        let NodeId::Agent(target) = goodbye.node else {
            return;
        };
        if let Some(watch) = self.watches.get_mut(&target) {
            watch.take_goodbye(goodbye.incarnation);
        }
        self.dirty.extend(self.members.get(&target).map(|m| m.0));
    }

    fn take_verdicts(
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
                    self.dirty.insert(verdict.service);
                    self.correct_own(now, &verdict);
                }
                MergeOutcome::New => {
                    self.dirty.insert(verdict.service);
                    let others = self.verdicts.about(verdict.target).count();
                    self.gossip.push(now, verdict, others <= 2);
                    self.echo(from, verdict, actions);
                }
            }
        }
        corrections.truncate(MAX_PER_DATAGRAM);
        if !corrections.is_empty() && self.gossip.spend(now, corrections.len(), 1) {
            actions.push(TargetLivenessAction::SendVerdicts {
                to: from,
                verdicts: corrections,
            });
        }
    }

    /// Replaces a verdict in this entry's name that it doesn't hold, for example from before a
    /// restart. Without a sign of death the target counts as alive.
    fn correct_own(&mut self, now: MonoTime, held: &LivenessVerdict) {
        let watch = self.watches.get(&held.target);
        let incarnation = watch.and_then(AgentRecord::incarnation);
        let verdict = match watch {
            Some(watch) if watch.is_silent(now) => Verdict::Dead,
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
                self.dirty.insert(verdict.service);
                self.gossip.push(now, verdict, true);
            }
        }
    }

    /// Shows an observer what is said in its name, if this entry hears it. An observer that
    /// restarted, or that was cut off, corrects it.
    fn echo(
        &self,
        from: NodeId,
        verdict: LivenessVerdict,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let NodeId::Agent(observer) = verdict.observer else {
            return;
        };
        if from != verdict.observer && self.watches.contains_key(&observer) {
            actions.push(TargetLivenessAction::SendVerdicts {
                to: verdict.observer,
                verdicts: vec![verdict],
            });
        }
    }

    fn compare(
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
            self.ask_for_differing(now, to, actions);
        } else {
            self.repair(now, to, digest, actions);
        }
    }

    /// Shows another entry what is held range by range, so that it sends what is missing here.
    fn ask_for_differing(
        &mut self,
        now: MonoTime,
        to: EntryId,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let ranges = self.verdicts.range_hashes(self.verdicts.hash());
        if self.gossip.spend_on_ranges(now, ranges.len()) {
            let digest = self.digest(ranges);
            actions.push(TargetLivenessAction::SendDigest { to, digest });
        }
    }

    /// Sends verdicts that another entry may lack, judging by its digest.
    fn repair(
        &mut self,
        now: MonoTime,
        to: EntryId,
        others: &LivenessDigest,
        actions: &mut Vec<TargetLivenessAction>,
    ) {
        let verdicts = self
            .verdicts
            .page_for(others, self.page_after, MAX_PER_DATAGRAM);
        self.page_after = verdicts.last().map(|v| (v.target, v.observer));
        if !verdicts.is_empty() && self.gossip.spend(now, verdicts.len(), 1) {
            let to = NodeId::Entry(to);
            actions.push(TargetLivenessAction::SendVerdicts { to, verdicts });
        }
    }

    fn digest(&self, ranges: Vec<RangeHash>) -> LivenessDigest {
        LivenessDigest {
            node: NodeId::Entry(self.own),
            hash: self.verdicts.hash(),
            count: self.verdicts.doubt_count(),
            ranges,
        }
    }

    /// Drops everything that rests on deadlines. Losses are confirmed again only after a whole
    /// timeout, in which heartbeats and digests renew what is known.
    fn renew(&mut self, now: MonoTime) {
        self.verified_at = now.plus_ms(DEAD_AFTER_MS);
        self.renewing = true;
        for watch in self.watches.values_mut() {
            watch.renew(now);
        }
        self.next_watch_at = self.verified_at;
        self.dirty.extend(self.services.keys());
    }

    /// Publishes this entry's own verdicts about the agents that it watches.
    fn judge_watches(&mut self, now: MonoTime) {
        if self.renewing && now >= self.verified_at {
            self.renewing = false;
            self.dirty.extend(self.services.keys());
        }
        if now < self.next_watch_at {
            return;
        }
        let mut next = MonoTime::NEVER;
        let mut gone = Vec::new();
        let mut opinions = Vec::new();
        for (target, watch) in &self.watches {
            next = next.min(watch.next_deadline(now));
            let Some((service, home)) = self.members.get(target) else {
                gone.push(*target);
                continue;
            };
            let Some(incarnation) = watch.incarnation() else {
                continue;
            };
            if watch.is_heard(now) {
                opinions.push((*service, *target, incarnation, Verdict::Alive));
            } else if watch.is_silent(now) {
                if entry_observers(&self.fleets, *target, home).contains(&self.own) {
                    opinions.push((*service, *target, incarnation, Verdict::Dead));
                } else {
                    gone.push(*target);
                }
            }
            self.dirty.insert(*service);
        }
        for target in gone {
            self.watches.remove(&target);
        }
        if now < self.verified_at {
            next = next.min(self.verified_at);
        }
        self.next_watch_at = next;
        opinions.sort_by_key(|opinion| opinion.1);
        for (service, target, incarnation, verdict) in opinions {
            self.publisher.set(service, target, incarnation, verdict);
        }
        self.publish_own(now);
    }

    fn send_due(&mut self, now: MonoTime, actions: &mut Vec<TargetLivenessAction>) {
        for (receivers, verdicts) in self.gossip.due(now) {
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
        if now >= self.clean_at {
            self.clean(now);
        }
        if now >= self.echo_at {
            self.echo_at = now.plus_ms(ECHO_PERIOD_MS);
            self.echo_doubts(now, actions);
        }
    }

    /// Shows the agents that this entry hears which doubts are held in their name, so that one
    /// that restarted, or whose withdrawal got lost, corrects them.
    fn echo_doubts(&mut self, now: MonoTime, actions: &mut Vec<TargetLivenessAction>) {
        if self.verdicts.doubt_count() == 0 {
            return;
        }
        let mut heard: Vec<TargetId> = self
            .watches
            .iter()
            .filter(|(_, watch)| watch.is_heard(now))
            .map(|(target, _)| *target)
            .collect();
        heard.sort_unstable();
        for observer in heard {
            let observer = NodeId::Agent(observer);
            let verdicts = self.verdicts.doubts_of(observer, MAX_PER_DATAGRAM);
            if !verdicts.is_empty() && self.gossip.spend(now, verdicts.len(), 1) {
                let to = observer;
                actions.push(TargetLivenessAction::SendVerdicts { to, verdicts });
            }
        }
    }

    fn clean(&mut self, now: MonoTime) {
        self.clean_at = now.plus_ms(CLEAN_PERIOD_MS);
        let members = &self.members;
        let entries = self.fleets.iter().flat_map(|fleet| &fleet.entries);
        let entries: FastSet<EntryId> = entries.map(|entry| entry.id).collect();
        self.verdicts.clean(now, |verdict| {
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
        if self.dirty.is_empty() {
            return;
        }
        let mut dirty: Vec<ServiceId> = std::mem::take(&mut self.dirty).into_iter().collect();
        dirty.sort_unstable();
        for id in dirty {
            let Some(service) = self.services.get(&id) else {
                continue;
            };
            let evidence = Evidence {
                now,
                verdicts: &self.verdicts,
                watches: &self.watches,
                vms: &self.vms,
                entry_count: self.fleets.iter().map(|fleet| fleet.entries.len()).sum(),
                verified: now >= self.verified_at,
            };
            let new = evidence.assess(service);
            if self.assessments.get(&id) != Some(&new) {
                self.put(id, new, actions);
            }
        }
    }

    fn put(&mut self, id: ServiceId, new: Assessment, actions: &mut Vec<TargetLivenessAction>) {
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
        actions.push(TargetLivenessAction::ServiceChanged {
            service: id,
            placeable: new.placeable.clone(),
            lost: new.lost.clone(),
            is_in_panic_mode: new.is_in_panic_mode,
        });
        self.assessments.insert(id, new);
    }
}
