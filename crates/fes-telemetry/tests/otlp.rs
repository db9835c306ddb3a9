//! Spans are exported to a collector, and an unreachable collector causes no failures.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread::JoinHandle;

use fes_telemetry::Hop;
use fes_telemetry::Tracer;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Starts a collector that accepts one request, whose bytes the thread returns.
fn collector() -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    let request = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = Vec::new();
        let mut buffer = [0; 4_096];
        while !is_complete(&request) {
            let length = stream.read(&mut buffer).expect("request");
            assert!(length > 0, "the request ended early");
            request.extend_from_slice(&buffer[..length]);
        }
        stream.write_all(RESPONSE).expect("response");
        request
    });
    (address, request)
}

/// Returns whether the whole request has arrived, according to its `content-length`.
fn is_complete(request: &[u8]) -> bool {
    let Some(header_end) = find(request, b"\r\n\r\n") else {
        return false;
    };
    let header = String::from_utf8_lossy(&request[..header_end]).to_lowercase();
    let length = header
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|value| value.parse::<usize>().ok())
        .expect("content-length");
    request.len() >= header_end + 4 + length
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Fails if spans don't reach the collector, or without their trace ID, name or instance ID.
#[test]
fn finished_spans_reach_the_collector() {
    let (address, request) = collector();
    let endpoint = format!("http://{address}/v1/traces");
    let tracer = Tracer::disabled().with_otlp(&endpoint, "agent-12");
    let tracer = tracer.expect("exporter");
    let span = tracer.start(Hop::Agent, "GET /reports", None);
    let trace_id = span.context.trace_id;

    tracer.finish(span, None);
    tracer.flush();

    let request = request.join().expect("collector");
    assert!(request.starts_with(b"POST /v1/traces "));
    assert!(find(&request, &trace_id.to_be_bytes()).is_some());
    assert!(find(&request, b"GET /reports").is_some());
    assert!(find(&request, b"agent-12").is_some());
}

/// Fails if recording or flushing spans fails or blocks because the collector is down.
#[test]
fn an_unreachable_collector_loses_only_exported_spans() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let endpoint = format!(
        "http://{}/v1/traces",
        listener.local_addr().expect("address")
    );
    drop(listener);
    let tracer = Tracer::disabled().with_otlp(&endpoint, "agent-12");
    let tracer = tracer.expect("exporter").with_recent_spans(1);

    tracer.finish(tracer.start(Hop::Agent, "GET /reports", None), None);
    tracer.flush();

    assert_eq!(tracer.recent_spans().len(), 1);
}
