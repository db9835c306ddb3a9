//! Dispatches events to the simulated nodes and performs the actions of the agents.

use std::collections::VecDeque;

use fes_idempotency::Answer;
use fes_idempotency::CoordinatorAction;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::NotRun;
use fes_idempotency::PURGE_PERIOD_MS;
use fes_idempotency::RelayAction;
use fes_idempotency::RelayEvent;
use fes_idempotency::RequestDigester;
use fes_idempotency::StoreAction;
use fes_idempotency::StoreEvent;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;
use fes_protocol::TargetId;

use super::agent::OpenRequest;
use super::agent::Origin;
use super::clients::AttemptOutcome;
use super::event::Event;
use super::event::Fault;
use super::injected_bug::InjectedBug;
use super::network::Transmission;
use super::simulation::FleetSimulation;
use super::simulation::node_label;

impl FleetSimulation {
    pub(super) fn dispatch(&mut self, event: Event) {
        if let Some(target) = self.recipient(&event) {
            let agent = self.agents.get_mut(&target).expect("agent exists");
            if agent.paused {
                agent.backlog.push(event);
                return;
            }
        }
        match event {
            Event::Request { attempt_id } => self.on_request(attempt_id),
            Event::Cancel { to, origin } => self.on_cancel(to, origin),
            Event::Answer { attempt_id, answer } => self.on_answer(attempt_id, answer),
            Event::Relayed {
                to,
                origin,
                key,
                body,
                remaining_us,
            } => {
                self.on_relayed(to, origin, key, body, remaining_us);
            }
            Event::RelayAnswer {
                to,
                incarnation,
                request,
                answer,
            } => {
                if self.agents[&to].is_up && self.agents[&to].incarnation == incarnation {
                    let event = RelayEvent::OwnerAnswered { request, answer };
                    self.handle_event(to, CoordinatorEvent::Relay(event));
                }
            }
            Event::LinkLost {
                to,
                incarnation,
                request,
            } => {
                if self.agents[&to].is_up && self.agents[&to].incarnation == incarnation {
                    self.handle_event(
                        to,
                        CoordinatorEvent::Relay(RelayEvent::LinkLost { request }),
                    );
                }
            }
            Event::Execute { at, tag, key, body } => self.on_execute(at, tag, key, body),
            Event::Reply { to, tag, reply } => self.on_reply(to, tag, reply),
            Event::CoordinatorTimer { at } => {
                if self.agents[&at].is_up {
                    self.handle_event(at, CoordinatorEvent::Timer);
                }
                self.schedule_ms(PURGE_PERIOD_MS, Event::CoordinatorTimer { at });
            }
            Event::LifecycleTimer { at } => self.handle_lifecycle(at, LifecycleEvent::Timer),
            Event::Fault(fault) => self.on_fault(fault),
        }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(at) => self.crash(at),
            Fault::Terminate(at) => self.drain(at),
            Fault::Restart(at) if !self.agents[&at].is_up => self.start_agent(at),
            Fault::Restart(_) => {}
            Fault::Resume(at) => self.on_resume(at),
            Fault::Partition(a, b) => self.partition(a, b),
            Fault::Heal => {
                self.push_trace("all links heal".into());
                self.network.heal();
            }
            Fault::CancelAttempt(attempt_id) => self.cancel(attempt_id),
        }
    }

    fn recipient(&self, event: &Event) -> Option<TargetId> {
        match event {
            Event::Request { attempt_id } => Some(self.attempts[*attempt_id].agent),
            Event::Cancel { to, .. }
            | Event::Relayed { to, .. }
            | Event::RelayAnswer { to, .. }
            | Event::LinkLost { to, .. }
            | Event::Reply { to, .. } => Some(*to),
            Event::CoordinatorTimer { at } | Event::LifecycleTimer { at } => Some(*at),
            _ => None,
        }
    }

    fn on_resume(&mut self, target: TargetId) {
        let agent = self.agents.get_mut(&target).expect("agent exists");
        agent.paused = false;
        let backlog = std::mem::take(&mut agent.backlog);
        self.push_trace(format!("a{target} resumes"));
        backlog.into_iter().for_each(|event| self.dispatch(event));
    }

    fn on_request(&mut self, attempt_id: usize) {
        let attempt = &mut self.attempts[attempt_id];
        let (target, deadline_ms) = (attempt.agent, attempt.deadline_ms);
        if !self.agents[&target].is_up {
            attempt.loss_cause = Some("agent is down");
            return;
        }
        let (key, body) = (attempt.key.clone(), attempt.body.clone());
        let remaining_us = attempt.sent_at.plus_ms(deadline_ms).us_since(self.now);
        let origin = Origin::Client { attempt_id };
        self.accept_request(
            target,
            OpenRequest { origin, key, body },
            remaining_us,
            false,
        );
    }

    fn on_relayed(
        &mut self,
        to: TargetId,
        origin: Origin,
        key: String,
        body: String,
        remaining_us: u64,
    ) {
        if self.agents[&to].is_up {
            self.accept_request(to, OpenRequest { origin, key, body }, remaining_us, true);
        }
    }

    fn accept_request(
        &mut self,
        target: TargetId,
        open: OpenRequest,
        remaining_us: u64,
        relayed: bool,
    ) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        let request = agent.next_request();
        let key_value = agent.effective_key(&open.key, now).into_bytes();
        let digester = RequestDigester::new(&SecretKey::new([3; 16]));
        let digest = digester.field(open.body.as_bytes()).finish();
        let deadline = agent.local_time(now).plus_us(remaining_us);
        agent.requests.insert(request, open);
        let event = CoordinatorEvent::Request {
            request,
            key_value,
            digest,
            deadline,
            relayed,
        };
        self.handle_event(target, event);
    }

    fn on_cancel(&mut self, target: TargetId, origin: Origin) {
        let agent = self.agents.get_mut(&target).expect("agent exists");
        if !agent.is_up {
            return;
        }
        let open = agent
            .requests
            .iter()
            .find(|(_, open)| open.origin == origin);
        if let Some(request) = open.map(|(request, _)| *request) {
            agent.requests.remove(&request);
            agent.waiters.remove(&request);
            self.handle_event(target, CoordinatorEvent::ClientCancelled { request });
        }
    }

    /// Cancels a relayed request at its owner after the client cancelled it.
    fn cancel_relay(&mut self, from: TargetId, request: RequestId) {
        let agent = self.agents.get_mut(&from).expect("agent exists");
        let origin = Origin::Peer {
            target: from,
            incarnation: agent.incarnation,
            request,
        };
        let Some(to) = agent.relays.remove(&request) else {
            return;
        };
        let transmission = self
            .network
            .transmit(NodeId::Agent(from), NodeId::Agent(to));
        if let Transmission::Delivered(delays) = transmission {
            for delay_us in delays {
                self.schedule_us(delay_us, Event::Cancel { to, origin });
            }
        }
    }

    fn on_answer(&mut self, attempt_id: usize, answer: Answer) {
        let outcome = match answer {
            Answer::Response(response) => AttemptOutcome::Answered {
                body: String::from_utf8_lossy(&response.body).into_owned(),
            },
            Answer::Code { code, detail } => AttemptOutcome::Code(code, detail),
        };
        self.record_outcome(attempt_id, outcome);
    }

    /// Passes an event to the agent's coordinator and performs the resulting actions.
    pub(super) fn handle_event(&mut self, target: TargetId, event: CoordinatorEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now;
            let agent = self.agents.get_mut(&target).expect("agent exists");
            let is_start = matches!(
                event,
                CoordinatorEvent::Store(StoreEvent::SlotGranted { .. })
            );
            let local = if is_start && agent.bug == InjectedBug::IgnoresDeadline {
                MonoTime::ZERO
            } else {
                agent.local_time(now)
            };
            for action in agent.coordinator.handle(local, event) {
                self.apply_action(target, action, &mut events);
            }
            self.grant_slots(target, &mut events);
        }
        self.report_progress(target);
    }

    /// Grants free slots to queued requests in first-in-first-out order.
    fn grant_slots(&mut self, target: TargetId, events: &mut VecDeque<CoordinatorEvent>) {
        let agent = self.agents.get_mut(&target).expect("agent exists");
        while agent.running_requests.len() < agent.slots
            && let Some(request) = agent.queue.pop_front()
        {
            agent.running_requests.insert(request);
            events.push_back(CoordinatorEvent::Store(StoreEvent::SlotGranted { request }));
        }
    }

    fn apply_action(
        &mut self,
        target: TargetId,
        action: CoordinatorAction,
        events: &mut VecDeque<CoordinatorEvent>,
    ) {
        match action {
            CoordinatorAction::Answer { request, answer } => self.answer(target, request, answer),
            CoordinatorAction::Store(action) => self.apply_store_action(target, action, events),
            CoordinatorAction::Relay(RelayAction::Forward {
                request,
                owner,
                deadline,
            }) => {
                self.forward(target, request, owner.target, deadline, events);
            }
            CoordinatorAction::Relay(RelayAction::Cancel { request }) => {
                self.cancel_relay(target, request);
            }
            CoordinatorAction::Relay(_) => {}
        }
    }

    fn apply_store_action(
        &mut self,
        target: TargetId,
        action: StoreAction,
        events: &mut VecDeque<CoordinatorEvent>,
    ) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        match action {
            StoreAction::Enqueue { request, .. } => {
                agent.running_requests.remove(&request);
                let refusal = match (agent.accepts_requests, agent.queue.len() < agent.max_queue) {
                    (false, _) => Some(ResultCode::NotRunDraining),
                    (true, false) => Some(ResultCode::NotRunQueueFull),
                    (true, true) => None,
                };
                if let Some(open) = agent.requests.get(&request) {
                    let content = (open.key.clone(), open.body.clone());
                    agent.executions.entry(request).or_insert(content);
                }
                match refusal.and_then(|code| NotRun::try_from(code).ok()) {
                    Some(code) => {
                        events.push_back(CoordinatorEvent::Store(StoreEvent::AdmissionRefused {
                            request,
                            code,
                        }))
                    }
                    None => agent.queue.push_back(request),
                }
            }
            StoreAction::Dequeue { request } => agent.queue.retain(|id| *id != request),
            StoreAction::Start { request, deadline } => {
                if agent.local_time(now) > deadline {
                    let text = format!("a{target} started request {request} past its deadline");
                    self.violations.push(text);
                }
                self.start_execution(target, request);
            }
            StoreAction::ReleaseSlot { request } => {
                agent.running_requests.remove(&request);
            }
            StoreAction::Wait { request, .. } => {
                agent.waiters.insert(request);
                self.push_trace(format!(
                    "a{target} lets the request wait for the same outcome"
                ));
            }
            StoreAction::KeysPurged { key_count, .. } => {
                self.push_trace(format!("a{target} forgets {key_count} keys"));
            }
            StoreAction::Answer { request, answer } => self.answer(target, request, answer),
        }
    }

    fn forward(
        &mut self,
        from: TargetId,
        request: RequestId,
        to: TargetId,
        deadline: MonoTime,
        events: &mut VecDeque<CoordinatorEvent>,
    ) {
        let (a, b) = (NodeId::Agent(from), NodeId::Agent(to));
        let owner = self.agents.get(&to);
        let is_linked = owner.is_some_and(|owner| owner.is_up && owner.named_by_ticket)
            && !self.network.is_partitioned(a, b);
        let agent = self.agents.get_mut(&from).expect("agent exists");
        let open = agent.requests[&request].clone();
        if !is_linked {
            if agent.bug == InjectedBug::RunsForUnreachableOwner {
                agent.executions.insert(request, (open.key, open.body));
                self.start_execution(from, request);
            } else {
                events.push_back(CoordinatorEvent::Relay(RelayEvent::LinkUnavailable {
                    request,
                }));
            }
            return;
        }
        agent.relays.insert(request, to);
        let incarnation = agent.incarnation;
        let remaining_us = deadline.us_since(agent.local_time(self.now));
        events.push_back(CoordinatorEvent::Relay(RelayEvent::Forwarded { request }));
        self.push_trace(format!(
            "a{from} -> a{to}: relays {}",
            self.alias(&open.key)
        ));
        let origin = Origin::Peer {
            target: from,
            incarnation,
            request,
        };
        match self.network.transmit(a, b) {
            Transmission::Delivered(delays) => {
                // Duplicates carry the same origin; the owner must still run the request once.
                for delay_us in delays {
                    let (key, body) = (open.key.clone(), open.body.clone());
                    self.schedule_us(
                        delay_us,
                        Event::Relayed {
                            to,
                            origin,
                            key,
                            body,
                            remaining_us,
                        },
                    );
                }
            }
            Transmission::Lost => self.schedule_link_lost(from, incarnation, request),
        }
    }

    pub(super) fn answer(&mut self, target: TargetId, request: RequestId, mut answer: Answer) {
        let now = self.now;
        let agent = self.agents.get_mut(&target).expect("agent exists");
        agent.relays.remove(&request);
        let Some(open) = agent.requests.remove(&request) else {
            let text = format!("a{target} answered request {request} twice");
            self.violations.push(text);
            return;
        };
        if agent.waiters.remove(&request) && agent.bug == InjectedBug::DropsWaiters {
            return;
        }
        match (&answer, agent.bug) {
            (Answer::Response(_), _) => {
                agent.finished_at.insert(open.key.clone(), now);
            }
            (Answer::Code { code, .. }, InjectedBug::RunsAfterRefusal)
                if code.is_not_run() && *code != ResultCode::NotRunKeyReused =>
            {
                *agent.key_generations.entry(open.key.clone()).or_default() += 1;
            }
            (Answer::Code { code, .. }, InjectedBug::RestartAnswersNotRun)
                if *code == ResultCode::UnknownOwnerLost =>
            {
                answer = Answer::code(ResultCode::NotRunNoKeyPrefix);
            }
            (Answer::Code { code, .. }, InjectedBug::LostUpstreamAnswersNotRun)
                if *code == ResultCode::UnknownUpstreamLost =>
            {
                answer = Answer::code(ResultCode::NotRunUpstreamDown);
            }
            (Answer::Code { code, .. }, InjectedBug::DrainBoundAnswersNotRun)
                if *code == ResultCode::UnknownDrainBound =>
            {
                answer = Answer::code(ResultCode::NotRunDraining);
            }
            _ => {}
        }
        self.send_answer(target, open.origin, answer);
    }

    fn send_answer(&mut self, from: TargetId, origin: Origin, answer: Answer) {
        let agent = NodeId::Agent(from);
        match origin {
            Origin::Client { attempt_id } => {
                let entry = self.attempts[attempt_id].entry;
                self.send_for_attempt(
                    attempt_id,
                    agent,
                    entry,
                    Event::Answer { attempt_id, answer },
                );
            }
            Origin::Peer {
                target,
                incarnation,
                request,
            } => match self.network.transmit(agent, NodeId::Agent(target)) {
                Transmission::Delivered(delays) => delays.iter().for_each(|us| {
                    let answer = answer.clone();
                    let to = target;
                    let event = Event::RelayAnswer {
                        to,
                        incarnation,
                        request,
                        answer,
                    };
                    self.schedule_us(*us, event);
                }),
                Transmission::Lost => {
                    let to = node_label(NodeId::Agent(target));
                    self.push_trace(format!("a{from} loses a message to {to}"));
                    self.schedule_link_lost(target, incarnation, request);
                }
            },
        }
    }
}
