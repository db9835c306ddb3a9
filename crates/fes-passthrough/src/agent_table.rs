//! What an entry knows of agents from their reports.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::LoadReport;

/// Reports that may be missed before an agent counts as silent.
const MISSED_REPORTS: u64 = 4;
/// Datagrams are lost now and then; a shorter time would take a lost pair for a silent agent.
const MIN_SILENCE_MS: u64 = 350;
/// A flow that was just placed shows up in the target's load after the handshake, which takes two
/// trips to the client.
const HANDSHAKE_MS: u64 = 30;
/// A flow that was placed and never shows up no longer counts after this time.
const PLACED_LIMIT_MS: u64 = 400;
/// Opening packets in a row without an answer before a target is passed over.
const UNANSWERED_LIMIT: u32 = 2;
/// A target that was passed over is tried again after this time.
const TRY_AGAIN_MS: u64 = 700;

#[derive(Debug, Clone, Copy)]
struct Placed {
    at: MonoTime,
    is_stream: bool,
}

/// State of one agent.
#[derive(Debug, Clone)]
pub struct AgentState {
    report: LoadReport,
    heard_at: MonoTime,
    silent_at: MonoTime,
    is_marked_silent: bool,
    placed: VecDeque<Placed>,
    unanswered: u32,
    avoid_until: MonoTime,
}

impl AgentState {
    /// Returns the newest report.
    #[must_use]
    pub const fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns whether the agent has reported lately.
    #[must_use]
    pub fn is_heard(&self, now: MonoTime) -> bool {
        now < self.silent_at
    }

    /// Returns the age of the newest report in milliseconds.
    #[must_use]
    pub const fn age_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.heard_at)
    }

    /// Returns whether opening packets go unanswered.
    #[must_use]
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        now < self.avoid_until
    }

    /// Returns flows placed since the newest report that it doesn't show yet: all, and streams.
    #[must_use]
    pub fn placed_since_report(&self) -> (u32, u32) {
        let streams = self.placed.iter().filter(|placed| placed.is_stream).count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.placed.len()), count(streams))
    }
}

/// All agents that have ever reported, by VM.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: FastMap<Ipv4Addr, AgentState>,
}

impl AgentTable {
    /// Takes a report. Returns whether the agent was not heard before it.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        report: LoadReport,
        report_period_ms: u64,
    ) -> bool {
        let silent_at = now.plus_ms((report_period_ms * MISSED_REPORTS).max(MIN_SILENCE_MS));
        let Some(agent) = self.agents.get_mut(&vm) else {
            let agent = AgentState {
                report,
                heard_at: now,
                silent_at,
                is_marked_silent: false,
                placed: VecDeque::new(),
                unanswered: 0,
                avoid_until: MonoTime::ZERO,
            };
            self.agents.insert(vm, agent);
            return true;
        };
        let was_silent = agent.is_marked_silent;
        agent.report = report;
        agent.heard_at = now;
        agent.silent_at = silent_at;
        agent.is_marked_silent = false;
        let shown = |placed: &Placed| placed.at.plus_ms(HANDSHAKE_MS) <= now;
        while agent.placed.front().is_some_and(shown) {
            agent.placed.pop_front();
        }
        was_silent
    }

    /// Records that an opening packet was sent to the agent.
    pub fn record_placed(&mut self, now: MonoTime, vm: Ipv4Addr, is_stream: bool) {
        let Some(agent) = self.agents.get_mut(&vm) else {
            return;
        };
        agent.placed.push_back(Placed { at: now, is_stream });
        let expired = |placed: &Placed| placed.at.plus_ms(PLACED_LIMIT_MS) <= now;
        while agent.placed.front().is_some_and(expired) {
            agent.placed.pop_front();
        }
    }

    /// Records that the agent's target accepted a flow.
    pub fn record_accepted(&mut self, vm: Ipv4Addr) {
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.unanswered = 0;
            agent.avoid_until = MonoTime::ZERO;
        }
    }

    /// Records that an opening packet got no answer from the agent's target.
    pub fn record_unanswered(&mut self, now: MonoTime, vm: Ipv4Addr) {
        let Some(agent) = self.agents.get_mut(&vm) else {
            return;
        };
        agent.unanswered = agent.unanswered.saturating_add(1);
        if agent.unanswered >= UNANSWERED_LIMIT {
            agent.avoid_until = now.plus_ms(TRY_AGAIN_MS);
        }
    }

    /// Records that the agent's target doesn't accept flows for a moment.
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

    /// Returns the VMs of agents that have reported lately.
    pub fn heard(&self, now: MonoTime) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.agents.iter().filter(move |(_, a)| a.is_heard(now));
        heard.map(|(vm, _)| *vm)
    }

    /// Returns agents that fell silent since the last call, with their newest report's age in
    /// milliseconds.
    pub fn newly_silent(&mut self, now: MonoTime) -> Vec<(Ipv4Addr, u64)> {
        let mut silent = Vec::new();
        for (vm, agent) in &mut self.agents {
            if !agent.is_marked_silent && !agent.is_heard(now) {
                agent.is_marked_silent = true;
                silent.push((*vm, agent.age_ms(now)));
            }
        }
        silent
    }

    /// Forgets agents that have been silent since `before`.
    pub fn forget_silent_since(&mut self, before: MonoTime) {
        self.agents.retain(|_, agent| agent.heard_at >= before);
    }

    /// Returns the number of agents known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }
}
