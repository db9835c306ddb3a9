//! A simulated agent: the production coordinator, response matcher and life cycle with a
//! first-in-first-out admission queue.

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

/// Number of key rotations before the start of the simulation.
const INITIAL_ROTATION_COUNT: u8 = 1;

/// Behaviour of a simulated upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// Runs each request and answers it.
    Answers,
    /// Runs each request; the agent streams the response to the first attempt without storing it.
    Streams,
    /// Refuses each request without running it.
    Refuses,
    /// Refuses the next request without running it, then behaves like [`Self::Answers`].
    RefusesOnce,
    /// Runs each request and loses the connection before the response.
    LosesConnection,
    /// Runs each request and ends the response early.
    Truncates,
}

/// Sender of a request.
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

/// A request that the agent has not answered yet.
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
    /// Whether the ticket in force names the agent.
    pub named_by_ticket: bool,
    pub(super) paused: bool,
    /// Events that arrived while the agent was paused.
    pub(super) backlog: Vec<Event>,
    pub(super) coordinator: Coordinator,
    pub(super) matcher: ResponseMatcher,
    pub(super) lifecycle: LifecycleMachine,
    pub(super) accepts_requests: bool,
    pub(super) queue: VecDeque<RequestId>,
    pub(super) running_requests: BTreeSet<RequestId>,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub max_queue: usize,
    /// Number of retries left.
    pub retry_budget: u32,
    pub(super) requests: BTreeMap<RequestId, OpenRequest>,
    /// Owners to which open requests were relayed.
    pub(super) relays: BTreeMap<RequestId, TargetId>,
    /// Behaviour of the upstream.
    pub upstream: UpstreamMode,
    /// Service time of the upstream, in microseconds.
    pub run_us: u64,
    pub(super) bug: InjectedBug,
    /// Generations of keys whose record is simulated as lost. See [`Self::effective_key`].
    pub(super) key_generations: BTreeMap<String, u32>,
    /// Times of the latest response by key.
    pub(super) finished_at: BTreeMap<String, MonoTime>,
    /// Requests that wait for the outcome of an earlier request with the same key.
    pub(super) waiters: BTreeSet<RequestId>,
    /// Keys and bodies of the requests that were passed to admission or started.
    pub(super) executions: BTreeMap<RequestId, (String, String)>,
    rotation: u8,
    started_at: MonoTime,
    next_request: u64,
}

/// Returns the keys of the current and the previous epoch after `rotation` rotations. The four
/// epoch numbers are reused cyclically, each time with another key.
fn key_ring(rotation: u8) -> KeyRing {
    let key = |rotation: u8| SecretKey::new([rotation; 16]);
    let before = rotation.wrapping_sub(1);
    KeyRing::new(KeyEpoch(rotation % 4), key(rotation))
        .with_adjacent_key(KeyEpoch(before % 4), key(before))
}

impl SimulatedAgent {
    pub(super) fn new(
        target: TargetId,
        incarnation: Incarnation,
        now: MonoTime,
        bug: InjectedBug,
    ) -> Self {
        let local_owner = KeyOwner {
            service: SERVICE,
            target,
            incarnation,
        };
        let mut lifecycle = LifecycleMachine::new(Role::Agent, LifecycleSettings::default());
        lifecycle.handle(MonoTime::ZERO, LifecycleEvent::Ready);
        Self {
            target,
            incarnation,
            is_up: true,
            named_by_ticket: true,
            paused: false,
            backlog: Vec::new(),
            coordinator: Coordinator::new(
                local_owner,
                key_ring(INITIAL_ROTATION_COUNT),
                StoreLimits::default(),
            ),
            matcher: ResponseMatcher::new(incarnation),
            lifecycle,
            accepts_requests: true,
            queue: VecDeque::new(),
            running_requests: BTreeSet::new(),
            slots: 2,
            max_queue: 4,
            retry_budget: 0,
            requests: BTreeMap::new(),
            relays: BTreeMap::new(),
            upstream: UpstreamMode::Answers,
            run_us: 10_000,
            bug,
            key_generations: BTreeMap::new(),
            finished_at: BTreeMap::new(),
            waiters: BTreeSet::new(),
            executions: BTreeMap::new(),
            rotation: INITIAL_ROTATION_COUNT,
            started_at: now,
            next_request: 0,
        }
    }

    /// Replaces the coordinator by one with an empty store and these limits.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        let local_owner = KeyOwner {
            service: SERVICE,
            target: self.target,
            incarnation: self.incarnation,
        };
        self.coordinator = Coordinator::new(local_owner, key_ring(self.rotation), limits);
    }

    /// Moves to the keys of the next epoch.
    pub fn rotate_keys(&mut self) {
        self.rotation = self.rotation.wrapping_add(1);
        self.coordinator.set_keys(key_ring(self.rotation));
    }

    /// Copies the settings of the previous incarnation.
    pub(super) fn copy_settings_from(
        &mut self,
        before: &Self,
        limits: StoreLimits,
        drain_bound_ms: u64,
    ) {
        (self.upstream, self.run_us) = (before.upstream, before.run_us);
        (self.slots, self.named_by_ticket) = (before.slots, before.named_by_ticket);
        self.rotation = before.rotation;
        self.set_limits(limits);
        self.set_drain_bound(drain_bound_ms);
    }

    /// Replaces the life cycle by one with this drain bound, in the serving state.
    pub fn set_drain_bound(&mut self, drain_bound_ms: u64) {
        let settings = LifecycleSettings {
            drain_bound_ms,
            ..LifecycleSettings::default()
        };
        self.lifecycle = LifecycleMachine::new(Role::Agent, settings);
        self.lifecycle.handle(MonoTime::ZERO, LifecycleEvent::Ready);
    }

    /// Converts simulation time to the agent's own clock, which starts with the process.
    pub(super) fn local_time(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_us(now.us_since(self.started_at))
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

    /// Returns the key that is passed to the coordinator. Bugs that lose the record of a key are
    /// simulated by a generation suffix, so that the coordinator doesn't find the record.
    pub(super) fn effective_key(&mut self, key: &str, now: MonoTime) -> String {
        let expires_early = self.bug == InjectedBug::ExpiresKeysEarly;
        if expires_early
            && self
                .finished_at
                .get(key)
                .is_some_and(|at| now > at.plus_ms(50))
        {
            self.finished_at.remove(key);
            *self.key_generations.entry(key.into()).or_default() += 1;
        }
        match self.key_generations.get(key) {
            Some(generation) => format!("{key}~{generation}"),
            None => key.into(),
        }
    }
}
