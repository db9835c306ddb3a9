//! Life cycle of the simulated agents.

use fes_idempotency::CoordinatorEvent;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::TargetId;

use super::event::Event;
use super::simulation::FleetSimulation;

impl FleetSimulation {
    pub(super) fn report_progress(&mut self, target: TargetId) {
        let work = self.agents[&target].work();
        self.handle_lifecycle(target, LifecycleEvent::Progress(work));
    }

    pub(super) fn handle_lifecycle(&mut self, target: TargetId, event: LifecycleEvent) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        if !agent.is_up {
            return;
        }
        for action in agent.lifecycle.handle(agent.local_time(now), event) {
            self.apply_lifecycle_action(target, action);
        }
    }

    fn apply_lifecycle_action(&mut self, target: TargetId, action: LifecycleAction) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        match action {
            LifecycleAction::StopAdmission => agent.accepts_requests = false,
            LifecycleAction::ResumeAdmission => agent.accepts_requests = true,
            LifecycleAction::SetTimer(deadline) => {
                let delay_us = deadline.us_since(agent.local_time(now));
                self.schedule_us(delay_us, Event::LifecycleTimer { at: target });
            }
            LifecycleAction::CutOffWork(cut_off) => {
                let count = cut_off.request_count;
                self.push_trace(format!(
                    "a{target} reaches its drain bound, {count} requests open"
                ));
                self.handle_event(target, CoordinatorEvent::DrainBoundReached);
            }
            LifecycleAction::Exit { status } => {
                agent.is_up = false;
                self.push_trace(format!("a{target} exits with status {status}"));
                self.close_links_to(target);
            }
            _ => {}
        }
    }
}
