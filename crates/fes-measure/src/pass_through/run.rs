//! Runs the scenarios under all policies.

use super::bound::bound_in_time;
use super::ceiling::run_ceiling;
use super::fleet::targets;
use super::fleet::total_capacity;
use super::flow_policy::FlowPolicy;
use super::load::Load;
use super::report::PassThroughReport;
use super::report::ScenarioResult;
use super::report::policy_result;
use super::report::policy_series;
use super::scenario::FlowScenario;
use super::simulation::simulate;
use crate::Series;

/// Runs scenarios under all policies, on the same arrivals and run times.
#[must_use]
pub fn run_pass_through(scenarios: &[FlowScenario], seed: u64) -> PassThroughReport {
    let mut report = PassThroughReport {
        seed,
        scenarios: Vec::new(),
        series: Vec::new(),
    };
    for scenario in scenarios {
        let (result, series) = run_scenario(scenario, seed);
        report.scenarios.push(result);
        report.series.extend(series);
    }
    report
}

fn run_scenario(scenario: &FlowScenario, seed: u64) -> (ScenarioResult, Vec<Series>) {
    let targets = targets(scenario.is_uneven);
    let load = Load::generate(scenario, total_capacity(&targets), seed);
    let mut policies = Vec::new();
    let mut series = Vec::new();
    for policy in FlowPolicy::ALL {
        let executions = match policy {
            FlowPolicy::Random
            | FlowPolicy::RandomQueued
            | FlowPolicy::LeastRequests
            | FlowPolicy::Current => simulate(policy, &load, &targets, seed),
            FlowPolicy::CeilingPinned
            | FlowPolicy::CeilingUnknownRunTimes
            | FlowPolicy::Ceiling => run_ceiling(policy, &load, &targets),
        };
        policies.push(policy_result(policy, &load, &targets, &executions));
        series.push(policy_series(scenario, policy, &load, &executions));
    }
    let result = ScenarioResult {
        name: scenario.name,
        requests: policies.first().map_or(0, |policy| policy.requests()),
        bound_in_time: bound_in_time(&load.requests, &targets),
        policies,
    };
    (result, series)
}
