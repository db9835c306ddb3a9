//! Simulation of flows under faults, on virtual time, from the clients' and the targets' side.

mod support;

use fes_passthrough::FlowKey;
use fes_passthrough::Outcome;
use fes_passthrough::TargetState;
use rstest::rstest;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const STREAMS: u16 = 40;

/// Creates a simulation with streams that start one after the other. Each pauses 300 ms between two
/// requests.
fn simulation_with_streams(
    entries: usize,
    targets: usize,
    requests: usize,
    seed: u64,
) -> Simulation {
    let mut simulation = Simulation::new(entries, targets, 4, 20, seed);
    simulation.run_until(500);
    for port in 0..STREAMS {
        let client = Client::new(flow(1_000 + port, stream_address()), requests, 300);
        simulation.add_client(client, 500 + 7 * u64::from(port));
    }
    simulation
}

/// Guards against lost requests and unbalanced load in the absence of faults.
#[test]
fn requests_without_faults_are_answered_and_balanced() {
    let mut simulation = simulation_with_streams(3, 6, 10, 1);

    simulation.run_until(8_000);

    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10);
    let completed_requests: Vec<usize> = simulation
        .targets
        .iter()
        .map(|target| target.completed_requests)
        .collect();
    let most = completed_requests.iter().max().expect("targets");
    assert!(
        *most <= 100,
        "mean 66.7, completed requests by target: {completed_requests:?}"
    );
    assert_eq!(simulation.resets_while_open(), 0);
}

/// Guards against flows that break when another entry gets their packets.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn flows_survive_the_loss_of_an_entry(#[case] seed: u64) {
    let mut simulation = simulation_with_streams(3, 6, 10, seed);
    simulation.loss_percent = 1;
    simulation.run_until(1_500);

    simulation.entries[0] = None;
    simulation.run_until(15_000);

    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10);
    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.broken_flows(), 0);
    assert!(simulation.count(Outcome::SearchFound) > 0);
}

/// Guards against flows that are lost with the state of their agent, or reset while it restarts.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn flows_survive_the_restart_of_an_agent(#[case] seed: u64) {
    let mut simulation = simulation_with_streams(3, 6, 10, seed);
    simulation.run_until(1_500);

    simulation.agents[2] = None;
    simulation.run_until(2_000);
    simulation.start_agent(2, false);
    simulation.run_until(15_000);

    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10);
    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.broken_flows(), 0);
}

/// Guards against open flows that aren't found again after all processes were restarted.
#[rstest]
#[case(1, 6)]
#[case(2, 6)]
#[case(3, 20)]
fn flows_survive_the_restart_of_all_processes(#[case] seed: u64, #[case] targets: usize) {
    let mut simulation = simulation_with_streams(3, targets, 10, seed);
    simulation.run_until(1_500);

    for index in 0..3 {
        simulation.entries[index] = None;
    }
    for index in 0..targets {
        simulation.agents[index] = None;
    }
    simulation.run_until(2_300);
    for index in 0..targets {
        simulation.start_agent(index, false);
    }
    for index in 0..3 {
        simulation.start_entry(index);
    }
    simulation.run_until(20_000);

    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10);
    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.broken_flows(), 0);
}

/// Guards against probes of other targets while the agent of the flow's own target can't be asked.
#[test]
fn no_target_is_probed_while_an_agent_may_come_back() {
    let mut simulation = simulation_with_streams(2, 6, 10, 5);
    simulation.run_until(1_500);

    for index in 0..6 {
        simulation.agents[index] = None;
    }
    simulation.entries[0] = None;
    for index in 1..6 {
        simulation.start_agent(index, false);
    }
    simulation.run_until(2_200);
    let is_held_by_first = |(flow, _): &&(FlowKey, u64)| simulation.targets[0].has_open(flow);
    let misrouted_before = simulation.misrouted.iter().filter(is_held_by_first).count();
    simulation.start_agent(0, false);
    simulation.run_until(20_000);

    assert_eq!(misrouted_before, 0);
    assert_eq!(simulation.broken_flows(), 0);
    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10);
}

