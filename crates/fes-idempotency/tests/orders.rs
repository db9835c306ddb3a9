//! Explores all orders in which the messages and faults of small cases can arrive. Guards against
//! violations in an order that the seeded histories don't reach.

mod support;

use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::TargetId;
use fes_testkit::at_most_once::ClientAttempt;
use fes_testkit::at_most_once::Fault;
use fes_testkit::at_most_once::FleetSimulation;
use fes_testkit::at_most_once::InjectedBug;
use fes_testkit::at_most_once::UpstreamMode;
use rstest::rstest;
use support::checks;

const OWNER: TargetId = TargetId(1);
const OTHER: TargetId = TargetId(2);

/// Limit of orders per case; a case with more orders is a mistake in the test.
const MAX_ORDERS: usize = 200_000;

/// Sends an attempt with the key `k`, which the first agent owns.
fn send(simulation: &mut FleetSimulation, agent: TargetId, body: &str) {
    let key = simulation.aliases.keys().next().cloned();
    let key = key.unwrap_or_else(|| simulation.issue_key(OWNER, "k"));
    simulation.send(ClientAttempt {
        name: format!("r{}", simulation.attempts.len()),
        key,
        body: body.into(),
        agent,
        entry: NodeId::Entry(EntryId(1)),
        deadline_ms: 1_000,
        sent_at: MonoTime::ZERO,
        loss_cause: None,
        outcomes: Vec::new(),
    });
}

fn two_attempts_and_a_restart(simulation: &mut FleetSimulation) {
    send(simulation, OWNER, "x");
    send(simulation, OTHER, "x");
    simulation.schedule_fault(1, Fault::Crash(OWNER));
    simulation.schedule_fault(1, Fault::Restart(OWNER));
}

fn two_bodies_and_a_cancel(simulation: &mut FleetSimulation) {
    send(simulation, OWNER, "x");
    send(simulation, OWNER, "y");
    send(simulation, OWNER, "x");
    simulation.schedule_fault(1, Fault::CancelAttempt(0));
}

fn a_refusal_and_a_retry(simulation: &mut FleetSimulation) {
    let agent = simulation.agents.get_mut(&OWNER).expect("agent exists");
    (agent.upstream, agent.retry_budget) = (UpstreamMode::RefusesOnce, 1);
    send(simulation, OWNER, "x");
    send(simulation, OTHER, "x");
    simulation.schedule_fault(1, Fault::CancelAttempt(0));
}

fn a_partition(simulation: &mut FleetSimulation) {
    let (a, b) = (NodeId::Agent(OWNER), NodeId::Agent(OTHER));
    send(simulation, OWNER, "x");
    send(simulation, OTHER, "x");
    simulation.schedule_fault(1, Fault::Partition(a, b));
}

fn a_lost_upstream_and_a_restart(simulation: &mut FleetSimulation) {
    simulation
        .agents
        .get_mut(&OWNER)
        .expect("agent exists")
        .upstream = UpstreamMode::LosesConnection;
    send(simulation, OWNER, "x");
    send(simulation, OWNER, "x");
    simulation.schedule_fault(1, Fault::Crash(OWNER));
    simulation.schedule_fault(1, Fault::Restart(OWNER));
}

fn a_drain_bound_and_a_retry(simulation: &mut FleetSimulation) {
    let agent = simulation.agents.get_mut(&OWNER).expect("agent exists");
    agent.set_drain_bound(3);
    agent.slots = 1;
    send(simulation, OWNER, "x");
    send(simulation, OTHER, "x");
    simulation.schedule_fault(1, Fault::Terminate(OWNER));
}

/// Runs a case in every order. Returns the number of orders, or the first violation.
fn explore(set_up: fn(&mut FleetSimulation), bug: InjectedBug) -> Result<usize, String> {
    let mut choices: Vec<(usize, usize)> = Vec::new();
    for order in 1..=MAX_ORDERS {
        let mut simulation = FleetSimulation::new(1, 2, bug);
        simulation.clear_pending_events();
        set_up(&mut simulation);
        let mut step = 0;
        while simulation.pending_event_count() > 0 {
            if step == choices.len() {
                choices.push((0, simulation.pending_event_count()));
            }
            simulation.deliver_event(choices[step].0);
            step += 1;
        }
        simulation.close_open_attempts();
        let violations = checks::violations(&simulation);
        if !violations.is_empty() {
            return Err(format!("{violations:?}\n{}", simulation.trace.join("\n")));
        }
        while choices
            .last()
            .is_some_and(|(chosen, count)| chosen + 1 == *count)
        {
            choices.pop();
        }
        match choices.last_mut() {
            Some((chosen, _)) => *chosen += 1,
            None => return Ok(order),
        }
    }
    Err(format!("more than {MAX_ORDERS} orders"))
}

#[rstest]
#[case(two_attempts_and_a_restart)]
#[case(two_bodies_and_a_cancel)]
#[case(a_refusal_and_a_retry)]
#[case(a_partition)]
#[case(a_lost_upstream_and_a_restart)]
#[case(a_drain_bound_and_a_retry)]
fn every_order_upholds_all_guarantees(#[case] set_up: fn(&mut FleetSimulation)) {
    let outcome = explore(set_up, InjectedBug::None);

    println!("{outcome:?} orders");
    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

#[rstest]
#[case(two_attempts_and_a_restart, InjectedBug::RestartAnswersNotRun)]
#[case(two_attempts_and_a_restart, InjectedBug::RunsForUnreachableOwner)]
#[case(two_bodies_and_a_cancel, InjectedBug::DropsWaiters)]
#[case(a_partition, InjectedBug::RunsForUnreachableOwner)]
#[case(a_lost_upstream_and_a_restart, InjectedBug::RetriesAfterUpstreamLoss)]
#[case(a_drain_bound_and_a_retry, InjectedBug::DrainBoundAnswersNotRun)]
fn some_order_exposes_a_faulty_agent(
    #[case] set_up: fn(&mut FleetSimulation),
    #[case] bug: InjectedBug,
) {
    let outcome = explore(set_up, bug);

    assert!(outcome.is_err());
}
