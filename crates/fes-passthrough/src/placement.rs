//! Selects the target of a new flow: the least expected load relative to the target's slots and its
//! speed, according to the agents' reports.

use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastSet;
use fes_protocol::MonoTime;

use crate::AgentState;
use crate::AgentTable;
use crate::CANDIDATES_PER_DATA_CENTRE;
use crate::FleetView;
use crate::FlowKey;
use crate::FlowUse;
use crate::Mechanism;
use crate::RelativeRunTime;
use crate::ServiceTag;
use crate::TargetRecord;
use crate::TripTimes;
use crate::WarmUpRank;
use crate::WarmUpShares;
use crate::is_failing;
use crate::outliers;
use crate::preferred_targets;
use crate::typical_run_time_us;

/// Average load of an open stream, in thousandths of a slot.
const STREAM_COST_MILLISLOTS: u64 = 30;
/// Weight of the current load when a stream is placed, in percent. It is less than 100 because a
/// stream lasts longer than the current load.
pub(crate) const STREAM_CURRENT_LOAD_PERCENT: u64 = 30;
/// Cost of load on a target that is warming up, in percent of its cost on other targets.
const WARM_UP_LOAD_PERCENT: u64 = 160;
/// Additional cost of a target that is warming up, in thousandths of its slots.
const WARM_UP_COST_PER_MILLE: u64 = 150;

/// A target selected for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectedTarget {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Service of the target.
    pub service: ServiceTag,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Cost of the target: its expected load and the additional costs, in thousandths of its slots.
    /// Negative for an idle target that is faster than the service's other targets.
    pub load: i64,
    /// Age of the agent's report, in milliseconds; [`u64::MAX`] if there is none.
    pub report_age_ms: u64,
}

/// Rank of a target for placement; lower ranks are preferred. Fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TargetRank {
    /// Other entries may not know the target yet. They would reset its flows if routers moved them
    /// there.
    is_new: bool,
    warm_up: WarmUpRank,
}

impl TargetRank {
    const USUAL: Self = Self {
        is_new: false,
        warm_up: WarmUpRank::Usual,
    };
}

/// Inputs of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Targets and routes.
    pub view: &'a FleetView,
    /// Reports of agents.
    pub agents: &'a AgentTable,
    /// Openings sent to targets that warm up.
    pub warm_up: &'a WarmUpShares,
    /// Round trips to other data centres.
    pub trips: &'a TripTimes,
    /// Data centre of the entry.
    pub data_centre: &'a DataCentreName,
}

/// Selects the target with the lowest cost that is not in `excluded`, among the first in the flow's
/// preference order. `rotation` rotates that order, so that targets of equal cost are selected in
/// turn.
///
/// A target whose agent has no current report is selected only if no candidate has one, as right
/// after a start. When a placement is repeated (`excluded` isn't empty), it is selected only if no
/// agent at all has a current report.
#[must_use]
pub fn select_target(
    now: MonoTime,
    context: PlacementContext<'_>,
    service: ServiceTag,
    flow: &FlowKey,
    flow_use: FlowUse,
    excluded: &[Ipv4Addr],
    rotation: usize,
) -> Option<SelectedTarget> {
    let accepts_flows = |record: &&TargetRecord| {
        let agent = context.agents.get(record.vm);
        let is_leaving = agent.is_some_and(|agent| agent.report().is_leaving);
        context.view.accepts_flows(record) && !is_leaving && !excluded.contains(&record.vm)
    };
    let targets = || context.view.targets_of(service).filter(accepts_flows);
    let is_repeated = !excluded.is_empty();
    let rank = |record: &TargetRecord| TargetRank {
        is_new: context.view.is_new(now, &record.id),
        warm_up: (context.warm_up).rank(now, context.view, record, is_repeated),
    };
    let candidates = select_candidates(targets, flow, rank);
    let rotated = || {
        let offset = rotation.checked_rem(candidates.len()).unwrap_or(0);
        candidates[offset..].iter().chain(&candidates[..offset])
    };
    let outliers = failing_outliers(now, context, service, &candidates);
    let is_outlier = |vm: Ipv4Addr| outliers.contains(&vm) && !may_try(now, context, vm, flow_use);
    let typical_us = typical_us(now, context, &candidates);
    let reachable = rotated().filter_map(|record| {
        let candidate = reported_candidate(now, context, record, flow_use, typical_us);
        let (is_avoided, selected) = candidate?;
        Some((is_avoided, rank(record), selected))
    });
    let lowest_cost = reachable.min_by_key(|(is_avoided, rank, selected)| {
        let is_avoided = *is_avoided || is_outlier(selected.vm);
        (is_avoided, *rank, selected.load)
    });
    if let Some((_, _, selected)) = lowest_cost {
        return Some(selected);
    }
    let is_any_reachable = context.agents.reachable(now).next().is_some();
    if is_any_reachable && !excluded.is_empty() {
        return None;
    }
    let first = rotated().min_by_key(|record| rank(record));
    first.map(|record| unreported_candidate(record))
}

/// Returns the first targets in the flow's preference order. If there is a reason to prefer others to
/// some of them, the first of the targets with the lowest rank are included as well.
fn select_candidates<'a, T: Iterator<Item = &'a TargetRecord>>(
    targets: impl Fn() -> T,
    flow: &FlowKey,
    rank: impl Fn(&TargetRecord) -> TargetRank,
) -> Vec<&'a TargetRecord> {
    let mut candidates = preferred_targets(targets(), flow, 0, CANDIDATES_PER_DATA_CENTRE);
    let is_usual = |record: &&TargetRecord| rank(record) == TargetRank::USUAL;
    if candidates.iter().all(is_usual) {
        return candidates;
    }
    let lowest = targets().map(&rank).min();
    let preferred = targets().filter(|record| Some(rank(record)) == lowest);
    let preferred = preferred_targets(preferred, flow, 0, CANDIDATES_PER_DATA_CENTRE);
    candidates.retain(|record| Some(rank(record)) != lowest);
    candidates.extend(preferred);
    candidates
}