/// Guards against clients that wait until their timeout on a flow whose target has crashed.
#[test]
fn clients_of_a_crashed_target_are_reset_at_once() {
    let mut simulation = simulation_with_streams(3, 3, 30, 4);
    simulation.run_until(1_500);

    simulation.crash_target(1);
    simulation.run_until(3_000);

    let reset = simulation
        .clients
        .iter()
        .filter(|c| c.resets_while_open > 0);
    let reset_clients = reset.count();
    assert!(reset_clients >= 5, "{reset_clients} clients were reset");
    assert!(simulation.count(Outcome::SearchLost) >= reset_clients);
}

/// Guards against a reset that clients ignore because its sequence number is far from their
/// acknowledgement number, after a crash that the platform's list doesn't show yet.
#[test]
fn clients_are_reset_before_they_retransmit() {
    let mut simulation = simulation_with_streams(3, 3, 30, 4);
    simulation.run_until(1_500);

    simulation.targets[1].crash_and_restart();
    simulation.run_until(3_000);

    let reset_times_ms: Vec<u64> = simulation
        .clients
        .iter()
        .filter_map(|c| c.reset_after_ms)
        .collect();
    assert!(
        reset_times_ms.len() >= 5,
        "{} clients were reset",
        reset_times_ms.len()
    );
    assert!(
        reset_times_ms.iter().all(|after_ms| *after_ms < 100),
        "{reset_times_ms:?}"
    );
}

/// Guards against resets of flows that a target accepted after its restart but before the list
/// showed its new start time. Seen in mafraq-gauge, crashes-and-restarts, seed 548697723962.
#[test]
fn flows_accepted_before_the_list_shows_a_restart_survive() {
    let mut simulation = Simulation::new(3, 3, 4, 20, 4);
    simulation.run_until(1_500);
    simulation.targets[1].crash_and_restart();
    for port in 0..30 {
        let client = Client::new(flow(3_000 + port, stream_address()), 10, 200);
        simulation.add_client(client, 1_600 + 5 * u64::from(port));
    }
    simulation.run_until(2_500);

    let started_at_ms = simulation.targets[1].started_at_ms;
    simulation.change_target(1, |record| record.started_at_ms = started_at_ms);
    simulation.run_until(10_000);

    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.answered(), 300);
}

/// Guards against new flows at a draining target, and against losing its open flows.
#[test]
fn a_draining_target_gets_no_new_flow_and_keeps_its_own() {
    let mut simulation = simulation_with_streams(2, 3, 10, 6);
    simulation.run_until(1_500);
    simulation.change_target(0, |record| record.state = TargetState::Draining);
    simulation.run_until(1_600);
    let completed_before = simulation.targets[0].completed_requests;

    for port in 0..30 {
        let client = Client::new(flow(5_000 + port, once_address()), 1, 0);
        simulation.add_client(client, 1_600 + 10 * u64::from(port));
    }
    simulation.run_until(10_000);

    assert_eq!(simulation.answered(), usize::from(STREAMS) * 10 + 30);
    assert!(simulation.targets[0].completed_requests > completed_before);
    let at_draining =
        (0..30).filter(|port| simulation.targets[0].has_open(&flow(5_000 + port, once_address())));
    assert_eq!(at_draining.count(), 0);
}

/// Guards against waiting 200 ms for the client's retransmission while another target could answer.
#[test]
fn a_silent_target_delays_an_opening_less_than_a_retransmission() {
    let mut simulation = Simulation::new(1, 3, 4, 20, 7);
    simulation.run_until(500);
    simulation.targets[0].is_running = false;

    for port in 0..30 {
        let client = Client::new(flow(5_000 + port, once_address()), 1, 0);
        simulation.add_client(client, 500 + 20 * u64::from(port));
    }
    simulation.run_until(5_000);

    assert_eq!(simulation.answered(), 30);
    assert_eq!(simulation.count(Outcome::RefusedNoTarget), 0);
    assert!(
        simulation.count(Outcome::PlacedAgain) <= 10,
        "the silent target isn't avoided"
    );
}

