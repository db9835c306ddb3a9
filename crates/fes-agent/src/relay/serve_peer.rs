//! Requests that other agents pass on to this one.

use std::rc::Rc;

use fes_admission::RequestOrigin;
use fes_idempotency::FlowId;
use fes_link::LinkRequest;
use fes_link::decode_head;
use fes_link::next_chunk;
use fes_protocol::ResultCode;
use tokio::sync::oneshot;

use super::LinkSink;
use super::link_sink::write_reply;
use super::wire::PassedOn;
use super::wire::RequestWire;
use crate::core::AgentCore;
use crate::request::Inbound;
use crate::request::ResponseSink;
use crate::request::collect;
use crate::request::serve;

/// Serves a request of another agent until its response is written or the other agent gives up.
pub(crate) async fn serve_peer(core: Rc<AgentCore>, request: LinkRequest) {
    let LinkRequest {
        head,
        first_body,
        mut body,
        responder,
        ..
    } = request;
    let arrival = core.now();
    let decoded = decode_head::<RequestWire>(&head).and_then(|wire| Ok((wire.parts()?, wire)));
    let Ok((parts, wire)) = decoded else {
        core.count_code(ResultCode::ControlMalformed);
        responder.reject();
        return;
    };
    if wire.service_id != core.settings.service.0 {
        core.count_code(ResultCode::DatagramWrongService);
        responder.reject();
        return;
    }
    let limit_bytes = core.settings.body_limit_bytes;
    let collected = collect(first_body, limit_bytes, async || {
        next_chunk(&mut body).await
    })
    .await;
    let Ok(body) = collected else {
        responder.reject();
        return;
    };
    let (sink, parts_to_write) = LinkSink::new();
    // Dropped together with this future when the link closes or the stream is reset.
    let (alive, gone) = oneshot::channel::<()>();
    let inbound = Inbound {
        parts,
        body,
        deadline: arrival.plus_ms(wire.deadline_ms),
        origin: match wire.reason {
            PassedOn::Relayed => RequestOrigin::Relayed,
            PassedOn::Offloaded => RequestOrigin::Offloaded,
        },
        flow: FlowId {
            connection: 0,
            stream: 0,
        },
        entry: None,
        sink: ResponseSink::Link(sink),
        cancelled: Box::pin(async {
            let _ = gone.await;
        }),
    };
    core.spawn(serve(Rc::clone(&core), inbound));
    write_reply(responder, parts_to_write).await;
    drop(alive);
}
