//! Runs `fescueshift status` against running and unreachable processes.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;

use fes_protocol::Lifecycle;
use fes_telemetry::Health;
use fes_telemetry::Metrics;
use fes_telemetry::StatusServer;
use serde_json::Value;
use serde_json::json;

async fn draining_process() -> StatusServer {
    let health = Health::default();
    health.set(Lifecycle::Draining, "the operators asked for it");
    let address = "127.0.0.1:0".parse().expect("address");
    let metrics = Arc::new(Metrics::default());
    StatusServer::start(address, metrics, health, || json!({"flows": 3}))
        .await
        .expect("status server")
}

/// Returns an address on which no process listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    listener.local_addr().expect("address")
}

/// Runs `status` on a blocking thread, because the status server runs on the current arbiter.
async fn run_status(addresses: &[SocketAddr], more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescueshift"));
    command.arg("status").args(more);
    command.args(addresses.iter().map(ToString::to_string));
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("task").expect("program")
}

/// Guards against output that shows a wrong state.
#[actix_rt::test]
async fn status_shows_the_state_of_a_process() {
    let process = draining_process().await;

    let output = run_status(&[process.address()], &[]).await;

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    for part in ["draining", "the operators asked for it", "flows"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

/// Guards against an unreachable process that is reported as success or hides the other processes.
#[actix_rt::test]
async fn unreachable_process_is_reported_with_the_others() {
    let process = draining_process().await;
    let unreachable = unused_address();

    let output = run_status(&[unreachable, process.address()], &["--json"]).await;

    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(lines[0]["address"], unreachable.to_string());
    let error = lines[0]["error"].as_str().expect("error");
    assert!(error.starts_with("F8002"), "{error}");
    assert_eq!(lines[1]["status"]["phase"], "draining");
    assert_eq!(lines[1]["status"]["flows"], 3);
}
