//! Test double of the platform's configuration service, with JSON over HTTP/1.1. It supports reads
//! and watches only.
//!
//! - `GET /v1/tickets?after=N` returns `{"tickets": [...], "highest": H}` with all tickets whose
//!   numbers are above N and the highest number that the platform holds.
//! - `GET /v1/tickets/watch?after=N&wait_ms=M` returns the same as soon as the highest number
//!   differs from N or the mode changes, and after M milliseconds at the latest.
//! - `GET /v1/vms` returns `{"vms": [{"name": ..., "state": "live" | "leaving"}]}`. A new list is
//!   served only after [`Platform::publish_staged_vms`], which simulates a lag.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_protocol::headers;
use fes_tickets::MAX_TICKET_BYTES;
use fes_tickets::TicketWire;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::PlatformMode;
use crate::Vm;
use crate::body::query_number;
use crate::platform_state::PlatformState;
use crate::task::Task;

/// Exceeds the maximum response size of readers.
const OVERSIZED_RESPONSE_BYTES: usize = 17 << 20;
const MAX_WAIT_MS: u64 = 60_000;
const UNNAMED_READER: &str = "unnamed";

/// A running platform double.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Rc<PlatformState>,
    _task: Rc<Task>,
}

impl Platform {
    /// Starts a platform without tickets.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub async fn start() -> Result<Self> {
        let bind_failed = |source| {
            let detail = "the platform double can't bind a loopback port";
            Error::io(ResultCode::BindFailed, detail, source)
        };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .map_err(bind_failed)?;
        let address = listener.local_addr().map_err(bind_failed)?;
        let state = Rc::new(PlatformState::default());
        let task = Task::spawn(accept(listener, Rc::clone(&state)));
        Ok(Self {
            address,
            state,
            _task: Rc::new(task),
        })
    }

    /// Returns the address of the configuration service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a ticket in its JSON form. A ticket with the same number is replaced.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::TicketTooLarge`] if the JSON exceeds [`MAX_TICKET_BYTES`].
    pub fn publish(&self, number: u64, ticket: Value) -> Result<()> {
        let size = ticket.to_string().len();
        if size > MAX_TICKET_BYTES {
            let detail = format!("ticket {number} is too large: {size} bytes");
            return Err(Error::coded(ResultCode::TicketTooLarge, detail));
        }
        self.state.tickets.borrow_mut().insert(number, ticket);
        self.state.changed.notify_waiters();
        Ok(())
    }

    /// Publishes a ticket.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::TicketTooLarge`] if its JSON exceeds [`MAX_TICKET_BYTES`], and
    /// [`ResultCode::TicketSyntax`] if it can't be converted to JSON.
    pub fn publish_ticket(&self, ticket: &Ticket) -> Result<()> {
        let wire = serde_json::to_value(TicketWire::from(ticket)).map_err(|error| {
            let detail = format!(
                "ticket {} can't be converted to JSON: {error}",
                ticket.number
            );
            Error::coded(ResultCode::TicketSyntax, detail)
        })?;
        self.publish(ticket.number.0, wire)
    }

    /// Changes the behaviour. Waiting watches receive a response in the new mode immediately.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.state.mode.set(mode);
        self.state.changed.notify_waiters();
    }

    /// Sets the current list of VMs. It is served only after [`Self::publish_staged_vms`].
    pub fn stage_vms(&self, vms: impl IntoIterator<Item = Vm>) {
        *self.state.staged_vms.borrow_mut() = vms.into_iter().collect();
    }

    /// Starts to serve the list of VMs that was staged last.
    pub fn publish_staged_vms(&self) {
        let staged = self.state.staged_vms.borrow().clone();
        *self.state.vms.borrow_mut() = staged;
    }

    /// Returns the number of requests that `reader` sent.
    #[must_use]
    pub fn request_count_of(&self, reader: &str) -> usize {
        let counts = self.state.request_counts.borrow();
        counts.get(reader).copied().unwrap_or_default()
    }

    /// Returns the number of requests that all readers sent.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.state.request_counts.borrow().values().sum()
    }

    /// Returns the number of watches that are waiting for a change.
    #[must_use]
    pub fn waiting_watches(&self) -> usize {
        self.state.waiting_watches.get()
    }
}

async fn accept(listener: TcpListener, state: Rc<PlatformState>) {
    // The set is dropped with this task, which closes all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn_local(serve(stream, Rc::clone(&state)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, state: Rc<PlatformState>) {
    let service = service_fn(|request| {
        let state = Rc::clone(&state);
        async move { respond(&request, &state).await }
    });
    // `PlatformMode::Down` closes connections without a response, which is an expected error here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Error that makes the server close the connection without a response.
#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the platform is down")
    }
}

impl std::error::Error for ConnectionClosed {}

async fn respond(
    request: &Request<Incoming>,
    state: &PlatformState,
) -> Result<Response<Full<Bytes>>, ConnectionClosed> {
    let reader = request.headers().get(headers::READER);
    let reader = reader.and_then(|value| value.to_str().ok());
    state.count_request(reader.unwrap_or(UNNAMED_READER));
    if request.method() != Method::GET {
        return Ok(response(StatusCode::METHOD_NOT_ALLOWED, "read-only"));
    }
    let path_and_query = request.uri().to_string();
    let after = query_number(&path_and_query, "after").unwrap_or_default();
    let path = request.uri().path();
    if path == "/v1/tickets/watch" {
        let wait_ms = query_number(&path_and_query, "wait_ms").unwrap_or_default();
        wait_for_change(state, after, wait_ms.min(MAX_WAIT_MS)).await;
    }
    apply_mode(state).await?;
    Ok(match (state.mode.get(), path) {
        (PlatformMode::Failing, _) => response(StatusCode::INTERNAL_SERVER_ERROR, "failing"),
        (PlatformMode::Malformed, _) => response(StatusCode::OK, "{\"tickets\": ["),
        (PlatformMode::Oversized, _) => {
            let filler = "x".repeat(OVERSIZED_RESPONSE_BYTES);
            response(StatusCode::OK, json!({"tickets": [filler]}).to_string())
        }
        (_, "/v1/tickets" | "/v1/tickets/watch") => {
            let tickets = state.tickets_above(after);
            let body = json!({"tickets": tickets, "highest": state.highest()});
            response(StatusCode::OK, body.to_string())
        }
        (_, "/v1/vms") => {
            let vms = state.vms.borrow();
            response(StatusCode::OK, json!({"vms": *vms}).to_string())
        }
        _ => response(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn wait_for_change(state: &PlatformState, after: u64, wait_ms: u64) {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let waiting = WaitingWatch::enter(state);
    let mode = state.mode.get();
    while state.highest() == after && state.mode.get() == mode {
        if timeout_at(deadline, state.changed.notified())
            .await
            .is_err()
        {
            break;
        }
    }
    drop(waiting);
}

async fn apply_mode(state: &PlatformState) -> Result<(), ConnectionClosed> {
    match state.mode.get() {
        PlatformMode::Down => Err(ConnectionClosed),
        PlatformMode::Slow { delay_ms } => {
            sleep(Duration::from_millis(delay_ms)).await;
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Guard that counts a waiting watch and stops counting it when the request ends or is cancelled.
struct WaitingWatch<'a>(&'a PlatformState);

impl<'a> WaitingWatch<'a> {
    fn enter(state: &'a PlatformState) -> Self {
        state.waiting_watches.set(state.waiting_watches.get() + 1);
        Self(state)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.waiting_watches.set(self.0.waiting_watches.get() - 1);
    }
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
