//! Client connections and their requests.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use fes_admission::Origin;
use fes_idempotency::Answer;
use fes_idempotency::FlowId;
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

use crate::core::AgentCore;
use crate::quic::Http3Transport;
use crate::quic::StopSignals;
use crate::request::BodyFault;
use crate::request::Cancelled;
use crate::request::Http3Sink;
use crate::request::Inbound;
use crate::request::ResponseSink;
use crate::request::collect;
use crate::request::deadline;
use crate::request::plain_response;
use crate::request::serve;

/// Handshakes in progress above which a client must first prove its address, which keeps a flood
/// of forged first packets from using memory.
const MAX_UNPROVEN_HANDSHAKES: u32 = 256;

const MAX_HEADER_BYTES: u64 = 64 * 1024;

/// How long a connection without requests stays open after a GOAWAY, so that the client sees it
/// and closes the connection itself.
const GOAWAY_GRACE: Duration = Duration::from_secs(1);

/// Accepts connections; returns when the endpoint is closed.
pub(crate) async fn accept_connections(core: Rc<AgentCore>) {
    while let Some(incoming) = core.endpoint.accept().await {
        let is_unproven = !incoming.remote_address_validated();
        if core.is_draining() || core.flows_open.get() >= core.settings.flow_limit {
            core.counters.flows_refused.add(1);
            incoming.refuse();
        } else if is_unproven && core.handshakes_open.get() >= MAX_UNPROVEN_HANDSHAKES {
            core.counters.retries_sent.add(1);
            // Fails only for a proven address.
            let _ = incoming.retry();
        } else {
            core.spawn(serve_incoming(Rc::clone(&core), incoming));
        }
    }
}

async fn serve_incoming(core: Rc<AgentCore>, incoming: Incoming) {
    core.handshakes_open.set(core.handshakes_open.get() + 1);
    let connection = match incoming.accept() {
        Ok(connecting) => connecting.await,
        Err(e) => Err(e),
    };
    core.handshakes_open.set(core.handshakes_open.get() - 1);
    match connection {
        Ok(connection) => {
            let client = connection.remote_address();
            core.flow_opened();
            serve_connection(&core, connection).await;
            core.flow_closed();
            core.socket.state().forget_client(client);
        }
        Err(e) => log::debug!("agent: handshake failed: {e}"),
    }
}

/// Requests of one connection that aren't ended.
#[derive(Default)]
struct OpenRequests {
    count: Cell<usize>,
    changed: Notify,
}

struct OpenRequest {
    core: Rc<AgentCore>,
    of_connection: Rc<OpenRequests>,
}

impl OpenRequest {
    fn new(core: &Rc<AgentCore>, of_connection: &Rc<OpenRequests>) -> Self {
        of_connection.count.set(of_connection.count.get() + 1);
        core.streams_open.set(core.streams_open.get() + 1);
        Self {
            core: Rc::clone(core),
            of_connection: Rc::clone(of_connection),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.of_connection;
        open.count.set(open.count.get() - 1);
        open.changed.notify_one();
        let core = &self.core;
        core.streams_open.set(core.streams_open.get() - 1);
        core.ended.notify_waiters();
    }
}

async fn serve_connection(core: &Rc<AgentCore>, connection: quinn::Connection) {
    let number = core.next_connection.get() + 1;
    core.next_connection.set(number);
    let transport = Http3Transport::new(connection.clone());
    let signals = transport.signals();
    let mut builder = h3::server::builder();
    builder.max_field_section_size(MAX_HEADER_BYTES);
    let mut http3 = match builder.build::<_, Bytes>(transport).await {
        Ok(http3) => http3,
        Err(e) => {
            log::debug!("agent: connection {number}: {e}");
            return;
        }
    };
    let open = Rc::new(OpenRequests::default());
    let mut draining = core.draining.subscribe();
    let mut is_going_away = false;
    loop {
        tokio::select! {
            accepted = http3.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let request = OpenRequest::new(core, &open);
                    let task = Http3Request {
                        core: Rc::clone(core),
                        connection: number,
                        client: connection.remote_address(),
                        signals: signals.clone(),
                        is_rejected: is_going_away,
                    };
                    core.spawn(async move {
                        task.serve(resolver).await;
                        drop(request);
                    });
                }
                Ok(None) => return,
                Err(e) => {
                    log::debug!("agent: connection {number}: {e}");
                    return;
                }
            },
            _ = draining.wait_for(|draining| *draining), if !is_going_away => {
                is_going_away = true;
                // The next request ID is the first that is not processed.
                if http3.shutdown(1).await.is_err() {
                    return;
                }
            }
            () = idle(&open, is_going_away) => return,
        }
    }
}

