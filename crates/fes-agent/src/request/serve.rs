//! The task of one request.

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
use super::Inbound;
use super::RequestStep;
use super::ResponseSink;
use super::SinkClosed;
use super::execute::Attempt;
use super::execute::execute;
use super::inbound::Cancelled;
use crate::core::AgentCore;
use crate::decisions::Arrival;
use crate::decisions::KeyedArrival;
use crate::decisions::RequestEffect;
use crate::decisions::UpstreamOutcome;
use crate::decisions::WorkEvent;
use crate::relay;

/// Serves a request to its end. Returns when its sender has the whole response or went away.
pub(crate) async fn serve(core: Rc<AgentCore>, inbound: Inbound) {
    core.counters.received.add(1);
    let id = core.requests.next_id();
    let (steps, receiver) = mpsc::unbounded_channel();
    let arrival = arrival(&core, id, &inbound);
    let span = HopSpan::agent(&core.tracer, &inbound.parts, inbound.entry);
    let exchange = Exchange {
        span: Rc::new(span),
        parts: Rc::new(inbound.parts),
        body: inbound.body,
        arrived_at: core.now(),
        deadline: inbound.deadline,
        flow: inbound.flow,
        is_keyed: arrival.key.is_some(),
        steps,
    };
    core.requests.insert(id, exchange.clone());
    core.post_work(WorkEvent::Arrive(arrival));
    let task = RequestTask {
        core: Rc::clone(&core),
        id,
        exchange,
        sink: inbound.sink,
        cancelled: inbound.cancelled,
    };
    match task.run(receiver).await {
        Some(delivered) => delivered.await,
        None => {
            core.counters.cancelled.add(1);
            core.post_work(WorkEvent::Cancelled { id });
        }
    }
}

struct RequestTask {
    core: Rc<AgentCore>,
    id: RequestId,
    exchange: Exchange,
    sink: ResponseSink,
    cancelled: Cancelled,
}

impl RequestTask {
    /// Returns the future that waits for delivery, or `None` if the sender went away first.
    async fn run(mut self, mut steps: mpsc::UnboundedReceiver<RequestStep>) -> Option<Cancelled> {
        let core = Rc::clone(&self.core);
        let mut cut_off = core.cut_off.subscribe();
        let mut is_running = false;
        loop {
            let step = tokio::select! {
                biased;
                // First, so that a slot that the bound frees starts nothing.
                _ = cut_off.wait_for(|cut| *cut), if !self.exchange.is_keyed => {
                    return self.cut_off(is_running).await;
                }
                step = steps.recv() => step?,
                () = &mut self.cancelled => return None,
            };
            is_running |= starts_work(&step);
            let carried_out = {
                let carrying_out = carry_out(&core, self.id, &self.exchange, &mut self.sink, step);
                tokio::select! {
                    carried_out = carrying_out => Some(carried_out),
                    () = &mut self.cancelled => return None,
                    _ = cut_off.wait_for(|cut| *cut), if !self.exchange.is_keyed => None,
                }
            };
            let Some(carried_out) = carried_out else {
                return self.cut_off(is_running).await;
            };
            match carried_out {
                Ok(Progress::Waiting) => {}
                Ok(Progress::Answered) => return Some(self.cancelled),
                Err(SinkClosed) => return None,
            }
        }
    }
}

impl RequestTask {
    /// Ends a repeatable request at the drain bound. A response that began is reset.
    async fn cut_off(mut self, is_running: bool) -> Option<Cancelled> {
        // Nothing starts after this, so that a queued request did not run.
        self.core.post_work(WorkEvent::Cancelled { id: self.id });
        if self.sink.is_started() {
            return None;
        }
        let answer = Answer::code(match is_running {
            true => ResultCode::UnknownDrainBound,
            false => ResultCode::NotRunDraining,
        });
        self.core.count_answer(&answer);
        let sent = self.sink.answer_with(&self.core, &answer).await;
        sent.is_ok().then_some(self.cancelled)
    }
}

const fn starts_work(step: &RequestStep) -> bool {
    matches!(
        step,
        RequestStep::Effect(RequestEffect::Start { .. } | RequestEffect::Offload { .. })
    )
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Another step follows.
    Waiting,
    /// The response is sent or reset.
    Answered,
}

async fn carry_out(
    core: &Rc<AgentCore>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
    step: RequestStep,
) -> Result<Progress, SinkClosed> {
    match step {
        RequestStep::Stream { head, chunks } => {
            stream(core, head, chunks, sink).await?;
            Ok(Progress::Answered)
        }
        RequestStep::Effect(RequestEffect::Answer { answer, .. }) => {
            core.count_answer(&answer);
            if let Answer::Code { code, .. } = &answer {
                exchange.span.fail(*code);
            }
            sink.answer_with(core, &answer).await?;
            Ok(Progress::Answered)
        }
        RequestStep::Effect(RequestEffect::Start { .. }) => attempt(core, id, exchange, sink).await,
        RequestStep::Effect(RequestEffect::Relay {
            owner, deadline, ..
        }) => relay::relay(core, id, exchange, owner, deadline, sink).await,
        RequestStep::Effect(RequestEffect::Offload { target, .. }) => {
            relay::offload(core, id, exchange, target, sink).await
        }
        RequestStep::Effect(RequestEffect::Forget { .. }) => Ok(Progress::Waiting),
    }
}

async fn attempt(
    core: &Rc<AgentCore>,
    id: RequestId,
    exchange: &Exchange,
    sink: &mut ResponseSink,
) -> Result<Progress, SinkClosed> {
    match execute(core, id, exchange, sink).await {
        Attempt::Ended(outcome) => {
            let is_refused = matches!(outcome, UpstreamOutcome::Refused(_));
            match outcome {
                UpstreamOutcome::Finished(_) => core.count_finished(exchange),
                UpstreamOutcome::Lost => core.count_code(ResultCode::UnknownUpstreamLost),
                UpstreamOutcome::Refused(_) => core.counters.upstream_refused.add(1),
            }
            core.post_work(WorkEvent::Outcome { id, outcome });
            Ok(match is_refused {
                true => Progress::Waiting,
                false => Progress::Answered,
            })
        }
        Attempt::StreamOver => {
            core.count_finished(exchange);
            Ok(Progress::Answered)
        }
        Attempt::SinkClosed => Err(SinkClosed),
    }
}

async fn stream(
    core: &Rc<AgentCore>,
    head: Response<()>,
    mut chunks: mpsc::Receiver<Result<Bytes, ()>>,
    sink: &mut ResponseSink,
) -> Result<(), SinkClosed> {
    sink.start(core.client_head(head)).await?;
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Ok(chunk) => sink.data(chunk).await?,
            // Dropping the sink without finishing it resets the stream.
            Err(()) => return Ok(()),
        }
    }
    core.counters.finished.add(1);
    sink.finish(None).await
}

fn arrival(core: &AgentCore, id: RequestId, inbound: &Inbound) -> Arrival {
    let parts = &inbound.parts;
    let key = inbound.idempotency_key().map(|key_value| {
        let credentials = parts.headers.get(http::header::AUTHORIZATION);
        let mut digester = RequestDigester::new(&core.digest_secret)
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
        KeyedArrival {
            key_value: key_value.to_vec(),
            digest: digester.finish(),
        }
    });
    Arrival {
        id,
        class: ClassName::of_request(parts.method.as_str(), parts.uri.path()),
        deadline: inbound.deadline,
        origin: inbound.origin,
        key,
    }
}
