//! The one attempt of a non-repeatable request at the upstream.

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
use super::execute::refusal;
use super::execute::send;
use super::execute::split;
use crate::core::AgentCore;
use crate::decisions::UpstreamOutcome;
use crate::decisions::WorkEvent;
use crate::upstream::UpstreamFailure;

/// How long after its deadline a started request may still keep its slot. Its outcome is worth
/// waiting for, because the client can't repeat it.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Chunks of a large response that wait for a slow client.
const STREAM_CHUNKS: usize = 4;

/// Runs a non-repeatable request to its end, whether or not its client still waits, because a
/// retry with the same key asks for the outcome.
pub(crate) async fn run_keyed(core: Rc<AgentCore>, id: RequestId, exchange: Exchange) {
    let outcome = attempt(&core, id, &exchange).await;
    let is_streamed = outcome == UpstreamOutcome::Finished(FinishedResponse::Streamed);
    core.post_work(WorkEvent::Outcome { id, outcome });
    if is_streamed {
        core.post_work(WorkEvent::Ended { id });
    }
}

async fn attempt(core: &Rc<AgentCore>, id: RequestId, exchange: &Exchange) -> UpstreamOutcome {
    let (mut call, span) = match send(core, exchange).await {
        Ok(sent) => sent,
        Err(failure) => return failed(failure),
    };
    core.count_started(exchange);
    let latest = core.instant(exchange.deadline) + OUTCOME_GRACE;
    let response = match tokio::time::timeout_at(latest, call.response()).await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return failed(failure),
        Err(_) => return UpstreamOutcome::Lost,
    };
    let (head, mut body) = split(response);
    let tag = core.expect_response(id, exchange, &head);
    let collected = collect(core, id, tag, &head, &mut body).await;
    let Some(finished) = collected else {
        core.counters.truncated.add(1);
        span.fail(ResultCode::ResponseTruncated);
        log::warn!("agent: request {id}: {}", ResultCode::ResponseTruncated);
        return UpstreamOutcome::Lost;
    };
    core.observe_duration(exchange);
    UpstreamOutcome::Finished(finished)
}

fn failed(failure: UpstreamFailure) -> UpstreamOutcome {
    match failure {
        UpstreamFailure::NotRun(code) => UpstreamOutcome::Refused(refusal(code)),
        UpstreamFailure::Unknown(_) => UpstreamOutcome::Lost,
    }
}

/// Collects a response; streams it to the first client if it is too large to be held. Returns
/// `None` if it was not complete.
async fn collect(
    core: &Rc<AgentCore>,
    id: RequestId,
    tag: ResponseTag,
    head: &Response<()>,
    body: &mut RecvStream,
) -> Option<FinishedResponse> {
    let mut held = BytesMut::new();
    let mut stream: Option<mpsc::Sender<Result<Bytes, ()>>> = None;
    while let Some(chunk) = next_chunk(body).await {
        let part = match &chunk {
            Ok(chunk) => ResponsePart::Body {
                len_bytes: chunk.len() as u64,
            },
            Err(_) => ResponsePart::Aborted,
        };
        let is_passed = matches!(core.receive_part(tag, part), Delivery::Forward(_));
        let (Ok(chunk), true) = (chunk, is_passed) else {
            return broken(stream).await;
        };
        match &stream {
            // The client may be gone; the outcome is still needed.
            Some(stream) => drop(stream.send(Ok(chunk)).await),
            None => {
                held.extend_from_slice(&chunk);
                if held.len() > core.max_held_response_bytes {
                    stream = Some(start_stream(core, id, head, held.split().freeze()).await);
                }
            }
        }
    }
    // Trailers aren't held; a lost connection shows here as well.
    let is_complete = body.trailers().await.is_ok()
        && matches!(
            core.receive_part(tag, ResponsePart::End),
            Delivery::Complete(_)
        );
    match (is_complete, stream) {
        (false, stream) => broken(stream).await,
        (true, Some(_)) => Some(FinishedResponse::Streamed),
        (true, None) => Some(FinishedResponse::Buffered(stored(head, held.freeze()))),
    }
}

async fn start_stream(
    core: &Rc<AgentCore>,
    id: RequestId,
    head: &Response<()>,
    first: Bytes,
) -> mpsc::Sender<Result<Bytes, ()>> {
    let (sender, chunks) = mpsc::channel(STREAM_CHUNKS);
    let head = copy_head(head);
    core.requests.send(id, RequestStep::Stream { head, chunks });
    // Fails only if the client is gone.
    let _ = sender.send(Ok(first)).await;
    sender
}

async fn broken(stream: Option<mpsc::Sender<Result<Bytes, ()>>>) -> Option<FinishedResponse> {
    if let Some(stream) = stream {
        let _ = stream.send(Err(())).await;
    }
    None
}

fn copy_head(head: &Response<()>) -> Response<()> {
    let mut copy = Response::new(());
    *copy.status_mut() = head.status();
    *copy.headers_mut() = head.headers().clone();
    copy
}

fn stored(head: &Response<()>, body: Bytes) -> Arc<StoredResponse> {
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
