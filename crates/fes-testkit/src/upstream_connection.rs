//! An HTTP/2 connection of an upstream double.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fes_protocol::headers;
use h2::Reason;
use h2::RecvStream;
use h2::SendStream;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::Execution;
use crate::body::expected_body;
use crate::body::query_number;
use crate::upstream_state::UpstreamState;

const MAX_STREAMS: u32 = 10_000;
const WINDOW_BYTES: u32 = 1 << 20;
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a request ended without a complete response.
enum Abort {
    /// The client reset the stream or closed the connection, or the body exceeds the limit.
    Cancelled,
    /// The request's deadline passed.
    Deadline,
}

/// A fully received request. It owns its data, so it can outlive the `h2` request.
struct ReceivedRequest {
    path: String,
    key: Option<String>,
    body: Bytes,
    deadline: Option<Instant>,
}

/// Response to a finished request.
struct Completed {
    body: Bytes,
    run_count: Option<usize>,
}

/// Serves a connection until the client closes it or a drain completes.
pub(crate) async fn serve(stream: TcpStream, state: Rc<UpstreamState>) {
    // Disables Nagle's algorithm, which holds back a small frame until earlier ones are
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    let mut draining = state.draining.subscribe();
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else {
                    return;
                };
                streams.spawn_local(answer(request, respond, Rc::clone(&state)));
                while streams.try_join_next().is_some() {}
            }
            _ = draining.wait_for(|is_draining| *is_draining) => {
                connection.graceful_shutdown();
                drain_connection(connection, streams, &state).await;
                return;
            }
        }
    }
}

/// Completes the requests in progress after GOAWAY. Streams that the client opened before it
/// received GOAWAY are refused.
async fn drain_connection(
    mut connection: h2::server::Connection<TcpStream, Bytes>,
    mut streams: JoinSet<()>,
    state: &Rc<UpstreamState>,
) {
    while let Some(Ok((request, respond))) = connection.accept().await {
        streams.spawn_local(answer(request, respond, Rc::clone(state)));
    }
}

async fn answer(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    state: Rc<UpstreamState>,
) {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    match request.uri().path() {
        "/health" => send_health(&mut respond, &state),
        "/load" => send_load(&mut respond, &state),
        _ if state.refuses() => respond.send_reset(Reason::REFUSED_STREAM),
        feed if feed.starts_with("/feed") => {
            let path = path.to_owned();
            serve_feed(&path, respond, &state).await;
        }
        _ => run(request, respond, &state).await,
    }
}

async fn run(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    state: &UpstreamState,
) {
    let cancel_guard = CancelGuard(Some(state));
    let outcome = tokio::select! {
        outcome = execute(request, state) => outcome,
        _ = poll_fn(|context| respond.poll_reset(context)) => Err(Abort::Cancelled),
    };
    match outcome {
        Ok(completed) => {
            cancel_guard.disarm();
            send_body(respond, completed, state.truncates_responses.get()).await;
        }
        Err(Abort::Deadline) => {
            cancel_guard.disarm();
            send_empty(&mut respond, StatusCode::GATEWAY_TIMEOUT);
        }
        Err(Abort::Cancelled) => {}
    }
}

async fn execute(request: Request<RecvStream>, state: &UpstreamState) -> Result<Completed, Abort> {
    let received = receive_request(request).await?;
    let permit = with_deadline(received.deadline, state.slots.acquire()).await?;
    let _running = RunningGuard::enter(state);
    let index = state.log.start(Execution {
        upstream: Rc::clone(&state.name),
        path: received.path.clone(),
        key: received.key.clone(),
        body: received.body.clone(),
        is_finished: false,
    });
    let service_time = Duration::from_millis(state.next_service_time_ms(&received.path));
    let work = async {
        sleep_until(Instant::now() + service_time).await;
        state.wait_until_released(&received.path).await;
    };
    with_deadline(received.deadline, work).await?;
    state.log.finish(index);
    drop(permit);
    Ok(Completed {
        body: expected_body(&received.path, &received.body),
        run_count: received.key.map(|key| state.log.runs_of(&key)),
    })
}

async fn receive_request(request: Request<RecvStream>) -> Result<ReceivedRequest, Abort> {
    let header = |name| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let key = header(headers::IDEMPOTENCY_KEY);
    let remaining_ms = header(headers::DEADLINE_MS).and_then(|text| text.parse().ok());
    let path = request.uri().path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let deadline =
        remaining_ms.map(|remaining_ms| Instant::now() + Duration::from_millis(remaining_ms));
    let body = with_deadline(deadline, read_body(request.into_body())).await??;
    Ok(ReceivedRequest {
        path,
        key,
        body,
        deadline,
    })
}

