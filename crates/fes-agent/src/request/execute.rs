//! One attempt of a repeatable request at the upstream, streamed to its sender.

use std::rc::Rc;

use fes_idempotency::Answer;
use fes_idempotency::Delivery;
use fes_idempotency::FinishedResponse;
use fes_idempotency::ResponsePart;
use fes_idempotency::ResponseTag;
use fes_idempotency::UpstreamRefusal;
use fes_link::next_chunk;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::headers::DEADLINE_MS;
use h2::RecvStream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::request::Parts;

use super::Exchange;
use super::HopSpan;
use super::ResponseSink;
use super::SinkClosed;
use crate::core::AgentCore;
use crate::decisions::UpstreamOutcome;
use crate::decisions::WorkEvent;
use crate::upstream::UpstreamCall;
use crate::upstream::UpstreamFailure;

/// How an attempt ended.
pub(crate) enum Attempt {
    /// The outcome is for the work component.
    Ended(UpstreamOutcome),
    /// The slot was given back when the stream of events began; the response is over.
    StreamOver,
    /// The sender of the request went away.
    SinkClosed,
}

/// Sends a request to the upstream and its response to `sink`.
pub(crate) async fn execute(
    core: &Rc<AgentCore>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
) -> Attempt {
    let (mut call, span) = match send(core, exchange).await {
        Ok(sent) => sent,
        Err(failure) => return failed(failure, sink).await,
    };
    core.count_started(exchange);
    let waiting = tokio::time::timeout_at(core.instant(exchange.deadline), call.response());
    let response = match waiting.await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return failed(failure, sink).await,
        Err(_) => {
            let answer = Answer::code(ResultCode::UnknownDeadline);
            return lost(&answer, sink).await;
        }
    };
    let (head, mut body) = split(response);
    let tag = core.expect_response(id, exchange, &head);
    let is_event_stream = is_event_stream(&head);
    if sink.start(core.client_head(head)).await.is_err() {
        core.matcher.borrow_mut().cancel(id);
        return Attempt::SinkClosed;
    }
    if is_event_stream {
        // A stream of events lasts for hours and needs the upstream's slot only to begin.
        let outcome = UpstreamOutcome::Finished(FinishedResponse::Streamed);
        core.post_work(WorkEvent::Outcome { id, outcome });
    }
    let ended = stream_body(core, tag, &mut body, sink).await;
    match ended {
        Ok(true) if is_event_stream => Attempt::StreamOver,
        Ok(true) => Attempt::Ended(UpstreamOutcome::Finished(FinishedResponse::Streamed)),
        Ok(false) => {
            core.counters.truncated.add(1);
            span.fail(ResultCode::ResponseTruncated);
            exchange.span.fail(ResultCode::ResponseTruncated);
            log::warn!("agent: request {id}: {}", ResultCode::ResponseTruncated);
            match is_event_stream {
                true => Attempt::StreamOver,
                false => Attempt::Ended(UpstreamOutcome::Lost),
            }
        }
        Err(SinkClosed) => {
            core.matcher.borrow_mut().cancel(id);
            Attempt::SinkClosed
        }
    }
}

/// Opens the upstream connection if necessary and sends the request with its remaining time.
pub(crate) async fn send(
    core: &Rc<AgentCore>,
    exchange: &Exchange,
) -> Result<(UpstreamCall, HopSpan), UpstreamFailure> {
    let sender = core.upstream.ready().await?;
    let mut parts = with_deadline(&exchange.parts, core.now(), exchange.deadline);
    let span = exchange.span.upstream(&mut parts);
    let sent = core.upstream.send(sender, &parts, exchange.body.clone());
    Ok((sent.await?, span))
}

/// Returns the length that a response announces, if its body must have it.
pub(crate) fn announced_bytes(method: &Method, head: &Response<()>) -> Option<u64> {
    let has_no_body =
        method == Method::HEAD || matches!(head.status().as_u16(), 100..=199 | 204 | 304);
    if has_no_body {
        return None;
    }
    let value = head.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the proof that an upstream did not run a request.
pub(crate) const fn refusal(code: ResultCode) -> UpstreamRefusal {
    match code {
        ResultCode::NotRunUpstreamDown => UpstreamRefusal::NotSent,
        _ => UpstreamRefusal::RefusedStream,
    }
}

pub(crate) fn split(response: Response<RecvStream>) -> (Response<()>, RecvStream) {
    let (parts, body) = response.into_parts();
    (Response::from_parts(parts, ()), body)
}

async fn failed(failure: UpstreamFailure, sink: &mut ResponseSink) -> Attempt {
    match failure {
        UpstreamFailure::NotRun(code) => Attempt::Ended(UpstreamOutcome::Refused(refusal(code))),
        UpstreamFailure::Unknown(code) => lost(&Answer::code(code), sink).await,
    }
}

async fn lost(answer: &Answer, sink: &mut ResponseSink) -> Attempt {
    match sink.answer(answer).await {
        Ok(()) => Attempt::Ended(UpstreamOutcome::Lost),
        Err(SinkClosed) => Attempt::SinkClosed,
    }
}

/// Passes the body on; returns whether it was complete.
async fn stream_body(
    core: &Rc<AgentCore>,
    tag: ResponseTag,
    body: &mut RecvStream,
    sink: &mut ResponseSink,
) -> Result<bool, SinkClosed> {
    while let Some(chunk) = next_chunk(body).await {
        let Ok(chunk) = chunk else {
            core.receive_part(tag, ResponsePart::Aborted);
            return Ok(false);
        };
        let part = ResponsePart::Body {
            len_bytes: chunk.len() as u64,
        };
        if !matches!(core.receive_part(tag, part), Delivery::Forward(_)) {
            return Ok(false);
        }
        sink.data(chunk).await?;
    }
    let Ok(trailers) = body.trailers().await else {
        core.receive_part(tag, ResponsePart::Aborted);
        return Ok(false);
    };
    finish(core, tag, trailers, sink).await
}

async fn finish(
    core: &Rc<AgentCore>,
    tag: ResponseTag,
    trailers: Option<HeaderMap>,
    sink: &mut ResponseSink,
) -> Result<bool, SinkClosed> {
    match core.receive_part(tag, ResponsePart::End) {
        Delivery::Complete(_) => {
            sink.finish(trailers).await?;
            Ok(true)
        }
        _ => Ok(false),
    }
}

fn is_event_stream(head: &Response<()>) -> bool {
    let content_type = head.headers().get(CONTENT_TYPE);
    head.status() == StatusCode::OK
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn with_deadline(parts: &Parts, now: MonoTime, deadline: MonoTime) -> Parts {
    let mut parts = parts.clone();
    let left_ms = deadline.ms_since(now);
    parts
        .headers
        .insert(DEADLINE_MS, HeaderValue::from(left_ms));
    parts
}
