//! HTTP/3 server: client connections and their requests.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use fes_admission::RequestOrigin;
use fes_idempotency::Answer;
use fes_idempotency::InboundStreamId;
use fes_protocol::ResultCode;
use fes_protocol::headers::KEY_PREFIX_PATH;
use h3::error::Code;
use h3::server::RequestResolver;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use quinn::Incoming;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::context::AgentContext;
use crate::quic::Http3Transport;
use crate::quic::StopSignals;
use crate::request::BodyError;
use crate::request::Http3Sink;
use crate::request::InboundRequest;
use crate::request::ResponseEnded;
use crate::request::ResponseSink;
use crate::request::collect_body;
use crate::request::plain_response;
use crate::request::request_deadline;
use crate::request::serve;

/// While this many handshakes are open, further clients must validate their address with a QUIC
/// Retry, so that a flood of spoofed first packets can't exhaust memory.
const MAX_UNVALIDATED_HANDSHAKES: u32 = 256;

const MAX_HEADER_BYTES: u64 = 64 * 1024;

/// How long an idle connection stays open after a GOAWAY, so that the client can close it itself.
const GOAWAY_GRACE: Duration = Duration::from_secs(1);

/// Accepts client connections until the endpoint is closed.
pub(crate) async fn accept_connections(context: Rc<AgentContext>) {
    while let Some(incoming) = context.endpoint.accept().await {
        let is_unvalidated = !incoming.remote_address_validated();
        if context.is_draining() || context.flows_open.get() >= context.settings.flow_limit {
            context.counters.flows_refused.add(1);
            incoming.refuse();
        } else if is_unvalidated && context.handshakes_open.get() >= MAX_UNVALIDATED_HANDSHAKES {
            context.counters.retries_sent.add(1);
            // Fails only for a validated address.
            let _ = incoming.retry();
        } else {
            context.spawn(serve_incoming(Rc::clone(&context), incoming));
        }
    }
}

async fn serve_incoming(context: Rc<AgentContext>, incoming: Incoming) {
    context
        .handshakes_open
        .set(context.handshakes_open.get() + 1);
    let connection = match incoming.accept() {
        Ok(connecting) => connecting.await,
        Err(e) => Err(e),
    };
    context
        .handshakes_open
        .set(context.handshakes_open.get() - 1);
    match connection {
        Ok(connection) => {
            let client = connection.remote_address();
            context.flow_opened();
            serve_connection(&context, connection).await;
            context.flow_closed();
            context.socket.state().forget_client(client);
        }
        Err(e) => log::debug!("agent: handshake failed: {e}"),
    }
}

/// Open requests of one connection.
#[derive(Default)]
struct OpenRequests {
    count: Cell<usize>,
    changed: Notify,
}

/// Counts a request as open until it is dropped.
struct OpenRequest {
    context: Rc<AgentContext>,
    connection_requests: Rc<OpenRequests>,
}

impl OpenRequest {
    fn new(context: &Rc<AgentContext>, connection_requests: &Rc<OpenRequests>) -> Self {
        connection_requests
            .count
            .set(connection_requests.count.get() + 1);
        context.streams_open.set(context.streams_open.get() + 1);
        Self {
            context: Rc::clone(context),
            connection_requests: Rc::clone(connection_requests),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.connection_requests;
        open.count.set(open.count.get() - 1);
        open.changed.notify_one();
        let context = &self.context;
        context.streams_open.set(context.streams_open.get() - 1);
        context.work_ended.notify_waiters();
    }
}

async fn serve_connection(context: &Rc<AgentContext>, connection: quinn::Connection) {
    let number = context.last_connection.get() + 1;
    context.last_connection.set(number);
    let transport = Http3Transport::new(connection.clone());
    let signals = transport.signals();
    let mut builder = h3::server::builder();
    builder.max_field_section_size(MAX_HEADER_BYTES);
    let mut http3 = match builder.build::<_, Bytes>(transport).await {
        Ok(http3) => http3,
        Err(e) => {
            log::debug!("agent: starting HTTP/3 on connection {number} failed: {e}");
            return;
        }
    };
    let open = Rc::new(OpenRequests::default());
    let mut draining = context.draining.subscribe();
    let mut is_going_away = false;
    loop {
        tokio::select! {
            accepted = http3.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let request = OpenRequest::new(context, &open);
                    let task = Http3Request {
                        context: Rc::clone(context),
                        connection: number,
                        client: connection.remote_address(),
                        signals: signals.clone(),
                        is_rejected: is_going_away,
                    };
                    context.spawn(async move {
                        task.serve(resolver).await;
                        drop(request);
                    });
                }
                Ok(None) => return,
                Err(e) => {
                    log::debug!("agent: HTTP/3 connection {number} failed: {e}");
                    return;
                }
            },
            _ = draining.wait_for(|draining| *draining), if !is_going_away => {
                is_going_away = true;
                // With an argument of 1, the GOAWAY names the ID after the latest accepted request
                // as the first that is not processed.
                if http3.shutdown(1).await.is_err() {
                    return;
                }
            }
            () = wait_until_idle(&open, is_going_away) => return,
        }
    }
}

