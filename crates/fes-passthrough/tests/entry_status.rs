//! What an entry tells operators.

mod support;

use fes_passthrough::TargetState;
use fes_protocol::MonoTime;

use support::fixtures::vm;
use support::world::World;

/// Guards against a status that hides a leaving target or an agent that fell silent.
#[test]
fn the_status_names_leaving_targets_and_old_reports() {
    let mut world = World::new(1, 4, 2, 20, 1);
    world.run_until(500);
    world.change_target(1, |record| record.state = TargetState::Draining);
    world.agents[2] = None;
    world.run_until(2_000);

    let entry = world.entries[0].as_ref().expect("the entry runs");
    let status = entry.status(MonoTime::from_ms(2_000));

    assert_eq!(status.leaving_targets, ["t-1".into()]);
    let heard: Vec<bool> = status.agents.iter().map(|agent| agent.is_heard).collect();
    assert_eq!(heard, [true, true, false, true]);
    assert_eq!(status.agents[2].vm, vm(2));
    assert!(status.agents[2].report_age_ms >= 1_400);
    assert!(status.agents[1].is_leaving);
    assert!(status.is_reader);
}
