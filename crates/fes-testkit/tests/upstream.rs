//! Tests of the responses, injected faults and counts of the upstream double.

mod support;

use fes_protocol::headers;
use fes_testkit::ExecutionLog;
use fes_testkit::Shedding;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::expected_body;
use fes_testkit::wait_until;
use h2::Reason;
use http::HeaderValue;
use rstest::rstest;

use support::connect;
use support::exchange;
use support::get;

async fn start(slots: usize) -> Upstream {
    let options = UpstreamOptions {
        slots,
        service_time_ms: 0,
        feed_interval_ms: 1,
        ..UpstreamOptions::default()
    };
    let log = ExecutionLog::default();
    Upstream::start(options, log).await.expect("upstream")
}

/// Guards against a body check that accepts a truncated response or the response to another
/// request.
#[rstest]
#[case("/a?nonce=1", "/a?nonce=2")]
#[case("/a?bytes=300", "/a?bytes=301")]
fn bodies_differ_between_requests(#[case] one: &str, #[case] other: &str) {
    assert_ne!(expected_body(one, b""), expected_body(other, b""));
    assert_ne!(expected_body(one, b"x"), expected_body(one, b"y"));
}

/// Guards against a response with the body of another request.
#[rstest]
#[case("/lots?nonce=1")]
#[case("/reports?nonce=2&bytes=3000000")]
#[actix_rt::test]
async fn a_request_is_answered_with_its_own_body(#[case] path: &str) {
    let upstream = start(1).await;
    let mut sender = connect(upstream.address()).await;

    let (status, body) = exchange(&mut sender, get(path)).await.expect("response");

    assert_eq!(status, 200);
    assert!(body == expected_body(path, b""));
}

/// Guards against a second execution of a key that isn't counted.
#[actix_rt::test]
async fn executions_of_a_key_are_counted() {
    let upstream = start(1).await;
    let mut sender = connect(upstream.address()).await;

    for key in ["a", "b", "a"] {
        let mut request = get("/reserve");
        let value = HeaderValue::from_static(key);
        request
            .headers_mut()
            .insert(headers::IDEMPOTENCY_KEY, value);
        exchange(&mut sender, request).await.expect("response");
    }

    assert_eq!(upstream.log().duplicated_key_count(), 1);
    assert_eq!(upstream.log().runs_of("a"), 2);
    assert_eq!(upstream.log().runs_of("b"), 1);
}

/// Guards against a cancelled request that keeps its slot.
#[actix_rt::test]
async fn cancellation_frees_the_slot() {
    let upstream = start(1).await;
    upstream.hold("/slow");
    let mut sender = connect(upstream.address()).await;
    let (response, mut stream) = sender.send_request(get("/slow"), false).expect("send");
    stream
        .send_data(bytes::Bytes::new(), true)
        .expect("end of request");
    wait_until("the slot is taken", || upstream.running() == 1).await;

    stream.send_reset(Reason::CANCEL);
    drop(response);

    wait_until("the slot is free", || upstream.running() == 0).await;
    assert_eq!(upstream.cancelled(), 1);
}

/// Guards against a request that runs although load shedding refused it.
#[actix_rt::test]
async fn a_full_upstream_refuses_without_running() {
    let upstream = start(1).await;
    upstream.set_shedding(Shedding::WhenFull);
    upstream.hold("/slow");
    let mut sender = connect(upstream.address()).await;
    let slow = actix_rt::spawn(exchange(&mut sender, get("/slow")));
    wait_until("the slot is taken", || upstream.running() == 1).await;

    let refused = exchange(&mut sender, get("/fast")).await;

    let reason = refused.expect_err("refusal").reason();
    assert_eq!(reason, Some(Reason::REFUSED_STREAM));
    assert!(upstream.log().all().iter().all(|run| run.path != "/fast"));
    upstream.release("/slow");
    let (status, _) = slow.await.expect("task").expect("response");
    assert_eq!(status, 200);
}

/// Guards against a drain that aborts a request in progress.
#[actix_rt::test]
async fn a_drain_completes_requests_in_progress() {
    let upstream = start(1).await;
    upstream.hold("/slow");
    let mut sender = connect(upstream.address()).await;
    let slow = actix_rt::spawn(exchange(&mut sender, get("/slow")));
    wait_until("the slot is taken", || upstream.running() == 1).await;

    upstream.drain();
    let late = exchange(&mut sender, get("/late")).await;
    upstream.release("/slow");

    let (status, body) = slow.await.expect("task").expect("response");
    assert_eq!(status, 200);
    assert!(body == expected_body("/slow", b""));
    assert!(late.is_err());
    assert_eq!(upstream.started(), 1);
}

/// Guards against a truncated response that appears complete.
#[actix_rt::test]
async fn a_truncated_response_ends_with_a_reset() {
    let upstream = start(1).await;
    upstream.set_truncating_responses(true);
    let mut sender = connect(upstream.address()).await;

    let outcome = exchange(&mut sender, get("/a?bytes=4096")).await;

    assert!(outcome.is_err());
}

/// Guards against a feed that occupies a slot, skips an event or ignores the requested start.
#[actix_rt::test]
async fn a_feed_counts_up_from_the_requested_event() {
    let upstream = start(1).await;
    let mut sender = connect(upstream.address()).await;
    let (response, _) = sender
        .send_request(get("/feed/a?from=7"), true)
        .expect("send");
    let mut stream = response.await.expect("head").into_body();

    let mut text = String::new();
    while !text.contains("id: 9\n") {
        let chunk = stream.data().await.expect("open").expect("chunk");
        text.push_str(std::str::from_utf8(&chunk).expect("text"));
    }

    assert!(text.starts_with("id: 7\ndata: /feed/a?from=7\n\nid: 8\n"));
    assert_eq!((upstream.running(), upstream.open_feeds()), (0, 1));
}

/// Guards against an upstream that continues a request past its deadline.
#[actix_rt::test]
async fn a_request_ends_at_its_deadline() {
    let upstream = start(1).await;
    upstream.hold("/slow");
    let mut sender = connect(upstream.address()).await;
    let mut request = get("/slow");
    let value = HeaderValue::from_static("0");
    request.headers_mut().insert(headers::DEADLINE_MS, value);

    let (status, _) = exchange(&mut sender, request).await.expect("response");

    assert_eq!(status, 504);
    assert_eq!(upstream.running(), 0);
    assert!(upstream.log().all().iter().all(|run| !run.is_finished));
}

/// Guards against health and load endpoints that report the true status while it is inverted.
#[actix_rt::test]
async fn health_and_load_can_be_inverted() {
    let upstream = start(4).await;
    let mut sender = connect(upstream.address()).await;
    let before = exchange(&mut sender, get("/health")).await.expect("health");

    upstream.set_inverted_status(true);

    let health = exchange(&mut sender, get("/health")).await.expect("health");
    let load = exchange(&mut sender, get("/load")).await.expect("load");
    assert_eq!((before.0, health.0), (200, 503));
    assert_eq!(load.1, br#"{"running":4,"slots":4}"#);
}
