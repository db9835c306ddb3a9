//! The preference order of targets for a flow, and the detection of silent targets.

mod support;

use std::collections::HashMap;

use fes_passthrough::TargetMonitor;
use fes_passthrough::TargetRecord;
use fes_passthrough::preferred_targets;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::flow;
use support::fixtures::stream_address;
use support::fixtures::target;

fn targets(count: usize) -> Vec<TargetRecord> {
    let record = |index| TargetRecord {
        data_centre: DataCentreName::from(["a", "b", "c"][index % 3]),
        ..target(index, 1)
    };
    (0..count).map(record).collect()
}

/// Guards against a search that follows another order than placement because a target was added or
/// removed in the meantime.
#[test]
fn the_order_of_two_targets_does_not_depend_on_others() {
    let all = targets(60);
    let flow = flow(1_000, stream_address());
    let before = preferred_targets(all.iter(), &flow, 0, 3);

    let fewer: Vec<TargetRecord> = all.iter().filter(|t| *t != before[0]).cloned().collect();
    let after = preferred_targets(fewer.iter(), &flow, 0, 3);

    assert!(before[1..].iter().all(|target| after.contains(target)));
}

/// Guards against an order that prefers some targets, so that others get too few flows.
#[test]
fn all_targets_come_first_for_a_fair_share_of_flows() {
    let all = targets(30);
    let mut counts: HashMap<&str, usize> = HashMap::new();

    for port in 0..3_000 {
        for target in preferred_targets(all.iter(), &flow(port, stream_address()), 0, 3) {
            *counts.entry(target.id.as_str()).or_default() += 1;
        }
    }

    // 3,000 flows prefer 9 of 30 targets each: 900 flows per target on average.
    assert!(
        counts.values().all(|count| (700..1_100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against rounds of a search that miss a target or ask one twice.
#[test]
fn rounds_cover_every_target_once() {
    let all = targets(60);
    let flow = flow(1_000, stream_address());

    let rounds = [(0, 3), (3, 6), (9, usize::MAX)];
    let asked = rounds
        .iter()
        .flat_map(|(skipped, count)| preferred_targets(all.iter(), &flow, *skipped, *count));

    let mut ids: Vec<&str> = asked.map(|target| target.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 60);
}

/// Guards against new flows at a target that no longer answers, and against a responsive target
/// that is avoided because of one lost packet.
#[rstest]
#[case(1, 150, false)]
#[case(2, 150, true)]
#[case(1, 450, true)]
#[case(2, 2_500, false)]
fn a_silent_target_is_avoided_until_it_is_retried(
    #[case] openings: u64,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let mut monitor = TargetMonitor::default();
    for index in 0..openings {
        monitor.record_opening(MonoTime::from_ms(1_000 + index));
    }

    assert_eq!(
        monitor.is_silent(MonoTime::from_ms(1_000 + after_ms)),
        expected
    );
}
