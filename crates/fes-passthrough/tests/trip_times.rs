//! Round trips to the agents of data centres, and the cost of targets there.

mod support;

use fes_passthrough::EntryCore;
use fes_passthrough::FlowUse;
use fes_passthrough::Message;
use fes_passthrough::ReturnReason;
use fes_passthrough::Segment;
use fes_passthrough::TripTimes;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::flow;
use support::fixtures::once_address;
use support::fixtures::opening;
use support::fixtures::vm;
use support::simulation::Simulation;

const CONSTANT_PER_MILLE: u64 = 120;
const TYPICAL_US: u64 = 40_000;
const OWN_TRIP_US: u64 = 500;

fn own() -> DataCentreName {
    DataCentreName::from("a")
}

fn other() -> DataCentreName {
    DataCentreName::from("b")
}

/// Returns round trips with one opening in every 200 ms, of which the last is at `trips_us.len()`
/// times 200 ms.
fn measured(trips_us: &[u64]) -> TripTimes {
    let mut trips = TripTimes::default();
    let mut now = MonoTime::ZERO;
    for trip_us in trips_us {
        now = now.plus_ms(200);
        trips.record(now, &own(), OWN_TRIP_US);
        trips.record(now, &other(), *trip_us);
    }
    trips
}

fn stream_cost(trips: &TripTimes, now_ms: u64) -> u64 {
    let (now, typical_us) = (MonoTime::from_ms(now_ms), Some(TYPICAL_US));
    trips.cost_per_mille(now, &own(), &other(), FlowUse::Stream, typical_us)
}

/// Guards against a cost that follows single openings, which a stalled agent or a target that
/// accepts late delays, and against one that ignores a link that has become slow.
#[rstest]
#[case::steady(&[8_500; 4], 200)]
#[case::one_late(&[8_500, 8_500, 8_500, 90_000], 200)]
#[case::most_late(&[90_000, 90_000, 8_500, 90_000], 200)]
#[case::slow_link(&[8_500, 8_500, 8_500, 10_500, 10_500, 10_500, 10_500, 10_500, 10_500, 10_500, 10_500], 250)]
#[case::faster_link(&[10_500, 10_500, 10_500, 8_500], 200)]
#[case::too_few(&[8_500, 8_500], CONSTANT_PER_MILLE)]
#[case::short(&[600; 4], CONSTANT_PER_MILLE)]
#[case::shorter_than_own(&[100; 4], CONSTANT_PER_MILLE)]
#[case::very_long(&[900_000; 4], 300)]
fn the_cost_follows_the_lowest_recent_trip(#[case] trips_us: &[u64], #[case] expected: u64) {
    let trips = measured(trips_us);

    assert_eq!(stream_cost(&trips, 3_000), expected);
}

/// Guards against a stall of the entry that delays many openings at the same time and moves the
/// cost.
#[test]
fn openings_at_the_same_time_count_as_one() {
    let mut trips = measured(&[8_500; 4]);

    for _ in 0..100 {
        trips.record(MonoTime::from_ms(1_000), &other(), 90_000);
    }

    assert_eq!(stream_cost(&trips, 1_000), 200);
}

/// Guards against a measurement that lasts for ever, and against memory for data centres that no
/// longer exist.
#[test]
fn measurements_expire() {
    let mut trips = measured(&[8_500; 4]);
    let latest_ms = 800;
    assert_eq!(stream_cost(&trips, latest_ms + 29_000), 200);

    assert_eq!(stream_cost(&trips, latest_ms + 30_000), CONSTANT_PER_MILLE);
    trips.expire(MonoTime::from_ms(latest_ms + 30_000));

    assert_eq!(trips.measured(MonoTime::from_ms(latest_ms)).count(), 0);
}

/// Guards against a cost in the own data centre, against a single request whose handshake isn't
/// counted, and against a cost without the inputs that it follows from.
#[test]
fn the_cost_depends_on_the_flow_and_the_run_time() {
    let trips = measured(&[8_500; 4]);
    let now = MonoTime::from_ms(1_000);
    let cost = |own: &DataCentreName, other: &DataCentreName, flow_use, typical_us| {
        trips.cost_per_mille(now, own, other, flow_use, typical_us)
    };
    let (a, b, unknown) = (own(), other(), DataCentreName::from("c"));
    let once = FlowUse::NonRepeatable;

    assert_eq!(cost(&a, &b, once, Some(TYPICAL_US)), 400);
    assert_eq!(cost(&a, &b, once, Some(TYPICAL_US * 2)), 200);
    assert_eq!(cost(&a, &b, once, Some(1)), 1_000);
    assert_eq!(cost(&a, &b, once, None), CONSTANT_PER_MILLE);
    assert_eq!(cost(&unknown, &b, once, Some(1)), CONSTANT_PER_MILLE);
    assert_eq!(cost(&a, &unknown, once, Some(1)), CONSTANT_PER_MILLE);
    assert_eq!(cost(&a, &a, once, Some(TYPICAL_US)), 0);
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answers {
    Once,
    Twice,
    AfterReturn,
    AfterRetransmission,
    ToEarlierFlow,
}

/// Opens a flow at an entry whose only target answers after 6 ms.
fn open(entry: &mut EntryCore, port: u16, at_ms: u64, answers: Answers) {
    let (mut out, flow) = (Vec::new(), flow(port, once_address()));
    let mut at = |ms, message: Option<Message>, segment: Option<Segment>| {
        let now = MonoTime::from_ms(at_ms + ms);
        if let Some(segment) = segment {
            entry.on_client_packet(now, &segment, &[1], &mut out);
        }
        if let Some(message) = message {
            entry.on_message(now, vm(0), &message, &[1], &mut out);
        }
    };
    let started_at_ms = 1_000;
    let opened = Message::Opened {
        flow,
        sequence: 9,
        started_at_ms,
    };
    let reason = ReturnReason::Leaving;
    let first = opening(flow);
    match answers {
        Answers::Once => at(0, None, Some(first)),
        Answers::Twice => {
            at(0, None, Some(first));
            at(6, Some(opened.clone()), None);
            at(8, Some(opened), None);
            return;
        }
        Answers::AfterReturn => {
            at(0, None, Some(first));
            at(1, Some(Message::Returned { flow, reason }), None);
        }
        Answers::AfterRetransmission => at(
            0,
            None,
            Some(Segment {
                acknowledged: 1,
                ..first
            }),
        ),
        Answers::ToEarlierFlow => {
            at(0, None, Some(first));
            at(
                3,
                None,
                Some(Segment {
                    sequence: 5_000,
                    ..first
                }),
            );
        }
    }
    at(6, Some(opened), None);
}

/// Guards against round trips of openings whose answer may be to an earlier packet, and against
/// those of copies of an answer.
#[rstest]
#[case(Answers::Once, Some(6_000))]
#[case(Answers::Twice, Some(6_000))]
#[case(Answers::AfterReturn, None)]
#[case(Answers::AfterRetransmission, None)]
#[case(Answers::ToEarlierFlow, None)]
fn ambiguous_openings_are_not_measured(#[case] answers: Answers, #[case] expected: Option<u64>) {
    let mut simulation = Simulation::new(1, 1, 2, 20, 1);
    simulation.run_until(500);
    let entry = simulation.entries[0].as_mut().expect("the entry runs");

    for index in 0..4_u16 {
        open(entry, 2_000 + index, 500 + 200 * u64::from(index), answers);
    }

    let status = entry.status(MonoTime::from_ms(1_200));
    let shown = status.trips.iter().map(|trip| trip.lowest_us).next();
    assert_eq!(shown, expected);
}
