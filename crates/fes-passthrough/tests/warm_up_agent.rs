//! Limit of new flows at the agent of a target that warms up.

mod support;

use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::FlowUse;
use fes_passthrough::Forward;
use fes_passthrough::ForwardMode;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::ReturnReason;
use fes_passthrough::ServiceTag;
use fes_passthrough::ServiceWarmUp;
use fes_passthrough::WarmUpBudget;
use fes_passthrough::WarmUpHint;
use fes_passthrough::WarmUpSettings;
use fes_protocol::MonoTime;
use rstest::rstest;

use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::flow;
use support::fixtures::hello;
use support::fixtures::opening;
use support::fixtures::requirements;
use support::fixtures::stream_address;

fn hint(remaining_ms: u32, max_openings_per_s: u32) -> WarmUpHint {
    WarmUpHint {
        remaining_ms,
        max_openings_per_s,
    }
}

/// Returns an agent of a target that gets 2 new flows a second for 10 s.
fn limited_agent() -> AgentCore {
    let mut agent = AgentCore::new(MonoTime::ZERO, 1, SERVICE, true);
    let Message::Hello(mut hello) = hello(2) else {
        panic!("a hello");
    };
    hello.warm_up = Some(hint(10_000, 2));
    let message = Message::Hello(hello);
    agent.on_message(MonoTime::ZERO, entry_vm(0), &message, None, &mut Vec::new());
    agent
}

fn open(agent: &mut AgentCore, at_ms: u64, port: u16) -> Vec<AgentAction> {
    let forward = Message::Forward(Forward {
        mode: ForwardMode::Open,
        service: SERVICE,
        started_at_ms: 1_000,
        requirements: requirements(FlowUse::Stream, 200, 1_000),
    });
    let segment = opening(flow(port, stream_address()));
    let now = MonoTime::from_ms(at_ms);
    let mut out = Vec::new();
    let packet: &[u8] = &[];
    agent.on_message(
        now,
        entry_vm(0),
        &forward,
        Some((&segment, packet)),
        &mut out,
    );
    out
}

/// Returns how many of 1,000 openings at the same time are allowed.
fn allowed(budget: &mut WarmUpBudget, at_ms: u64) -> usize {
    let now = MonoTime::from_ms(at_ms);
    (0..1_000).filter(|_| budget.try_count(now)).count()
}

/// Guards against a retransmission that uses up budget or is returned, and against an opening over
/// the budget that reaches the target or whose return is not recorded.
#[test]
fn only_new_openings_over_the_budget_are_returned() {
    let mut agent = limited_agent();
    let is_delivered = |actions: &[AgentAction]| actions.contains(&AgentAction::Deliver);

    assert!(is_delivered(&open(&mut agent, 0, 1)));
    assert!(is_delivered(&open(&mut agent, 200, 1)));
    assert!(is_delivered(&open(&mut agent, 300, 2)));
    assert!(is_delivered(&open(&mut agent, 600, 1)));
    let returned = open(&mut agent, 900, 3);
    assert!(!is_delivered(&returned));
    assert!(is_delivered(&open(&mut agent, 1_100, 3)));

    let reason = ReturnReason::NotAccepted;
    let is_return = |action: &AgentAction| match action {
        AgentAction::Send {
            message,
            with_packet: true,
            ..
        } => matches!(message, Message::Returned { reason: r, .. } if *r == reason),
        _ => false,
    };
    let is_recorded = |action: &AgentAction| match action {
        AgentAction::Record(decision) => decision.outcome == Outcome::OverWarmUpLimit,
        _ => false,
    };
    assert!(returned.iter().any(is_return) && returned.iter().any(is_recorded));
}

