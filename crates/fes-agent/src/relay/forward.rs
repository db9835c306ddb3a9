//! Forwards requests to other agents.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use fes_idempotency::Answer;
use fes_idempotency::KeyOwner;
use fes_idempotency::RelayEvent;
use fes_link::LinkReply;
use fes_link::decode_head;
use fes_link::next_chunk;
use fes_link::send_chunk;
use fes_protocol::Error;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;
use http::Response;

use super::wire::ForwardReason;
use super::wire::REQUEST_KIND;
use super::wire::ReplyWire;
use super::wire::RequestWire;
use super::wire::decode_response_head;
use crate::context::AgentContext;
use crate::decisions::SchedulerEvent;
use crate::request::Exchange;
use crate::request::Progress;
use crate::request::ResponseSink;
use crate::request::SinkClosed;

/// Reply of a peer: the head and body of a response, or a result code.
enum Reply {
    Response(Response<()>, Box<LinkReply>),
    Code(Answer),
}

/// Relays a request to the owner of its idempotency key, without a retry.
pub(crate) async fn relay(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
    owner: KeyOwner,
    deadline: MonoTime,
    sink: &mut ResponseSink,
) -> Result<Progress, SinkClosed> {
    let peer = context.link_address(owner.target);
    let connected = match peer {
        Some(peer) => context.links.connect(peer).await.map(|()| peer),
        None => Err(Error::coded(
            ResultCode::LinkRefused,
            "the link address of the peer is unknown",
        )),
    };
    let Ok(peer) = connected else {
        context.post_relay(RelayEvent::LinkUnavailable { request: id });
        return Ok(Progress::Waiting);
    };
    context.post_relay(RelayEvent::Forwarded { request: id });
    match send_request(context, exchange, peer, ForwardReason::Relayed, deadline).await {
        Ok(Reply::Response(head, reply)) => {
            // Ends the relay in the coordinator. The sender of the request doesn't get this code,
            // because the owner's response is streamed to it below.
            let answer = Answer::code(ResultCode::FinishedNotHeld);
            context.post_relay(RelayEvent::OwnerAnswered {
                request: id,
                answer,
            });
            stream_response(context, head, *reply, sink).await?;
            Ok(Progress::Answered)
        }
        Ok(Reply::Code(answer)) => {
            context.post_relay(RelayEvent::OwnerAnswered {
                request: id,
                answer,
            });
            Ok(Progress::Waiting)
        }
        Err(e) => {
            log::debug!("agent: relaying request {id} failed: {e}");
            context.post_relay(RelayEvent::LinkLost { request: id });
            Ok(Progress::Waiting)
        }
    }
}

/// Offloads a repeatable request to a less loaded peer.
pub(crate) async fn offload(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
    target: TargetId,
    sink: &mut ResponseSink,
) -> Result<Progress, SinkClosed> {
    let failed = |may_have_run| {
        context.post_scheduler(SchedulerEvent::OffloadFailed {
            id,
            target,
            may_have_run,
        });
        Ok(Progress::Waiting)
    };
    let Some(peer) = context.link_address(target) else {
        return failed(false);
    };
    let sending = send_request(
        context,
        exchange,
        peer,
        ForwardReason::Offloaded,
        exchange.deadline,
    );
    match tokio::time::timeout_at(context.instant(exchange.deadline), sending).await {
        Ok(Ok(Reply::Response(head, reply))) => {
            let streamed = stream_response(context, head, *reply, sink).await;
            context.post_scheduler(SchedulerEvent::Answered { id });
            streamed.map(|()| Progress::Answered)
        }
        Ok(Ok(Reply::Code(Answer::Code { code, .. }))) => failed(!code.is_not_run()),
        Ok(Ok(Reply::Code(Answer::Response(_)))) => failed(true),
        Ok(Err(e)) => {
            log::debug!("agent: offloading request {id} failed: {e}");
            // With `LinkRefused`, nothing was sent to the peer.
            failed(e.code() != ResultCode::LinkRefused)
        }
        Err(_) => {
            let answer = Answer::code(ResultCode::UnknownDeadline);
            let sent = sink.answer(&answer).await;
            context.post_scheduler(SchedulerEvent::Answered { id });
            sent.map(|()| Progress::Answered)
        }
    }
}

async fn send_request(
    context: &Rc<AgentContext>,
    exchange: &Exchange,
    peer: SocketAddr,
    reason: ForwardReason,
    deadline: MonoTime,
) -> Result<Reply> {
    let deadline_ms = deadline.ms_since(context.now());
    let service_id = context.settings.service.0;
    let mut parts = exchange.parts.as_ref().clone();
    exchange.span.inject_context(&mut parts);
    let head = RequestWire::new(&parts, service_id, reason, deadline_ms);
    let mut call = context.links.open(peer, REQUEST_KIND, &head, false).await?;
    let closed = |e: h2::Error| Error::coded(ResultCode::LinkClosed, e.to_string());
    send_chunk(&mut call.body, exchange.body.clone(), true)
        .await
        .map_err(closed)?;
    let reply = call.reply().await?;
    match decode_head::<ReplyWire>(&reply.head)? {
        ReplyWire::Response { status, fields } => {
            let head = decode_response_head(status, &fields)?;
            Ok(Reply::Response(head, Box::new(reply)))
        }
        ReplyWire::Code { code, detail } => {
            let code = ResultCode::from_number(code).unwrap_or(ResultCode::ControlMalformed);
            Ok(Reply::Code(Answer::Code {
                code,
                detail: detail.into(),
            }))
        }
    }
}

/// Streams a peer's response to `sink`. If the response is truncated, the sink is not finished, so
/// that dropping it resets the stream.
async fn stream_response(
    context: &Rc<AgentContext>,
    head: Response<()>,
    mut reply: LinkReply,
    sink: &mut ResponseSink,
) -> Result<(), SinkClosed> {
    sink.start(context.with_key_prefix(head)).await?;
    if !reply.first_body.is_empty() {
        sink.data(std::mem::replace(&mut reply.first_body, Bytes::new()))
            .await?;
    }
    while let Some(chunk) = next_chunk(&mut reply.body).await {
        match chunk {
            Ok(chunk) => sink.data(chunk).await?,
            Err(_) => return count_truncated(context),
        }
    }
    match reply.body.trailers().await {
        Ok(trailers) => {
            context.counters.finished.add(1);
            sink.finish(trailers).await
        }
        Err(_) => count_truncated(context),
    }
}

fn count_truncated(context: &Rc<AgentContext>) -> Result<(), SinkClosed> {
    context.counters.truncated.add(1);
    context.count_code(ResultCode::ResponseTruncated);
    Ok(())
}
