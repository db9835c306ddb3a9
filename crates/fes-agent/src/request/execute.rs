//! Runs a repeatable request, which has no idempotency key, at the upstream and streams the
//! response to the request's sender.

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
use crate::context::AgentContext;
use crate::decisions::SchedulerEvent;
use crate::decisions::UpstreamOutcome;
use crate::upstream::UpstreamCall;
use crate::upstream::UpstreamFailure;

/// Result of an attempt to run a request at the upstream.
pub(crate) enum AttemptResult {
    /// The attempt ended. The caller must report the outcome to the scheduler.
    Ended(UpstreamOutcome),
    /// An event stream ended. Its outcome was reported to the scheduler, which released the slot,
    /// when the stream started.
    EventStreamEnded,
    /// The sender of the request cancelled it or disconnected.
    SinkClosed,
}

/// Sends a request to the upstream and streams the response to `sink`.
pub(crate) async fn execute(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
) -> AttemptResult {
    let (mut call, span) = match send(context, exchange).await {
        Ok(sent) => sent,
        Err(failure) => return attempt_failed(failure, sink).await,
    };
    context.count_started(exchange);
    let waiting = tokio::time::timeout_at(context.instant(exchange.deadline), call.response());
    let response = match waiting.await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return attempt_failed(failure, sink).await,
        Err(_) => {
            let answer = Answer::code(ResultCode::UnknownDeadline);
            return answer_unknown_outcome(&answer, sink).await;
        }
    };
    let (head, mut body) = split_response(response);
    let tag = context.expect_response(id, exchange, &head);
    let is_event_stream = is_event_stream(&head);
    if sink.start(context.with_key_prefix(head)).await.is_err() {
        context.matcher.borrow_mut().cancel(id);
        return AttemptResult::SinkClosed;
    }
    if is_event_stream {
        // An event stream may stay open for hours, so it occupies a slot only until it starts.
        let outcome = UpstreamOutcome::Finished(FinishedResponse::Streamed);
        context.post_scheduler(SchedulerEvent::Outcome { id, outcome });
    }
    let ended = stream_body(context, tag, &mut body, sink).await;
    match ended {
        Ok(true) if is_event_stream => AttemptResult::EventStreamEnded,
        Ok(true) => AttemptResult::Ended(UpstreamOutcome::Finished(FinishedResponse::Streamed)),
        Ok(false) => {
            context.counters.truncated.add(1);
            span.set_error(ResultCode::ResponseTruncated);
            exchange.span.set_error(ResultCode::ResponseTruncated);
            log::warn!(
                "agent: request {id} failed: {}",
                ResultCode::ResponseTruncated
            );
            match is_event_stream {
                true => AttemptResult::EventStreamEnded,
                false => AttemptResult::Ended(UpstreamOutcome::Lost),
            }
        }
        Err(SinkClosed) => {
            context.matcher.borrow_mut().cancel(id);
            AttemptResult::SinkClosed
        }
    }
}

/// Sends a request with its remaining time to the upstream, opening the connection if necessary.
pub(crate) async fn send(
    context: &Rc<AgentContext>,
    exchange: &Exchange,
) -> Result<(UpstreamCall, HopSpan), UpstreamFailure> {
    let sender = context.upstream.ready().await?;
    let mut parts = with_deadline_header(&exchange.parts, context.now(), exchange.deadline);
    let span = exchange.span.start_upstream(&mut parts);
    let sent = context.upstream.send(sender, &parts, exchange.body.clone());
    Ok((sent.await?, span))
}

/// Returns the `content-length` of a response, unless the response has no body.
pub(crate) fn content_length(method: &Method, head: &Response<()>) -> Option<u64> {
    let has_no_body =
        method == Method::HEAD || matches!(head.status().as_u16(), 100..=199 | 204 | 304);
    if has_no_body {
        return None;
    }
    let value = head.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Converts the result code of a request that certainly didn't run at the upstream.
pub(crate) const fn upstream_refusal(code: ResultCode) -> UpstreamRefusal {
    match code {
        ResultCode::NotRunUpstreamDown => UpstreamRefusal::NotSent,
        _ => UpstreamRefusal::RefusedStream,
    }
}

pub(crate) fn split_response(response: Response<RecvStream>) -> (Response<()>, RecvStream) {
    let (parts, body) = response.into_parts();
    (Response::from_parts(parts, ()), body)
}

async fn attempt_failed(failure: UpstreamFailure, sink: &mut ResponseSink) -> AttemptResult {
    match failure {
        UpstreamFailure::NotRun(code) => {
            AttemptResult::Ended(UpstreamOutcome::Refused(upstream_refusal(code)))
        }
        UpstreamFailure::Unknown(code) => answer_unknown_outcome(&Answer::code(code), sink).await,
    }
}

async fn answer_unknown_outcome(answer: &Answer, sink: &mut ResponseSink) -> AttemptResult {
    match sink.answer(answer).await {
        Ok(()) => AttemptResult::Ended(UpstreamOutcome::Lost),
        Err(SinkClosed) => AttemptResult::SinkClosed,
    }
}

/// Streams the body to `sink`; returns whether it was complete.
async fn stream_body(
    context: &Rc<AgentContext>,
    tag: ResponseTag,
    body: &mut RecvStream,
    sink: &mut ResponseSink,
) -> Result<bool, SinkClosed> {
    while let Some(chunk) = next_chunk(body).await {
        let Ok(chunk) = chunk else {
            context.receive_part(tag, ResponsePart::Aborted);
            return Ok(false);
        };
        let part = ResponsePart::Body {
            len_bytes: chunk.len() as u64,
        };
        if !matches!(context.receive_part(tag, part), Delivery::Forward(_)) {
            return Ok(false);
        }
        sink.data(chunk).await?;
    }
    let Ok(trailers) = body.trailers().await else {
        context.receive_part(tag, ResponsePart::Aborted);
        return Ok(false);
    };
    finish_response(context, tag, trailers, sink).await
}

/// Ends a response; returns whether its body had the length that the head announced.
async fn finish_response(
    context: &Rc<AgentContext>,
    tag: ResponseTag,
    trailers: Option<HeaderMap>,
    sink: &mut ResponseSink,
) -> Result<bool, SinkClosed> {
    match context.receive_part(tag, ResponsePart::End) {
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

fn with_deadline_header(parts: &Parts, now: MonoTime, deadline: MonoTime) -> Parts {
    let mut parts = parts.clone();
    let remaining_ms = deadline.ms_since(now);
    parts
        .headers
        .insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
    parts
}
