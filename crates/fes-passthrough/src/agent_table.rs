//! An entry's table of agents and their latest reports.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::LoadReport;

/// Number of consecutive reports that may be missed before an agent counts as silent.
const MAX_MISSED_REPORTS: u64 = 4;
/// Minimum time without a report before an agent counts as silent. With a shorter time, the loss of
/// two datagrams in a row would make it count as silent.
const MIN_REPORT_TIMEOUT_MS: u64 = 350;
/// Time after which an agent that doesn't report is assumed to have ended for good, from the announced
/// end of its process, or else from its latest report, or else from the listing of its target. It
/// allows for a restart that waits for a supervisor and for a busy VM. A lost VM is unlisted earlier.
pub(crate) const MAX_AGENT_ABSENCE_MS: u64 = 10_000;
/// Time after which a newly placed flow is included in its agent's reports: the handshake takes two
/// trips to the client.
const HANDSHAKE_MS: u64 = 30;
/// Time after which a placed flow that never appears in a report is no longer counted.
const PLACEMENT_EXPIRY_MS: u64 = 400;
/// Number of consecutive unanswered opening packets after which a target is avoided.
const MAX_UNANSWERED_OPENINGS: u32 = 2;
/// Interval at which all entries together place a flow on a failing target.
const TRIAL_INTERVAL_MS: u64 = 500;
/// Interval at which all entries together place a flow on an idle slow target. It is short, because
/// the request is answered, if late, and several are needed to confirm that the target recovered.
const SPEED_TRIAL_INTERVAL_MS: u64 = 250;
/// Time after a measurement by any entry before an idle slow target is tried again. With many
/// entries, of which each places few flows, the interval alone would let all of them try it.
const MIN_MEASUREMENT_AGE_MS: u64 = 500;
/// Time for which a target is avoided before it is tried again.
const AVOID_MS: u64 = 700;

#[derive(Debug, Clone, Copy)]
struct RecentPlacement {
    at: MonoTime,
    is_stream: bool,
}

/// What an entry knows about the process that sent an agent's latest report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentProcess {
    /// It hasn't announced its end.
    Running,
    /// It ended as planned and is being restarted, while its target goes on.
    Restarting,
    /// It ended with its target.
    Ended,
}

/// State of one agent.
#[derive(Debug, Clone)]
pub struct AgentState {
    report: LoadReport,
    last_report_at: MonoTime,
    silent_at: MonoTime,
    is_reported_silent: bool,
    process: AgentProcess,
    /// When the process announced its end.
    stopped_at: MonoTime,
    recent_placements: VecDeque<RecentPlacement>,
    unanswered_openings: u32,
    avoid_until: MonoTime,
    /// When a flow may be placed on a failing target again, to find out whether it still fails.
    trial_at: MonoTime,
    /// When a flow may be placed on an idle slow target again, to find out whether it still is slow.
    speed_trial_at: MonoTime,
}

