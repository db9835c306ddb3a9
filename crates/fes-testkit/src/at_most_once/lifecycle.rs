//! The life cycle of the simulated agents.

use fes_idempotency::CoordinatorEvent;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::TargetId;

use super::event::Event;
use super::simulation::FleetSimulation;

impl FleetSimulation {
    pub(super) fn report_progress(&mut self, target: TargetId) {
        let work = self.agents[&target].work();
        self.life(target, LifecycleEvent::Progress(work));
    }

    pub(super) fn life(&mut self, target: TargetId, event: LifecycleEvent) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        if !agent.is_up {
            return;
        }
        for action in agent.life.handle(agent.local(now), event) {
            self.act_for_life(target, action);
        }
    }

    fn act_for_life(&mut self, target: TargetId, action: LifecycleAction) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        match action {
            LifecycleAction::StopAdmission => agent.admitting = false,
            LifecycleAction::ResumeAdmission => agent.admitting = true,
            LifecycleAction::SetTimer(deadline) => {
                let delay_us = deadline.us_since(agent.local(now));
                self.schedule_us(delay_us, Event::LifeTimer { at: target });
            }
            LifecycleAction::CutOffWork(cut_off) => {
                let count = cut_off.request_count;
                self.say(format!(
                    "a{target} reaches its drain bound, {count} requests open"
                ));
                self.decide(target, CoordinatorEvent::DrainBoundReached);
            }
            LifecycleAction::Exit { status } => {
                agent.is_up = false;
                self.say(format!("a{target} exits with status {status}"));
                self.lose_links(target);
            }
            _ => {}
        }
    }
}
