//! Effects of evacuations on an entry: the hints to agents, and refusals of opening packets.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::EntryAction;
use crate::EntryCore;
use crate::Evacuation;
use crate::FleetView;
use crate::FlowKey;
use crate::FlowState;
use crate::Outcome;
use crate::ServiceTag;
use crate::TargetHint;
use crate::TargetRecord;
use crate::TargetState;

/// Returns the hint for the agent of a target. A target in an evacuated data centre accepts no
/// flows, like a draining one.
pub(super) fn target_hint(view: &FleetView, record: &TargetRecord) -> TargetHint {
    let state = match view.accepts_flows(record) {
        true => TargetState::Ready,
        false => TargetState::Draining,
    };
    let evacuation_revision = view.evacuations().revision_of(&record.data_centre);
    TargetHint {
        id: record.id.clone(),
        service: record.service,
        started_at_ms: record.started_at_ms,
        state,
        slots: record.slots,
        revision: record.revision.max(evacuation_revision),
    }
}

impl EntryCore {
    /// Records that an evacuation began or ended. Each agent of the data centre gets a hello with the
    /// next tick.
    pub(super) fn on_evacuation_changed(
        &mut self,
        evacuation: &Evacuation,
        out: &mut Vec<EntryAction>,
    ) {
        let targets = self.view.newest_targets();
        let affected = targets.filter(|target| target.data_centre == evacuation.data_centre);
        let vms: Vec<Ipv4Addr> = affected.map(|target| target.vm).collect();
        for vm in vms {
            self.next_hello_at.remove(&vm);
        }
        out.push(EntryAction::RecordEvacuation(evacuation.clone()));
    }

    /// Returns the outcome of an opening packet for which there is no target.
    pub(super) fn refusal_without_target(&self, service: Option<ServiceTag>) -> Outcome {
        match service.is_some_and(|service| self.is_service_evacuated(service)) {
            true => Outcome::RefusedEvacuated,
            false => Outcome::RefusedNoTarget,
        }
    }

    /// Refuses a flow whose opening packet was returned by every target that was tried, if the
    /// remaining ones are in evacuated data centres. No request of it has run.
    pub(super) fn refuse_if_evacuated(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let service = record.service;
        let FlowState::Opening(opening) = &record.state else {
            return;
        };
        let may_refuse = opening.is_returned_by_all() && self.is_view_current(now);
        if !may_refuse || !self.is_service_evacuated(service) {
            return;
        }
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence: 0 });
        let decision = self.decision(now, Outcome::RefusedEvacuated, flow);
        out.push(EntryAction::Record(decision));
    }

    /// Returns whether the service has targets that accept flows, and all of them are in evacuated
    /// data centres.
    fn is_service_evacuated(&self, service: ServiceTag) -> bool {
        let targets = self.view.targets_of(service);
        let mut ready = targets.filter(|target| target.state == TargetState::Ready);
        let mut has_any = false;
        let is_evacuated = ready.all(|target| {
            has_any = true;
            self.view.is_evacuated(target)
        });
        has_any && is_evacuated
    }
}
