//! Entry point for an agent: classifies keys, then asks the store or relays to the owner.

use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::Answer;
use crate::AnswerDetail;
use crate::IdempotencyStore;
use crate::KeyClass;
use crate::KeyOwner;
use crate::PrefixCodec;
use crate::PrefixIssuer;
use crate::RelayAction;
use crate::RelayEvent;
use crate::RelayTable;
use crate::RequestDigest;
use crate::StoreAction;
use crate::StoreEvent;
use crate::StoreLimits;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// A request with an `Idempotency-Key`, from a client or relayed by another agent.
    Request {
        /// ID that the agent gave to this request.
        request: RequestId,
        /// Value of the `Idempotency-Key` header.
        key_value: Vec<u8>,
        /// Digest of method, path, credentials and body.
        digest: RequestDigest,
        /// Latest start.
        deadline: MonoTime,
        /// Whether another agent relayed it; it isn't relayed again.
        relayed: bool,
    },
    /// A report on an execution at this agent.
    Store(StoreEvent),
    /// A report on a relayed request.
    Relay(RelayEvent),
    /// The client cancelled a request or its flow is gone.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed; the process is about to stop.
    DrainBoundReached,
    /// Due every [`crate::PURGE_PERIOD_MS`] and when [`Coordinator::next_timer`] says so.
    Timer,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorAction {
    /// An action of the store, other than an answer.
    Store(StoreAction),
    /// An action on a relayed request, other than an answer.
    Relay(RelayAction),
    /// Answer a request. Each request gets at most one answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// At-most-once execution at one agent incarnation.
#[derive(Debug)]
pub struct Coordinator {
    me: KeyOwner,
    codec: PrefixCodec,
    issuer: PrefixIssuer,
    store: IdempotencyStore,
    relays: RelayTable,
}

impl Coordinator {
    /// Makes the coordinator of the agent incarnation `me`.
    #[must_use]
    pub fn new(me: KeyOwner, keys: KeyRing, limits: StoreLimits) -> Self {
        Self {
            me,
            codec: PrefixCodec::new(keys),
            issuer: PrefixIssuer::new(me),
            store: IdempotencyStore::new(limits),
            relays: RelayTable::new(),
        }
    }

    /// Replaces the accepted keys after a rotation.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.codec.set_keys(keys);
    }

    /// Returns the issuer, which learns from heartbeats.
    pub const fn issuer_mut(&mut self) -> &mut PrefixIssuer {
        &mut self.issuer
    }

    /// Learns a peer's clock and spare capacity from its heartbeat.
    pub fn observe_peer(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        self.issuer.observe(now, heartbeat);
    }

    /// Returns a prefix for the next response.
    pub fn issue_prefix(&mut self, now: MonoTime) -> String {
        let prefix = self.issuer.issue(now);
        self.codec.encode(&prefix)
    }

    /// Returns the store, for its statistics.
    #[must_use]
    pub const fn store(&self) -> &IdempotencyStore {
        &self.store
    }

    /// Returns the relayed requests, for their count.
    #[must_use]
    pub const fn relays(&self) -> &RelayTable {
        &self.relays
    }

    /// Returns when a relay gives up, if any is open.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonoTime> {
        self.relays.next_timer()
    }

    /// Reacts to an event; the host carries out the actions in order.
    pub fn handle(&mut self, now: MonoTime, event: CoordinatorEvent) -> Vec<CoordinatorAction> {
        match event {
            CoordinatorEvent::Request {
                request,
                key_value,
                digest,
                deadline,
                relayed,
            } => self.on_request(now, request, &key_value, digest, deadline, relayed),
            CoordinatorEvent::Store(event) => self.ask_store(now, event),
            CoordinatorEvent::Relay(event) => self.ask_relays(now, event),
            CoordinatorEvent::ClientCancelled { request } => {
                if self.relays.contains(request) {
                    self.ask_relays(now, RelayEvent::ClientCancelled { request })
                } else {
                    self.ask_store(now, StoreEvent::ClientCancelled { request })
                }
            }
            CoordinatorEvent::DrainBoundReached => self.ask_both(
                now,
                StoreEvent::DrainBoundReached,
                RelayEvent::DrainBoundReached,
            ),
            CoordinatorEvent::Timer => self.ask_both(now, StoreEvent::Timer, RelayEvent::Timer),
        }
    }

    fn on_request(
        &mut self,
        now: MonoTime,
        request: RequestId,
        key_value: &[u8],
        digest: RequestDigest,
        deadline: MonoTime,
        relayed: bool,
    ) -> Vec<CoordinatorAction> {
        let class = KeyClass::classify(key_value, &self.codec, self.me);
        if let Some(code) = class.immediate_code() {
            return vec![CoordinatorAction::answer(request, Answer::code(code))];
        }
        match class {
            KeyClass::Owned(key) => self.ask_store(
                now,
                StoreEvent::Request {
                    request,
                    key,
                    digest,
                    deadline,
                },
            ),
            KeyClass::OtherTarget(key) if !relayed => self.ask_relays(
                now,
                RelayEvent::Request {
                    request,
                    owner: key.prefix.owner,
                    deadline,
                },
            ),
            // A relayed request that reached the wrong agent: the relaying agent's ticket is old.
            _ => vec![CoordinatorAction::answer(
                request,
                Answer::Code {
                    code: ResultCode::UnknownOwnerUnreachable,
                    detail: AnswerDetail::NotForwarded,
                },
            )],
        }
    }

    fn ask_store(&mut self, now: MonoTime, event: StoreEvent) -> Vec<CoordinatorAction> {
        let actions = self.store.handle(now, event);
        actions.into_iter().map(Into::into).collect()
    }

    fn ask_relays(&mut self, now: MonoTime, event: RelayEvent) -> Vec<CoordinatorAction> {
        let actions = self.relays.handle(now, event);
        actions.into_iter().map(Into::into).collect()
    }

    fn ask_both(
        &mut self,
        now: MonoTime,
        store: StoreEvent,
        relay: RelayEvent,
    ) -> Vec<CoordinatorAction> {
        let mut actions = self.ask_store(now, store);
        actions.extend(self.ask_relays(now, relay));
        actions
    }
}

impl CoordinatorAction {
    const fn answer(request: RequestId, answer: Answer) -> Self {
        Self::Answer { request, answer }
    }
}

impl From<StoreAction> for CoordinatorAction {
    fn from(action: StoreAction) -> Self {
        match action {
            StoreAction::Answer { request, answer } => Self::Answer { request, answer },
            other => Self::Store(other),
        }
    }
}

impl From<RelayAction> for CoordinatorAction {
    fn from(action: RelayAction) -> Self {
        match action {
            RelayAction::Answer { request, answer } => Self::Answer { request, answer },
            other => Self::Relay(other),
        }
    }
}
