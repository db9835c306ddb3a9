//! Tests which unanswered requests count as having waited although their target had a free slot.

use fes_soak::DaemonId;
use fes_soak::RequestRecord;
use fes_soak::UnansweredRequest;
use rstest::rstest;
use tokio::time::Duration;
use tokio::time::Instant;

const UNANSWERED: UnansweredRequest = UnansweredRequest {
    request: 5,
    target: 2,
    opening_ms: 0,
};

/// Guards against a soak that doesn't detect a request that waits despite a free slot, or that reports one that
/// something else kept from running. Each case is an observation this long before the deadline.
#[rstest]
#[case::nothing(|_: &mut RequestRecord, _| {}, 500, true)]
#[case::delivered(|record: &mut RequestRecord, _| record.record_delivery(5), 500, false)]
#[case::another_was_delivered(|record: &mut RequestRecord, _| record.record_delivery(6), 500, true)]
#[case::full(|record: &mut RequestRecord, at| record.record_full(at, 2), 900, false)]
#[case::full_long_ago(|record: &mut RequestRecord, at| record.record_full(at, 2), 1_100, true)]
#[case::another_was_full(|record: &mut RequestRecord, at| record.record_full(at, 3), 900, true)]
#[case::stalled(|record: &mut RequestRecord, at| record.record_stall(at), 900, false)]
#[case::agent_absent(
    |record: &mut RequestRecord, at| record.record_absence(at, DaemonId::Agent(2)), 900, false
)]
#[case::another_agent_absent(
    |record: &mut RequestRecord, at| record.record_absence(at, DaemonId::Agent(1)), 900, true
)]
#[case::entry_absent(
    |record: &mut RequestRecord, at| record.record_absence(at, DaemonId::Entry(1)), 900, false
)]
#[case::entry_absent_long_ago(
    |record: &mut RequestRecord, at| record.record_absence(at, DaemonId::Entry(1)), 2_600, true
)]
fn a_request_waits_in_vain_if_nothing_keeps_it_from_a_free_slot(
    #[case] observe: fn(&mut RequestRecord, Instant),
    #[case] before_ms: u64,
    #[case] is_expected: bool,
) {
    let start = Instant::now();
    let deadline = start + Duration::from_millis(before_ms);
    let mut record = RequestRecord::default();
    observe(&mut record, start);

    let has_waited = record.has_waited_despite_free_slot(deadline, UNANSWERED);

    assert_eq!(has_waited, is_expected);
}

/// Guards against reports of requests whose deadline at the agent, which counts from the opening
/// packet, was much earlier than at the client.
#[rstest]
#[case::short(200, true)]
#[case::long(400, false)]
fn a_first_request_counts_if_its_flow_was_opened_soon(
    #[case] opening_ms: u64,
    #[case] is_expected: bool,
) {
    let record = RequestRecord::default();
    let unanswered = UnansweredRequest {
        opening_ms,
        ..UNANSWERED
    };

    let has_waited = record.has_waited_despite_free_slot(Instant::now(), unanswered);

    assert_eq!(has_waited, is_expected);
}
