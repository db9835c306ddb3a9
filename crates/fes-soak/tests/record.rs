//! The checks of the soak find what they are meant to find.

use std::net::SocketAddrV4;

use fes_passthrough::FlowKey;
use fes_soak::Record;

fn flow() -> FlowKey {
    let address = |text: &str| text.parse::<SocketAddrV4>().expect("address");
    FlowKey {
        client: address("127.0.0.1:1024"),
        destination: address("198.18.0.1:80"),
    }
}

/// Guards against a soak that doesn't see a request that ran twice.
#[test]
fn a_request_that_runs_twice_is_a_violation() {
    let mut record = Record::default();

    record.record_non_repeatable_run(7);
    record.record_non_repeatable_run(8);
    let before = record.violations.len();
    record.record_non_repeatable_run(7);

    assert_eq!(before, 0);
    assert_eq!(record.violations.len(), 1);
}

/// Guards against a soak that doesn't see the reset of a live flow.
#[test]
fn a_reset_of_a_live_flow_is_a_violation() {
    let mut record = Record::default();
    record.record_open(flow(), 2);

    record.record_reset(flow());

    assert_eq!(record.violations.len(), 1);
}

/// Guards against a soak that blames the system for flows whose target ended or was disturbed.
#[test]
fn a_reset_after_the_target_ended_is_none() {
    let mut ended = Record::default();
    ended.record_open(flow(), 2);
    ended.record_crash(2);
    let mut disturbed = Record::default();
    disturbed.record_open(flow(), 2);
    disturbed.record_entry_disruption();

    ended.record_reset(flow());
    disturbed.record_reset(flow());

    assert_eq!((ended.resets, disturbed.resets), (1, 1));
    assert!(ended.violations.is_empty() && disturbed.violations.is_empty());
}