impl AgentState {
    /// Returns the latest report.
    #[must_use]
    pub const fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns whether the agent's latest report is current.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime) -> bool {
        now < self.silent_at && self.process == AgentProcess::Running
    }

    /// Returns what is known about the process that sent the latest report.
    #[must_use]
    pub const fn process(&self) -> AgentProcess {
        self.process
    }

    /// Returns whether the agent doesn't report at the moment but may do so again, because it is
    /// being restarted or was heard a short time ago.
    #[must_use]
    pub fn may_return(&self, now: MonoTime) -> bool {
        match self.process {
            AgentProcess::Running => self.age_ms(now) < MAX_AGENT_ABSENCE_MS,
            AgentProcess::Restarting => now < self.stopped_at.plus_ms(MAX_AGENT_ABSENCE_MS),
            AgentProcess::Ended => false,
        }
    }

    /// Returns the age of the latest report in milliseconds.
    #[must_use]
    pub const fn age_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.last_report_at)
    }

    /// Returns the weight of the latest report in thousandths. It is full for a report that is no
    /// older than its period, and falls to 0 until the agent counts as silent.
    #[must_use]
    pub fn report_freshness_per_mille(&self, now: MonoTime) -> u64 {
        let timeout_us = self.silent_at.us_since(self.last_report_at);
        let full_weight_us = timeout_us / MAX_MISSED_REPORTS;
        let remaining_us = self.silent_at.us_since(now);
        let fading_us = (timeout_us - full_weight_us).max(1);
        (remaining_us.saturating_mul(1_000) / fading_us).min(1_000)
    }

    /// Returns whether the target is avoided because it didn't answer or accept opening packets.
    #[must_use]
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        now < self.avoid_until
    }

    /// Returns whether a flow may be placed on the target although it fails its requests.
    #[must_use]
    pub fn is_trial_due(&self, now: MonoTime) -> bool {
        now >= self.trial_at
    }

    /// Returns whether a flow may be placed on the target although it is idle because it is slow.
    #[must_use]
    pub fn is_speed_trial_due(&self, now: MonoTime) -> bool {
        now >= self.speed_trial_at
    }

    /// Returns the numbers of flows and of streams that were placed recently and that the latest
    /// report doesn't include yet.
    #[must_use]
    pub fn placed_since_report(&self) -> (u32, u32) {
        let streams = self
            .recent_placements
            .iter()
            .filter(|placement| placement.is_stream)
            .count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.recent_placements.len()), count(streams))
    }
}

/// Effect of a report on what the entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The agent was known and reported before.
    None,
    /// The agent was unknown or silent before.
    Heard,
    /// The report is the first one of another incarnation.
    Restarted,
}

/// Agents by VM.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: FastMap<Ipv4Addr, AgentState>,
    other_entries: u64,
}

impl AgentTable {
    /// Sets the number of other entries, with which the trials of failing targets are shared.
    pub const fn set_other_entries(&mut self, count: u64) {
        self.other_entries = count;
    }

    const fn trial_interval_ms(&self) -> u64 {
        TRIAL_INTERVAL_MS * (self.other_entries + 1)
    }

    /// Records that the process of an agent ended as planned, with or without its target. Returns
    /// whether that is new and no other incarnation has reported since.
    pub fn record_stopped(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        incarnation: u64,
        process: AgentProcess,
    ) -> bool {
        let agent = self.agents.get_mut(&vm);
        let Some(agent) = agent.filter(|agent| agent.report.incarnation == incarnation) else {
            return false;
        };
        agent.stopped_at = now;
        std::mem::replace(&mut agent.process, process) != process
    }

