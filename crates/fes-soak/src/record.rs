//! Collects the observations of clients and targets, and detects violations.

use std::collections::HashMap;

use fes_passthrough::FlowKey;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::request_record::RequestRecord;
use crate::request_record::UnansweredRequest;
use crate::route_history::RouteHistory;

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

/// The latest opening of a flow by its client.
#[derive(Debug, Clone, Copy)]
struct Opening {
    client_sequence: u32,
    opened_at: Instant,
}

/// Observations during a soak.
#[derive(Debug, Default)]
pub struct Record {
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// Whether no fault keeps entries from learning that a target drains.
    pub checks_drains: bool,
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
    /// Number of flows for which a client used a port again.
    pub reused_ports: usize,
    /// Requests and slots.
    pub requests: RequestRecord,
    /// Routes in force.
    pub routes: RouteHistory,
    openings: HashMap<FlowKey, Opening>,
    /// Targets that accepted a flow, by the flow and the target's initial sequence number.
    accepted: HashMap<(FlowKey, u32), OpenFlow>,
    /// Executions by non-repeatable request.
    runs: HashMap<u64, usize>,
    open_flows: HashMap<FlowKey, OpenFlow>,
    /// Number of crashes by target.
    incarnations: HashMap<usize, u64>,
    target_disrupted_at: HashMap<usize, Instant>,
    entries_disrupted_at: Option<Instant>,
    isolated_at: Option<Instant>,
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

    /// Records a disruption that keeps the agents' reports from entries. An entry assumes that a
    /// target has ended if it got no report of its agent for 2.5 s.
    pub fn record_isolation(&mut self) {
        self.isolated_at = Some(Instant::now());
        self.record_entry_disruption();
    }

    /// Records that a target crashed and lost its flows.
    pub fn record_crash(&mut self, target: usize) {
        self.record_end(target);
        self.record_target_disruption(target);
    }

    /// Records that a target ended as planned, with its flows.
    pub fn record_end(&mut self, target: usize) {
        *self.incarnations.entry(target).or_default() += 1;
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

    /// Records that a client opens a flow, after it has closed the former one of this port.
    pub fn record_opening(&mut self, flow: FlowKey, client_sequence: u32) {
        let opening = Opening {
            client_sequence,
            opened_at: Instant::now(),
        };
        let former = self.openings.insert(flow, opening);
        self.reused_ports += usize::from(former.is_some());
        self.open_flows.remove(&flow);
        self.arrivals.remove(&flow);
    }

    /// Returns whether a client's initial sequence number is that of its latest flow.
    pub fn is_latest(&self, flow: FlowKey, client_sequence: u32) -> bool {
        let opening = self.openings.get(&flow);
        opening.is_some_and(|opening| opening.client_sequence == client_sequence)
    }

    /// Records that an opening packet reached a target, which accepts the flow. It is a violation
    /// if the routes don't allow the target's service. Late copies for former flows are ignored.
    pub fn record_accepted(
        &mut self,
        flow: FlowKey,
        client_sequence: u32,
        target_sequence: u32,
        (target, service): (usize, &str),
    ) {
        if !self.is_latest(flow, client_sequence) {
            return;
        }
        let incarnation = self.incarnation(target);
        let accepted = OpenFlow {
            target,
            incarnation,
        };
        self.accepted.insert((flow, target_sequence), accepted);
        let opened_at = self.openings[&flow].opened_at;
        let destination = flow.destination;
        let is_allowed = self
            .routes
            .is_allowed(Instant::now(), opened_at, destination, service);
        if !is_allowed && !is_recent(self.entries_disrupted_at.as_ref()) {
            self.violations.push(format!(
                "flow {flow} reached target {target} of service {service}, to which its route \
                 doesn't lead"
            ));
        }
    }

    /// Records that a request got no answer until its deadline, at `timed_out_at`. The flow is
    /// identified by its key and the initial sequence number of the target that accepted it.
    pub fn record_unanswered(
        &mut self,
        timed_out_at: Instant,
        (flow, target_sequence): (FlowKey, u32),
        request: u64,
        opening_ms: u64,
    ) {
        let Some(accepted) = self.accepted.get(&(flow, target_sequence)).copied() else {
            return;
        };
        let target = accepted.target;
        let unanswered = UnansweredRequest {
            request,
            target,
            opening_ms,
        };
        let is_alive = accepted.incarnation == self.incarnation(target);
        let has_waited = self
            .requests
            .has_waited_despite_free_slot(timed_out_at, unanswered);
        if is_alive && !self.is_disrupted(target) && has_waited {
            self.violations.push(format!(
                "request {request} of flow {flow} reached no target until its deadline, while \
                 target {target} had a free slot"
            ));
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

    /// Records that a client received a reset of an open flow. It is a violation if the target runs
    /// and entries can receive its agent's reports, even if entries, the store or clients are
    /// disrupted.
    pub fn record_reset(&mut self, flow: FlowKey) {
        self.resets += 1;
        let Some(open_flow) = self.open_flows.get(&flow).copied() else {
            return;
        };
        let is_alive = open_flow.incarnation == self.incarnation(open_flow.target);
        let target = open_flow.target;
        let is_excused = is_recent(self.target_disrupted_at.get(&target))
            || is_recent(self.isolated_at.as_ref());
        if is_alive && !is_excused {
            self.violations.push(format!(
                "open flow {flow} of target {target}, which lives, was reset"
            ));
        }
    }

    fn incarnation(&self, target: usize) -> u64 {
        self.incarnations.get(&target).copied().unwrap_or(0)
    }

    fn is_disrupted(&self, target: usize) -> bool {
        is_recent(self.target_disrupted_at.get(&target))
            || is_recent(self.entries_disrupted_at.as_ref())
    }
}

fn is_recent(at: Option<&Instant>) -> bool {
    at.is_some_and(|at| at.elapsed() < Duration::from_millis(RECOVERY_GRACE_MS))
}
