//! Runs a non-repeatable request at the upstream, once.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fes_idempotency::Delivery;
use fes_idempotency::FinishedResponse;
use fes_idempotency::ResponsePart;
use fes_idempotency::ResponseTag;
use fes_idempotency::StoredResponse;
use fes_link::next_chunk;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use h2::RecvStream;
use http::Response;
use tokio::sync::mpsc;

use super::Exchange;
use super::RequestStep;
use super::execute::send;
use super::execute::split_response;
use super::execute::upstream_refusal;
use crate::context::AgentContext;
use crate::decisions::SchedulerEvent;
use crate::decisions::UpstreamOutcome;
use crate::upstream::UpstreamFailure;

/// How long a started request may occupy its slot after its deadline. The outcome is still needed,
/// because the client can't repeat the request.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Maximum number of buffered chunks of a large response while the client is slow.
const STREAM_CHANNEL_CAPACITY: usize = 4;

/// Runs a non-repeatable request to completion, even if its client disconnects, because a retry
/// with the same key needs the outcome.
pub(crate) async fn run_keyed(context: Rc<AgentContext>, id: RequestId, exchange: Exchange) {
    let outcome = attempt(&context, id, &exchange).await;
    let is_streamed = outcome == UpstreamOutcome::Finished(FinishedResponse::Streamed);
    context.post_scheduler(SchedulerEvent::Outcome { id, outcome });
    if is_streamed {
        context.post_scheduler(SchedulerEvent::Answered { id });
    }
}

async fn attempt(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
) -> UpstreamOutcome {
    let (mut call, span) = match send(context, exchange).await {
        Ok(sent) => sent,
        Err(failure) => return failure_outcome(failure),
    };
    context.count_started(exchange);
    let outcome_deadline = context.instant(exchange.deadline) + OUTCOME_GRACE;
    let response = match tokio::time::timeout_at(outcome_deadline, call.response()).await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return failure_outcome(failure),
        Err(_) => return UpstreamOutcome::Lost,
    };
    let (head, mut body) = split_response(response);
    let tag = context.expect_response(id, exchange, &head);
    let collected = collect_response(context, id, tag, &head, &mut body).await;
    let Some(finished) = collected else {
        context.counters.truncated.add(1);
        span.set_error(ResultCode::ResponseTruncated);
        log::warn!(
            "agent: request {id} failed: {}",
            ResultCode::ResponseTruncated
        );
        return UpstreamOutcome::Lost;
    };
    context.observe_duration(exchange);
    UpstreamOutcome::Finished(finished)
}

fn failure_outcome(failure: UpstreamFailure) -> UpstreamOutcome {
    match failure {
        UpstreamFailure::NotRun(code) => UpstreamOutcome::Refused(upstream_refusal(code)),
        UpstreamFailure::Unknown(_) => UpstreamOutcome::Lost,
    }
}

/// Buffers a response, or streams it to the first client if it is too large to be stored. Returns
/// `None` if the response was truncated.
async fn collect_response(
    context: &Rc<AgentContext>,
    id: RequestId,
    tag: ResponseTag,
    head: &Response<()>,
    body: &mut RecvStream,
) -> Option<FinishedResponse> {
    let mut buffered = BytesMut::new();
    let mut stream: Option<mpsc::Sender<Result<Bytes, ()>>> = None;
    while let Some(chunk) = next_chunk(body).await {
        let part = match &chunk {
            Ok(chunk) => ResponsePart::Body {
                len_bytes: chunk.len() as u64,
            },
            Err(_) => ResponsePart::Aborted,
        };
        let is_accepted = matches!(context.receive_part(tag, part), Delivery::Forward(_));
        let (Ok(chunk), true) = (chunk, is_accepted) else {
            return abort_stream(stream).await;
        };
        match &stream {
            // Fails if the client has disconnected; the outcome is still needed.
            Some(stream) => drop(stream.send(Ok(chunk)).await),
            None => {
                buffered.extend_from_slice(&chunk);
                if buffered.len() > context.max_stored_response_bytes {
                    stream = Some(start_stream(context, id, head, buffered.split().freeze()).await);
                }
            }
        }
    }
    // Trailers aren't stored, but reading them also detects a lost connection.
    let is_complete = body.trailers().await.is_ok()
        && matches!(
            context.receive_part(tag, ResponsePart::End),
            Delivery::Complete(_)
        );
    match (is_complete, stream) {
        (false, stream) => abort_stream(stream).await,
        (true, Some(_)) => Some(FinishedResponse::Streamed),
        (true, None) => Some(FinishedResponse::Buffered(to_stored_response(
            head,
            buffered.freeze(),
        ))),
    }
}

async fn start_stream(
    context: &Rc<AgentContext>,
    id: RequestId,
    head: &Response<()>,
    first: Bytes,
) -> mpsc::Sender<Result<Bytes, ()>> {
    let (sender, chunks) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
    let head = clone_head(head);
    context
        .requests
        .send(id, RequestStep::Stream { head, chunks });
    // Fails only if the client has disconnected.
    let _ = sender.send(Ok(first)).await;
    sender
}

async fn abort_stream(stream: Option<mpsc::Sender<Result<Bytes, ()>>>) -> Option<FinishedResponse> {
    if let Some(stream) = stream {
        let _ = stream.send(Err(())).await;
    }
    None
}

fn clone_head(head: &Response<()>) -> Response<()> {
    let mut copy = Response::new(());
    *copy.status_mut() = head.status();
    *copy.headers_mut() = head.headers().clone();
    copy
}

fn to_stored_response(head: &Response<()>, body: Bytes) -> Arc<StoredResponse> {
    let fields = head.headers().iter().map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (Box::from(name.as_str()), value)
    });
    Arc::new(StoredResponse {
        status: head.status().as_u16(),
        fields: fields.collect(),
        body,
    })
}
