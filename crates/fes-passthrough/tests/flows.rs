//! Flows under faults, played on virtual time: what callers and targets see.

mod support;

use fes_passthrough::FlowKey;
use fes_passthrough::Outcome;
use fes_passthrough::TargetState;
use rstest::rstest;

use support::client::Client;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::stream_address;
use support::world::World;

const STREAMS: u16 = 40;

/// Streams that send a request every 300 ms, one after the other from the start.
fn world_with_streams(entries: usize, targets: usize, requests: usize, seed: u64) -> World {
    let mut world = World::new(entries, targets, 4, 20, seed);
    world.run_until(500);
    for port in 0..STREAMS {
        let client = Client::new(flow(1_000 + port, stream_address()), requests, 300);
        world.add_client(client, 500 + 7 * u64::from(port));
    }
    world
}

/// Guards against lost requests and uneven load without any fault.
#[test]
fn a_calm_day_is_served_whole_and_evenly() {
    let mut world = world_with_streams(3, 6, 10, 1);

    world.run_until(8_000);

    assert_eq!(world.answered(), usize::from(STREAMS) * 10);
    let runs: Vec<usize> = world.targets.iter().map(|target| target.runs).collect();
    let most = runs.iter().max().expect("targets");
    assert!(*most <= 100, "mean 66.7, runs by target: {runs:?}");
    assert_eq!(world.resets_while_open(), 0);
}

/// Guards against flows that break when another entry gets their packets.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn flows_survive_the_loss_of_an_entry(#[case] seed: u64) {
    let mut world = world_with_streams(3, 6, 10, seed);
    world.loss_percent = 1;
    world.run_until(1_500);

    world.entries[0] = None;
    world.run_until(15_000);

    assert_eq!(world.answered(), usize::from(STREAMS) * 10);
    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.broken_flows(), 0);
    assert!(world.count(Outcome::SearchFound) > 0);
}

/// Guards against flows that are forgotten with their agent, or reset while it is away.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn flows_survive_the_restart_of_an_agent(#[case] seed: u64) {
    let mut world = world_with_streams(3, 6, 10, seed);
    world.run_until(1_500);

    world.agents[2] = None;
    world.run_until(2_000);
    world.start_agent(2, false);
    world.run_until(15_000);

    assert_eq!(world.answered(), usize::from(STREAMS) * 10);
    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.broken_flows(), 0);
}

/// Guards against live flows that nobody finds again after all processes ended.
#[rstest]
#[case(1, 6)]
#[case(2, 6)]
#[case(3, 20)]
fn flows_survive_the_restart_of_all_processes(#[case] seed: u64, #[case] targets: usize) {
    let mut world = world_with_streams(3, targets, 10, seed);
    world.run_until(1_500);

    for index in 0..3 {
        world.entries[index] = None;
    }
    for index in 0..targets {
        world.agents[index] = None;
    }
    world.run_until(2_300);
    for index in 0..targets {
        world.start_agent(index, false);
    }
    for index in 0..3 {
        world.start_entry(index);
    }
    world.run_until(20_000);

    assert_eq!(world.answered(), usize::from(STREAMS) * 10);
    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.broken_flows(), 0);
}

/// Guards against packets that are handed to other targets while the agent that may hold their
/// flow can't be asked.
#[test]
fn no_target_is_probed_while_an_agent_may_come_back() {
    let mut world = world_with_streams(2, 6, 10, 5);
    world.run_until(1_500);

    for index in 0..6 {
        world.agents[index] = None;
    }
    world.entries[0] = None;
    for index in 1..6 {
        world.start_agent(index, false);
    }
    world.run_until(2_200);
    let is_held_by_first = |(flow, _): &&(FlowKey, u64)| world.targets[0].holds_open(flow);
    let astray_before = world.astray.iter().filter(is_held_by_first).count();
    world.start_agent(0, false);
    world.run_until(20_000);

    assert_eq!(astray_before, 0);
    assert_eq!(world.broken_flows(), 0);
    assert_eq!(world.answered(), usize::from(STREAMS) * 10);
}

/// Guards against callers that wait for the deadline on a flow whose target has ended.
#[test]
fn clients_of_a_crashed_target_are_told_at_once() {
    let mut world = world_with_streams(3, 3, 30, 4);
    world.run_until(1_500);

    world.crash_target(1);
    world.run_until(3_000);

    let ended = world.clients.iter().filter(|c| c.resets_while_open > 0);
    let told = ended.count();
    assert!(told >= 5, "{told} clients were told");
    assert!(world.count(Outcome::SearchLost) >= told);
}

