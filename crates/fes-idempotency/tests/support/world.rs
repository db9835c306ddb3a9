//! The simulated fleet: event queue, clients, upstreams and the hosting of the agents' decisions.

use std::collections::BTreeMap;

use fes_idempotency::Answer;
use fes_idempotency::AnswerDetail;
use fes_idempotency::PURGE_PERIOD_MS;
use fes_idempotency::ResponseTag;
use fes_idempotency::StoreLimits;
use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;

use super::agent::Agent;
use super::agent::Origin;
use super::agent::SERVICE;
use super::broken::Broken;
use super::network::Fate;
use super::network::Network;

/// Time after which a lost connection or link is noticed.
const IDLE_TIMEOUT_MS: u64 = 4_500;

#[derive(Debug, Clone)]
pub enum UpstreamReply {
    Finished { body: String },
    Truncated { body: String },
    Refused,
    Lost,
}

#[derive(Debug, Clone)]
pub enum Event {
    Request {
        try_id: usize,
    },
    Cancel {
        try_id: usize,
    },
    Answer {
        try_id: usize,
        answer: Answer,
    },
    Relayed {
        to: TargetId,
        origin: Origin,
        key: String,
        body: String,
        left_us: u64,
    },
    RelayAnswer {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
        answer: Answer,
    },
    LinkLost {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
    },
    Run {
        at: TargetId,
        tag: ResponseTag,
        key: String,
        body: String,
    },
    Reply {
        to: TargetId,
        tag: ResponseTag,
        reply: UpstreamReply,
    },
    Timer {
        at: TargetId,
    },
    LifeTimer {
        at: TargetId,
    },
    Restart {
        at: TargetId,
    },
    Resume {
        at: TargetId,
    },
    Heal,
    GiveUp {
        try_id: usize,
    },
    Crash {
        at: TargetId,
    },
    Cut {
        a: NodeId,
        b: NodeId,
    },
}

/// How a client's try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Answered { body: String },
    Code(ResultCode, AnswerDetail),
    ConnectionLost,
}

pub struct Try {
    pub name: String,
    pub key: String,
    pub body: String,
    pub agent: TargetId,
    pub entry: NodeId,
    pub deadline_ms: u64,
    pub sent_at: MonoTime,
    pub excuse: Option<&'static str>,
    /// Every answer that reached the client; the first one ends the try.
    pub ends: Vec<(MonoTime, End)>,
}

/// One run of a request at an upstream.
pub struct Run {
    pub at: MonoTime,
    pub key: String,
    pub body: String,
}

pub struct World {
    pub now: MonoTime,
    pub network: Network,
    pub agents: BTreeMap<TargetId, Agent>,
    pub tries: Vec<Try>,
    pub runs: Vec<Run>,
    pub trace: Vec<String>,
    pub violations: Vec<String>,
    pub aliases: BTreeMap<String, String>,
    pub limits: StoreLimits,
    pub drain_bound_ms: u64,
    queue: BTreeMap<(MonoTime, u64), Event>,
    sequence: u64,
    next_incarnation: u64,
    broken: Broken,
}

impl World {
    pub fn new(seed: u64, agent_count: u32, broken: Broken) -> Self {
        let mut world = Self {
            now: MonoTime::ZERO,
            network: Network::new(seed),
            agents: BTreeMap::new(),
            tries: Vec::new(),
            runs: Vec::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            aliases: BTreeMap::new(),
            limits: StoreLimits::default(),
            drain_bound_ms: 3_600_000,
            queue: BTreeMap::new(),
            sequence: 0,
            next_incarnation: 100,
            broken,
        };
        for id in 1..=agent_count {
            world.boot(TargetId(id));
            world.at_ms(PURGE_PERIOD_MS, Event::Timer { at: TargetId(id) });
        }
        world
    }

    pub fn boot(&mut self, target: TargetId) {
        self.next_incarnation += 1;
        let agent = Agent::boot(
            target,
            Incarnation(self.next_incarnation),
            self.now,
            self.broken,
        );
        let before = self.agents.insert(target, agent);
        if let (Some(before), Some(agent)) = (before, self.agents.get_mut(&target)) {
            (agent.upstream, agent.run_us) = (before.upstream, before.run_us);
            (agent.slots, agent.named_by_ticket) = (before.slots, before.named_by_ticket);
            agent.set_limits(self.limits);
            agent.set_drain_bound(self.drain_bound_ms);
        }
        self.excuse_tries_at(target, "agent restarted");
        self.say(format!("a{target} starts"));
    }

