//! The platform client reads and watches tickets and handles every failure mode of the test
//! platform.

use std::sync::Arc;

use fes_platform::Backoff;
use fes_platform::ListedVmState;
use fes_platform::PlatformClient;
use fes_platform::Watcher;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyEpochSpec;
use fes_protocol::MonoTime;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_testkit::Platform;
use fes_testkit::PlatformMode;
use fes_testkit::Vm;
use fes_testkit::VmState;
use fes_testkit::wait_until;
use rstest::rstest;
use serde_json::json;

const SEED: u64 = 11;

async fn platform_with_tickets(numbers: &[u64]) -> Platform {
    let platform = Platform::start().await.expect("platform");
    for number in numbers {
        platform
            .publish_ticket(&ticket(*number))
            .expect("published");
    }
    platform
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        number: TicketNumber(number),
        objects: vec![TicketObject::KeyEpoch(KeyEpochSpec {
            current: KeyEpoch(0),
        })],
    }
}

fn client_of(platform: &Platform) -> PlatformClient {
    PlatformClient::new(platform.address(), "entry-1")
}

/// Fails if tickets are lost or altered between the platform and the caller.
#[actix_rt::test]
async fn tickets_above_a_number_are_read() {
    let platform = platform_with_tickets(&[1, 2, 5]).await;

    let reply = client_of(&platform)
        .read_tickets(TicketNumber(1))
        .await
        .expect("reply");

    assert_eq!(reply.tickets, [ticket(2), ticket(5)]);
    assert_eq!(reply.highest, Some(TicketNumber(5)));
    assert_eq!(platform.request_count_of("entry-1"), 1);
}

/// Fails if an invalid ticket hides valid ones or causes a panic.
#[rstest]
#[case::not_an_object(json!(7))]
#[case::negative_number(json!({"number": -1}))]
#[case::unknown_field(json!({"number": 3, "colour": "red"}))]
#[case::deep(serde_json::from_str(&format!("{}{}", "[".repeat(100), "]".repeat(100))).expect("JSON"))]
#[actix_rt::test]
async fn only_the_invalid_ticket_is_rejected(#[case] invalid: serde_json::Value) {
    let platform = platform_with_tickets(&[1, 5]).await;
    platform.publish(3, invalid).expect("published");

    let reply = client_of(&platform)
        .read_tickets(TicketNumber(0))
        .await
        .expect("reply");

    assert_eq!(reply.tickets, [ticket(1), ticket(5)]);
    assert_eq!(reply.rejected.len(), 1);
    assert!(!reply.rejected[0].faults.is_empty());
}

/// Fails if a fault of the platform is treated as an empty reply, or if calls still fail after
/// the platform has recovered.
#[rstest]
#[case(PlatformMode::Down, ResultCode::PlatformUnreachable)]
#[case(PlatformMode::Failing, ResultCode::PlatformUnreachable)]
#[case(PlatformMode::Malformed, ResultCode::PlatformMalformed)]
#[case(PlatformMode::Oversized, ResultCode::PlatformMalformed)]
#[actix_rt::test]
async fn faults_are_reported_and_later_calls_succeed(
    #[case] mode: PlatformMode,
    #[case] expected: ResultCode,
) {
    let platform = platform_with_tickets(&[1]).await;
    let mut client = client_of(&platform);
    client.read_tickets(TicketNumber(0)).await.expect("reply");

    platform.set_mode(mode);
    let during_fault = client.read_tickets(TicketNumber(0)).await;
    platform.set_mode(PlatformMode::Up);
    let after_fault = client.read_tickets(TicketNumber(0)).await;

    assert_eq!(during_fault.expect_err("fault").code(), expected);
    assert_eq!(after_fault.expect("reply").tickets, [ticket(1)]);
}

/// Fails if a call never returns because the platform accepts it and doesn't reply.
#[actix_rt::test]
async fn calls_to_a_slow_platform_time_out() {
    let platform = platform_with_tickets(&[1]).await;
    platform.set_mode(PlatformMode::Slow {
        delay_ms: 3_600_000,
    });
    let mut client = client_of(&platform).with_reply_timeout_ms(20);

    let read = client.read_tickets(TicketNumber(0)).await;
    let watch = client.watch_tickets(TicketNumber(1), 0).await;

    let codes = [read, watch].map(|reply| reply.expect_err("timeout").code());
    assert_eq!(codes, [ResultCode::PlatformUnreachable; 2]);
    assert_eq!(platform.request_count(), 2);
}

/// Fails if a rollback of the platform isn't detected because its reply contains no tickets.
#[actix_rt::test]
async fn a_rolled_back_platform_is_detected() {
    let platform = platform_with_tickets(&[1, 2]).await;
    platform.set_mode(PlatformMode::Stale { highest: 1 });

    let reply = client_of(&platform)
        .read_tickets(TicketNumber(2))
        .await
        .expect("reply");

    assert!(reply.is_stale(TicketNumber(2)));
    assert!(reply.tickets.is_empty());
}

/// Fails if a watch misses a ticket, or if a cancelled call leaves part of its reply for the next
/// call.
#[actix_rt::test]
async fn a_watch_returns_a_new_ticket_and_can_be_cancelled() {
    let platform = platform_with_tickets(&[1]).await;
    let mut watcher = Watcher::new(platform.address(), "entry-1", SEED);
    let cancelled = tokio::select! {
        reply = watcher.next(TicketNumber(1)) => Some(reply),
        () = wait_until("the watch waits", || platform.waiting_watches() == 1) => None,
    };
    assert!(cancelled.is_none());

    let publish = async {
        wait_until("the next watch waits", || platform.waiting_watches() > 0).await;
        platform.publish_ticket(&ticket(2)).expect("published");
    };
    let (reply, ()) = tokio::join!(watcher.next(TicketNumber(1)), publish);

    assert_eq!(reply.expect("reply").tickets, [ticket(2)]);
}

/// Fails if the client and the platform encode the list of VMs differently.
#[actix_rt::test]
async fn vms_are_read() {
    let platform = platform_with_tickets(&[]).await;
    platform.stage_vms([Vm {
        name: "vm-3".to_owned(),
        state: VmState::Leaving,
    }]);
    platform.publish_staged_vms();

    let vms = client_of(&platform).read_vms().await.expect("reply");

    assert_eq!(vms.len(), 1);
    assert_eq!(vms[0].vm.as_str(), "vm-3");
    assert_eq!(vms[0].state, ListedVmState::Leaving);
}

/// Fails if readers retry together after an outage, or if their delays grow without bound.
#[test]
fn delays_grow_to_a_bound_and_differ_between_readers() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed);
        let delay = |_| {
            backoff.record_failure(MonoTime::ZERO);
            backoff.retry_at().as_ms()
        };
        let delays: Arc<[u64]> = (0..12).map(delay).collect();
        delays
    };

    let (one, other) = (delays(SEED), delays(SEED + 1));

    assert!((50..=100).contains(&one[0]), "seed {SEED}: {one:?}");
    assert!(one.iter().all(|delay| *delay <= 2_000));
    assert!(one[8..].iter().all(|delay| *delay >= 1_000));
    assert_ne!(one, other);
}
