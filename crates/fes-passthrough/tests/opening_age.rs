//! The age of opening packets: clients have waited since they sent the first one.

mod support;

use fes_passthrough::EntryAction;
use fes_passthrough::Segment;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::flow;
use support::fixtures::opening;
use support::fixtures::stream_address;
use support::simulation::Simulation;

/// Guards against a request that passes for a fresh one, and delays fresh ones, because the first
/// transmissions of its opening packet were lost.
#[rstest]
#[case(0, 200, 1_000)]
#[case(1, 0, 800)]
#[case(2, 0, 400)]
fn the_time_since_the_first_transmission_is_deducted(
    #[case] earlier_transmissions: u32,
    #[case] expected_goal_ms: u32,
    #[case] expected_timeout_ms: u32,
) {
    let mut simulation = Simulation::new(1, 1, 2, 20, 1);
    simulation.run_until(1_000);
    let segment = Segment {
        acknowledged: earlier_transmissions,
        ..opening(flow(1, stream_address()))
    };
    let entry = simulation.entries[0].as_mut().expect("started");
    let mut out = Vec::new();

    entry.on_client_packet(MonoTime::from_ms(1_000), &segment, &[0], &mut out);

    let requirements = out.iter().find_map(|action| match action {
        EntryAction::ForwardStored { forward, .. } => Some(forward.requirements),
        _ => None,
    });
    let requirements = requirements.expect("placed");
    assert_eq!(requirements.latency_goal_ms, expected_goal_ms);
    assert_eq!(requirements.timeout_ms, expected_timeout_ms);
}