    pub fn say(&mut self, line: String) {
        self.trace
            .push(format!("{:>7} ms  {line}", self.now.as_ms()));
    }

    pub fn alias(&self, key: &str) -> String {
        self.aliases
            .get(key)
            .cloned()
            .unwrap_or_else(|| key.to_string())
    }

    pub fn at_us(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((self.now.plus_us(delay_us), self.sequence), event);
    }

    pub fn at_ms(&mut self, delay_ms: u64, event: Event) {
        self.at_us(delay_ms * 1_000, event);
    }

    /// Issues a key whose prefix comes from `agent`.
    pub fn issue_key(&mut self, agent: TargetId, name: &str) -> String {
        let now = self.now;
        let agent = self.agents.get_mut(&agent).expect("agent exists");
        let local = agent.local(now);
        let key = format!("{}.{name}", agent.coordinator.issue_prefix(local));
        self.aliases.insert(key.clone(), name.into());
        key
    }

    /// Lets `to` learn the clock and the spare capacity of `from`.
    pub fn heartbeat(&mut self, from: TargetId, to: TargetId, spare_milli: u32) {
        let sender = &self.agents[&from];
        let heartbeat = PeerHeartbeat {
            service: SERVICE,
            target: from,
            incarnation: sender.incarnation,
            sequence: self.now.as_us(),
            lifecycle: sender.life.lifecycle(),
            capacity_milli: spare_milli,
            demand_milli: 0,
            queue_wait_ms: 0,
            long_wait_ms: 0,
            flow_count: 0,
            key_issue_ms: sender.local(self.now).as_ms(),
            heard: Vec::new(),
        };
        let receiver = self.agents.get_mut(&to).expect("agent exists");
        let local = receiver.local(self.now);
        receiver.coordinator.observe_peer(local, &heartbeat);
    }

    /// Sends a client's try.
    pub fn send(&mut self, attempt: Try) -> usize {
        let try_id = self.tries.len();
        let (entry, agent) = (attempt.entry, NodeId::Agent(attempt.agent));
        self.say(format!(
            "{} -> {} via {}: key {}, body {}",
            attempt.name,
            short(agent),
            short(entry),
            self.alias(&attempt.key),
            attempt.body
        ));
        self.tries.push(attempt);
        self.carry_for_try(try_id, entry, agent, Event::Request { try_id });
        try_id
    }

    pub fn cancel(&mut self, try_id: usize) {
        let attempt = &self.tries[try_id];
        let (entry, agent) = (attempt.entry, NodeId::Agent(attempt.agent));
        self.end(try_id, End::ConnectionLost);
        self.carry_for_try(try_id, entry, agent, Event::Cancel { try_id });
    }

    pub fn carry_for_try(&mut self, try_id: usize, from: NodeId, to: NodeId, event: Event) {
        match self.network.fate(from, to) {
            Fate::Arrives(delays) => delays.iter().for_each(|us| self.at_us(*us, event.clone())),
            Fate::Lost => {
                self.tries[try_id].excuse = Some("message lost");
                self.say(format!("{} loses a message to {}", short(from), short(to)));
            }
        }
    }

