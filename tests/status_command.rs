//! `fescueshift status` reads running processes and names those that don't answer.

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

/// Returns an address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    listener.local_addr().expect("address")
}

/// Runs 'status' beside this arbiter, which hosts the process.
async fn status(addresses: &[SocketAddr], more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescueshift"));
    command.arg("status").args(more);
    command.args(addresses.iter().map(ToString::to_string));
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("task").expect("program")
}

/// Guards against a process whose state is shown wrongly.
#[actix_rt::test]
async fn the_state_of_a_process_is_shown() {
    let process = draining_process().await;

    let output = status(&[process.address()], &[]).await;

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    for part in ["draining", "the operators asked for it", "flows"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

/// Guards against a dead process that passes as success, or that hides the others.
#[actix_rt::test]
async fn a_dead_process_is_named_beside_the_others() {
    let process = draining_process().await;
    let dead = dead_address();

    let output = status(&[dead, process.address()], &["--json"]).await;

    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(lines[0]["address"], dead.to_string());
    let error = lines[0]["error"].as_str().expect("error");
    assert!(error.starts_with("F8002"), "{error}");
    assert_eq!(lines[1]["status"]["phase"], "draining");
    assert_eq!(lines[1]["status"]["flows"], 3);
}
