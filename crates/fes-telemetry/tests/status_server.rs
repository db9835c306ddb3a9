//! Endpoints of the status server in every lifecycle state.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use fes_protocol::Lifecycle;
use fes_telemetry::Health;
use fes_telemetry::Metrics;
use fes_telemetry::StatusServer;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;

async fn start(health: &Health) -> StatusServer {
    let address = "127.0.0.1:0".parse().expect("address");
    let metrics = Arc::new(Metrics::default());
    StatusServer::start(address, metrics, health.clone(), || json!({"flows": 3}))
        .await
        .expect("status server")
}

async fn send_request(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let stream = TcpStream::connect(address).await.expect("connect");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("handshake");
    actix_rt::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("request");
    let response = sender.send_request(request).await.expect("response");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("body");
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    (status, text)
}

/// Fails if a process is reported ready while it starts or drains, or unhealthy while it drains, so
/// that it would be restarted.
#[rstest]
#[case(Lifecycle::Starting, 200, 503)]
#[case(Lifecycle::Serving, 200, 200)]
#[case(Lifecycle::Draining, 200, 503)]
#[case(Lifecycle::Stopped, 503, 503)]
#[actix_rt::test]
async fn health_and_readiness_follow_the_lifecycle_state(
    #[case] lifecycle: Lifecycle,
    #[case] healthz: u16,
    #[case] readyz: u16,
) {
    let health = Health::default();
    let server = start(&health).await;
    health.set(lifecycle, "the test says so");

    let seen_healthz = send_request(server.address(), "GET", "/healthz").await;
    let seen_readyz = send_request(server.address(), "GET", "/readyz").await;

    assert_eq!((seen_healthz.0, seen_readyz.0), (healthz, readyz));
    assert!(seen_readyz.1.contains("the test says so"));
}

/// Fails if `/status` omits the lifecycle state or its reason.
#[actix_rt::test]
async fn the_status_body_includes_phase_and_reason() {
    let health = Health::default();
    let server = start(&health).await;

    let (status, body) = send_request(server.address(), "GET", "/status").await;

    let body: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(status, 200);
    assert_eq!(body["flows"], 3);
    assert_eq!(body["phase"], "starting");
    assert_eq!(body["reason"], "the process is starting");
}

/// Fails if the status server accepts other methods than GET and HEAD, or unknown paths.
#[rstest]
#[case("POST", "/status", 405)]
#[case("DELETE", "/metrics", 405)]
#[case("GET", "/admin", 404)]
#[actix_rt::test]
async fn only_known_paths_can_be_read(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: u16,
) {
    let server = start(&Health::default()).await;

    let (status, _) = send_request(server.address(), method, path).await;

    assert_eq!(status, expected);
}
