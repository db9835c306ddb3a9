//! Evacuation of one of three data centres under load, and with faults of entries, agents and the
//! platform.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Hello;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::ReturnReason;
use fes_passthrough::TargetHint;
use fes_passthrough::TargetState;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::client::Client;
use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::opening;
use support::fixtures::requirements;
use support::fixtures::stream_address;
use support::simulation::Simulation;

const TARGETS: usize = 9;
const START_MS: u64 = 500;
/// Time within which an evacuation must be in force, according to the platform's settings.
const BOUND_MS: u64 = 5_000;
const BOTH: &[usize] = &[0, 1];

/// Returns two entries in front of targets in the data centres a, b and c.
fn fleet() -> Simulation {
    let mut simulation = Simulation::new(2, TARGETS, 4, 20, 1);
    for index in 0..TARGETS {
        let data_centre = DataCentreName::from(["a", "b", "c"][index % 3]);
        simulation.change_target(index, |record| record.data_centre = data_centre);
    }
    simulation.run_until(START_MS);
    simulation
}

/// Adds one client with one request every 10 ms, with ports from `first_port`.
fn add_load(simulation: &mut Simulation, first_port: u16, (from_ms, until_ms): (u64, u64)) {
    for (port, at_ms) in (first_port..).zip((from_ms..until_ms).step_by(10)) {
        simulation.add_client(Client::new(flow(port, once_address()), 1, 0), at_ms);
    }
}

fn add_streams(simulation: &mut Simulation, requests: usize) {
    for index in 0..24 {
        let client = Client::new(flow(20_000 + index, stream_address()), requests, 300);
        simulation.add_client(client, START_MS + u64::from(index) * 7);
    }
}

/// Returns the number of opening packets that reached data centre b during a time.
fn openings_in_b(simulation: &Simulation, from_ms: u64, until_ms: u64) -> usize {
    let is_counted = |(target, _, at_ms): &&(usize, FlowKey, u64)| {
        target % 3 == 1 && (from_ms..until_ms).contains(at_ms)
    };
    simulation.openings.iter().filter(is_counted).count()
}

fn assert_unharmed(simulation: &Simulation) {
    let unfinished = simulation.clients.iter().filter(|c| !c.is_done()).count();
    assert_eq!(unfinished, 0, "unanswered clients");
    assert_eq!(simulation.resets_while_open(), 0, "resets of open flows");
    assert_eq!(simulation.broken_flows(), 0, "broken flows");
}

/// Guards against openings that reach an evacuated data centre, also from an entry that learns of
/// the evacuation only from its peer and with lost hints; against open flows that are cut; and
/// against a data centre that stays unused after its evacuation.
#[rstest]
fn an_evacuated_data_centre_gets_no_flows(#[values(0, 3)] loss_percent: u64) {
    let mut simulation = fleet();
    add_streams(&mut simulation, 30);
    add_load(&mut simulation, 1_000, (START_MS, 12_000));
    simulation.run_until(2_000);
    simulation.loss_percent = loss_percent;

    simulation.evacuate("b", true, &[0]);
    simulation.run_until(9_000);
    simulation.evacuate("b", false, &[0]);
    simulation.loss_percent = 0;
    simulation.run_until(20_000);

    assert!(openings_in_b(&simulation, START_MS, 2_000) > 0);
    assert_eq!(openings_in_b(&simulation, 2_000 + BOUND_MS, 9_000), 0);
    assert!(openings_in_b(&simulation, 10_000, 12_000) > 0);
    assert_eq!(simulation.count(Outcome::EvacuationStarted), 2);
    assert_eq!(simulation.count(Outcome::EvacuationEnded), 2);
    assert_unharmed(&simulation);
}

/// Guards against clients that wait for a service whose targets are all evacuated, whether the
/// entry knows it when they open the flow or learns it after the agent returned the packet.
#[test]
fn a_service_that_is_evacuated_as_a_whole_is_refused_at_once() {
    let mut simulation = fleet();
    for index in 0..TARGETS {
        simulation.change_target(index, |record| record.data_centre = "b".into());
    }
    simulation.run_until(1_010);
    simulation.evacuate("b", true, &[0]);
    for (port, at_ms) in (1_000..).zip(1_012..1_030) {
        simulation.add_client(Client::new(flow(port, once_address()), 1, 0), at_ms);
    }
    simulation.run_until(3_000);
    let refused_while_learning = simulation.clients.iter().filter(|c| c.is_refused).count();
    let late = simulation.add_client(Client::new(flow(7, once_address()), 1, 0), 3_000);
    simulation.run_until(3_010);
    let is_late_refused = simulation.clients[late].is_refused;

    simulation.evacuate("b", false, BOTH);
    simulation.run_until(3_100);
    let client = simulation.add_client(Client::new(flow(9, once_address()), 1, 0), 3_100);
    simulation.run_until(4_000);

    let answered = simulation.clients[..late].iter();
    let answered = answered.filter(|client| client.is_done()).count();
    assert_eq!(refused_while_learning + answered, late);
    assert!(is_late_refused);
    assert!(simulation.count(Outcome::HandedBack) > 0);
    assert!(simulation.count(Outcome::RefusedEvacuated) > 1);
    assert!(simulation.clients[client].is_done());
}

