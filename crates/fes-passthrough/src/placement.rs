//! Chooses the target of a new flow: least expected work for the target's size, from reports.

use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;

use crate::AgentTable;
use crate::CANDIDATES_PER_DATA_CENTRE;
use crate::FleetView;
use crate::FlowKey;
use crate::FlowUse;
use crate::ServiceTag;
use crate::TargetRecord;
use crate::TargetState;
use crate::preferred_targets;

/// Extra cost of a target in another data centre, in thousandths of its slots: a request there
/// takes two more trips between data centres, and its bytes cost more.
const OTHER_DATA_CENTRE_COST: u64 = 120;
/// Work of an open stream over time, in thousandths of a slot.
const STREAM_COST: u64 = 30;
/// Share of the present load that counts when a stream is placed, in percent: load passes, a
/// stream stays.
const PRESENT_LOAD_PERCENT: u64 = 30;
/// Cost of a target that is still slow after its start, in percent of the same load elsewhere.
const WARMING_UP_PERCENT: u64 = 160;
/// Load that a target which is still slow after its start counts with from the outset, in
/// thousandths of its slots.
const WARMING_UP_COST: u64 = 150;

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectedTarget {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Service of the target.
    pub service: ServiceTag,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Expected load, in thousandths of the target's slots.
    pub load: u64,
    /// Requests that run at the target and that it can run at once.
    pub running_and_slots: (u32, u32),
    /// Age of the report that decided, in milliseconds.
    pub report_age_ms: u64,
}

/// What placement looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Targets and routes.
    pub view: &'a FleetView,
    /// Reports of agents.
    pub agents: &'a AgentTable,
    /// Data centre of the entry.
    pub data_centre: &'a DataCentreName,
}

/// Chooses the target with the least cost that is not in `excluded`, among the first of the flow's
/// order. `start` rotates the order, so
/// that equal targets take turns.
///
/// A target whose agent isn't heard is chosen only for the first try of a flow and if no agent of
/// the service is heard, as right after a start.
#[must_use]
pub fn select_target(
    now: MonoTime,
    fleet: PlacementContext<'_>,
    service: ServiceTag,
    flow: &FlowKey,
    flow_use: FlowUse,
    excluded: &[Ipv4Addr],
    start: usize,
) -> Option<SelectedTarget> {
    let takes_flows = |record: &&TargetRecord| {
        let agent = fleet.agents.get(record.vm);
        let is_leaving = agent.is_some_and(|agent| agent.report().is_leaving);
        record.state == TargetState::Ready && !is_leaving && !excluded.contains(&record.vm)
    };
    let targets = fleet.view.targets_of(service).filter(takes_flows);
    let usable = preferred_targets(targets, flow, 0, CANDIDATES_PER_DATA_CENTRE);
    let rotated = || {
        let offset = start.checked_rem(usable.len()).unwrap_or(0);
        usable[offset..].iter().chain(&usable[..offset])
    };
    let heard = rotated().filter_map(|record| heard_choice(now, fleet, record, flow_use));
    let best = heard.min_by_key(|(is_avoided, choice)| (*is_avoided, choice.load));
    if let Some((_, choice)) = best {
        return Some(choice);
    }
    let is_any_heard = fleet.agents.heard(now).next().is_some();
    if is_any_heard && !excluded.is_empty() {
        return None;
    }
    rotated().next().map(|record| unheard_choice(record))
}

/// Returns the choice of a target whose agent is heard, and whether it should be passed over while
/// there are others.
fn heard_choice(
    now: MonoTime,
    fleet: PlacementContext<'_>,
    record: &TargetRecord,
    flow_use: FlowUse,
) -> Option<(bool, SelectedTarget)> {
    let agent = fleet.agents.get(record.vm)?;
    let report = agent.report();
    if !agent.is_heard(now) || report.service != record.service {
        return None;
    }
    let (placed, placed_streams) = agent.placed_since_report();
    let slots = u64::from(record.slots.max(1));
    let running = u64::from(report.running + report.waiting + placed);
    let present_load = running * 1_000 / slots;
    let mut load = match flow_use {
        FlowUse::Stream => {
            let streams = u64::from(report.streams + placed_streams);
            streams * STREAM_COST / slots + present_load * PRESENT_LOAD_PERCENT / 100
        }
        FlowUse::Repeatable | FlowUse::NonRepeatable => present_load,
    };
    if fleet.view.is_warming_up(now, &record.id) {
        load = load * WARMING_UP_PERCENT / 100 + WARMING_UP_COST;
    }
    if record.data_centre != *fleet.data_centre {
        load += OTHER_DATA_CENTRE_COST;
    }
    let choice = SelectedTarget {
        vm: record.vm,
        service: record.service,
        started_at_ms: record.started_at_ms,
        load,
        running_and_slots: (report.running + report.waiting + placed, record.slots),
        report_age_ms: agent.age_ms(now),
    };
    Some((agent.is_avoided(now) || report.is_silent, choice))
}

const fn unheard_choice(record: &TargetRecord) -> SelectedTarget {
    SelectedTarget {
        vm: record.vm,
        service: record.service,
        started_at_ms: record.started_at_ms,
        load: 0,
        running_and_slots: (0, record.slots),
        report_age_ms: u64::MAX,
    }
}
