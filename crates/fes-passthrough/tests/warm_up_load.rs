//! Limit of new flows of targets that warm up, under load from several entries.

mod support;

use std::collections::HashSet;

use fes_passthrough::Outcome;
use fes_passthrough::ServiceWarmUp;
use fes_passthrough::WarmUpSettings;
use rstest::rstest;

use support::client::Client;
use support::fixtures::SERVICE;
use support::fixtures::flow;
use support::fixtures::once_address;
use support::simulation::Simulation;

const OPENINGS_PER_1000_S: u32 = 12_000;
/// 12 a second, multiplied by 1.5, and 5 in addition.
const LIMIT: usize = 23;
const START_MS: u64 = 1_000;
const END_MS: u64 = 5_000;
const FAULT_MS: u64 = 2_500;
/// Time within which an opening that no target accepts is refused, which is shorter than the time
/// after which an unanswered opening is tried elsewhere.
const REFUSAL_MS: u64 = 50;

/// Returns a fleet of which the targets from `cold_from` on warm up for `warm_up_ms`.
fn fleet(
    (entries, targets, cold_from): (usize, usize, usize),
    warm_up_ms: u32,
    openings_per_1000_s: u32,
) -> Simulation {
    let mut simulation = Simulation::new(entries, targets, 2, 8, 1);
    simulation.warm_up = WarmUpSettings {
        overage_per_mille: 1_500,
        slack_per_mille: 5_000,
    };
    let service = ServiceWarmUp {
        service: SERVICE,
        openings_per_1000_s,
    };
    simulation.routes.warm_ups.insert(SERVICE, service);
    for record in &mut simulation.records[cold_from..] {
        record.warm_up_ms = warm_up_ms;
    }
    for index in 0..entries {
        simulation.start_entry(index);
    }
    simulation
}

fn add_clients(simulation: &mut Simulation, per_s: u64) {
    let count = (END_MS - START_MS) * per_s / 1_000;
    for index in 0..count {
        let port = 2_000 + u16::try_from(index).expect("few clients");
        let client = Client::new(flow(port, once_address()), 1, 0);
        simulation.add_client(client, START_MS + index * 1_000 / per_s);
    }
}

/// Returns when a target got each flow's first opening packet in a time span.
fn openings(simulation: &Simulation, target: usize, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let mut flows = HashSet::new();
    let of_target = simulation
        .openings
        .iter()
        .filter(|(at, _, _)| *at == target);
    let first = of_target.filter(|(_, flow, _)| flows.insert(*flow));
    let times = first.map(|(_, _, at_ms)| *at_ms);
    times
        .filter(|at| (from_ms..until_ms).contains(at))
        .collect()
}

fn most_in_a_second(times: &[u64]) -> usize {
    let in_second = |from: u64| {
        let in_second = times.iter().filter(|at| (from..from + 1_000).contains(*at));
        in_second.count()
    };
    times.iter().map(|from| in_second(*from)).max().unwrap_or(0)
}

fn assert_used(simulation: &Simulation, target: usize) {
    let seconds = usize::try_from((END_MS - START_MS) / 1_000).expect("short");
    let count = openings(simulation, target, START_MS, END_MS).len();
    assert!(count * 100 >= LIMIT * seconds * 80, "{count} at {target}");
}

/// Guards against a limit that the sum of the entries exceeds, against a cold fleet that is refused
/// although it has budget, and against openings that time out instead of being refused.
#[rstest]
fn a_cold_fleet_gets_its_limit_and_no_more(
    #[values(1, 4, 20)] entries: usize,
    #[values(1, 2, 6)] targets: usize,
    #[values(50, 200)] per_s_and_target: u64,
) {
    let mut simulation = fleet((entries, targets, 0), 60_000, OPENINGS_PER_1000_S);
    add_clients(&mut simulation, per_s_and_target * targets as u64);

    simulation.run_until(END_MS + REFUSAL_MS);

    for target in 0..targets {
        assert!(most_in_a_second(&openings(&simulation, target, 0, END_MS)) <= LIMIT);
        assert_used(&simulation, target);
    }
    let refused = simulation.count(Outcome::RefusedOverload);
    assert_eq!(
        refused + simulation.openings.len(),
        simulation.clients.len()
    );
    assert!(simulation.count(Outcome::OverWarmUpLimit) >= refused);
}