/// Guards against a reset that clients ignore, because its sequence number is far from what they
/// acknowledged, after a crash that the platform's list doesn't show yet.
#[test]
fn clients_are_told_before_they_send_again() {
    let mut world = world_with_streams(3, 3, 30, 4);
    world.run_until(1_500);

    world.targets[1].crash_and_restart();
    world.run_until(3_000);

    let told: Vec<u64> = world
        .clients
        .iter()
        .filter_map(|c| c.told_after_ms)
        .collect();
    assert!(told.len() >= 5, "{} clients were told", told.len());
    assert!(told.iter().all(|after_ms| *after_ms < 100), "{told:?}");
}

/// Guards against resets of flows that a target accepted after its restart, but before the list
/// showed its new start time (mafraq-gauge, crashes-and-restarts, seed 548697723962).
#[test]
fn flows_opened_before_the_list_shows_a_restart_live_on() {
    let mut world = World::new(3, 3, 4, 20, 4);
    world.run_until(1_500);
    world.targets[1].crash_and_restart();
    for port in 0..30 {
        let client = Client::new(flow(3_000 + port, stream_address()), 10, 200);
        world.add_client(client, 1_600 + 5 * u64::from(port));
    }
    world.run_until(2_500);

    let started_at_ms = world.targets[1].started_at_ms;
    world.change_target(1, |record| record.started_at_ms = started_at_ms);
    world.run_until(10_000);

    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.answered(), 300);
}

/// Guards against new flows at a target that is about to leave, and against cut-off ones.
#[test]
fn a_draining_target_gets_no_new_flow_and_keeps_its_own() {
    let mut world = world_with_streams(2, 3, 10, 6);
    world.run_until(1_500);
    world.change_target(0, |record| record.state = TargetState::Draining);
    world.run_until(1_600);
    let runs_before = world.targets[0].runs;

    for port in 0..30 {
        let client = Client::new(flow(5_000 + port, once_address()), 1, 0);
        world.add_client(client, 1_600 + 10 * u64::from(port));
    }
    world.run_until(10_000);

    assert_eq!(world.answered(), usize::from(STREAMS) * 10 + 30);
    assert!(world.targets[0].runs > runs_before);
    let once_at_leaving =
        (0..30).filter(|port| world.targets[0].holds_open(&flow(5_000 + port, once_address())));
    assert_eq!(once_at_leaving.count(), 0);
}

/// Guards against 200 ms of waiting for the client's next copy while another target could answer.
#[test]
fn a_silent_target_costs_less_than_a_copy_of_the_opening() {
    let mut world = World::new(1, 3, 4, 20, 7);
    world.run_until(500);
    world.targets[0].is_alive = false;

    for port in 0..30 {
        let client = Client::new(flow(5_000 + port, once_address()), 1, 0);
        world.add_client(client, 500 + 20 * u64::from(port));
    }
    world.run_until(5_000);

    assert_eq!(world.answered(), 30);
    assert_eq!(world.count(Outcome::RefusedNoTarget), 0);
    assert!(
        world.count(Outcome::PlacedAgain) <= 10,
        "the target isn't passed over"
    );
}

/// Guards against an opening that is accepted twice and then carried to the wrong target.
#[test]
fn the_target_that_the_client_chose_gets_its_packets() {
    let mut world = World::new(1, 2, 4, 20, 8);
    world.loss_percent = 30;
    world.run_until(500);

    for port in 0..200 {
        let client = Client::new(flow(5_000 + port, stream_address()), 3, 50);
        world.add_client(client, 500 + 20 * u64::from(port));
    }
    world.run_until(60_000);

    let opened = world.clients.iter().filter(|client| client.is_open());
    let unfinished = opened.filter(|client| !client.is_done()).count();
    assert_eq!(unfinished, 0);
    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.broken_flows(), 0);
}

