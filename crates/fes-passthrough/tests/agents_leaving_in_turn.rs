//! Searches for lost flows while, in a large fleet, one agent after the other ends for good with
//! its target, as when the targets of a service are replaced after a loss of power.

mod support;

use fes_passthrough::TargetState;
use rstest::rstest;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const TARGETS: usize = 120;
const STREAMS: u16 = 120;
const LEAVE_INTERVAL_MS: u64 = 500;
const LEAVING_AGENTS: usize = 8;
/// Time until the agent of a draining target has heard of that.
const DRAIN_NOTICE_MS: u64 = 1_000;
/// Time from the signal to an agent until its target ends.
const TARGET_END_DELAY_MS: u64 = 300;
const STOP_CHECK_MS: u64 = 20;

/// Time without hellos after which an agent has forgotten the entries.
const FORGOTTEN_AFTER_MS: u64 = 3_500;

/// How the agents of leaving targets end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Planned,
    Abrupt,
    /// As planned, but the agent is told to stop shortly before the target ends.
    BeforeTarget,
    /// Without notice, long after the target was removed from the list.
    Unlisted,
}

/// Opens streams and then restarts all entries, agents and targets, so that no process knows the
/// streams any more.
fn fleet_after_power_loss() -> Simulation {
    let mut simulation = Simulation::new(2, TARGETS, 2, 20, 3);
    for index in 0..STREAMS {
        // Requests are 8 s apart, so that many streams are used while agents leave.
        let client = Client::new(flow(20_000 + index, stream_address()), 5, 8_000);
        simulation.add_client(client, 500 + u64::from(index) * 60);
    }
    simulation.run_until(8_400);
    for index in 0..TARGETS {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    for index in 0..2 {
        simulation.start_entry(index);
    }
    simulation
}

fn leave(simulation: &mut Simulation, index: usize, end: End) {
    if end != End::Unlisted {
        simulation.change_target(index, |record| record.state = TargetState::Draining);
    }
    match end {
        End::Planned => simulation.end_target(index),
        End::BeforeTarget => stop_before_target(simulation, index),
        End::Abrupt | End::Unlisted => {
            simulation.agents[index] = None;
            simulation.targets[index].is_running = false;
        }
    }
}

/// Tells an agent to stop while its target still runs. The target ends a moment later, which the
/// agent finds out if it hasn't exited by then.
fn stop_before_target(simulation: &mut Simulation, index: usize) {
    simulation.run_until(simulation.now_ms + DRAIN_NOTICE_MS);
    simulation.begin_stop(index);
    let target_ends_ms = simulation.now_ms + TARGET_END_DELAY_MS;
    while !simulation.advance_stop(index) {
        let next_ms = simulation.now_ms + STOP_CHECK_MS;
        simulation.run_until(next_ms);
        if simulation.now_ms >= target_ends_ms {
            simulation.targets[index].is_running = false;
            simulation.record_target_ended(index);
        }
    }
    simulation.agents[index] = None;
    simulation.run_until(simulation.now_ms.max(target_ends_ms));
    simulation.targets[index].is_running = false;
}

/// Returns the times that clients waited for the reset of their lost flow, in milliseconds.
fn waits_for_reset_ms(end: End) -> Vec<u64> {
    let mut simulation = fleet_after_power_loss();
    simulation.run_until(simulation.now_ms + 400);
    if end == End::Unlisted {
        (0..LEAVING_AGENTS).for_each(|index| simulation.unlist_target(index));
        simulation.run_until(simulation.now_ms + FORGOTTEN_AFTER_MS);
    }
    let from_ms = simulation.now_ms;
    for (position, index) in (0..LEAVING_AGENTS).enumerate() {
        let position = u64::try_from(position).expect("few agents");
        let leave_ms = from_ms + position * LEAVE_INTERVAL_MS;
        simulation.run_until(simulation.now_ms.max(leave_ms));
        leave(&mut simulation, index, end);
    }
    simulation.run_until(from_ms + 8_000);
    let waits = simulation
        .clients
        .iter()
        .map(|client| client.reset_after_ms);
    waits.map(|wait_ms| wait_ms.unwrap_or(u64::MAX)).collect()
}

fn longest_ms(waits_ms: &[u64]) -> u64 {
    waits_ms.iter().copied().max().unwrap_or(0)
}

/// Guards against searches that end only when no agent has left for seconds: an entry with 120
/// agents gets a report of each every 480 ms and takes 2 s to notice that one is gone. Clients
/// waited for their deadline although every process was running.
#[rstest]
#[case::planned(End::Planned)]
#[case::before_target(End::BeforeTarget)]
#[case::unlisted(End::Unlisted)]
fn lost_flows_are_reset_while_agents_leave_in_turn(#[case] end: End) {
    let waits_ms = waits_for_reset_ms(end);

    let longest_ms = longest_ms(&waits_ms);
    assert!(longest_ms <= 200, "{longest_ms} ms");
}

/// Shows that the check above notices agents that end without notice.
#[test]
fn agents_that_end_without_notice_delay_resets() {
    let waits_ms = waits_for_reset_ms(End::Abrupt);

    assert!(longest_ms(&waits_ms) > 200);
}