/// Guards against a flow that two targets accept and whose packets then go to the wrong one.
#[test]
fn packets_go_to_the_target_with_the_completed_handshake() {
    let mut simulation = Simulation::new(1, 2, 4, 20, 8);
    simulation.loss_percent = 30;
    simulation.run_until(500);

    for port in 0..200 {
        let client = Client::new(flow(5_000 + port, stream_address()), 3, 50);
        simulation.add_client(client, 500 + 20 * u64::from(port));
    }
    simulation.run_until(60_000);

    let opened = simulation.clients.iter().filter(|client| client.is_open());
    let unfinished = opened.filter(|client| !client.is_done()).count();
    assert_eq!(unfinished, 0);
    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.broken_flows(), 0);
}

/// Guards against searches that saturate the link of a small entry after a power loss of all VMs,
/// when every flow is searched for at every agent. Incident: stave-market-grown, trouble-1.
#[rstest]
#[case(12)]
#[case(48)]
fn a_search_costs_an_entry_few_messages_however_many_agents_there_are(#[case] targets: usize) {
    let mut simulation = simulation_with_streams(1, targets, 10, 1);
    simulation.run_until(1_500);
    for index in 0..targets {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.start_entry(0);
    simulation.run_until(1_700);
    let before = simulation.entry_messages;

    simulation.run_until(4_000);

    let searches = simulation.count(Outcome::SearchStarted);
    let lost = simulation.count(Outcome::SearchLost);
    assert!(
        lost >= usize::from(STREAMS),
        "{lost} of {searches} searches finished"
    );
    let messages = (simulation.entry_messages - before) / searches;
    assert!(messages <= 30, "{messages} messages per search");
}

/// Guards against searches that wait for the previous instance of a target, which is still listed
/// while the current one is draining. Incident: mafraq-gauge-grown, trouble-2, where it took 2 s
/// after a power loss of all VMs.
#[test]
fn a_previous_instance_on_the_list_delays_no_search() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.change_target(0, |record| record.state = TargetState::Draining);
    simulation.start_entry(0);
    simulation.list_previous_instance(0);

    simulation.run_until(2_500);

    let lost = simulation.count(Outcome::SearchLost);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against a search that finishes only when the client retransmits, although the last agent
/// answered long before. Incident: mafraq-gauge-grown, trouble-2.
#[test]
fn a_search_ends_as_soon_as_the_last_agent_answers() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.agents[5] = None;
    simulation.start_entry(0);
    simulation.run_until(2_200);
    let before = simulation.count(Outcome::SearchLost);
    simulation.start_agent(5, false);

    simulation.run_until(2_650);

    let lost = simulation.count(Outcome::SearchLost);
    assert_eq!(before, 0);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against clients that wait for their next retransmission, up to 1.6 s, after all processes
/// were restarted while the platform was down. Incident: mafraq-gauge-grown, trouble-3.
#[test]
fn packets_received_before_the_routes_are_forwarded_once_they_are_known() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.start_agent(index, false);
    }
    simulation.start_entry_without_list(0);
    simulation.run_until(2_300);
    let before = simulation.answered();
    simulation.send_listing(0);

    simulation.run_until(2_600);

    let answered = simulation.answered() - before;
    assert!(
        answered >= usize::from(STREAMS),
        "{answered} requests answered"
    );
    assert_eq!(simulation.resets_while_open(), 0);
    assert_eq!(simulation.broken_flows(), 0);
}

/// Guards against searches that wait for the answer of an agent that has ended in the meantime,
/// with its target, which was drained. Incident: mafraq-gauge-grown, trouble-2.
#[test]
fn a_search_goes_on_without_an_agent_that_ends_while_it_is_asked() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.change_target(5, |record| record.state = TargetState::Draining);
    simulation.start_entry(0);
    simulation.run_until(1_530);
    simulation.end_target(5);

    simulation.run_until(2_050);

    let lost = simulation.count(Outcome::SearchLost);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against searches that wait for an agent that ended with its drained target and whose last