/// Guards against searches that fill the link of a small entry after the loss of all power, when
/// every flow is looked for everywhere (stave-market-grown, trouble-1).
#[rstest]
#[case(12)]
#[case(48)]
fn a_search_costs_an_entry_few_messages_however_many_agents_there_are(#[case] targets: usize) {
    let mut world = world_with_streams(1, targets, 10, 1);
    world.run_until(1_500);
    for index in 0..targets {
        world.crash_target(index);
        world.start_agent(index, false);
    }
    world.start_entry(0);
    world.run_until(1_700);
    let before = world.entry_messages;

    world.run_until(4_000);

    let searches = world.count(Outcome::SearchStarted);
    let lost = world.count(Outcome::SearchLost);
    assert!(
        lost >= usize::from(STREAMS),
        "{lost} of {searches} searches ended"
    );
    let messages = (world.entry_messages - before) / searches;
    assert!(messages <= 30, "{messages} messages a search");
}

/// Guards against searches that wait for a target's former run, which is still listed while its
/// present run drains (mafraq-gauge-grown, trouble-2: 2 s after a loss of all power).
#[test]
fn a_former_run_on_the_list_delays_no_search() {
    let mut world = world_with_streams(1, 6, 10, 3);
    world.run_until(1_500);
    for index in 0..6 {
        world.crash_target(index);
        world.start_agent(index, false);
    }
    world.change_target(0, |record| record.state = TargetState::Draining);
    world.start_entry(0);
    world.list_former_run(0);

    world.run_until(2_500);

    let lost = world.count(Outcome::SearchLost);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against callers that learn of a lost flow only when they send again, though the search
/// could have ended long before (mafraq-gauge-grown, trouble-2).
#[test]
fn a_search_ends_as_soon_as_the_last_agent_answers() {
    let mut world = world_with_streams(1, 6, 10, 3);
    world.run_until(1_500);
    for index in 0..6 {
        world.crash_target(index);
        world.start_agent(index, false);
    }
    world.agents[5] = None;
    world.start_entry(0);
    world.run_until(2_200);
    let before = world.count(Outcome::SearchLost);
    world.start_agent(5, false);

    world.run_until(2_650);

    let lost = world.count(Outcome::SearchLost);
    assert_eq!(before, 0);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against callers that wait for their next retransmission, up to 1.6 s, after all
/// processes ended while the platform was down (mafraq-gauge-grown, trouble-3).
#[test]
fn packets_that_came_before_the_routes_are_carried_once_these_are_known() {
    let mut world = world_with_streams(1, 6, 10, 3);
    world.run_until(1_500);
    for index in 0..6 {
        world.start_agent(index, false);
    }
    world.start_entry_without_list(0);
    world.run_until(2_300);
    let before = world.answered();
    world.list_to(0);

    world.run_until(2_600);

    let answered = world.answered() - before;
    assert!(
        answered >= usize::from(STREAMS),
        "{answered} requests answered"
    );
    assert_eq!(world.resets_while_open(), 0);
    assert_eq!(world.broken_flows(), 0);
}

/// Guards against searches that wait for an answer of an agent which has ended meanwhile, with its
/// target drained (mafraq-gauge-grown, trouble-2).
#[test]
fn a_search_goes_on_without_an_agent_that_ends_while_it_is_asked() {
    let mut world = world_with_streams(1, 6, 10, 3);
    world.run_until(1_500);
    for index in 0..6 {
        world.crash_target(index);
        world.start_agent(index, false);
    }
    world.change_target(5, |record| record.state = TargetState::Draining);
    world.start_entry(0);
    world.run_until(1_530);
    world.agents[5] = None;

    world.run_until(2_050);

    let lost = world.count(Outcome::SearchLost);
    assert!(lost >= usize::from(STREAMS), "{lost} searches ended");
}

/// Guards against callers that wait while agents which were all restarted are asked in vain, one
/// round after the other (mafraq-gauge-grown, trouble-1).
#[test]
fn callers_learn_of_a_lost_flow_within_a_few_trips_after_a_loss_of_power() {
    let mut world = world_with_streams(1, 48, 10, 3);
    world.run_until(1_500);
    for index in 0..48 {
        world.crash_target(index);
        world.start_agent(index, false);
    }
    world.start_entry(0);

    world.run_until(2_200);

    let told = world.clients.iter().filter_map(|c| c.told_after_ms);
    let mut told: Vec<u64> = told.collect();
    told.sort_unstable();
    assert!(
        told.len() >= usize::from(STREAMS),
        "{} were told",
        told.len()
    );
    let median_ms = told[told.len() / 2];
    assert!(median_ms <= 30, "{median_ms} ms");
}
