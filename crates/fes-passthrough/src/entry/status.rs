//! What an entry knows and how old it is, for operators.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;
use serde::Serialize;

use crate::EntryCore;
use crate::TargetState;

/// State of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// Flows remembered.
    pub flows: usize,
    /// Version of the configuration in force.
    pub routes_version: u64,
    /// Revision of the platform's list held in full.
    pub list_revision: u64,
    /// Time since the list was confirmed, in milliseconds; absent if it never was.
    pub list_age_ms: Option<u64>,
    /// Whether this entry reads the platform itself, rather than learning from other entries.
    pub is_reader: bool,
    /// Targets that get no new flows, since they are leaving.
    pub leaving_targets: Vec<UpstreamName>,
    /// Newest report of each agent, in the order of their VMs.
    pub agents: Vec<AgentStatus>,
}

/// Newest report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AgentStatus {
    /// VM.
    pub vm: Ipv4Addr,
    /// Age of the report, in milliseconds.
    pub report_age_ms: u64,
    /// Whether it has reported lately.
    pub is_heard: bool,
    /// Requests handed to the target and not answered yet.
    pub running: u32,
    /// Requests held back.
    pub waiting: u32,
    /// Open flows.
    pub flows: u32,
    /// Whether the agent takes no new flows.
    pub is_leaving: bool,
    /// Whether the target gives no sign of life.
    pub is_silent: bool,
    /// Whether the agent knows all flows of its target.
    pub is_complete: bool,
}

impl EntryCore {
    /// Returns what the entry knows.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> EntryStatus {
        let leaving = self.view.newest_targets();
        let leaving = leaving.filter(|target| target.state == TargetState::Draining);
        let mut agents: Vec<AgentStatus> = self
            .agents
            .iter()
            .map(|(vm, agent)| {
                let report = agent.report();
                AgentStatus {
                    vm,
                    report_age_ms: agent.age_ms(now),
                    is_heard: agent.is_heard(now),
                    running: report.running,
                    waiting: report.waiting,
                    flows: report.flows,
                    is_leaving: report.is_leaving,
                    is_silent: report.is_silent,
                    is_complete: report.is_complete,
                }
            })
            .collect();
        agents.sort_unstable_by_key(|agent| agent.vm);
        EntryStatus {
            flows: self.flows.len(),
            routes_version: self.view.routes().version,
            list_revision: self.view.revision(),
            list_age_ms: self.view.age_ms(now),
            is_reader: self.is_reader(now),
            leaving_targets: leaving.map(|target| target.id.clone()).collect(),
            agents,
        }
    }
}
