//! Counts every decision and logs it, with a rate limit per outcome.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use fes_adapter::packet;
use fes_passthrough::Evacuation;
use fes_passthrough::FlowDecision;
use fes_passthrough::Outcome;
use fes_passthrough::Priority;
use fes_passthrough::number_of;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_telemetry::Metrics;
use fes_telemetry::OutcomeLabel;
use fes_telemetry::QueueLabel;
use fes_telemetry::log_target;

/// Maximum number of lines per outcome and second. Suppressed decisions are still counted.
const LINES_PER_SECOND: u32 = 60;
const BUDGET_PERIOD_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Budget {
    used: u32,
    suppressed: u64,
}

/// Logs and counts decisions.
#[derive(Debug)]
pub struct DecisionLog {
    metrics: Arc<Metrics>,
    budgets: RefCell<FastMap<Outcome, Budget>>,
    renew_at: RefCell<MonoTime>,
}

impl DecisionLog {
    /// Creates a log that counts in `metrics`.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            budgets: RefCell::default(),
            renew_at: RefCell::default(),
        }
    }

    /// Logs and counts a decision. `packet` is the packet that led to it, or empty.
    pub fn record(&self, now: MonoTime, decision: &FlowDecision, packet: &[u8]) {
        self.observe_duration(decision);
        if !self.count(now, decision.outcome) {
            return;
        }
        let request = request_id_of(decision, packet).unwrap_or("-");
        if decision.outcome.is_warning() {
            log::warn!(target: log_target::FLOWS, "{decision} request={request}");
        } else {
            log::info!(target: log_target::FLOWS, "{decision} request={request}");
        }
    }

    /// Logs and counts a decision on a request that leaves an agent's queue, and adds its waiting
    /// time to the histogram. `packet` is the first packet of the request.
    pub fn record_queued(
        &self,
        now: MonoTime,
        decision: &FlowDecision,
        Priority(priority): Priority,
        packet: &[u8],
    ) {
        let label = QueueLabel {
            outcome: decision.outcome.name(),
            priority: priority.into(),
        };
        let waited_s = Duration::from_millis(decision.age_ms).as_secs_f64();
        self.metrics
            .flow_queue_wait
            .get_or_create(&label)
            .observe(waited_s);
        self.record(now, decision, packet);
    }

    /// Logs and counts that an evacuation began or ended.
    pub fn record_evacuation(&self, now: MonoTime, evacuation: &Evacuation) {
        let outcome = Outcome::of_evacuation(evacuation);
        if self.count(now, outcome) {
            log::info!(
                target: log_target::FLOWS,
                "outcome={} data_centre={} revision={}",
                outcome.name(),
                evacuation.data_centre.as_str().escape_default(),
                number_of(evacuation.revision)
            );
        }
    }

    /// Counts a decision. Returns whether it may be logged.
    fn count(&self, now: MonoTime, outcome: Outcome) -> bool {
        let label = OutcomeLabel {
            outcome: outcome.name(),
        };
        self.metrics.flow_decisions.get_or_create(&label).inc();
        self.renew_budgets(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(outcome).or_default();
        if budget.used >= LINES_PER_SECOND {
            budget.suppressed += 1;
            self.metrics.log_lines_suppressed.inc();
            return false;
        }
        budget.used += 1;
        true
    }

    /// Adds the duration of a decision to its histogram, if it has one.
    fn observe_duration(&self, decision: &FlowDecision) {
        let duration_s = Duration::from_millis(decision.age_ms).as_secs_f64();
        match decision.outcome {
            Outcome::Answered => self.metrics.request_duration.observe(duration_s),
            // Agents also record the acceptance, but without a VM and a duration, because they
            // don't know when the flow was placed.
            Outcome::Accepted if decision.vm.is_some() => {
                self.metrics.flow_accept_duration.observe(duration_s);
            }
            _ => {}
        }
    }

    /// Resets the budgets each second and logs how many lines the previous ones suppressed.
    fn renew_budgets(&self, now: MonoTime) {
        if now < *self.renew_at.borrow() {
            return;
        }
        *self.renew_at.borrow_mut() = now.plus_ms(BUDGET_PERIOD_MS);
        for (outcome, budget) in self.budgets.borrow_mut().drain() {
            if budget.suppressed > 0 {
                let (outcome, count) = (outcome.name(), budget.suppressed);
                log::info!(target: log_target::FLOWS, "suppressed={count} outcome={outcome}");
            }
        }
    }
}

/// Returns the request ID in a packet, if the decision concerns the flow of the packet.
fn request_id_of<'a>(decision: &FlowDecision, packet: &'a [u8]) -> Option<&'a str> {
    let segment = packet::decode_from_client(packet).ok()?;
    packet::request_id(packet).filter(|_| decision.flow == Some(segment.flow))
}