/// Guards against an entry that starts while the platform is down and uses an evacuated data
/// centre, and against an evacuation of an unknown data centre that has an effect.
#[rstest]
#[case::known("b", 0)]
#[case::unknown("x", 1)]
fn an_entry_that_starts_learns_evacuations_from_its_peer(
    #[case] data_centre: &str,
    #[case] min_openings: usize,
) {
    let mut simulation = fleet();
    simulation.evacuate(data_centre, true, BOTH);
    simulation.run_until(1_000);

    simulation.start_entry_without_list(1);
    add_load(&mut simulation, 1_000, (1_000, 3_000));
    simulation.run_until(5_000);

    let openings = openings_in_b(&simulation, 1_000, 5_000);
    assert!(openings >= min_openings);
    assert_eq!(openings == 0, min_openings == 0, "{openings} openings");
    assert_unharmed(&simulation);
}

/// Guards against an evacuation that never ends because its removal was in the lost history.
#[test]
fn a_listing_without_the_evacuation_ends_it() {
    let mut simulation = fleet();
    simulation.evacuate("b", true, BOTH);
    simulation.run_until(2_000);
    simulation.lose_evacuations();

    simulation.send_listing(0);
    simulation.run_until(3_000);
    add_load(&mut simulation, 1_000, (3_000, 4_000));
    simulation.run_until(6_000);

    assert_eq!(simulation.count(Outcome::EvacuationEnded), 2);
    assert!(openings_in_b(&simulation, 3_000, 4_000) > 0);
    assert_unharmed(&simulation);
}

/// Guards against searches that don't find flows at evacuated targets, as their agents report the
/// same as agents that are about to be restarted.
#[test]
fn flows_at_evacuated_targets_are_found_again() {
    let mut simulation = fleet();
    add_streams(&mut simulation, 20);
    simulation.run_until(2_000);
    simulation.evacuate("b", true, BOTH);
    simulation.run_until(2_500);

    for index in 0..TARGETS {
        simulation.start_agent(index, false);
    }
    BOTH.iter().for_each(|index| simulation.start_entry(*index));
    simulation.run_until(15_000);

    assert!(simulation.count(Outcome::SearchFound) > 0);
    assert_unharmed(&simulation);
}

/// Guards against an agent that accepts a flow from an entry with a stale view, or because of the
/// hint of an entry that doesn't know of the evacuation.
#[test]
fn the_agent_returns_openings_during_the_evacuation() {
    let mut agent = AgentCore::new(MonoTime::ZERO, 1, SERVICE, true);
    let mut reasons = Vec::new();
    let hints = [
        (TargetState::Ready, 5),
        (TargetState::Draining, 5),
        (TargetState::Ready, 5),
        (TargetState::Ready, 4),
        (TargetState::Ready, 6),
    ];

    for (state, revision) in hints {
        let hello = hello(state, revision);
        agent.on_message(MonoTime::ZERO, entry_vm(0), &hello, None, &mut Vec::new());
        reasons.push(reason_of_return(&mut agent));
    }

    let leaving = Some(ReturnReason::Leaving);
    assert_eq!(reasons, [None, leaving, leaving, leaving, None]);
}

fn hello(state: TargetState, revision: u64) -> Message {
    Message::Hello(Hello {
        incarnation: 1,
        report_period_ms: 100,
        target: Some(TargetHint {
            id: "t-0".into(),
            service: SERVICE,
            started_at_ms: 1_000,
            state,
            slots: 4,
            revision,
        }),
        warm_up: None,
    })
}

fn reason_of_return(agent: &mut AgentCore) -> Option<ReturnReason> {
    let forward = Message::Forward(Forward {
        mode: ForwardMode::Open,
        service: SERVICE,
        started_at_ms: 1_000,
        requirements: requirements(FlowUse::Repeatable, 200, 1_000),
    });
    let segment = opening(flow(1_000, once_address()));
    let mut out = Vec::new();
    let carried = Some((&segment, &[][..]));
    agent.on_message(MonoTime::ZERO, entry_vm(0), &forward, carried, &mut out);
    out.into_iter().find_map(|action| match action {
        AgentAction::Send {
            message: Message::Returned { reason, .. },
            ..
        } => Some(reason),
        _ => None,
    })
}
