//! Results of the target's requests: run times and failures.

use fes_protocol::MonoTime;

use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::Outcome;
use crate::RequestEnd;
use crate::is_failing;

impl AgentCore {
    pub(super) fn on_request_end(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        end: RequestEnd,
        out: &mut Vec<AgentAction>,
    ) {
        // A failure may come much sooner than a response, and says nothing about run times.
        let outcome = match end.is_failed {
            true => Outcome::Failed,
            false => {
                if end.is_start_seen {
                    self.queue.record_run(end.run_us);
                    self.reported_run_time.record(now, end.run_us);
                }
                Outcome::Answered
            }
        };
        let decision = FlowDecision::new(outcome).flow(flow);
        out.push(AgentAction::Record(decision.age_ms(end.run_us / 1_000)));
        self.record_result(now, end.is_failed, out);
        self.release(now, out);
    }

    /// Records a result. Entries get a report at once if the target begins or ceases to fail.
    fn record_result(&mut self, now: MonoTime, is_failed: bool, out: &mut Vec<AgentAction>) {
        let was_failing = is_failing(self.failure_rate.per_mille());
        self.failure_rate.record(is_failed);
        let per_mille = self.failure_rate.per_mille();
        let outcome = match (was_failing, is_failing(per_mille)) {
            (false, true) => Outcome::TargetFailing,
            (true, false) => Outcome::TargetWorks,
            _ => return,
        };
        let decision = FlowDecision::new(outcome).load(u64::from(per_mille));
        out.push(AgentAction::Record(decision));
        self.report_to_all(now, out);
    }
}
