//! Limit of new flows while the agent's target warms up.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::Message;
use crate::Outcome;
use crate::ReturnReason;
use crate::TargetHint;
use crate::WarmUpHint;

impl AgentCore {
    /// Handles an entry's hint about the limit of the current instance of the target. Without a
    /// hint, nothing changes: processes of older versions send none.
    pub(super) fn update_warm_up(
        &mut self,
        now: MonoTime,
        target: &TargetHint,
        hint: Option<WarmUpHint>,
    ) {
        let is_own_target =
            target.service == self.service && target.started_at_ms == self.started_at_ms;
        if let Some(hint) = hint.filter(|_| is_own_target) {
            self.warm_up
                .on_hint(now, target.started_at_ms, target.revision, hint);
        }
    }

    /// Returns the limit of new flows, with the remaining time of the warm-up, if one is in force.
    #[must_use]
    pub fn warm_up_in_force(&self, now: MonoTime) -> Option<WarmUpHint> {
        self.warm_up.in_force(now)
    }

    pub(super) fn return_over_limit(
        &self,
        now: MonoTime,
        entry: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        let reason = ReturnReason::NotAccepted;
        out.push(AgentAction::Send {
            to: entry,
            message: Message::Returned { flow, reason },
            with_packet: true,
        });
        let limit = self.warm_up.in_force(now);
        let limit = limit.map_or(0, |limit| u64::from(limit.max_openings_per_s));
        let decision = FlowDecision::new(Outcome::OverWarmUpLimit)
            .flow(flow)
            .version(self.started_at_ms)
            .load(limit);
        out.push(AgentAction::Record(decision));
    }
}
