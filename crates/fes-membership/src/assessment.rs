//! Derives from verdicts and heartbeats which targets of a service take new flows and which are
//! confirmed lost.

use fes_protocol::Incarnation;
use fes_protocol::LivenessVerdict;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_protocol::Verdict;

use crate::UNKNOWN_INCARNATION;
use crate::VerdictStore;
use crate::VmList;
use crate::agent_observers;
use crate::agent_record::AgentRecord;
use crate::observers::MAX_ENTRY_OBSERVERS;

/// Observers that must agree before a target is excluded from placement, if the target has that
/// many.
pub(crate) const MIN_OBSERVERS_TO_EXCLUDE: usize = 2;
/// Fewest other agents that must agree before the loss of a target is confirmed.
const MIN_OBSERVERS_FOR_LOSS: usize = 2;

/// Placement and loss of the targets of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Assessment {
    /// Targets that new flows may be placed on, in ascending order.
    pub(crate) placeable: Vec<TargetId>,
    /// Targets whose loss is confirmed, in ascending order.
    pub(crate) lost: Vec<TargetId>,
    /// More than half of the targets look unusable, so their verdicts are ignored for placement.
    pub(crate) is_in_panic_mode: bool,
}

/// Input of an assessment.
pub(crate) struct Evidence<'a> {
    pub(crate) now: MonoTime,
    pub(crate) verdicts: &'a VerdictStore,
    pub(crate) agent_records: &'a fes_protocol::FastMap<TargetId, AgentRecord>,
    pub(crate) vm_list: &'a VmList,
    /// Entries of all fleets.
    pub(crate) entry_count: usize,
    /// Whether a full dead timeout has passed since the last pause or clock jump.
    pub(crate) is_verified: bool,
}

impl Evidence<'_> {
    /// Assesses all targets of a service.
    pub(crate) fn assess(&self, service: &ServiceSpec) -> Assessment {
        if service.state == ServiceState::Retired {
            return Assessment::default();
        }
        let upstreams = service.upstreams.iter();
        let staying: Vec<&UpstreamSpec> = upstreams.filter(|u| !self.is_leaving(u)).collect();
        let is_unusable = |u: &&UpstreamSpec| self.looks_unusable(service, u.target);
        let (unusable, usable): (Vec<_>, Vec<_>) = staying.iter().copied().partition(is_unusable);
        let is_in_panic_mode = unusable.len() * 2 > staying.len();
        let candidates = if is_in_panic_mode { staying } else { usable };
        let mut assessment = Assessment {
            placeable: self.without_leaving_vms(&candidates),
            lost: Vec::new(),
            is_in_panic_mode,
        };
        if self.is_verified {
            let targets = service.upstreams.iter().map(|upstream| upstream.target);
            assessment.lost = targets.filter(|t| self.is_lost(service, *t)).collect();
        }
        assessment.placeable.sort_unstable();
        assessment
    }

    /// Returns whether the target itself, its peers or the ticket report it as leaving.
    fn is_leaving(&self, upstream: &UpstreamSpec) -> bool {
        if upstream.state == UpstreamState::Leaving {
            return true;
        }
        let target = upstream.target;
        let record = self.agent_records.get(&target);
        if let Some(record) = record.filter(|record| record.is_heard(self.now)) {
            return record.is_leaving();
        }
        // Observers learn this from the agent's own heartbeats, so the verdict of one observer that
        // isn't itself reported dead suffices.
        let observer_count = self.count_observers(target, |verdict| {
            verdict.verdict == Verdict::Leaving && self.is_current(target, verdict.incarnation)
        });
        observer_count > 0
    }

    /// Excludes targets whose VM is listed as leaving, unless fewer than half would remain: a wrong
    /// list must not make a service unavailable.
    fn without_leaving_vms(&self, candidates: &[&UpstreamSpec]) -> Vec<TargetId> {
        let kept: Vec<TargetId> = candidates
            .iter()
            .filter(|upstream| !self.vm_list.is_leaving(&upstream.vm))
            .map(|upstream| upstream.target)
            .collect();
        if kept.len() * 2 >= candidates.len() {
            return kept;
        }
        candidates.iter().map(|upstream| upstream.target).collect()
    }

    fn looks_unusable(&self, service: &ServiceSpec, target: TargetId) -> bool {
        let excluding = self.count_observers(target, |verdict| {
            let excludes = matches!(verdict.verdict, Verdict::Dead | Verdict::Impaired);
            excludes && self.is_current(target, verdict.incarnation)
        });
        let entry_observer_count = MAX_ENTRY_OBSERVERS.min(self.entry_count);
        let possible = agent_observers(service, target).len() + entry_observer_count;
        let needed = MIN_OBSERVERS_TO_EXCLUDE.min(possible.max(1));
        excluding >= needed
    }

    /// Returns whether the loss of a target is confirmed: at least two other agents, and more than
    /// half of those that observe the target, report the same incarnation dead.
    fn is_lost(&self, service: &ServiceSpec, target: TargetId) -> bool {
        let heard = self.agent_records.get(&target);
        if heard.is_some_and(|record| record.is_heard(self.now)) {
            return false;
        }
        let observers = agent_observers(service, target);
        let mut incarnations: Vec<Incarnation> = self
            .verdicts
            .about(target)
            .filter(|v| v.verdict == Verdict::Dead && v.incarnation != UNKNOWN_INCARNATION)
            .map(|verdict| verdict.incarnation)
            .collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        incarnations.into_iter().any(|incarnation| {
            let reports = self.count_observers(target, |verdict| {
                let is_agent = match verdict.observer {
                    NodeId::Agent(observer) => observers.binary_search(&observer).is_ok(),
                    NodeId::Entry(_) => false,
                };
                let dead = verdict.verdict == Verdict::Dead;
                is_agent && dead && verdict.incarnation == incarnation
            });
            let enough = reports >= MIN_OBSERVERS_FOR_LOSS && reports * 2 > observers.len();
            enough && self.is_current(target, incarnation)
        })
    }

    /// Counts the observers whose verdict about a target matches `condition`. An observer that is
    /// itself reported dead doesn't count, because it can't withdraw its verdicts.
    fn count_observers(
        &self,
        target: TargetId,
        condition: impl Fn(&LivenessVerdict) -> bool,
    ) -> usize {
        let verdicts = self.verdicts.about(target);
        let matching = verdicts.filter(|verdict| condition(verdict));
        matching
            .filter(|verdict| !self.is_reported_dead(verdict.observer))
            .count()
    }

    fn is_reported_dead(&self, observer: NodeId) -> bool {
        let NodeId::Agent(observer) = observer else {
            return false;
        };
        let reports = self.verdicts.about(observer);
        let dead = reports.filter(|verdict| verdict.verdict == Verdict::Dead);
        dead.count() >= MIN_OBSERVERS_TO_EXCLUDE
    }

    /// Returns whether a verdict may concern the running incarnation. It doesn't if this entry
    /// hears another incarnation directly.
    fn is_current(&self, target: TargetId, incarnation: Incarnation) -> bool {
        let record = self.agent_records.get(&target);
        let heard = record.filter(|record| record.is_heard(self.now));
        heard.is_none_or(|record| record.incarnation() == Some(incarnation))
    }
}
