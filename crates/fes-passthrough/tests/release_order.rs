//! The order of releases: groups, priorities and the bound against starvation.

use fes_passthrough::FlowUse;
use fes_passthrough::FlowUse::NonRepeatable;
use fes_passthrough::FlowUse::Stream;
use fes_passthrough::Priority;
use fes_passthrough::ReleaseCandidate;
use fes_passthrough::ReleaseOrder;
use fes_protocol::MonoTime;
use rstest::rstest;

const NOW: MonoTime = MonoTime::from_ms(100);

/// Priority, use, end of the latency goal and timeout of a request.
type Request = (u8, FlowUse, u64, u64);

fn select(order: &mut ReleaseOrder, requests: &[Request]) -> usize {
    let candidate = |(priority, flow_use, goal_ms, timeout_ms): &Request| ReleaseCandidate {
        priority: Priority(*priority),
        flow_use: *flow_use,
        latency_goal_at: MonoTime::from_ms(*goal_ms),
        timeout_at: MonoTime::from_ms(*timeout_ms),
    };
    let candidates = requests.iter().map(candidate);
    order.select(NOW, candidates).expect("queued")
}

/// Guards against groups and priorities that are applied in a wrong order, and against a changed
/// order among requests of one priority.
#[rstest]
#[case::goal_before_priority((9, Stream, 100, 900), (0, NonRepeatable, 99, 900))]
#[case::timeout_before_priority((9, Stream, 0, 100), (0, NonRepeatable, 0, 99))]
#[case::priority_before_use((0, Stream, 200, 900), (1, NonRepeatable, 200, 900))]
#[case::priority_among_late((0, Stream, 0, 99), (1, Stream, 0, 50))]
#[case::use_before_deadline((1, NonRepeatable, 200, 900), (1, Stream, 150, 900))]
#[case::goal((1, Stream, 150, 900), (1, Stream, 151, 800))]
#[case::timeout((1, Stream, 50, 800), (1, Stream, 40, 900))]
fn the_first_request_is_released(#[case] first: Request, #[case] second: Request) {
    let in_order = select(&mut ReleaseOrder::default(), &[first, second]);
    let reversed = select(&mut ReleaseOrder::default(), &[second, first]);

    assert_eq!((in_order, reversed), (0, 1));
}

/// Guards against a priority that waits for more than its turn while others are always queued, also
/// if several get their turn at the same time or there are more priorities than releases in a turn,
/// and against lower priorities that get more than their turns.
#[rstest]
#[case(2, 8, 7)]
#[case(3, 8, 6)]
#[case(8, 8, 1)]
#[case(20, 20, 1)]
fn each_priority_gets_its_turn(#[case] count: u8, #[case] turn: usize, #[case] of_highest: usize) {
    let mut order = ReleaseOrder::default();
    let queued: Vec<Request> = (0..count).map(|p| (p, Stream, 200, 900)).collect();

    let released: Vec<usize> = (0..10 * turn)
        .map(|_| select(&mut order, &queued))
        .collect();

    let has_all = |window: &[usize]| (0..queued.len()).all(|index| window.contains(&index));
    assert!(released.windows(turn).all(has_all), "{released:?}");
    let highest = released.iter().filter(|index| **index == 0);
    assert_eq!(highest.count(), 10 * of_highest);
}

/// Guards against starvation of a priority whose requests can meet their goal only during fewer
/// releases than a turn has, and against a turn that is spent on one that can't.
#[test]
fn a_turn_is_kept_for_later_requests() {
    let mut order = ReleaseOrder::default();
    let goal_ms = |release| if release % 4 < 2 { 200 } else { 99 };

    let lower = |release| (1, Stream, goal_ms(release), 900);
    let is_lower =
        |release: &u64| select(&mut order, &[(0, Stream, 200, 900), lower(*release)]) == 1;
    let turns: Vec<u64> = (0..32).filter(is_lower).collect();

    assert_eq!(turns, [13, 29]);
}