/// message was lost. They end once the target is unlisted, without the grace for expired records.
#[test]
fn a_search_ends_once_a_drained_target_is_unlisted() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.change_target(5, |record| record.state = TargetState::Draining);
    simulation.start_entry(0);
    simulation.run_until(1_530);
    simulation.targets[5].is_running = false;
    simulation.agents[5] = None;
    simulation.run_until(1_900);
    simulation.unlist_target(5);

    simulation.run_until(2_050);

    let lost = simulation.count(Outcome::SearchLost);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against flows that go on waiting, after a loss of all processes, for the agent of a target
/// that drained and ended meanwhile, once the platform has unlisted it. No process has heard the agent.
#[test]
fn searches_after_a_loss_of_all_processes_wait_for_no_unlisted_target() {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.change_target(5, |record| record.state = TargetState::Draining);
    simulation.targets[5].is_running = false;
    simulation.agents[5] = None;
    simulation.start_entry(0);
    simulation.run_until(1_900);
    let before = simulation.count(Outcome::SearchLost);
    simulation.unlist_target(5);

    simulation.run_until(2_050);

    let lost = simulation.count(Outcome::SearchLost);
    assert_eq!(before, 0, "the listed target may still hold the flows");
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against searches that wait without a bound for an agent that stopped, or was never heard,
/// and doesn't return although its target stays listed.
#[rstest]
#[case::stopped(true)]
#[case::never_heard(false)]
fn a_search_waits_for_an_absent_agent_no_longer_than_for_a_restart(#[case] is_heard: bool) {
    let mut simulation = simulation_with_streams(1, 6, 10, 3);
    simulation.run_until(1_500);
    for index in 0..6 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    if !is_heard {
        simulation.targets[5].is_running = false;
        simulation.agents[5] = None;
    }
    simulation.start_entry(0);
    simulation.run_until(1_530);
    simulation.stop_agent_for_good(5);
    simulation.run_until(11_400);
    let before = simulation.count(Outcome::SearchLost);

    // A search that has taken 2 s goes on with the client's next retransmission, after 1.6 s at most.
    simulation.run_until(11_600 + 1_600);

    let lost = simulation.count(Outcome::SearchLost);
    assert_eq!(before, 0);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against packets that are held for an agent although its target has ended with it: the
/// client must open a new flow, which it does once it gets a reset.
#[test]
fn flows_of_a_target_that_ended_are_reset() {
    let mut simulation = simulation_with_streams(1, 2, 10, 3);
    simulation.run_until(1_500);
    let flows = (0..STREAMS).map(|port| flow(1_000 + port, stream_address()));
    let lost = flows
        .filter(|flow| simulation.targets[1].has_open(flow))
        .count();
    simulation.change_target(1, |record| record.state = TargetState::Draining);
    simulation.end_target(1);

    simulation.run_until(2_000);

    assert!(lost > 0);
    assert_eq!(simulation.resets_while_open(), lost);
    assert_eq!(simulation.count(Outcome::HeldForAgent), 0);
}

/// Guards against clients that wait while a search asks several rounds of agents that were all
/// restarted and can't answer. Incident: mafraq-gauge-grown, trouble-1.
#[test]
fn clients_are_reset_within_a_few_round_trips_after_a_power_loss() {
    let mut simulation = simulation_with_streams(1, 48, 10, 3);
    simulation.run_until(1_500);
    for index in 0..48 {
        simulation.crash_target(index);
        simulation.start_agent(index, false);
    }
    simulation.start_entry(0);

    simulation.run_until(2_200);

    let reset_times_ms = simulation.clients.iter().filter_map(|c| c.reset_after_ms);
    let mut reset_times_ms: Vec<u64> = reset_times_ms.collect();
    reset_times_ms.sort_unstable();
    assert!(
        reset_times_ms.len() >= usize::from(STREAMS),
        "{} clients were reset",
        reset_times_ms.len()
    );
    let median_ms = reset_times_ms[reset_times_ms.len() / 2];
    assert!(median_ms <= 30, "{median_ms} ms");
}
