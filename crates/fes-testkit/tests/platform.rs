//! Tests of the responses, modes and counts of the platform double.

use std::net::SocketAddr;

use bytes::Bytes;
use fes_protocol::ResultCode;
use fes_protocol::headers;
use fes_testkit::Platform;
use fes_testkit::PlatformMode;
use fes_testkit::Vm;
use fes_testkit::VmState;
use fes_testkit::wait_until;
use fes_tickets::MAX_TICKET_BYTES;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;

async fn platform_with(numbers: &[u64]) -> Platform {
    let platform = Platform::start().await.expect("platform");
    for number in numbers {
        publish(&platform, *number);
    }
    platform
}

fn publish(platform: &Platform, number: u64) {
    let ticket = json!({"number": number});
    platform.publish(number, ticket).expect("small value");
}

async fn read(address: SocketAddr, path: &str) -> Result<Value, hyper::Error> {
    let stream = TcpStream::connect(address).await.expect("connect");
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    actix_rt::spawn(connection);
    let request = Request::get(path)
        .header("host", "platform")
        .header(headers::READER, "entry-1")
        .body(Empty::<Bytes>::new())
        .expect("request");
    let response = sender.send_request(request).await?;
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body).expect("JSON"))
}

/// Guards against tickets that are served again or omitted.
#[actix_rt::test]
async fn tickets_above_a_number_are_served() {
    let platform = platform_with(&[1, 2, 5]).await;

    let reply = read(platform.address(), "/v1/tickets?after=1")
        .await
        .expect("reply");

    assert_eq!(
        reply,
        json!({"tickets": [{"number": 2}, {"number": 5}], "highest": 5})
    );
    assert_eq!(platform.request_count_of("entry-1"), 1);
}

/// Guards against a watch that misses a ticket published while it waits.
#[actix_rt::test]
async fn a_watch_ends_when_a_ticket_is_published() {
    let platform = platform_with(&[1]).await;
    let path = "/v1/tickets/watch?after=1&wait_ms=60000";
    let watch = actix_rt::spawn(read(platform.address(), path));
    wait_until("the watch waits", || platform.waiting_watches() == 1).await;

    publish(&platform, 2);

    let reply = watch.await.expect("task").expect("reply");
    assert_eq!(reply, json!({"tickets": [{"number": 2}], "highest": 2}));
    assert_eq!(platform.waiting_watches(), 0);
}

/// Guards against a platform that responds while it is down, or loses its tickets.
#[actix_rt::test]
async fn modes_change_the_response_but_not_the_tickets() {
    let platform = platform_with(&[1, 2]).await;
    let path = "/v1/tickets?after=0";

    platform.set_mode(PlatformMode::Down);
    let down = read(platform.address(), path).await;
    platform.set_mode(PlatformMode::Stale { highest: 1 });
    let stale = read(platform.address(), path).await.expect("reply");
    platform.set_mode(PlatformMode::Up);
    let up = read(platform.address(), path).await.expect("reply");

    assert!(down.is_err());
    assert_eq!(stale["tickets"].as_array().map(Vec::len), Some(1));
    assert_eq!(up["tickets"].as_array().map(Vec::len), Some(2));
    assert_eq!(platform.request_count(), 3);
}

/// Guards against a VM list that is served without lag, which would hide failures of its readers.
#[actix_rt::test]
async fn the_vm_list_is_served_with_lag() {
    let platform = platform_with(&[]).await;
    platform.stage_vms([Vm {
        name: "vm-1".to_owned(),
        state: VmState::Leaving,
    }]);

    let before_publish = read(platform.address(), "/v1/vms").await.expect("reply");
    platform.publish_staged_vms();
    let after_publish = read(platform.address(), "/v1/vms").await.expect("reply");

    assert_eq!(before_publish, json!({"vms": []}));
    assert_eq!(
        after_publish,
        json!({"vms": [{"name": "vm-1", "state": "leaving"}]})
    );
}

/// Guards against a platform double that accepts a larger value than the real platform.
#[actix_rt::test]
async fn oversized_tickets_are_refused() {
    let platform = platform_with(&[]).await;

    let refused = platform.publish(1, json!("x".repeat(MAX_TICKET_BYTES)));

    let code = refused.expect_err("refusal").code();
    assert_eq!(code, ResultCode::TicketTooLarge);
}