/// Returns the outliers of a service if a candidate is failing.
fn failing_outliers(
    now: MonoTime,
    context: PlacementContext<'_>,
    service: ServiceTag,
    candidates: &[&TargetRecord],
) -> FastSet<Ipv4Addr> {
    let is_candidate_failing = |record: &&TargetRecord| {
        let agent = context.agents.get(record.vm);
        agent.is_some_and(|agent| is_failing(agent.report().failures_per_mille))
    };
    match Mechanism::Outliers.is_enabled() && candidates.iter().any(is_candidate_failing) {
        true => outliers(now, context.agents, context.view.targets_of(service)),
        false => FastSet::default(),
    }
}

/// Returns whether a flow may be placed on an outlier, to find out whether it still fails. Requests
/// that must not be repeated aren't used for that, since their clients can't retry.
fn may_try(now: MonoTime, context: PlacementContext<'_>, vm: Ipv4Addr, flow_use: FlowUse) -> bool {
    let agent = context.agents.get(vm);
    flow_use != FlowUse::NonRepeatable && agent.is_some_and(|agent| agent.is_trial_due(now))
}

/// Returns the run time of a typical candidate in microseconds, if any reports one.
fn typical_us(
    now: MonoTime,
    context: PlacementContext<'_>,
    candidates: &[&TargetRecord],
) -> Option<u64> {
    let agents = candidates
        .iter()
        .filter_map(|record| context.agents.get(record.vm));
    let current = agents.filter(|agent| agent.is_reachable(now));
    typical_run_time_us(current.map(|agent| agent.report().run_time_us))
}

/// Returns the run time of the agent's target relative to typical ones.
///
/// A slow target that gets no requests would never be found to have recovered. If it is idle and a
/// trial is due, it counts as a typical one for a flow with a single request.
fn relative_run_time(
    now: MonoTime,
    agent: &AgentState,
    requests: u64,
    flow_use: FlowUse,
    typical_us: Option<u64>,
) -> RelativeRunTime {
    let freshness_per_mille = agent.report_freshness_per_mille(now);
    let typical_us = typical_us.filter(|_| Mechanism::CapacityCost.is_enabled());
    let relative =
        RelativeRunTime::new(agent.report().run_time_us, typical_us, freshness_per_mille);
    let may_try = requests == 0 && flow_use != FlowUse::Stream && agent.is_speed_trial_due(now);
    match may_try && relative.is_slow() {
        true => RelativeRunTime::TYPICAL,
        false => relative,
    }
}

/// Returns the target as a candidate if its agent has a current report, and whether it should be
/// selected only if there are no others.
fn reported_candidate(
    now: MonoTime,
    context: PlacementContext<'_>,
    record: &TargetRecord,
    flow_use: FlowUse,
    typical_us: Option<u64>,
) -> Option<(bool, SelectedTarget)> {
    let agent = context.agents.get(record.vm)?;
    let report = agent.report();
    if !agent.is_reachable(now) || report.service != record.service {
        return None;
    }
    let (placed, placed_streams) = agent.placed_since_report();
    let slots = u64::from(record.slots.max(1));
    let requests = u64::from(report.running) + u64::from(report.waiting) + u64::from(placed);
    let current_load = requests * 1_000 / slots;
    let streams = u64::from(report.streams) + u64::from(placed_streams);
    let mut load = match flow_use {
        FlowUse::Stream => {
            streams * STREAM_COST_MILLISLOTS / slots
                + current_load * STREAM_CURRENT_LOAD_PERCENT / 100
        }
        FlowUse::Repeatable | FlowUse::NonRepeatable => current_load,
    };
    if Mechanism::WarmUpCost.is_enabled() && context.view.is_warming_up(now, &record.id) {
        load = load * WARM_UP_LOAD_PERCENT / 100 + WARM_UP_COST_PER_MILLE;
    }
    let run_time = relative_run_time(now, agent, requests, flow_use, typical_us);
    let speed_cost = match flow_use {
        FlowUse::Stream => {
            run_time.stream_cost(current_load, (streams + 1) * STREAM_COST_MILLISLOTS / slots)
        }
        FlowUse::Repeatable | FlowUse::NonRepeatable => run_time.request_cost(current_load),
    };
    let (own, other) = (context.data_centre, &record.data_centre);
    load += (context.trips).cost_per_mille(now, own, other, flow_use, typical_us);
    if Mechanism::FailureCost.is_enabled() && !is_failing(report.failures_per_mille) {
        load += u64::from(report.failures_per_mille);
    }
    let load = i64::try_from(load).unwrap_or(i64::MAX);
    let selected = SelectedTarget {
        vm: record.vm,
        service: record.service,
        started_at_ms: record.started_at_ms,
        load: load.saturating_add(speed_cost),
        report_age_ms: agent.age_ms(now),
    };
    Some((agent.is_avoided(now) || report.is_silent, selected))
}

const fn unreported_candidate(record: &TargetRecord) -> SelectedTarget {
    SelectedTarget {
        vm: record.vm,
        service: record.service,
        started_at_ms: record.started_at_ms,
        load: 0,
        report_age_ms: u64::MAX,
    }
}
