//! Double of the platform's configuration service: HTTP/1.1 with JSON, read and watch only.
//!
//! - `GET /v1/tickets?after=N` answers `{"tickets": [...], "highest": H}` with all tickets above N
//!   and the highest number held.
//! - `GET /v1/tickets/watch?after=N&wait_ms=M` does the same as soon as there is one, or after M.
//! - `GET /v1/vms` answers `{"vms": [{"name": ..., "state": "live" | "leaving"}]}`, with a lag.

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

/// Larger than any reply that a reader has to accept.
const OVERSIZED_REPLY_BYTES: usize = 17 << 20;
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
    /// Starts a platform that holds no tickets.
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

    /// Returns the address of the service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a ticket in its JSON form. A ticket with the same number is replaced.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::TicketTooLarge`] if the value is larger than the platform holds.
    pub fn publish(&self, number: u64, ticket: Value) -> Result<()> {
        let size = ticket.to_string().len();
        if size > MAX_TICKET_BYTES {
            let detail = format!("ticket {number} has {size} bytes");
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
    /// Returns [`ResultCode::TicketTooLarge`] if the value is larger than the platform holds.
    pub fn publish_ticket(&self, ticket: &Ticket) -> Result<()> {
        let wire = serde_json::to_value(TicketWire::from(ticket)).map_err(|error| {
            let detail = format!("ticket {} has no JSON form: {error}", ticket.number);
            Error::coded(ResultCode::TicketSyntax, detail)
        })?;
        self.publish(ticket.number.0, wire)
    }

    /// Changes how the platform answers. Waiting watches are answered at once in the new mode.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.state.mode.set(mode);
        self.state.changed.notify_waiters();
    }

    /// Sets the true list of VMs. It is served only after [`Self::publish_staged_vms`].
    pub fn stage_vms(&self, vms: impl IntoIterator<Item = Vm>) {
        *self.state.staged_vms.borrow_mut() = vms.into_iter().collect();
    }

    /// Serves the list of VMs that was staged last.
    pub fn publish_staged_vms(&self) {
        let staged = self.state.staged_vms.borrow().clone();
        *self.state.vms.borrow_mut() = staged;
    }

    /// Returns how many calls `reader` made.
    #[must_use]
    pub fn request_count_of(&self, reader: &str) -> usize {
        let calls = self.state.request_counts.borrow();
        calls.get(reader).copied().unwrap_or_default()
    }

    /// Returns how many calls all readers made.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.state.request_counts.borrow().values().sum()
    }

    /// Returns how many watches wait for a change.
    #[must_use]
    pub fn waiting_watches(&self) -> usize {
        self.state.waiting.get()
    }
}

async fn accept(listener: TcpListener, state: Rc<PlatformState>) {
    // Dropping the set with this task ends all connections.
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
    // Closing without an answer shows up as an error here, which is what the mode asks for.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A reply that closes the connection instead of answering.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the platform is down")
    }
}

impl std::error::Error for Closed {}

async fn respond(
    request: &Request<Incoming>,
    state: &PlatformState,
) -> Result<Response<Full<Bytes>>, Closed> {
    let reader = request.headers().get(headers::READER);
    let reader = reader.and_then(|value| value.to_str().ok());
    state.count_call(reader.unwrap_or(UNNAMED_READER));
    if request.method() != Method::GET {
        return Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "read-only"));
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
        (PlatformMode::Failing, _) => answer(StatusCode::INTERNAL_SERVER_ERROR, "failing"),
        (PlatformMode::Malformed, _) => answer(StatusCode::OK, "{\"tickets\": ["),
        (PlatformMode::Oversized, _) => {
            let filler = "x".repeat(OVERSIZED_REPLY_BYTES);
            answer(StatusCode::OK, json!({"tickets": [filler]}).to_string())
        }
        (_, "/v1/tickets" | "/v1/tickets/watch") => {
            let tickets = state.tickets_above(after);
            let body = json!({"tickets": tickets, "highest": state.highest()});
            answer(StatusCode::OK, body.to_string())
        }
        (_, "/v1/vms") => {
            let vms = state.vms.borrow();
            answer(StatusCode::OK, json!({"vms": *vms}).to_string())
        }
        _ => answer(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn wait_for_change(state: &PlatformState, after: u64, wait_ms: u64) {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let waiting = Waiting::enter(state);
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

async fn apply_mode(state: &PlatformState) -> Result<(), Closed> {
    match state.mode.get() {
        PlatformMode::Down => Err(Closed),
        PlatformMode::Slow { delay_ms } => {
            sleep(Duration::from_millis(delay_ms)).await;
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Counts a watch while it waits, also when its client goes away.
struct Waiting<'a>(&'a PlatformState);

impl<'a> Waiting<'a> {
    fn enter(state: &'a PlatformState) -> Self {
        state.waiting.set(state.waiting.get() + 1);
        Self(state)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