/// Guards against a limit that ends early because no entry is heard, or that never ends.
#[test]
fn the_limit_lasts_until_the_warm_up_ends_without_hellos() {
    let mut agent = limited_agent();
    for at_ms in (0..9_990).step_by(20) {
        agent.on_tick(MonoTime::from_ms(at_ms), &mut Vec::new());
    }

    let limit = agent.warm_up_in_force(MonoTime::from_ms(9_990));

    assert_eq!(agent.entry_count(), 0);
    assert_eq!(limit, Some(hint(10, 2)));
    assert_eq!(agent.warm_up_in_force(MonoTime::from_ms(10_000)), None);
}

/// Guards against a restarted agent that delivers the whole limit at once, after its previous
/// process did so.
#[rstest]
#[case(0, 0)]
#[case(499, 9)]
#[case(999, 19)]
#[case(1_000, 20)]
fn a_restarted_agent_delivers_a_part_in_its_first_second(
    #[case] at_ms: u64,
    #[case] expected: usize,
) {
    let mut budget = WarmUpBudget::new(MonoTime::ZERO, false);
    budget.on_hint(MonoTime::ZERO, 1, 1, hint(10_000, 20));

    assert_eq!(allowed(&mut budget, at_ms), expected);
}

/// Guards against openings before the first hint that the budget doesn't contain.
#[test]
fn openings_before_the_hint_count() {
    let mut budget = WarmUpBudget::new(MonoTime::ZERO, true);
    (0..15).for_each(|_| assert!(budget.try_count(MonoTime::from_ms(100))));
    budget.on_hint(MonoTime::from_ms(120), 1, 1, hint(10_000, 20));

    assert_eq!(allowed(&mut budget, 130), 5);
}

/// Guards against hints that extend the warm-up for ever, and against a restarted target that counts
/// as warm. The first hint is about the instance that started at 10, from revision 5, and ends at
/// 1,000; the other one arrives at 900.
#[rstest]
#[case::repeated_late(10, 5, hint(1_000, 20), 1_000)]
#[case::repeated_with_less(10, 5, hint(50, 20), 950)]
#[case::older_record(10, 4, hint(5_000, 20), 1_000)]
#[case::newer_record(10, 6, hint(300, 20), 1_200)]
#[case::restarted_target(11, 6, hint(5_000, 20), 5_900)]
#[case::former_instance(9, 9, hint(5_000, 20), 1_000)]
#[case::no_limit(11, 6, hint(5_000, 0), 1_000)]
#[case::huge(11, u64::MAX, hint(u32::MAX, u32::MAX), 3_600_900)]
fn another_hint_changes_the_end(
    #[case] started_at_ms: u64,
    #[case] revision: u64,
    #[case] other: WarmUpHint,
    #[case] end_ms: u64,
) {
    let mut budget = WarmUpBudget::new(MonoTime::ZERO, true);
    budget.on_hint(MonoTime::ZERO, 10, 5, hint(1_000, 20));

    budget.on_hint(MonoTime::from_ms(900), started_at_ms, revision, other);

    assert!(budget.in_force(MonoTime::from_ms(end_ms - 1)).is_some());
    assert!(budget.in_force(MonoTime::from_ms(end_ms)).is_none());
}

/// Guards against a limit that is rounded up, that overflows, or that exists without configuration.
#[rstest]
#[case::known_deployments(12_000, 1_500, 5_000, Some(23))]
#[case::fractions(6_666, 1_500, 500, Some(10))]
#[case::less_than_one(100, 1_500, 0, Some(1))]
#[case::no_rate(0, 1_500, 5_000, None)]
#[case::no_overage(12_000, 0, 5_000, None)]
#[case::huge(u32::MAX, u32::MAX, u32::MAX, Some(u32::MAX))]
fn the_limit_is_computed_from_service_and_settings(
    #[case] openings_per_1000_s: u32,
    #[case] overage_per_mille: u32,
    #[case] slack_per_mille: u32,
    #[case] expected: Option<u32>,
) {
    let settings = WarmUpSettings {
        overage_per_mille,
        slack_per_mille,
    };
    let service = ServiceWarmUp {
        service: ServiceTag(1),
        openings_per_1000_s,
    };

    assert_eq!(settings.max_openings_per_s(service), expected);
}
