//! Task that serves one request.

use std::rc::Rc;

use bytes::Bytes;
use fes_admission::ClassName;
use fes_idempotency::Answer;
use fes_idempotency::RequestDigester;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use http::Response;
use tokio::sync::mpsc;

use super::Exchange;
use super::HopSpan;
use super::InboundRequest;
use super::RequestStep;
use super::ResponseSink;
use super::SinkClosed;
use super::execute::AttemptResult;
use super::execute::execute;
use super::inbound::ResponseEnded;
use crate::context::AgentContext;
use crate::decisions::RequestArrival;
use crate::decisions::RequestEffect;
use crate::decisions::RequestKey;
use crate::decisions::SchedulerEvent;
use crate::decisions::UpstreamOutcome;
use crate::relay;

/// Serves a request. Returns when its sender has the whole response, cancels or disconnects.
pub(crate) async fn serve(context: Rc<AgentContext>, inbound: InboundRequest) {
    context.counters.received.add(1);
    let id = context.requests.next_id();
    let (steps, receiver) = mpsc::unbounded_channel();
    let arrival = describe_arrival(&context, id, &inbound);
    let span = HopSpan::start_agent(&context.tracer, &inbound.parts, inbound.entry);
    let exchange = Exchange {
        span: Rc::new(span),
        parts: Rc::new(inbound.parts),
        body: inbound.body,
        arrived_at: context.now(),
        deadline: inbound.deadline,
        inbound_stream: inbound.inbound_stream,
        is_keyed: arrival.key.is_some(),
        steps,
    };
    context.requests.insert(id, exchange.clone());
    context.post_scheduler(SchedulerEvent::Arrive(arrival));
    let task = RequestTask {
        context: Rc::clone(&context),
        id,
        exchange,
        sink: inbound.sink,
        response_ended: inbound.response_ended,
    };
    match task.run(receiver).await {
        Some(delivered) => delivered.await,
        None => {
            context.counters.cancelled.add(1);
            context.post_scheduler(SchedulerEvent::Cancelled { id });
        }
    }
}

struct RequestTask {
    context: Rc<AgentContext>,
    id: RequestId,
    exchange: Exchange,
    sink: ResponseSink,
    response_ended: ResponseEnded,
}

impl RequestTask {
    /// Runs the request until its response is sent. Returns the future that waits for delivery, or
    /// `None` if the sender cancelled or disconnected first.
    async fn run(
        mut self,
        mut steps: mpsc::UnboundedReceiver<RequestStep>,
    ) -> Option<ResponseEnded> {
        let context = Rc::clone(&self.context);
        let mut cut_off = context.cut_off.subscribe();
        let mut may_have_run = false;
        loop {
            let step = tokio::select! {
                biased;
                // Polled first, so that a slot freed at the drain bound doesn't start a request.
                _ = cut_off.wait_for(|cut| *cut), if !self.exchange.is_keyed => {
                    return self.cut_off(may_have_run).await;
                }
                step = steps.recv() => step?,
                () = &mut self.response_ended => return None,
            };
            may_have_run |= may_run_request(&step);
            let progress = {
                let executing =
                    execute_step(&context, self.id, &self.exchange, &mut self.sink, step);
                tokio::select! {
                    progress = executing => Some(progress),
                    () = &mut self.response_ended => return None,
                    _ = cut_off.wait_for(|cut| *cut), if !self.exchange.is_keyed => None,
                }
            };
            let Some(progress) = progress else {
                return self.cut_off(may_have_run).await;
            };
            match progress {
                Ok(Progress::Waiting) => {}
                Ok(Progress::Answered) => return Some(self.response_ended),
                Err(SinkClosed) => return None,
            }
        }
    }
}

impl RequestTask {
    /// Ends a repeatable request at the drain bound. A response that has started is reset. Returns
    /// the future that waits for the delivery of the answer, if there is one.
    async fn cut_off(mut self, may_have_run: bool) -> Option<ResponseEnded> {
        // After this, a queued request can't start, so "not run" is correct for it.
        self.context
            .post_scheduler(SchedulerEvent::Cancelled { id: self.id });
        if self.sink.is_started() {
            return None;
        }
        let answer = Answer::code(match may_have_run {
            true => ResultCode::UnknownDrainBound,
            false => ResultCode::NotRunDraining,
        });
        self.context.count_answer(&answer);
        let sent = self
            .sink
            .answer_with_key_prefix(&self.context, &answer)
            .await;
        sent.is_ok().then_some(self.response_ended)
    }
}

