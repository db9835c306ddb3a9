//! Turns what is known about the targets of a service into the two answers that routing needs.

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

/// Observers that must agree before a target is taken out of placement, if there are that many.
pub(crate) const OBSERVERS_FOR_PLACEMENT: usize = 2;
/// Fewest other agents that must agree before a target counts as lost.
const OBSERVERS_FOR_LOSS: usize = 2;

/// Answers for the targets of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Assessment {
    /// Targets that new flows may be placed on, in ascending order.
    pub(crate) placeable: Vec<TargetId>,
    /// Targets whose loss is confirmed, in ascending order.
    pub(crate) lost: Vec<TargetId>,
    /// More than half of the service looked dead and was used all the same.
    pub(crate) is_in_panic_mode: bool,
}

/// What an assessment rests on.
pub(crate) struct Evidence<'a> {
    pub(crate) now: MonoTime,
    pub(crate) verdicts: &'a VerdictStore,
    pub(crate) watches: &'a fes_protocol::FastMap<TargetId, AgentRecord>,
    pub(crate) vms: &'a VmList,
    /// Entries of all fleets.
    pub(crate) entry_count: usize,
    /// The verdicts were renewed since the process last woke up.
    pub(crate) verified: bool,
}

impl Evidence<'_> {
    /// Assesses all targets of a service.
    pub(crate) fn assess(&self, service: &ServiceSpec) -> Assessment {
        if service.state == ServiceState::Retired {
            return Assessment::default();
        }
        let members = service.upstreams.iter();
        let staying: Vec<&UpstreamSpec> = members.filter(|u| !self.is_leaving(u)).collect();
        let dead = |u: &&UpstreamSpec| self.looks_unusable(service, u.target);
        let (unusable, usable): (Vec<_>, Vec<_>) = staying.iter().copied().partition(dead);
        let is_in_panic_mode = unusable.len() * 2 > staying.len();
        let candidates = if is_in_panic_mode { staying } else { usable };
        let mut assessment = Assessment {
            placeable: self.without_hinted(&candidates),
            lost: Vec::new(),
            is_in_panic_mode,
        };
        if self.verified {
            let targets = service.upstreams.iter().map(|upstream| upstream.target);
            assessment.lost = targets.filter(|t| self.is_lost(service, *t)).collect();
        }
        assessment.placeable.sort_unstable();
        assessment
    }

    /// Returns whether the target itself, its peers or the operator say that it is leaving.
    fn is_leaving(&self, upstream: &UpstreamSpec) -> bool {
        if upstream.state == UpstreamState::Leaving {
            return true;
        }
        let target = upstream.target;
        let watch = self.watches.get(&target);
        if let Some(watch) = watch.filter(|watch| watch.is_heard(self.now)) {
            return watch.is_leaving();
        }
        // The agent said so in its heartbeats; one witness that can still withdraw it is enough to
        // stop new work.
        let witnesses = self.observers(target, |verdict| {
            verdict.verdict == Verdict::Leaving && self.is_current(target, verdict.incarnation)
        });
        witnesses > 0
    }

    /// Leaves out targets whose VM is on the list as leaving, unless this leaves fewer than half:
    /// a wrong list must not take a service away.
    fn without_hinted(&self, candidates: &[&UpstreamSpec]) -> Vec<TargetId> {
        let kept: Vec<TargetId> = candidates
            .iter()
            .filter(|upstream| !self.vms.is_leaving(&upstream.vm))
            .map(|upstream| upstream.target)
            .collect();
        if kept.len() * 2 >= candidates.len() {
            return kept;
        }
        candidates.iter().map(|upstream| upstream.target).collect()
    }

    fn looks_unusable(&self, service: &ServiceSpec, target: TargetId) -> bool {
        let doubters = self.observers(target, |verdict| {
            let doubts = matches!(verdict.verdict, Verdict::Dead | Verdict::Impaired);
            doubts && self.is_current(target, verdict.incarnation)
        });
        let entry_observers = MAX_ENTRY_OBSERVERS.min(self.entry_count);
        let possible = agent_observers(service, target).len() + entry_observers;
        let needed = OBSERVERS_FOR_PLACEMENT.min(possible.max(1));
        doubters >= needed
    }

    /// Applies the rule of confirmed loss: at least two other agents, and more than half of those
    /// that watch the target, report the same incarnation dead.
    fn is_lost(&self, service: &ServiceSpec, target: TargetId) -> bool {
        let heard = self.watches.get(&target);
        if heard.is_some_and(|watch| watch.is_heard(self.now)) {
            return false;
        }
        let watchers = agent_observers(service, target);
        let mut incarnations: Vec<Incarnation> = self
            .verdicts
            .about(target)
            .filter(|v| v.verdict == Verdict::Dead && v.incarnation != UNKNOWN_INCARNATION)
            .map(|verdict| verdict.incarnation)
            .collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        incarnations.into_iter().any(|incarnation| {
            let reports = self.observers(target, |verdict| {
                let is_agent = match verdict.observer {
                    NodeId::Agent(observer) => watchers.binary_search(&observer).is_ok(),
                    NodeId::Entry(_) => false,
                };
                let dead = verdict.verdict == Verdict::Dead;
                is_agent && dead && verdict.incarnation == incarnation
            });
            let enough = reports >= OBSERVERS_FOR_LOSS && reports * 2 > watchers.len();
            enough && self.is_current(target, incarnation)
        })
    }

    /// Counts the observers whose verdict about a target fulfils a condition. An observer that is
    /// itself reported dead doesn't count: it can't withdraw its verdicts.
    fn observers(&self, target: TargetId, condition: impl Fn(&LivenessVerdict) -> bool) -> usize {
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
        dead.count() >= OBSERVERS_FOR_PLACEMENT
    }

    /// Returns whether a verdict may concern the running incarnation: none is heard directly, or
    /// the heard one is it.
    fn is_current(&self, target: TargetId, incarnation: Incarnation) -> bool {
        let watch = self.watches.get(&target);
        let heard = watch.filter(|watch| watch.is_heard(self.now));
        heard.is_none_or(|watch| watch.incarnation() == Some(incarnation))
    }
}
