//! View of target liveness at a process, from the verdicts that have reached it.

use std::collections::BTreeMap;

use fes_protocol::MonoTime;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_routing::LivenessView;

/// Verdicts with the times at which they take effect at a process.
#[derive(Debug, Clone, Default)]
pub(crate) struct Verdicts {
    /// Suspected targets, which get no new flows, with the start and end of the suspicion.
    pub(crate) suspected: BTreeMap<TargetId, (MonoTime, MonoTime)>,
    /// Targets confirmed lost, with the time of confirmation.
    pub(crate) lost: BTreeMap<TargetId, MonoTime>,
}

/// The verdicts in effect at time `now`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ViewAt<'a> {
    pub(crate) now: MonoTime,
    pub(crate) verdicts: &'a Verdicts,
}

impl LivenessView for ViewAt<'_> {
    fn accepts_new_flows(&self, service: ServiceId, target: TargetId) -> bool {
        let suspected = self.verdicts.suspected.get(&target);
        let is_suspected = suspected.is_some_and(|(from, to)| (*from..*to).contains(&self.now));
        !is_suspected && !self.is_confirmed_lost(service, target)
    }

    fn is_confirmed_lost(&self, _service: ServiceId, target: TargetId) -> bool {
        let lost_at = self.verdicts.lost.get(&target);
        lost_at.is_some_and(|at| self.now >= *at)
    }
}
