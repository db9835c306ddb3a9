//! Tests that the soak detects violations, and no others.

use std::net::SocketAddrV4;

use fes_passthrough::FlowKey;
use fes_soak::Record;
use rstest::rstest;
use tokio::time::Duration;
use tokio::time::Instant;

fn flow() -> FlowKey {
    let address = |text: &str| text.parse::<SocketAddrV4>().expect("address");
    FlowKey {
        client: address("127.0.0.1:1024"),
        destination: address("198.18.0.1:80"),
    }
}

/// Guards against a soak that doesn't detect a request that ran twice.
#[test]
fn request_that_runs_twice_is_a_violation() {
    let mut record = Record::default();

    record.record_non_repeatable_run(7);
    record.record_non_repeatable_run(8);
    let before = record.violations.len();
    record.record_non_repeatable_run(7);

    assert_eq!(before, 0);
    assert_eq!(record.violations.len(), 1);
}

/// Guards against a soak that doesn't detect the reset of an open flow.
#[test]
fn reset_of_an_open_flow_is_a_violation() {
    let mut record = Record::default();
    record.record_open(flow(), 2);

    record.record_reset(flow());

    assert_eq!(record.violations.len(), 1);
}

/// Guards against a soak that reports violations for flows whose target crashed, ended or couldn't
/// be heard.
#[rstest]
#[case::crashed(|record: &mut Record| record.record_crash(2))]
#[case::ended(|record: &mut Record| record.record_end(2))]
#[case::agent_disrupted(|record: &mut Record| record.record_target_disruption(2))]
#[case::isolated(|record: &mut Record| record.record_isolation())]
fn reset_of_a_flow_without_a_reachable_target_is_no_violation(#[case] disrupt: fn(&mut Record)) {
    let mut record = Record::default();
    record.record_open(flow(), 2);
    disrupt(&mut record);

    record.record_reset(flow());

    assert_eq!(record.resets, 1);
    assert_eq!(record.violations, Vec::<String>::new());
}

/// Guards against a soak that excuses resets of living targets' flows because of other faults.
#[rstest]
#[case::entries(|record: &mut Record| record.record_entry_disruption())]
#[case::another_target(|record: &mut Record| record.record_crash(1))]
fn reset_of_a_living_targets_flow_is_a_violation(#[case] disrupt: fn(&mut Record)) {
    let mut record = Record::default();
    record.record_open(flow(), 2);
    disrupt(&mut record);

    record.record_reset(flow());

    assert_eq!(record.violations.len(), 1);
}

/// Guards against a soak that takes a reset during the next flow of a port for one of the former
/// flow.
#[test]
fn reset_before_the_next_flow_of_a_port_is_open_is_no_violation() {
    let mut record = Record::default();
    record.record_opening(flow(), 7);
    record.record_open(flow(), 2);
    record.record_opening(flow(), 8);

    record.record_reset(flow());

    assert_eq!(record.violations, Vec::<String>::new());
    assert_eq!(record.reused_ports, 1);
}

/// Returns a record of a flow that is opened from a used port, 3 s after its route moved from
/// service `old` to `new`.
fn record_with_moved_route() -> Record {
    let mut record = Record::default();
    let now = Instant::now();
    for (service, age_ms) in [("old", 9_000), ("new", 3_000)] {
        let since = now - Duration::from_millis(age_ms);
        record
            .routes
            .record_route(since, flow().destination, service);
    }
    record.record_opening(flow(), 7);
    record.record_opening(flow(), 8);
    record
}

/// Guards against a soak that doesn't detect a new flow of a used port at a service that its route
/// has left, or that takes late copies of the former flow's opening packet for the new one's.
#[rstest]
#[case::former_service(8, "old", 1)]
#[case::service_in_force(8, "new", 0)]
#[case::late_copy(7, "old", 0)]
fn new_flow_of_a_used_port_must_reach_a_service_in_force(
    #[case] client_sequence: u32,
    #[case] service: &str,
    #[case] violations: usize,
) {
    let mut record = record_with_moved_route();

    record.record_accepted(flow(), client_sequence, 1, (2, service));

    assert_eq!(record.violations.len(), violations);
}

/// Guards against a soak that doesn't detect a request that waits until its deadline while its
/// target has a free slot, or that reports one whose target ended or was disrupted.
#[rstest]
#[case::idle_target(|_: &mut Record| {}, 1)]
#[case::delivered(|record: &mut Record| record.requests.record_delivery(5), 0)]
#[case::target_ended(|record: &mut Record| record.record_end(2), 0)]
#[case::agent_disrupted(|record: &mut Record| record.record_target_disruption(2), 0)]
#[case::entries_disrupted(|record: &mut Record| record.record_entry_disruption(), 0)]
fn request_that_waits_at_an_idle_target_is_a_violation(
    #[case] observe: fn(&mut Record),
    #[case] violations: usize,
) {
    let mut record = record_with_moved_route();
    record.record_accepted(flow(), 8, 1, (2, "new"));
    observe(&mut record);

    record.record_unanswered(Instant::now(), (flow(), 1), 5, 0);

    assert_eq!(record.violations.len(), violations);
}