/// Guards against refusals while a warm target could accept the flow. With a low limit, the shares
/// of many entries exceed it together, since each is at least 1.
#[rstest]
fn nothing_is_refused_beside_warm_targets(
    #[values(1, 4, 20)] entries: usize,
    #[values((OPENINGS_PER_1000_S, LIMIT), (10, 5))] (openings_per_1000_s, limit): (u32, usize),
) {
    let mut simulation = fleet((entries, 12, 2), 60_000, openings_per_1000_s);
    add_clients(&mut simulation, 400);

    simulation.run_until(END_MS + REFUSAL_MS);

    assert_eq!(simulation.count(Outcome::RefusedOverload), 0);
    assert_eq!(simulation.openings.len(), simulation.clients.len());
    for target in 2..12 {
        assert!(most_in_a_second(&openings(&simulation, target, 0, END_MS)) <= limit);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    AgentRestarts,
    EntryRestarts,
    AllEntriesRestart,
    OtherEntriesEnd,
    PacketsAreLost,
    TargetRestarts,
    /// Other entries send no hints, as processes of older versions.
    OthersAreOlder,
}

fn cause(simulation: &mut Simulation, fault: Fault) {
    let entries = simulation.entries.len();
    let others = simulation.entries[1..].iter_mut();
    match fault {
        Fault::AgentRestarts => simulation.start_agent(0, false),
        Fault::EntryRestarts => simulation.start_entry(0),
        Fault::AllEntriesRestart => (0..entries).for_each(|i| simulation.start_entry(i)),
        Fault::OtherEntriesEnd => others.for_each(|entry| *entry = None),
        Fault::PacketsAreLost => simulation.loss_percent = 20,
        Fault::TargetRestarts => simulation.crash_target(0),
        Fault::OthersAreOlder => others
            .flatten()
            .for_each(|entry| entry.set_warm_up_settings(WarmUpSettings::default())),
    }
}

/// Guards against a limit that a fault lifts, or that keeps a target idle after it. An agent that
/// is restarted doesn't know what was delivered before.
#[rstest]
fn the_limit_holds_despite_a_fault(
    #[values(
        Fault::AgentRestarts,
        Fault::EntryRestarts,
        Fault::AllEntriesRestart,
        Fault::OtherEntriesEnd,
        Fault::PacketsAreLost,
        Fault::TargetRestarts,
        Fault::OthersAreOlder
    )]
    fault: Fault,
) {
    let mut simulation = fleet((4, 3, 0), 60_000, OPENINGS_PER_1000_S);
    add_clients(&mut simulation, 600);
    simulation.run_until(FAULT_MS);
    cause(&mut simulation, fault);

    simulation.run_until(END_MS);

    for target in 0..3 {
        let before = openings(&simulation, target, 0, FAULT_MS);
        let after = openings(&simulation, target, FAULT_MS, END_MS);
        assert!(most_in_a_second(&before) <= LIMIT && most_in_a_second(&after) <= LIMIT);
        let all = openings(&simulation, target, 0, END_MS);
        assert!(fault == Fault::AgentRestarts || most_in_a_second(&all) <= LIMIT);
        assert_used(&simulation, target);
    }
}

/// Guards against a limit that outlasts the warm-up because a restarted entry repeats the hint with
/// the time that was left at first, and against a restarted target that counts as warm.
#[test]
fn the_limit_ends_with_the_warm_up_and_begins_with_the_next() {
    let mut simulation = fleet((4, 1, 0), 2_000, OPENINGS_PER_1000_S);
    add_clients(&mut simulation, 100);
    simulation.run_until(1_900);
    simulation.start_entry(0);
    simulation.run_until(3_200);
    simulation.crash_target(0);

    simulation.run_until(END_MS);

    assert!(most_in_a_second(&openings(&simulation, 0, 0, 2_000)) <= LIMIT);
    assert!(openings(&simulation, 0, 2_050, 3_050).len() >= 90);
    let cold_again = openings(&simulation, 0, 3_250, END_MS);
    assert!(most_in_a_second(&cold_again) <= LIMIT, "{cold_again:?}");
    let entry = simulation.entries[0].as_ref().expect("the entry runs");
    let status = entry.status(fes_protocol::MonoTime::from_ms(END_MS));
    assert_eq!(status.warming_up.len(), 1);
    assert_eq!(status.warming_up[0].max_openings_per_s, 23);
}

/// Guards against a hint that is sent only once. All messages about the restarted target are lost.
#[test]
fn a_lost_hint_is_repeated() {
    let mut simulation = fleet((2, 1, 0), 500, OPENINGS_PER_1000_S);
    add_clients(&mut simulation, 200);
    simulation.run_until(FAULT_MS);
    simulation.loss_percent = 100;
    simulation.records[0].warm_up_ms = 60_000;
    simulation.crash_target(0);
    simulation.run_until(FAULT_MS + 40);
    simulation.loss_percent = 0;

    simulation.run_until(END_MS);

    let warm = openings(&simulation, 0, START_MS, FAULT_MS);
    assert!(most_in_a_second(&warm) > LIMIT);
    // Hellos are sent five times a second.
    let limited = openings(&simulation, 0, FAULT_MS + 300, END_MS);
    assert!(!limited.is_empty());
    assert!(most_in_a_second(&limited) <= LIMIT, "{limited:?}");
}