async fn read_body(mut stream: RecvStream) -> Result<Bytes, Abort> {
    let mut body = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|_| Abort::Cancelled)?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Abort::Cancelled);
        }
        let released = stream.flow_control().release_capacity(chunk.len());
        released.map_err(|_| Abort::Cancelled)?;
        body.extend_from_slice(&chunk);
    }
    Ok(Bytes::from(body))
}

async fn with_deadline<T>(
    deadline: Option<Instant>,
    work: impl Future<Output = T>,
) -> Result<T, Abort> {
    let Some(deadline) = deadline else {
        return Ok(work.await);
    };
    let outcome = tokio::time::timeout_at(deadline, work).await;
    outcome.map_err(|_| Abort::Deadline)
}

async fn serve_feed(path: &str, mut respond: SendResponse<Bytes>, state: &UpstreamState) {
    let head = Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .body(());
    let Ok(head) = head else {
        return;
    };
    let Ok(mut stream) = respond.send_response(head, false) else {
        return;
    };
    let _open = FeedGuard::enter(state);
    let interval = Duration::from_millis(state.options.feed_interval_ms.max(1));
    let mut number = query_number(path, "from").unwrap_or(1);
    let mut next = Instant::now();
    loop {
        state.wait_until_released(path).await;
        let event = format!("id: {number}\ndata: {path}\n\n");
        if send_all(&mut stream, Bytes::from(event)).await.is_err() {
            return;
        }
        number += 1;
        next += interval;
        tokio::select! {
            () = sleep_until(next) => {}
            _ = poll_fn(|context| stream.poll_reset(context)) => return,
        }
    }
}

async fn send_body(mut respond: SendResponse<Bytes>, completed: Completed, is_truncated: bool) {
    let body = completed.body;
    let mut head = Response::builder()
        .header(CONTENT_TYPE, "application/octet-stream")
        .header(CONTENT_LENGTH, body.len());
    if let Some(run_count) = completed.run_count {
        head = head.header(headers::RUN_COUNT, run_count);
    }
    let Ok(head) = head.body(()) else {
        return;
    };
    let Ok(mut stream) = respond.send_response(head, false) else {
        return;
    };
    if is_truncated {
        // The client may already be gone, which ends the response as well.
        let _ = send_all(&mut stream, body.slice(..body.len() / 2)).await;
        stream.send_reset(Reason::INTERNAL_ERROR);
        return;
    }
    if send_all(&mut stream, body).await.is_ok() {
        let _ = stream.send_data(Bytes::new(), true);
    }
}

/// Sends `body` within the flow-control window.
async fn send_all(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<(), Abort> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(Ok(capacity)) = capacity else {
            return Err(Abort::Cancelled);
        };
        let part = body.split_to(capacity.min(body.len()));
        stream
            .send_data(part, false)
            .map_err(|_| Abort::Cancelled)?;
    }
    Ok(())
}

fn send_empty(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    // The client may have reset the stream, which ends it as well.
    let _ = respond.send_response(head, true);
}

fn send_health(respond: &mut SendResponse<Bytes>, state: &UpstreamState) {
    let is_healthy = !*state.draining.borrow();
    let status = if is_healthy == state.inverts_status.get() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    send_empty(respond, status);
}

fn send_load(respond: &mut SendResponse<Bytes>, state: &UpstreamState) {
    let running = state.running.get();
    let reported = if state.inverts_status.get() {
        state.options.slots.saturating_sub(running)
    } else {
        running
    };
    let body = json!({"running": reported, "slots": state.options.slots}).to_string();
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = stream.send_data(Bytes::from(body), true);
    }
}

/// Guard that counts a request as cancelled when it is dropped before [`Self::disarm`], for example
/// because the connection is lost.
struct CancelGuard<'a>(Option<&'a UpstreamState>);

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.0 {
            state.cancelled.set(state.cancelled.get() + 1);
        }
    }
}

/// Guard that counts a request while it occupies a slot, and stops counting it also when the
/// request is cancelled.
struct RunningGuard<'a>(&'a UpstreamState);

impl<'a> RunningGuard<'a> {
    fn enter(state: &'a UpstreamState) -> Self {
        state.running.set(state.running.get() + 1);
        Self(state)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Guard that counts a feed while it is open.
struct FeedGuard<'a>(&'a UpstreamState);

impl<'a> FeedGuard<'a> {
    fn enter(state: &'a UpstreamState) -> Self {
        state.open_feeds.set(state.open_feeds.get() + 1);
        Self(state)
    }
}

impl Drop for FeedGuard<'_> {
    fn drop(&mut self) {
        self.0.open_feeds.set(self.0.open_feeds.get() - 1);
    }
}
