//! A simulated agent: the real coordinator, matcher and life cycle around a first-in-first-out
//! admission.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use fes_idempotency::Coordinator;
use fes_idempotency::KeyOwner;
use fes_idempotency::ResponseMatcher;
use fes_idempotency::StoreLimits;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::LifecycleMachine;
use fes_membership::lifecycle::LifecycleSettings;
use fes_membership::lifecycle::Role;
use fes_membership::lifecycle::WorkInProgress;
use fes_protocol::Incarnation;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;

use super::event::Event;
use super::injected_bug::InjectedBug;

pub(super) const SERVICE: ServiceId = ServiceId(7);

const FIRST_ROTATION: u8 = 1;

/// How an upstream treats the requests that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// Runs them and answers.
    Answers,
    /// Runs them; the agent streams the response to the first try and holds nothing.
    Streams,
    /// Refuses them without running.
    Refuses,
    /// Refuses one without running it, then answers.
    RefusesOnce,
    /// Runs them and loses the connection.
    LosesConnection,
    /// Runs them and ends the response early.
    Truncates,
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    Client {
        attempt_id: usize,
    },
    Peer {
        target: TargetId,
        incarnation: Incarnation,
        request: RequestId,
    },
}

/// A request that an agent has not answered.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub(super) origin: Origin,
    pub(super) key: String,
    pub(super) body: String,
}

/// A simulated agent.
#[derive(Debug)]
pub struct SimulatedAgent {
    pub(super) target: TargetId,
    pub(super) incarnation: Incarnation,
    /// Whether the process runs.
    pub is_up: bool,
    /// Whether a ticket still names it.
    pub named_by_ticket: bool,
    pub(super) paused: bool,
    pub(super) backlog: Vec<Event>,
    pub(super) coordinator: Coordinator,
    pub(super) matcher: ResponseMatcher,
    pub(super) life: LifecycleMachine,
    pub(super) admitting: bool,
    pub(super) queue: VecDeque<RequestId>,
    pub(super) busy: BTreeSet<RequestId>,
    /// Requests that the upstream runs at the same time.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub max_queue: usize,
    /// What is left of the retry budget.
    pub retry_budget: u32,
    pub(super) requests: BTreeMap<RequestId, OpenRequest>,
    pub(super) relays: BTreeMap<RequestId, TargetId>,
    /// How the upstream treats requests.
    pub upstream: UpstreamMode,
    /// How long the upstream runs a request, in microseconds.
    pub run_us: u64,
    pub(super) bug: InjectedBug,
    pub(super) generations: BTreeMap<String, u32>,
    pub(super) finished_at: BTreeMap<String, MonoTime>,
    pub(super) waiters: BTreeSet<RequestId>,
    pub(super) executions: BTreeMap<RequestId, (String, String)>,
    rotation: u8,
    booted_at: MonoTime,
    next_request: u64,
}

/// Keys after so many rotations: the present epoch and the one before. The four epoch numbers are
/// used in turn, each time with another key.
fn keys(rotation: u8) -> KeyRing {
    let key = |rotation: u8| SecretKey::new([rotation; 16]);
    let before = rotation.wrapping_sub(1);
    KeyRing::new(KeyEpoch(rotation % 4), key(rotation))
        .with_previous(KeyEpoch(before % 4), key(before))
}

impl SimulatedAgent {
    pub(super) fn new(
        target: TargetId,
        incarnation: Incarnation,
        now: MonoTime,
        bug: InjectedBug,
    ) -> Self {
        let me = KeyOwner {
            service: SERVICE,
            target,
            incarnation,
        };
        let mut life = LifecycleMachine::new(Role::Agent, LifecycleSettings::default());
        life.handle(MonoTime::ZERO, LifecycleEvent::Ready);
        Self {
            target,
            incarnation,
            is_up: true,
            named_by_ticket: true,
            paused: false,
            backlog: Vec::new(),
            coordinator: Coordinator::new(me, keys(FIRST_ROTATION), StoreLimits::default()),
            matcher: ResponseMatcher::new(incarnation),
            life,
            admitting: true,
            queue: VecDeque::new(),
            busy: BTreeSet::new(),
            slots: 2,
            max_queue: 4,
            retry_budget: 0,
            requests: BTreeMap::new(),
            relays: BTreeMap::new(),
            upstream: UpstreamMode::Answers,
            run_us: 10_000,
            bug,
            generations: BTreeMap::new(),
            finished_at: BTreeMap::new(),
            waiters: BTreeSet::new(),
            executions: BTreeMap::new(),
            rotation: FIRST_ROTATION,
            booted_at: now,
            next_request: 0,
        }
    }

    /// Replaces the empty store by one with other limits.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        let me = KeyOwner {
            service: SERVICE,
            target: self.target,
            incarnation: self.incarnation,
        };
        self.coordinator = Coordinator::new(me, keys(self.rotation), limits);
    }

    /// Rotates the keys by one epoch.
    pub fn rotate_keys(&mut self) {
        self.rotation = self.rotation.wrapping_add(1);
        self.coordinator.set_keys(keys(self.rotation));
    }

    /// Takes over the settings of the incarnation before.
    pub(super) fn inherit(&mut self, before: &Self, limits: StoreLimits, drain_bound_ms: u64) {
        (self.upstream, self.run_us) = (before.upstream, before.run_us);
        (self.slots, self.named_by_ticket) = (before.slots, before.named_by_ticket);
        self.rotation = before.rotation;
        self.set_limits(limits);
        self.set_drain_bound(drain_bound_ms);
    }

    /// Replaces the life cycle by a serving one with another drain bound.
    pub fn set_drain_bound(&mut self, drain_bound_ms: u64) {
        let settings = LifecycleSettings {
            drain_bound_ms,
            ..LifecycleSettings::default()
        };
        self.life = LifecycleMachine::new(Role::Agent, settings);
        self.life.handle(MonoTime::ZERO, LifecycleEvent::Ready);
    }

    /// Time on the agent's own clock.
    pub(super) fn local(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_us(now.us_since(self.booted_at))
    }

    pub(super) fn next_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    pub(super) fn work(&self) -> WorkInProgress {
        WorkInProgress {
            request_count: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            ..WorkInProgress::default()
        }
    }

    /// The key that the coordinator sees. A broken agent forgets a key by renaming it.
    pub(super) fn seen_key(&mut self, key: &str, now: MonoTime) -> String {
        let forgets = self.bug == InjectedBug::ExpiresKeysEarly;
        if forgets
            && self
                .finished_at
                .get(key)
                .is_some_and(|at| now > at.plus_ms(50))
        {
            self.finished_at.remove(key);
            *self.generations.entry(key.into()).or_default() += 1;
        }
        match self.generations.get(key) {
            Some(generation) => format!("{key}~{generation}"),
            None => key.into(),
        }
    }
}