/// Waits until a connection that has sent a GOAWAY has been idle for [`GOAWAY_GRACE`].
async fn wait_until_idle(open: &OpenRequests, is_going_away: bool) {
    if !is_going_away {
        return pending().await;
    }
    loop {
        if open.count.get() > 0 {
            open.changed.notified().await;
            continue;
        }
        tokio::select! {
            () = sleep(GOAWAY_GRACE) => return,
            () = open.changed.notified() => {}
        }
    }
}

struct Http3Request {
    context: Rc<AgentContext>,
    connection: u64,
    client: SocketAddr,
    signals: StopSignals,
    /// Whether the request came after the connection's GOAWAY and must be rejected.
    is_rejected: bool,
}

impl Http3Request {
    async fn serve(self, resolver: RequestResolver<Http3Transport, Bytes>) {
        let arrival = self.context.now();
        // Without a time limit, a client that never completes its request would block a drain.
        let complete_by = arrival.plus_ms(self.context.settings.default_deadline_ms);
        let complete_by = self.context.instant(complete_by);
        let resolving = timeout_at(complete_by, resolver.resolve_request());
        let Ok(Ok((request, stream))) = resolving.await else {
            return;
        };
        let stream_id = stream.id();
        let signal = self.signals.take(stream_id);
        let (send, mut receive) = stream.split();
        let sink = Http3Sink::new(send);
        if self.is_rejected {
            self.context.counters.rejected.add(1);
            receive.stop_sending(Code::H3_REQUEST_REJECTED);
            sink.reject();
            return;
        }
        let mut sink = ResponseSink::Http3(Box::new(sink));
        let mut response_ended: ResponseEnded = Box::pin(async {
            match signal {
                Some(signal) => drop(signal.await),
                None => pending().await,
            }
        });
        let limit_bytes = self.context.settings.body_limit_bytes;
        let next = async || match receive.recv_data().await {
            Ok(Some(mut chunk)) => Some(Ok(chunk.copy_to_bytes(chunk.remaining()))),
            Ok(None) => None,
            Err(e) => Some(Err(e)),
        };
        let collected = tokio::select! {
            collected = collect_body(Bytes::new(), limit_bytes, next) => collected,
            () = sleep_until(complete_by) => Err(BodyError::TimedOut),
            () = &mut response_ended => return,
        };
        let (parts, ()) = request.into_parts();
        let body = match collected {
            Ok(body) => body,
            Err(BodyError::Aborted) => return,
            Err(BodyError::TimedOut) => {
                let answer = Answer::code(ResultCode::NotRunDeadline);
                self.context.count_answer(&answer);
                if sink
                    .answer_with_key_prefix(&self.context, &answer)
                    .await
                    .is_ok()
                {
                    response_ended.await;
                }
                return;
            }
            Err(BodyError::TooLarge) => {
                receive.stop_sending(Code::H3_NO_ERROR);
                let text = "the request body is larger than the service allows\n";
                let (head, body) = plain_response(StatusCode::PAYLOAD_TOO_LARGE, text);
                if sink
                    .send_whole(self.context.with_key_prefix(head), body)
                    .await
                    .is_ok()
                {
                    response_ended.await;
                }
                return;
            }
        };
        if is_key_prefix_request(&parts) {
            let prefix = self.context.coordinator.borrow_mut().issue_prefix(arrival);
            let (head, body) = plain_response(StatusCode::OK, prefix);
            if sink
                .send_whole(self.context.with_key_prefix(head), body)
                .await
                .is_ok()
            {
                response_ended.await;
            }
            return;
        }
        let deadline = request_deadline(
            &parts.headers,
            arrival,
            self.context.settings.default_deadline_ms,
        );
        let inbound = InboundRequest {
            parts,
            body,
            deadline,
            origin: RequestOrigin::Client,
            inbound_stream: InboundStreamId {
                connection: self.connection,
                stream: stream_id.into_inner(),
            },
            entry: self.context.socket.state().entry_hop(self.client),
            sink,
            response_ended,
        };
        self.serve_inbound(inbound).await;
    }

    /// Serves a request, or refuses it if the buffered bodies would exceed `queue_limit_bytes`.
    async fn serve_inbound(self, mut inbound: InboundRequest) {
        let body_bytes = inbound.body.len() as u64;
        let buffered_bytes = self.context.buffered_bytes.get() + body_bytes;
        if body_bytes > 0 && buffered_bytes > self.context.settings.queue_limit_bytes {
            let answer = Answer::code(ResultCode::NotRunQueueFull);
            self.context.count_answer(&answer);
            if inbound
                .sink
                .answer_with_key_prefix(&self.context, &answer)
                .await
                .is_ok()
            {
                inbound.response_ended.await;
            }
            return;
        }
        self.context.buffered_bytes.set(buffered_bytes);
        serve(Rc::clone(&self.context), inbound).await;
        let buffered_bytes = self.context.buffered_bytes.get();
        self.context.buffered_bytes.set(buffered_bytes - body_bytes);
    }
}

fn is_key_prefix_request(parts: &Parts) -> bool {
    parts.method == Method::GET && parts.uri.path() == KEY_PREFIX_PATH
}