const fn may_run_request(step: &RequestStep) -> bool {
    matches!(
        step,
        RequestStep::Effect(RequestEffect::Start { .. } | RequestEffect::Offload { .. })
    )
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The request waits for its next step.
    Waiting,
    /// The response was sent or reset.
    Answered,
}

async fn execute_step(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
    step: RequestStep,
) -> Result<Progress, SinkClosed> {
    match step {
        RequestStep::Stream { head, chunks } => {
            stream_chunks(context, head, chunks, sink).await?;
            Ok(Progress::Answered)
        }
        RequestStep::Effect(RequestEffect::Answer { answer, .. }) => {
            context.count_answer(&answer);
            if let Answer::Code { code, .. } = &answer {
                exchange.span.set_error(*code);
            }
            sink.answer_with_key_prefix(context, &answer).await?;
            Ok(Progress::Answered)
        }
        RequestStep::Effect(RequestEffect::Start { .. }) => {
            attempt(context, id, exchange, sink).await
        }
        RequestStep::Effect(RequestEffect::Relay {
            owner, deadline, ..
        }) => relay::relay(context, id, exchange, owner, deadline, sink).await,
        RequestStep::Effect(RequestEffect::Offload { target, .. }) => {
            relay::offload(context, id, exchange, target, sink).await
        }
        RequestStep::Effect(RequestEffect::Forget { .. }) => Ok(Progress::Waiting),
    }
}

async fn attempt(
    context: &Rc<AgentContext>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
) -> Result<Progress, SinkClosed> {
    match execute(context, id, exchange, sink).await {
        AttemptResult::Ended(outcome) => {
            let is_refused = matches!(outcome, UpstreamOutcome::Refused(_));
            match outcome {
                UpstreamOutcome::Finished(_) => context.count_finished(exchange),
                UpstreamOutcome::Lost => context.count_code(ResultCode::UnknownUpstreamLost),
                UpstreamOutcome::Refused(_) => context.counters.upstream_refused.add(1),
            }
            context.post_scheduler(SchedulerEvent::Outcome { id, outcome });
            Ok(match is_refused {
                true => Progress::Waiting,
                false => Progress::Answered,
            })
        }
        AttemptResult::EventStreamEnded => {
            context.count_finished(exchange);
            Ok(Progress::Answered)
        }
        AttemptResult::SinkClosed => Err(SinkClosed),
    }
}

async fn stream_chunks(
    context: &Rc<AgentContext>,
    head: Response<()>,
    mut chunks: mpsc::Receiver<Result<Bytes, ()>>,
    sink: &mut ResponseSink,
) -> Result<(), SinkClosed> {
    sink.start(context.with_key_prefix(head)).await?;
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Ok(chunk) => sink.data(chunk).await?,
            // Dropping the sink without finishing it resets the stream.
            Err(()) => return Ok(()),
        }
    }
    context.counters.finished.add(1);
    sink.finish(None).await
}

fn describe_arrival(
    context: &AgentContext,
    id: RequestId,
    inbound: &InboundRequest,
) -> RequestArrival {
    let parts = &inbound.parts;
    let key = inbound.idempotency_key().map(|key_value| {
        let credentials = parts.headers.get(http::header::AUTHORIZATION);
        let mut digester = RequestDigester::new(&context.digest_secret)
            .field(parts.method.as_str().as_bytes())
            .field(
                parts
                    .uri
                    .path_and_query()
                    .map_or("", |p| p.as_str())
                    .as_bytes(),
            )
            .field(credentials.map_or(&[], |value| value.as_bytes()));
        digester.body_chunk(&inbound.body);
        RequestKey {
            key_value: key_value.to_vec(),
            digest: digester.finish(),
        }
    });
    RequestArrival {
        id,
        class: ClassName::of_request(parts.method.as_str(), parts.uri.path()),
        deadline: inbound.deadline,
        origin: inbound.origin,
        key,
    }
}
