//! Status of an entry for operators: its view, its agents' reports and their ages.

use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;
use serde::Serialize;

use crate::EntryCore;
use crate::Era;
use crate::Evacuation;
use crate::TargetState;
use crate::WarmUpStatus;
use crate::number_of;

/// Status of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// Number of flows in the directory.
    pub flows: usize,
    /// Version of the configuration in force.
    pub routes_version: u64,
    /// Newest revision of the platform's list of which the entry has all changes.
    pub list_revision: u64,
    /// Era of the platform's history that the entry follows; 0 if the platform tells none.
    pub list_era: Era,
    /// Number of targets in use that the platform doesn't list at present.
    pub unlisted_targets: usize,
    /// Time since the list was confirmed, in milliseconds; absent if it never was.
    pub list_age_ms: Option<u64>,
    /// Whether this entry reads the platform itself, rather than receiving changes from other
    /// entries.
    pub is_reader: bool,
    /// Targets that get no new flows because they are draining.
    pub leaving_targets: Vec<UpstreamName>,
    /// Evacuations in force, ordered by data centre.
    pub evacuations: Vec<EvacuationStatus>,
    /// Targets that get a limited number of new flows while they warm up, ordered by VM.
    pub warming_up: Vec<WarmUpStatus>,
    /// Round trips to the agents of each data centre that is measured, ordered by data centre.
    pub trips: Vec<TripStatus>,
    /// Latest report of each agent, ordered by VM.
    pub agents: Vec<AgentStatus>,
}

/// An evacuation in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuationStatus {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Revision of the platform's list in which it was last requested.
    pub revision: u64,
    /// Time since this entry learned of it, in milliseconds.
    pub age_ms: u64,
}

/// Round trip to the agents of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TripStatus {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Lowest round trip of recent openings, in microseconds.
    pub lowest_us: u64,
}

/// Latest report of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AgentStatus {
    /// VM.
    pub vm: Ipv4Addr,
    /// Age of the report, in milliseconds.
    pub report_age_ms: u64,
    /// Whether the report is current.
    pub is_heard: bool,
    /// Requests delivered to the target and not yet answered.
    pub running: u32,
    /// Queued requests that can still meet their latency goal.
    pub waiting: u32,
    /// Open flows.
    pub flows: u32,
    /// Whether the agent accepts no new flows.
    pub is_leaving: bool,
    /// Whether the target is unresponsive.
    pub is_silent: bool,
    /// Share of the latest requests that failed at the target, in thousandths.
    pub failures_per_mille: u32,
    /// Mean run time of the target's requests, in microseconds; 0 if none was measured.
    pub run_time_us: u32,
    /// Whether the agent knows all flows of its target.
    pub is_complete: bool,
    /// Whether the agent is sent the priorities of requests.
    pub supports_priority: bool,
}

impl EntryCore {
    /// Returns the entry's status.
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
                    is_heard: agent.is_reachable(now),
                    running: report.running,
                    waiting: report.waiting,
                    flows: report.flows,
                    is_leaving: report.is_leaving,
                    is_silent: report.is_silent,
                    failures_per_mille: report.failures_per_mille,
                    run_time_us: report.run_time_us,
                    is_complete: report.is_complete,
                    supports_priority: report.supports_priority,
                }
            })
            .collect();
        agents.sort_unstable_by_key(|agent| agent.vm);
        EntryStatus {
            flows: self.flows.len(),
            routes_version: self.view.routes().version,
            list_revision: number_of(self.view.revision()),
            list_era: self.view.era(),
            unlisted_targets: self.view.unlisted_count(),
            list_age_ms: self.view.age_ms(now),
            is_reader: self.is_reader(now),
            leaving_targets: leaving.map(|target| target.id.clone()).collect(),
            evacuations: self.evacuation_statuses(now),
            warming_up: self.warm_up_status(now),
            trips: self.trip_statuses(now),
            agents,
        }
    }

    fn trip_statuses(&self, now: MonoTime) -> Vec<TripStatus> {
        let trips = self.trips.measured(now);
        let mut statuses: Vec<TripStatus> = trips
            .map(|(data_centre, lowest_us)| TripStatus {
                data_centre: data_centre.clone(),
                lowest_us,
            })
            .collect();
        statuses.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
        statuses
    }

    fn evacuation_statuses(&self, now: MonoTime) -> Vec<EvacuationStatus> {
        let evacuations = self.view.evacuations();
        let status = |evacuation: &Evacuation| EvacuationStatus {
            data_centre: evacuation.data_centre.clone(),
            revision: number_of(evacuation.revision),
            age_ms: evacuations.age_ms(now, &evacuation.data_centre),
        };
        let mut statuses: Vec<EvacuationStatus> = evacuations.in_force().map(status).collect();
        statuses.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
        statuses
    }
}
