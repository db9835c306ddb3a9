//! HTTP/1.1 server for `/metrics`, `/healthz`, `/readyz` and `/status`.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ALLOW;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::Health;
use crate::Metrics;
use crate::log_target;

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
/// Bounds the memory that clients of the status address can use.
const MAX_CONNECTIONS: usize = 64;
const READY_PATH: &str = "/readyz";
const ACCEPT_RETRY_DELAY_MS: u64 = 20;
/// A connection that sends no complete request header within this time is closed.
const HEADER_TIMEOUT_MS: u64 = 5_000;

/// A running status server. It stops when it is dropped.
#[derive(Debug)]
pub struct StatusServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

struct StatusHandler {
    ready_path: &'static str,
    metrics: Arc<Metrics>,
    health: Health,
    status: Box<dyn Fn() -> Value>,
    connections: Cell<usize>,
}

impl StatusServer {
    /// Binds `address` and serves on the current arbiter. `status` returns the body of `/status`,
    /// to which the lifecycle state and its reason are added.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub async fn start(
        address: SocketAddr,
        metrics: Arc<Metrics>,
        health: Health,
        status: impl Fn() -> Value + 'static,
    ) -> Result<Self> {
        Self::start_with_ready_path(address, metrics, health, READY_PATH, status).await
    }

    /// Does the same as [`Self::start`], but serves readiness at `ready_path`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub async fn start_with_ready_path(
        address: SocketAddr,
        metrics: Arc<Metrics>,
        health: Health,
        ready_path: &'static str,
        status: impl Fn() -> Value + 'static,
    ) -> Result<Self> {
        let bind_failed = |source| {
            let detail = format!("the status address {address} can't be bound");
            Error::io(ResultCode::BindFailed, detail, source)
        };
        let listener = TcpListener::bind(address).await.map_err(bind_failed)?;
        let address = listener.local_addr().map_err(bind_failed)?;
        let handler = Rc::new(StatusHandler {
            ready_path,
            metrics,
            health,
            status: Box::new(status),
            connections: Cell::new(0),
        });
        Ok(Self {
            address,
            task: actix_rt::spawn(accept_connections(listener, handler)),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StatusServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, handler: Rc<StatusHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails while the process has no free file descriptors; retry later.
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        if handler.connections.get() >= MAX_CONNECTIONS {
            log::warn!(
                target: log_target::TELEMETRY,
                "status server closed a connection: all {MAX_CONNECTIONS} connections are in use"
            );
            continue;
        }
        handler.connections.set(handler.connections.get() + 1);
        let handler = Rc::clone(&handler);
        actix_rt::spawn(async move {
            serve_connection(stream, &handler).await;
            handler.connections.set(handler.connections.get() - 1);
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: &StatusHandler) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = handler.respond(request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), service);
    // An error concerns only this client, for example if it closes the connection early.
    let _ = connection.await;
}

impl StatusHandler {
    fn respond(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        if method != Method::GET && method != Method::HEAD {
            let mut response =
                text_response(StatusCode::METHOD_NOT_ALLOWED, TEXT, "read-only\n".into());
            let allow = http::HeaderValue::from_static("GET, HEAD");
            response.headers_mut().insert(ALLOW, allow);
            return response;
        }
        if path == self.ready_path {
            return self.health_response(self.health.is_ready());
        }
        match path {
            "/metrics" => text_response(StatusCode::OK, OPENMETRICS, self.metrics.encode()),
            "/healthz" => self.health_response(self.health.is_healthy()),
            "/status" => text_response(StatusCode::OK, JSON, self.status_body()),
            _ => text_response(StatusCode::NOT_FOUND, TEXT, "no such page\n".into()),
        }
    }

    fn health_response(&self, is_ok: bool) -> Response<Full<Bytes>> {
        let status = if is_ok {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let body = format!("{}: {}\n", self.health.phase(), self.health.reason());
        text_response(status, TEXT, body)
    }

    fn status_body(&self) -> String {
        let mut body = (self.status)();
        if let Value::Object(fields) = &mut body {
            fields.insert("phase".into(), json!(self.health.phase()));
            fields.insert("reason".into(), json!(self.health.reason()));
        }
        format!("{body}\n")
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
