//! Status of an entry for operators.

mod support;

use fes_passthrough::TargetState;
use fes_protocol::MonoTime;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::vm;
use support::simulation::Simulation;

/// Guards against a status that doesn't show the run times by which targets are chosen, or whether an
/// agent is sent priorities.
#[test]
fn the_status_shows_run_times_and_support_of_priorities() {
    let mut simulation = Simulation::new(1, 1, 2, 20, 1);
    simulation.add_client(Client::new(flow(1, once_address()), 1, 0), 500);
    simulation.run_until(1_000);

    let entry = simulation.entries[0].as_ref().expect("the entry runs");
    let status = entry.status(MonoTime::from_ms(1_000));

    assert_eq!(status.agents[0].run_time_us, 20_000);
    assert!(status.agents[0].supports_priority);
}

/// Guards against a status that doesn't show a leaving target or a silent agent.
#[test]
fn the_status_names_leaving_targets_and_old_reports() {
    let mut simulation = Simulation::new(1, 4, 2, 20, 1);
    simulation.run_until(500);
    simulation.change_target(1, |record| record.state = TargetState::Draining);
    simulation.agents[2] = None;
    simulation.run_until(2_000);

    let entry = simulation.entries[0].as_ref().expect("the entry runs");
    let status = entry.status(MonoTime::from_ms(2_000));

    assert_eq!(status.leaving_targets, ["t-1".into()]);
    let heard: Vec<bool> = status.agents.iter().map(|agent| agent.is_heard).collect();
    assert_eq!(heard, [true, true, false, true]);
    assert_eq!(status.agents[2].vm, vm(2));
    assert!(status.agents[2].report_age_ms >= 1_400);
    assert!(status.agents[1].is_leaving);
    assert!(status.is_reader);
}

/// Guards against an evacuation that operators can't see, and against an age that starts over when
/// the request is written again.
#[test]
fn the_status_lists_evacuations_with_their_age() {
    let mut simulation = Simulation::new(1, 2, 2, 20, 1);
    simulation.run_until(500);
    simulation.evacuate("x", true, &[0]);
    simulation.evacuate("b", true, &[0]);
    simulation.evacuate("c", true, &[0]);
    simulation.run_until(1_200);
    simulation.evacuate("b", true, &[0]);
    simulation.evacuate("x", false, &[0]);

    let entry = simulation.entries[0].as_ref().expect("the entry runs");
    let status = entry.status(MonoTime::from_ms(1_500));

    let evacuations: Vec<(&str, u64)> = status
        .evacuations
        .iter()
        .map(|evacuation| (evacuation.data_centre.as_str(), evacuation.age_ms))
        .collect();
    assert_eq!(evacuations, [("b", 1_000), ("c", 1_000)]);
}
