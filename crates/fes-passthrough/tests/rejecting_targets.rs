//! Targets that return opening packets, as when a third of a service has crashed, behind many
//! entries of which each opens few flows.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::Hello;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::TargetMonitor;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::client::Client;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::simulation::Simulation;

const ENTRIES: usize = 40;
const TARGETS: usize = 30;
const REJECTING: usize = 10;
const CRASH_AT_MS: u64 = 1_000;
/// Latency goal of the simulated routes.
const GOAL_MS: u64 = 200;

/// Plays 200 flows a second, 5 at each entry, while a third of the targets rejects flows.
fn play() -> Simulation {
    let mut simulation = Simulation::new(ENTRIES, TARGETS, 2, 30, 4);
    simulation.run_until(CRASH_AT_MS);
    for index in 0..REJECTING {
        simulation.targets[index].rejects_flows = true;
    }
    for index in 0..800_u16 {
        let at_ms = CRASH_AT_MS + u64::from(index) * 5;
        simulation.add_client(
            Client::new(flow(2_000 + index, once_address()), 1, 0),
            at_ms,
        );
    }
    simulation.run_until(CRASH_AT_MS + 6_000);
    simulation
}

/// Guards against rejecting targets that draw nearly all openings because they are idle: each entry
/// avoided them only after it had tried them itself, and for less time than lies between two of its
/// openings. Clients were refused although two thirds of the targets were free.
#[test]
fn flows_are_placed_on_targets_that_accept_them() {
    let simulation = play();

    let answers = simulation.clients.iter().flat_map(|client| &client.answers);
    let in_goal = answers.filter(|a| a.answered_ms - a.sent_ms <= GOAL_MS);
    let in_goal = in_goal.count();
    let refused = simulation.count(Outcome::RefusedOverload);
    // The first openings find out that the targets reject, and one try a second that they still do.
    assert!(
        refused * 100 <= simulation.clients.len(),
        "{refused} refused"
    );
    assert!(
        in_goal * 100 >= simulation.clients.len() * 99,
        "{in_goal} in time"
    );
}

/// Returns whether the agent of a target reports to a new entry that the target is silent.
fn is_reported_silent(simulation: &mut Simulation, index: usize) -> bool {
    let hello = Message::Hello(Hello {
        incarnation: simulation.now_ms,
        report_period_ms: 100,
        target: None,
        warm_up: None,
    });
    let now = MonoTime::from_ms(simulation.now_ms);
    let mut out = Vec::new();
    let agent = simulation.agents[index].as_mut().expect("runs");
    agent.on_message(now, entry_vm(200), &hello, None, &mut out);
    let is_silent = |action: &AgentAction| matches!(action, AgentAction::Send { message: Message::Load(report), .. } if report.is_silent);
    out.iter().any(is_silent)
}

/// Plays single requests at 1.2 times what 6 targets with 2 slots can run for 0.5 s, and then at
/// 0.4 times for 3 s, while the targets return opening packets whenever all their slots are in use.
/// Returns the longest time for which a target with a free slot was reported as silent.
fn longest_silence_while_free_ms() -> u64 {
    let mut simulation = Simulation::new(4, 6, 2, 30, 1);
    for target in &mut simulation.targets {
        target.rejects_flows_when_busy = true;
    }
    for index in 0..720_u16 {
        let sent_ms = match u64::from(index) {
            at @ 0..240 => at * 25 / 12,
            at => 500 + (at - 240) * 25 / 4,
        };
        let client = Client::new(flow(2_000 + index, once_address()), 1, 0);
        simulation.add_client(client, CRASH_AT_MS + sent_ms);
    }
    let (mut silence_ms, mut longest_ms) = ([0; 6], 0);
    for at_ms in (CRASH_AT_MS..CRASH_AT_MS + 3_500).step_by(5) {
        simulation.run_until(at_ms);
        for (index, silence_ms) in silence_ms.iter_mut().enumerate() {
            let is_free = !simulation.targets[index].is_busy();
            let is_silent = is_free && is_reported_silent(&mut simulation, index);
            *silence_ms = if is_silent { *silence_ms + 5 } else { 0 };
            longest_ms = longest_ms.max(*silence_ms);
        }
    }
    longest_ms
}

/// Guards against targets that get no flows for a second whenever they were full for a moment.
#[test]
fn targets_that_were_full_are_not_silent_for_long() {
    let longest_ms = longest_silence_while_free_ms();

    assert!(longest_ms <= 100, "{longest_ms} ms");
}

/// Plays a target that returns all opening packets and gets one whenever it isn't silent. Returns the
/// times of the openings until 5 s.
fn openings(has_responses: bool) -> Vec<u64> {
    let mut monitor = TargetMonitor::default();
    let mut times_ms = Vec::new();
    for now_ms in (0..5_000).step_by(10) {
        let now = MonoTime::from_ms(now_ms);
        if has_responses {
            monitor.record_response();
        }
        if !monitor.is_silent(now) {
            times_ms.push(now_ms);
            monitor.record_opening(now);
            monitor.record_rejection(now);
        }
    }
    times_ms
}

/// Guards against targets that answer requests but are full, and are avoided for longer than they are
/// full, against retries that don't become rarer, and against early retries of crashed targets.
#[rstest]
#[case::full(true, &[0, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_280, 3_280, 4_280])]
#[case::crashed(false, &[0, 10, 1_010, 2_010, 3_010, 4_010])]
fn rejecting_targets_are_tried_again(#[case] has_responses: bool, #[case] expected_ms: &[u64]) {
    let times_ms = openings(has_responses);

    assert_eq!(times_ms, expected_ms);
}
