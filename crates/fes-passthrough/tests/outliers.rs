//! Targets that fail the requests that they accept, while they report good health.

mod support;

use fes_passthrough::AgentTable;
use fes_passthrough::FailureRate;
use fes_passthrough::LoadReport;
use fes_passthrough::TargetRecord;
use fes_passthrough::is_failing;
use fes_passthrough::outliers;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::idle_report;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::fixtures::target;
use support::fixtures::vm;
use support::simulation::Simulation;

const TARGETS: usize = 5;
const REPORT_PERIOD_MS: u64 = 100;
/// Time at which the first target begins to reset requests.
const FAULT_AT_MS: u64 = 1_500;

/// Adds clients with one request each, one every 5 ms. One in four must not be repeated.
fn add_load(simulation: &mut Simulation, from_ms: u64, until_ms: u64) {
    let mut at_ms = from_ms;
    while at_ms < until_ms {
        let port = u16::try_from(at_ms).expect("small time");
        let destination = match at_ms % 20 {
            0 => once_address(),
            _ => stream_address(),
        };
        simulation.add_client(Client::new(flow(port, destination), 1, 0), at_ms);
        at_ms += 5;
    }
}

fn simulation_with_failing_target() -> Simulation {
    let mut simulation = Simulation::new(2, TARGETS, 4, 20, 1);
    add_load(&mut simulation, 500, 6_000);
    simulation.run_until(FAULT_AT_MS);
    simulation.targets[0].resets_requests = true;
    simulation
}

fn received(simulation: &Simulation) -> Vec<usize> {
    simulation
        .targets
        .iter()
        .map(|target| target.received.len())
        .collect()
}

fn agents_with_failures(failures_per_mille: &[u32]) -> (AgentTable, Vec<TargetRecord>) {
    let mut agents = AgentTable::default();
    let mut targets = Vec::new();
    for (index, per_mille) in failures_per_mille.iter().enumerate() {
        let report = LoadReport {
            failures_per_mille: *per_mille,
            ..idle_report()
        };
        agents.record_report(MonoTime::ZERO, vm(index), report, REPORT_PERIOD_MS);
        targets.push(target(index, 1));
    }
    (agents, targets)
}

/// Guards against a target that draws most new flows because it fails fast and is therefore idle.
/// See docs/decisions/further-customer.md.
#[test]
fn a_failing_target_draws_no_more_requests_than_a_healthy_one() {
    let mut simulation = simulation_with_failing_target();

    simulation.run_until(FAULT_AT_MS + 500);
    let before = received(&simulation);
    simulation.run_until(6_000);

    let after = received(&simulation);
    let drawn: Vec<usize> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    assert!(
        drawn[1..].iter().all(|healthy| drawn[0] <= *healthy),
        "{drawn:?}"
    );
}

/// Guards against failures of callers at a target that is known to fail. The baseline, placement by
/// load alone, is a target without faults that gets a fifth of the requests or more.
#[test]
fn few_callers_meet_a_failing_target() {
    let mut simulation = simulation_with_failing_target();

    simulation.run_until(8_000);

    let failed = simulation.resets_while_open();
    // 900 requests arrive after the fault began. Each of two entries may try the target every
    // 500 ms, and until it is known to fail it may get some at once.
    assert!(failed <= 40, "{failed} failed");
    let non_repeatable = simulation.clients.iter().filter(|client| {
        let is_after = client.flow.client.port() > 2_000;
        is_after && client.flow.destination == once_address() && client.resets_while_open > 0
    });
    assert_eq!(non_repeatable.count(), 0, "non-repeatable requests failed");
}

/// Guards against a target that gets no flows any more although it works again.
#[test]
fn a_target_that_works_again_gets_its_share() {
    let mut simulation = simulation_with_failing_target();
    simulation.run_until(3_000);
    simulation.targets[0].resets_requests = false;

    simulation.run_until(4_500);
    let before = received(&simulation);
    simulation.run_until(6_000);

    let after = received(&simulation);
    let drawn: Vec<usize> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    let fair_share = drawn.iter().sum::<usize>() / TARGETS;
    assert!(drawn[0] * 2 >= fair_share, "{drawn:?}");
}

/// Guards against an overload of the remaining targets when most of them fail, which has a common
/// cause, such as the requests themselves.
#[rstest]
#[case(&[1_000, 0, 0], 1)]
#[case(&[1_000, 1_000, 0, 0], 2)]
#[case(&[1_000, 1_000, 0], 0)]
#[case(&[1_000], 0)]
#[case(&[200, 0, 0], 0)]
fn at_most_half_of_the_targets_are_outliers(
    #[case] failures_per_mille: &[u32],
    #[case] expected: usize,
) {
    let (agents, targets) = agents_with_failures(failures_per_mille);

    let outliers = outliers(MonoTime::from_ms(50), &agents, targets.iter());

    assert_eq!(outliers.len(), expected);
}

/// Guards against a target that is avoided because of a report that is out of date.
#[test]
fn a_target_without_a_current_report_is_no_outlier() {
    let (agents, targets) = agents_with_failures(&[1_000, 0, 0]);

    let outliers = outliers(MonoTime::from_ms(10_000), &agents, targets.iter());

    assert!(outliers.is_empty());
}

/// Guards against a healthy target that is avoided after a single failure, and against one that
/// fails every request and is not noticed for long.
#[rstest]
#[case(1, false)]
#[case(2, false)]
#[case(3, true)]
fn a_handful_of_failures_in_a_row_counts(#[case] failures: u32, #[case] expected: bool) {
    let mut rate = FailureRate::default();

    for _ in 0..failures {
        rate.record(true);
    }

    assert_eq!(is_failing(rate.per_mille()), expected);
}
