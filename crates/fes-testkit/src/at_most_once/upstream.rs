//! Simulated upstreams and the processing of their responses by the agents.

use std::sync::Arc;

use fes_idempotency::Answer;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::Delivery;
use fes_idempotency::FinishedResponse;
use fes_idempotency::InboundStreamId;
use fes_idempotency::ResponsePart;
use fes_idempotency::ResponseTag;
use fes_idempotency::StoreEvent;
use fes_idempotency::StoredResponse;
use fes_idempotency::UpstreamRefusal;
use fes_protocol::NodeId;
use fes_protocol::RequestId;
use fes_protocol::TargetId;

use super::agent::SimulatedAgent;
use super::agent::UpstreamMode;
use super::event::Event;
use super::event::UpstreamReply;
use super::injected_bug::InjectedBug;
use super::network::Transmission;
use super::simulation::FleetSimulation;
use super::simulation::UpstreamRun;

/// One-way delay between an agent and its upstream.
const LOCAL_DELAY_US: u64 = 100;

impl FleetSimulation {
    pub(super) fn start_execution(&mut self, target: TargetId, request: RequestId) {
        let agent = self.agents.get_mut(&target).expect("agent exists");
        let inbound_stream = InboundStreamId {
            connection: agent.incarnation.0,
            stream: request.0,
        };
        let tag = agent.matcher.register(inbound_stream, request);
        let (key, body) = agent.executions[&request].clone();
        self.push_trace(format!(
            "a{target} -> upstream {target}: start {}",
            self.alias(&key)
        ));
        self.schedule_us(
            LOCAL_DELAY_US,
            Event::Execute {
                at: target,
                tag,
                key,
                body,
            },
        );
    }

    pub(super) fn on_execute(&mut self, at: TargetId, tag: ResponseTag, key: String, body: String) {
        let (mode, run_us) = (self.agents[&at].upstream, self.agents[&at].run_us);
        if mode == UpstreamMode::RefusesOnce {
            self.agents.get_mut(&at).expect("agent exists").upstream = UpstreamMode::Answers;
        }
        if matches!(mode, UpstreamMode::Refuses | UpstreamMode::RefusesOnce) {
            self.push_trace(format!(
                "upstream {at} refuses {} without running it",
                self.alias(&key)
            ));
            let reply = UpstreamReply::Refused;
            self.schedule_us(LOCAL_DELAY_US, Event::Reply { to: at, tag, reply });
            return;
        }
        self.push_trace(format!(
            "upstream {at} runs {}, body {body}",
            self.alias(&key)
        ));
        let answer = format!("done {key} {body}");
        self.runs.push(UpstreamRun {
            at: self.now,
            key,
            body,
        });
        let reply = match mode {
            UpstreamMode::LosesConnection => UpstreamReply::Lost,
            UpstreamMode::Truncates => UpstreamReply::Truncated { body: answer },
            _ => UpstreamReply::Finished { body: answer },
        };
        let delays = match self.network.transmit(NodeId::Agent(at), NodeId::Agent(at)) {
            Transmission::Delivered(delays) => delays,
            // The loss setting of the network doesn't apply to this local hop: only
            // `UpstreamMode::LosesConnection` loses a response.
            Transmission::Lost => vec![self.network.delay_us()],
        };
        for delay_us in delays {
            let event = Event::Reply {
                to: at,
                tag,
                reply: reply.clone(),
            };
            self.schedule_us(run_us + delay_us, event);
        }
    }

    /// Answers the request that started the execution, unless its client has cancelled it.
    fn answer_streamed(&mut self, target: TargetId, request: RequestId, body: &str) {
        let is_open = self.agents[&target].requests.contains_key(&request);
        if is_open {
            self.answer(target, request, Answer::Response(stored_response(body)));
        }
    }

    pub(super) fn on_reply(&mut self, to: TargetId, mut tag: ResponseTag, reply: UpstreamReply) {
        let agent = self.agents.get_mut(&to).expect("agent exists");
        if !agent.is_up {
            return;
        }
        if agent.bug == InjectedBug::IgnoresIncarnation {
            tag.incarnation = agent.incarnation;
            tag.inbound_stream.connection = agent.incarnation.0;
        }
        let request = tag.request;
        let event = match (reply, agent.bug) {
            (UpstreamReply::Refused, _) => {
                let retry = agent.retry_budget > 0;
                agent.retry_budget = agent.retry_budget.saturating_sub(1);
                let proof = UpstreamRefusal::RefusedStream;
                StoreEvent::UpstreamRefused {
                    request,
                    proof,
                    retry,
                }
            }
            (UpstreamReply::Lost, InjectedBug::RetriesAfterUpstreamLoss)
                if agent.executions.contains_key(&request) =>
            {
                let (key, body) = agent.executions.remove(&request).expect("execution exists");
                self.schedule_us(
                    LOCAL_DELAY_US,
                    Event::Execute {
                        at: to,
                        tag,
                        key,
                        body,
                    },
                );
                return;
            }
            (UpstreamReply::Lost, _) => StoreEvent::UpstreamLost { request },
            (UpstreamReply::Truncated { body }, InjectedBug::AcceptsTruncatedResponse) => {
                upstream_finished(request, &body[..body.len() / 2])
            }
            (UpstreamReply::Truncated { body }, _) => {
                match agent.receive(tag, body.len(), body.len() / 2) {
                    Delivery::Reset(_) => StoreEvent::UpstreamLost { request },
                    _ => return,
                }
            }
            (UpstreamReply::Finished { body }, _) => {
                match agent.receive(tag, body.len(), body.len()) {
                    Delivery::Complete(_) if agent.upstream == UpstreamMode::Streams => {
                        self.answer_streamed(to, request, &body);
                        StoreEvent::UpstreamFinished {
                            request,
                            response: FinishedResponse::Streamed,
                        }
                    }
                    Delivery::Complete(_) => upstream_finished(request, &body),
                    _ => {
                        self.push_trace(format!("a{to} drops a late or doubled response"));
                        return;
                    }
                }
            }
        };
        let agent = self.agents.get_mut(&to).expect("agent exists");
        agent.running_requests.remove(&request);
        self.handle_event(to, CoordinatorEvent::Store(event));
    }
}

fn upstream_finished(request: RequestId, body: &str) -> StoreEvent {
    let response = FinishedResponse::Buffered(stored_response(body));
    StoreEvent::UpstreamFinished { request, response }
}

impl SimulatedAgent {
    /// Passes a response to the response matcher. Its length is announced as `announced` bytes, but
    /// only `sent` bytes arrive.
    fn receive(&mut self, tag: ResponseTag, announced: usize, sent: usize) -> Delivery {
        let body_bytes = Some(announced as u64);
        let len_bytes = sent as u64;
        self.matcher.receive(tag, ResponsePart::Head { body_bytes });
        self.matcher.receive(tag, ResponsePart::Body { len_bytes });
        let end = if announced == sent {
            ResponsePart::End
        } else {
            ResponsePart::Aborted
        };
        self.matcher.receive(tag, end)
    }
}

fn stored_response(body: &str) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: body.as_bytes().to_vec().into(),
    })
}
