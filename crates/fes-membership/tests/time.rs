//! Guards against pauses and clock jumps that aren't detected, and against false detections.

use fes_membership::ClockEvent;
use fes_membership::ClockMonitor;
use fes_protocol::MonoTime;
use fes_protocol::WallTime;
use rstest::rstest;

const WALL_START_MS: u64 = 1_800_000_000_000;

fn monitor_at_start() -> ClockMonitor {
    let mut monitor = ClockMonitor::new();
    monitor.observe(MonoTime::ZERO, WallTime::from_ms(WALL_START_MS), None);
    monitor
}

#[rstest]
#[case::steady(500, 500, None)]
#[case::small_correction(500, 900, None)]
#[case::long_quiet_period(60_000, 60_000, None)]
#[case::suspended_vm(500, 120_500, Some(ClockEvent::JumpedForward { by_ms: 120_000 }))]
#[case::clock_set_back(10_000, 2_000, Some(ClockEvent::JumpedBack { by_ms: 8_000 }))]
fn a_jump_of_the_wall_clock_is_noticed(
    #[case] mono_ms: u64,
    #[case] wall_ms: u64,
    #[case] expected: Option<ClockEvent>,
) {
    let mut monitor = monitor_at_start();

    let wall = WallTime::from_ms(WALL_START_MS + wall_ms);
    let event = monitor.observe(MonoTime::from_ms(mono_ms), wall, None);

    assert_eq!(event, expected);
}

#[rstest]
#[case(900, None)]
#[case(1_500, Some(ClockEvent::Paused { late_ms: 1_500 }))]
fn a_late_timer_shows_a_pause(#[case] late_ms: u64, #[case] expected: Option<ClockEvent>) {
    let mut monitor = monitor_at_start();
    let due = MonoTime::from_ms(500);
    let now = due.plus_ms(late_ms);

    let wall = WallTime::from_ms(WALL_START_MS + now.as_ms());
    let event = monitor.observe(now, wall, Some(due));

    assert_eq!(event, expected);
}
