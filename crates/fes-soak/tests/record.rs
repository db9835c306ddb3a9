//! Tests that the soak detects violations, and no others.

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

/// Guards against a soak that reports violations for flows whose target crashed or was disrupted.
#[test]
fn reset_after_a_crash_or_disruption_is_no_violation() {
    let mut crashed = Record::default();
    crashed.record_open(flow(), 2);
    crashed.record_crash(2);
    let mut disrupted = Record::default();
    disrupted.record_open(flow(), 2);
    disrupted.record_entry_disruption();

    crashed.record_reset(flow());
    disrupted.record_reset(flow());

    assert_eq!((crashed.resets, disrupted.resets), (1, 1));
    assert!(crashed.violations.is_empty() && disrupted.violations.is_empty());
}