    /// Records a report. Ignores a delayed one of an incarnation that has ended.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        report: LoadReport,
        report_period_ms: u64,
    ) -> ReportEffect {
        let silent_at =
            now.plus_ms((report_period_ms * MAX_MISSED_REPORTS).max(MIN_REPORT_TIMEOUT_MS));
        let trial_interval_ms = self.trial_interval_ms();
        let Some(agent) = self.agents.get_mut(&vm) else {
            let agent = AgentState {
                report,
                last_report_at: now,
                silent_at,
                is_reported_silent: false,
                process: AgentProcess::Running,
                stopped_at: MonoTime::ZERO,
                recent_placements: VecDeque::new(),
                unanswered_openings: 0,
                avoid_until: MonoTime::ZERO,
                trial_at: now.plus_ms(trial_interval_ms),
                speed_trial_at: now,
            };
            self.agents.insert(vm, agent);
            return ReportEffect::Heard;
        };
        let is_restarted = agent.report.incarnation != report.incarnation;
        if agent.process != AgentProcess::Running && !is_restarted {
            return ReportEffect::None;
        }
        let is_measured = report.running > 0 || report.run_time_us != agent.report.run_time_us;
        if is_measured {
            let next_at = now.plus_ms(MIN_MEASUREMENT_AGE_MS);
            agent.speed_trial_at = agent.speed_trial_at.max(next_at);
        }
        let was_silent = agent.is_reported_silent;
        agent.process = AgentProcess::Running;
        agent.report = report;
        agent.last_report_at = now;
        agent.silent_at = silent_at;
        agent.is_reported_silent = false;
        let is_in_report = |placement: &RecentPlacement| placement.at.plus_ms(HANDSHAKE_MS) <= now;
        while agent.recent_placements.front().is_some_and(is_in_report) {
            agent.recent_placements.pop_front();
        }
        match (is_restarted, was_silent) {
            (true, _) => ReportEffect::Restarted,
            (false, true) => ReportEffect::Heard,
            (false, false) => ReportEffect::None,
        }
    }

    /// Records that an opening packet was sent to the agent.
    pub fn record_placed(&mut self, now: MonoTime, vm: Ipv4Addr, is_stream: bool) {
        let trial_interval_ms = self.trial_interval_ms();
        let speed_trial_interval_ms = SPEED_TRIAL_INTERVAL_MS * (self.other_entries + 1);
        let Some(agent) = self.agents.get_mut(&vm) else {
            return;
        };
        agent.trial_at = now.plus_ms(trial_interval_ms);
        agent.speed_trial_at = now.plus_ms(speed_trial_interval_ms);
        agent
            .recent_placements
            .push_back(RecentPlacement { at: now, is_stream });
        let is_expired =
            |placement: &RecentPlacement| placement.at.plus_ms(PLACEMENT_EXPIRY_MS) <= now;
        while agent.recent_placements.front().is_some_and(is_expired) {
            agent.recent_placements.pop_front();
        }
    }

    /// Records that the agent's target accepted a flow.
    pub fn record_accepted(&mut self, vm: Ipv4Addr) {
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.unanswered_openings = 0;
            agent.avoid_until = MonoTime::ZERO;
        }
    }

    /// Records that an opening packet got no answer from the agent's target.
    pub fn record_unanswered(&mut self, now: MonoTime, vm: Ipv4Addr) {
        let Some(agent) = self.agents.get_mut(&vm) else {
            return;
        };
        agent.unanswered_openings = agent.unanswered_openings.saturating_add(1);
        if agent.unanswered_openings >= MAX_UNANSWERED_OPENINGS {
            agent.avoid_until = now.plus_ms(AVOID_MS);
        }
    }

    /// Avoids the agent's target until the given time.
    pub fn avoid_until(&mut self, vm: Ipv4Addr, until: MonoTime) {
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.avoid_until = until;
        }
    }

    /// Returns the state of an agent.
    #[must_use]
    pub fn get(&self, vm: Ipv4Addr) -> Option<&AgentState> {
        self.agents.get(&vm)
    }

    /// Returns all agents with their VMs.
    pub fn iter(&self) -> impl Iterator<Item = (Ipv4Addr, &AgentState)> {
        self.agents.iter().map(|(vm, agent)| (*vm, agent))
    }

    /// Returns the VMs of agents whose latest report is current.
    pub fn reachable(&self, now: MonoTime) -> impl Iterator<Item = Ipv4Addr> {
        let reachable = self.agents.iter().filter(move |(_, a)| a.is_reachable(now));
        reachable.map(|(vm, _)| *vm)
    }

    /// Returns the agents that became silent since the last call, with the age of their latest
    /// report in milliseconds.
    pub fn newly_silent(&mut self, now: MonoTime) -> Vec<(Ipv4Addr, u64)> {
        let mut silent = Vec::new();
        for (vm, agent) in &mut self.agents {
            if !agent.is_reported_silent && !agent.is_reachable(now) {
                agent.is_reported_silent = true;
                silent.push((*vm, agent.age_ms(now)));
            }
        }
        silent
    }

    /// Removes agents whose latest report is older than `before`.
    pub fn remove_silent_since(&mut self, before: MonoTime) {
        self.agents
            .retain(|_, agent| agent.last_report_at >= before);
    }

    /// Returns the number of agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }
}