/// Resolves when a connection that is going away had no request for a while.
async fn idle(open: &OpenRequests, is_going_away: bool) {
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
    core: Rc<AgentCore>,
    connection: u64,
    client: SocketAddr,
    signals: StopSignals,
    /// Whether the connection's GOAWAY says that the request isn't processed.
    is_rejected: bool,
}

impl Http3Request {
    async fn serve(self, resolver: RequestResolver<Http3Transport, Bytes>) {
        let arrival = self.core.now();
        // A client that never completes its request must not hold up a drain.
        let complete_by = arrival.plus_ms(self.core.settings.default_deadline_ms);
        let complete_by = self.core.instant(complete_by);
        let resolving = timeout_at(complete_by, resolver.resolve_request());
        let Ok(Ok((request, stream))) = resolving.await else {
            return;
        };
        let stream_id = stream.id();
        let signal = self.signals.take(stream_id);
        let (send, mut receive) = stream.split();
        let sink = Http3Sink::new(send);
        if self.is_rejected {
            self.core.counters.rejected.add(1);
            receive.stop_sending(Code::H3_REQUEST_REJECTED);
            sink.reject();
            return;
        }
        let mut sink = ResponseSink::Http3(Box::new(sink));
        let mut cancelled: Cancelled = Box::pin(async {
            match signal {
                Some(signal) => drop(signal.await),
                None => pending().await,
            }
        });
        let limit_bytes = self.core.settings.body_limit_bytes;
        let next = async || match receive.recv_data().await {
            Ok(Some(mut chunk)) => Some(Ok(chunk.copy_to_bytes(chunk.remaining()))),
            Ok(None) => None,
            Err(e) => Some(Err(e)),
        };
        let collected = tokio::select! {
            collected = collect(Bytes::new(), limit_bytes, next) => collected,
            () = sleep_until(complete_by) => Err(BodyFault::Late),
            () = &mut cancelled => return,
        };
        let (parts, ()) = request.into_parts();
        let body = match collected {
            Ok(body) => body,
            Err(BodyFault::Broken) => return,
            Err(BodyFault::Late) => {
                let answer = Answer::code(ResultCode::NotRunDeadline);
                self.core.count_answer(&answer);
                if sink.answer_with(&self.core, &answer).await.is_ok() {
                    cancelled.await;
                }
                return;
            }
            Err(BodyFault::TooLarge) => {
                receive.stop_sending(Code::H3_NO_ERROR);
                let text = "the request body is larger than the service allows\n";
                let (head, body) = plain_response(StatusCode::PAYLOAD_TOO_LARGE, text);
                if sink
                    .send_whole(self.core.client_head(head), body)
                    .await
                    .is_ok()
                {
                    cancelled.await;
                }
                return;
            }
        };
        if is_key_prefix_request(&parts) {
            let prefix = self.core.coordinator.borrow_mut().issue_prefix(arrival);
            let (head, body) = plain_response(StatusCode::OK, prefix);
            if sink
                .send_whole(self.core.client_head(head), body)
                .await
                .is_ok()
            {
                cancelled.await;
            }
            return;
        }
        let deadline = deadline(
            &parts.headers,
            arrival,
            self.core.settings.default_deadline_ms,
        );
        let inbound = Inbound {
            parts,
            body,
            deadline,
            origin: Origin::Client,
            flow: FlowId {
                connection: self.connection,
                stream: stream_id.into_inner(),
            },
            entry: self.core.socket.state().entry_hop(self.client),
            sink,
            cancelled,
        };
        self.serve_inbound(inbound).await;
    }

    /// Serves a request unless the bodies of waiting requests already fill the memory set aside
    /// for them.
    async fn serve_inbound(self, mut inbound: Inbound) {
        let body_bytes = inbound.body.len() as u64;
        let buffered_bytes = self.core.buffered_bytes.get() + body_bytes;
        if body_bytes > 0 && buffered_bytes > self.core.settings.queue_limit_bytes {
            let answer = Answer::code(ResultCode::NotRunQueueFull);
            self.core.count_answer(&answer);
            if inbound.sink.answer_with(&self.core, &answer).await.is_ok() {
                inbound.cancelled.await;
            }
            return;
        }
        self.core.buffered_bytes.set(buffered_bytes);
        serve(Rc::clone(&self.core), inbound).await;
        let buffered_bytes = self.core.buffered_bytes.get();
        self.core.buffered_bytes.set(buffered_bytes - body_bytes);
    }
}

fn is_key_prefix_request(parts: &Parts) -> bool {
    parts.method == Method::GET && parts.uri.path() == KEY_PREFIX_PATH
}
