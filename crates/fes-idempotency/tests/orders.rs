//! Explores all orders in which the messages and faults of small cases can arrive. Guards against
//! violations in an order that the seeded histories don't reach.

mod support;

use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::TargetId;
use fes_testkit::at_most_once::Broken;
use fes_testkit::at_most_once::Fault;
use fes_testkit::at_most_once::Try;
use fes_testkit::at_most_once::UpstreamMode;
use fes_testkit::at_most_once::World;
use rstest::rstest;
use support::checks;

const OWNER: TargetId = TargetId(1);
const OTHER: TargetId = TargetId(2);

/// Limit of orders per case; a case with more orders is a mistake in the test.
const MAX_ORDERS: usize = 200_000;

/// Sends an attempt with the key `k`, which the first agent owns.
fn send(world: &mut World, agent: TargetId, body: &str) {
    let key = world.aliases.keys().next().cloned();
    let key = key.unwrap_or_else(|| world.issue_key(OWNER, "k"));
    world.send(Try {
        name: format!("r{}", world.tries.len()),
        key,
        body: body.into(),
        agent,
        entry: NodeId::Entry(EntryId(1)),
        deadline_ms: 1_000,
        sent_at: MonoTime::ZERO,
        excuse: None,
        ends: Vec::new(),
    });
}

fn two_tries_and_a_restart(world: &mut World) {
    send(world, OWNER, "x");
    send(world, OTHER, "x");
    world.fault_after_ms(1, Fault::Crash(OWNER));
    world.fault_after_ms(1, Fault::Restart(OWNER));
}

fn two_bodies_and_a_cancel(world: &mut World) {
    send(world, OWNER, "x");
    send(world, OWNER, "y");
    send(world, OWNER, "x");
    world.fault_after_ms(1, Fault::GiveUp(0));
}

fn a_refusal_and_a_retry(world: &mut World) {
    let agent = world.agents.get_mut(&OWNER).expect("agent exists");
    (agent.upstream, agent.retries) = (UpstreamMode::RefusesOnce, 1);
    send(world, OWNER, "x");
    send(world, OTHER, "x");
    world.fault_after_ms(1, Fault::GiveUp(0));
}

fn a_partition(world: &mut World) {
    let (a, b) = (NodeId::Agent(OWNER), NodeId::Agent(OTHER));
    send(world, OWNER, "x");
    send(world, OTHER, "x");
    world.fault_after_ms(1, Fault::Cut(a, b));
}

fn a_lost_upstream_and_a_restart(world: &mut World) {
    world.agents.get_mut(&OWNER).expect("agent exists").upstream = UpstreamMode::LosesConnection;
    send(world, OWNER, "x");
    send(world, OWNER, "x");
    world.fault_after_ms(1, Fault::Crash(OWNER));
    world.fault_after_ms(1, Fault::Restart(OWNER));
}

fn a_drain_bound_and_a_retry(world: &mut World) {
    let agent = world.agents.get_mut(&OWNER).expect("agent exists");
    agent.set_drain_bound(3);
    agent.slots = 1;
    send(world, OWNER, "x");
    send(world, OTHER, "x");
    world.fault_after_ms(1, Fault::Terminate(OWNER));
}

/// Runs a case in every order. Returns the number of orders, or the first violation.
fn explore(set_up: fn(&mut World), broken: Broken) -> Result<usize, String> {
    let mut choices: Vec<(usize, usize)> = Vec::new();
    for order in 1..=MAX_ORDERS {
        let mut world = World::new(1, 2, broken);
        world.clear_pending();
        set_up(&mut world);
        let mut step = 0;
        while world.pending_count() > 0 {
            if step == choices.len() {
                choices.push((0, world.pending_count()));
            }
            world.deliver(choices[step].0);
            step += 1;
        }
        world.close_open_tries();
        let violations = checks::violations(&world);
        if !violations.is_empty() {
            return Err(format!("{violations:?}\n{}", world.trace.join("\n")));
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
#[case(two_tries_and_a_restart)]
#[case(two_bodies_and_a_cancel)]
#[case(a_refusal_and_a_retry)]
#[case(a_partition)]
#[case(a_lost_upstream_and_a_restart)]
#[case(a_drain_bound_and_a_retry)]
fn every_order_upholds_all_guarantees(#[case] set_up: fn(&mut World)) {
    let outcome = explore(set_up, Broken::Nothing);

    println!("{outcome:?} orders");
    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

#[rstest]
#[case(two_tries_and_a_restart, Broken::RestartAnswersNotRun)]
#[case(two_tries_and_a_restart, Broken::RunsForLostOwner)]
#[case(two_bodies_and_a_cancel, Broken::SwallowsWaiters)]
#[case(a_partition, Broken::RunsForLostOwner)]
#[case(a_lost_upstream_and_a_restart, Broken::RetriesLostUpstream)]
#[case(a_drain_bound_and_a_retry, Broken::DrainBoundAnswersNotRun)]
fn some_order_exposes_a_faulty_agent(#[case] set_up: fn(&mut World), #[case] broken: Broken) {
    let outcome = explore(set_up, broken);

    assert!(outcome.is_err());
}
