//! Collects the observations of clients and targets, and detects violations.

use std::collections::HashMap;

use fes_passthrough::FlowKey;
use tokio::time::Duration;
use tokio::time::Instant;

/// For this long after a disruption, the affected flows may break without a violation.
const RECOVERY_GRACE_MS: u64 = 4_000;
/// A flow is misrouted if none of its packets reached its own target in this time, and at least
/// [`MIN_MISROUTED_PACKETS`] reached other targets.
const MISROUTING_WINDOW_MS: u64 = 2_000;
const MIN_MISROUTED_PACKETS: usize = 3;

/// An open flow and the target that accepted it.
#[derive(Debug, Clone, Copy)]
struct OpenFlow {
    target: usize,
    incarnation: u64,
}

/// Observations during a soak.
#[derive(Debug, Default)]
pub struct Record {
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// Number of answered requests.
    pub answered: usize,
    /// Number of requests that got no answer: their deadline passed or their flow was reset.
    pub failed: usize,
    /// Number of requests that were sent during the recovery check.
    pub recovery_sent: usize,
    /// Number of those requests that were answered.
    pub recovery_answered: usize,
    /// Number of open flows that were reset.
    pub resets: usize,
    /// Executions by non-repeatable request.
    runs: HashMap<u64, usize>,
    open_flows: HashMap<FlowKey, OpenFlow>,
    /// Number of crashes by target.
    incarnations: HashMap<usize, u64>,
    target_disrupted_at: HashMap<usize, Instant>,
    entries_disrupted_at: Option<Instant>,
    /// Arrivals of packets by flow, each with its time and whether it reached the flow's own
    /// target.
    arrivals: HashMap<FlowKey, Vec<(Instant, bool)>>,
}

impl Record {
    /// Records a disruption of a target, its agent or its links.
    pub fn record_target_disruption(&mut self, target: usize) {
        self.target_disrupted_at.insert(target, Instant::now());
    }

    /// Records a disruption of an entry or the store. It affects the flows of all targets.
    pub fn record_entry_disruption(&mut self) {
        self.entries_disrupted_at = Some(Instant::now());
    }

    /// Records that a target crashed and lost its flows.
    pub fn record_crash(&mut self, target: usize) {
        *self.incarnations.entry(target).or_default() += 1;
        self.record_target_disruption(target);
    }

    /// Records the execution of a non-repeatable request. A second one is a violation.
    pub fn record_non_repeatable_run(&mut self, request: u64) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violations
                .push(format!("request {request} ran {runs} times"));
        }
    }

    /// Records that a target accepted a flow.
    pub fn record_open(&mut self, flow: FlowKey, target: usize) {
        let incarnation = self.incarnation(target);
        self.open_flows.insert(
            flow,
            OpenFlow {
                target,
                incarnation,
            },
        );
    }

    /// Records that a packet of a flow reached a target. It is a violation if only other targets
    /// than the one that accepted the flow receive its packets.
    pub fn record_arrival(&mut self, flow: FlowKey, target: usize) {
        let Some(open_flow) = self.open_flows.get(&flow).copied() else {
            return;
        };
        if open_flow.incarnation != self.incarnation(open_flow.target)
            || self.is_disrupted(open_flow.target)
        {
            self.arrivals.remove(&flow);
            return;
        }
        let now = Instant::now();
        let arrivals = self.arrivals.entry(flow).or_default();
        arrivals.push((now, open_flow.target == target));
        arrivals.retain(|(at, _)| at.elapsed() < Duration::from_millis(MISROUTING_WINDOW_MS));
        let misrouted = arrivals
            .iter()
            .filter(|(_, is_own_target)| !is_own_target)
            .count();
        if misrouted >= MIN_MISROUTED_PACKETS && misrouted == arrivals.len() {
            // A packet may still reach the target of the flow within the rest of the window.
            let first = arrivals[0].0;
            if first.elapsed() > Duration::from_millis(MISROUTING_WINDOW_MS * 9 / 10) {
                self.violations
                    .push(format!("flow {flow}: {misrouted} packets were misrouted"));
            }
        }
    }

    /// Records that a client received a reset of an open flow.
    pub fn record_reset(&mut self, flow: FlowKey) {
        self.resets += 1;
        let Some(open_flow) = self.open_flows.get(&flow).copied() else {
            return;
        };
        let is_alive = open_flow.incarnation == self.incarnation(open_flow.target);
        if is_alive && !self.is_disrupted(open_flow.target) {
            self.violations.push(format!("open flow {flow} was reset"));
        }
    }

    fn incarnation(&self, target: usize) -> u64 {
        self.incarnations.get(&target).copied().unwrap_or(0)
    }

    fn is_disrupted(&self, target: usize) -> bool {
        let grace = Duration::from_millis(RECOVERY_GRACE_MS);
        let is_recent = |at: &Instant| at.elapsed() < grace;
        self.target_disrupted_at.get(&target).is_some_and(is_recent)
            || self.entries_disrupted_at.as_ref().is_some_and(is_recent)
    }
}