    /// Runs until `self.now + ms`.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while let Some(((at, sequence), event)) = self.queue.pop_first() {
            if at > until {
                self.queue.insert((at, sequence), event);
                break;
            }
            self.now = at;
            self.dispatch(event);
        }
        self.now = until;
    }

    /// Ends the run: every try whose path had a fault lost its connection; any other must be over.
    pub fn settle(&mut self, ms: u64) {
        self.run_ms(ms);
        self.close_open_tries();
    }

    /// Forgets all pending events, among them the periodic timers.
    pub fn clear_pending(&mut self) {
        self.queue.clear();
    }

    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Delivers one of the pending events, whatever its time, a millisecond later.
    pub fn deliver(&mut self, index: usize) {
        let key = *self.queue.keys().nth(index).expect("the event is pending");
        let event = self.queue.remove(&key).expect("the event is pending");
        self.now = self.now.plus_ms(1);
        self.dispatch(event);
    }

    pub fn close_open_tries(&mut self) {
        for try_id in 0..self.tries.len() {
            if !self.tries[try_id].ends.is_empty() {
                continue;
            }
            match self.tries[try_id].excuse {
                Some(_) => self.end(try_id, End::ConnectionLost),
                None => {
                    let name = self.tries[try_id].name.clone();
                    self.violations
                        .push(format!("{name} got no answer, and no fault explains it"));
                }
            }
        }
    }

    pub fn crash(&mut self, target: TargetId) {
        self.say(format!("a{target} dies"));
        self.lose_links(target);
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.up = false;
        }
        self.excuse_tries_at(target, "agent died");
    }

    pub fn pause(&mut self, target: TargetId, ms: u64) {
        self.say(format!("a{target} is paused"));
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.paused = true;
        }
        self.at_ms(ms, Event::Resume { at: target });
    }

    pub fn cut(&mut self, a: NodeId, b: NodeId) {
        self.say(format!("{} and {} lose contact", short(a), short(b)));
        self.network.cut(a, b);
        if let (NodeId::Agent(a), NodeId::Agent(b)) = (a, b) {
            self.lose_relays(a, b);
            self.lose_relays(b, a);
        }
    }

    pub fn drain(&mut self, target: TargetId) {
        self.say(format!("a{target} gets SIGTERM"));
        self.life(target, LifecycleEvent::Drain(DrainSource::Signal));
        self.report_progress(target);
    }

    pub fn lose_links(&mut self, target: TargetId) {
        let others: Vec<TargetId> = self
            .agents
            .keys()
            .copied()
            .filter(|id| *id != target)
            .collect();
        for other in others {
            self.lose_relays(other, target);
        }
    }

    /// Reports every open relay of `relay` to `owner` as lost, once that is noticed.
    fn lose_relays(&mut self, relay: TargetId, owner: TargetId) {
        let Some(agent) = self.agents.get(&relay) else {
            return;
        };
        let incarnation = agent.incarnation;
        let lost = agent.relays.iter().filter(|(_, to)| **to == owner);
        let lost: Vec<RequestId> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.queue_link_lost(relay, incarnation, request);
        }
    }

    pub fn queue_link_lost(&mut self, to: TargetId, incarnation: Incarnation, request: RequestId) {
        self.at_ms(
            IDLE_TIMEOUT_MS,
            Event::LinkLost {
                to,
                incarnation,
                request,
            },
        );
    }

    fn excuse_tries_at(&mut self, target: TargetId, excuse: &'static str) {
        for attempt in &mut self.tries {
            if attempt.agent == target && attempt.ends.is_empty() {
                attempt.excuse = Some(excuse);
            }
        }
    }

    /// Number of tries that ended with a complete response.
    pub fn answered_count(&self) -> usize {
        let answered =
            |attempt: &&Try| matches!(attempt.ends.first(), Some((_, End::Answered { .. })));
        self.tries.iter().filter(answered).count()
    }

    pub fn end(&mut self, try_id: usize, end: End) {
        let name = self.tries[try_id].name.clone();
        let is_first = self.tries[try_id].ends.is_empty();
        self.tries[try_id].ends.push((self.now, end.clone()));
        let text = match end {
            End::Answered { body } => format!("answered \"{}\"", self.shorten(&body)),
            End::Code(code, AnswerDetail::None) => format!("F{} {}", code.number(), code.name()),
            End::Code(code, detail) => format!("F{} {}: {detail}", code.number(), code.name()),
            End::ConnectionLost => "connection lost".into(),
        };
        let late = if is_first { "" } else { " (late, dropped)" };
        self.say(format!("{name} <- {text}{late}"));
    }

    fn shorten(&self, body: &str) -> String {
        self.aliases
            .iter()
            .fold(body.to_string(), |text, (key, name)| {
                text.replace(key, name)
            })
    }
}

/// Name of a node in traces and scenarios.
pub fn short(node: NodeId) -> String {
    match node {
        NodeId::Entry(id) => format!("e{id}"),
        NodeId::Agent(id) => format!("a{id}"),
    }
}
