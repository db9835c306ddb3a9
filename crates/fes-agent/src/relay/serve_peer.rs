//! Serves requests that other agents forward to this one.

use std::rc::Rc;

use fes_admission::RequestOrigin;
use fes_idempotency::InboundStreamId;
use fes_link::LinkRequest;
use fes_link::decode_head;
use fes_link::next_chunk;
use fes_protocol::ResultCode;
use tokio::sync::oneshot;

use super::LinkSink;
use super::link_sink::write_reply;
use super::wire::ForwardReason;
use super::wire::RequestWire;
use crate::context::AgentContext;
use crate::request::InboundRequest;
use crate::request::ResponseSink;
use crate::request::collect_body;
use crate::request::serve;

/// Serves a request from another agent until its response is written or the other agent cancels it.
pub(crate) async fn serve_peer(context: Rc<AgentContext>, request: LinkRequest) {
    let LinkRequest {
        head,
        first_body,
        mut body,
        responder,
        ..
    } = request;
    let arrival = context.now();
    let decoded =
        decode_head::<RequestWire>(&head).and_then(|wire| Ok((wire.decode_parts()?, wire)));
    let Ok((parts, wire)) = decoded else {
        context.count_code(ResultCode::ControlMalformed);
        responder.reject();
        return;
    };
    if wire.service_id != context.settings.service.0 {
        context.count_code(ResultCode::DatagramWrongService);
        responder.reject();
        return;
    }
    let limit_bytes = context.settings.body_limit_bytes;
    let collected = collect_body(first_body, limit_bytes, async || {
        next_chunk(&mut body).await
    })
    .await;
    let Ok(body) = collected else {
        responder.reject();
        return;
    };
    let (sink, reply_parts) = LinkSink::new();
    // The guard is dropped when the reply is written, or together with this future when the link
    // closes or the stream is reset.
    let (reply_guard, reply_ended) = oneshot::channel::<()>();
    let inbound = InboundRequest {
        parts,
        body,
        deadline: arrival.plus_ms(wire.deadline_ms),
        origin: match wire.reason {
            ForwardReason::Relayed => RequestOrigin::Relayed,
            ForwardReason::Offloaded => RequestOrigin::Offloaded,
        },
        // Client connections are numbered from 1; connection 0 stands for all links.
        inbound_stream: InboundStreamId {
            connection: 0,
            stream: 0,
        },
        entry: None,
        sink: ResponseSink::Link(sink),
        response_ended: Box::pin(async {
            let _ = reply_ended.await;
        }),
    };
    context.spawn(serve(Rc::clone(&context), inbound));
    write_reply(responder, reply_parts).await;
    drop(reply_guard);
}
