//! Entry point for an agent: classifies idempotency keys, then passes each request to the local
//! store or relays it to the owner of its key.

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

/// Input of [`Coordinator::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// A request with an `Idempotency-Key` arrived from a client or was relayed by another agent.
    Request {
        /// ID that the agent assigned to the request.
        request: RequestId,
        /// Value of the `Idempotency-Key` header.
        key_value: Vec<u8>,
        /// Digest of method, path, credentials and body.
        digest: RequestDigest,
        /// Latest time at which the request may start.
        deadline: MonoTime,
        /// Whether another agent relayed the request. A relayed request is never relayed again.
        relayed: bool,
    },
    /// An event of an execution at this agent.
    Store(StoreEvent),
    /// An event of a request that this agent relays.
    Relay(RelayEvent),
    /// The client cancelled a request or its flow ended.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed and the process is about to stop.
    DrainBoundReached,
    /// Due every [`crate::PURGE_PERIOD_MS`] and at the time that [`Coordinator::next_timer`]
    /// returns.
    Timer,
}

/// Output of [`Coordinator::handle`], to be carried out by the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorAction {
    /// An action of the store, other than an answer.
    Store(StoreAction),
    /// An action on a relayed request, other than an answer.
    Relay(RelayAction),
    /// Answer a request. A request is answered at most once.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// Provides at-most-once execution at one agent incarnation.
#[derive(Debug)]
pub struct Coordinator {
    local_owner: KeyOwner,
    codec: PrefixCodec,
    issuer: PrefixIssuer,
    store: IdempotencyStore,
    relays: RelayTable,
}

impl Coordinator {
    /// Creates the coordinator of the agent incarnation `local_owner`.
    #[must_use]
    pub fn new(local_owner: KeyOwner, keys: KeyRing, limits: StoreLimits) -> Self {
        Self {
            local_owner,
            codec: PrefixCodec::new(keys),
            issuer: PrefixIssuer::new(local_owner),
            store: IdempotencyStore::new(limits),
            relays: RelayTable::new(),
        }
    }

    /// Replaces the accepted secret keys after a rotation.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.codec.set_keys(keys);
    }

    /// Returns the prefix issuer, to update the spare capacity and the drain state of this agent.
    pub const fn issuer_mut(&mut self) -> &mut PrefixIssuer {
        &mut self.issuer
    }

    /// Updates a peer's clock and spare capacity from its heartbeat.
    pub fn observe_peer(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat) {
        self.issuer.observe(now, heartbeat);
    }

    /// Issues the key prefix to send with the next response.
    pub fn issue_prefix(&mut self, now: MonoTime) -> String {
        let prefix = self.issuer.issue(now);
        self.codec.encode(&prefix)
    }

    /// Returns the store, for its statistics.
    #[must_use]
    pub const fn store(&self) -> &IdempotencyStore {
        &self.store
    }

    /// Returns the table of relayed requests, for its statistics.
    #[must_use]
    pub const fn relays(&self) -> &RelayTable {
        &self.relays
    }

    /// Returns when the next relay times out, if any is open.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonoTime> {
        self.relays.next_timer()
    }

    /// Processes an event and returns the actions that the host must carry out, in order.
    pub fn handle(&mut self, now: MonoTime, event: CoordinatorEvent) -> Vec<CoordinatorAction> {
        match event {
            CoordinatorEvent::Request {
                request,
                key_value,
                digest,
                deadline,
                relayed,
            } => self.on_request(now, request, &key_value, digest, deadline, relayed),
            CoordinatorEvent::Store(event) => self.dispatch_to_store(now, event),
            CoordinatorEvent::Relay(event) => self.dispatch_to_relays(now, event),
            CoordinatorEvent::ClientCancelled { request } => {
                if self.relays.contains(request) {
                    self.dispatch_to_relays(now, RelayEvent::ClientCancelled { request })
                } else {
                    self.dispatch_to_store(now, StoreEvent::ClientCancelled { request })
                }
            }
            CoordinatorEvent::DrainBoundReached => self.dispatch_to_both(
                now,
                StoreEvent::DrainBoundReached,
                RelayEvent::DrainBoundReached,
            ),
            CoordinatorEvent::Timer => {
                self.dispatch_to_both(now, StoreEvent::Timer, RelayEvent::Timer)
            }
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
        let class = KeyClass::classify(key_value, &self.codec, self.local_owner);
        if let Some(code) = class.immediate_code() {
            return vec![CoordinatorAction::answer(request, Answer::code(code))];
        }
        match class {
            KeyClass::Owned(key) => self.dispatch_to_store(
                now,
                StoreEvent::Request {
                    request,
                    key,
                    digest,
                    deadline,
                },
            ),
            KeyClass::OtherTarget(key) if !relayed => self.dispatch_to_relays(
                now,
                RelayEvent::Request {
                    request,
                    owner: key.prefix.owner,
                    deadline,
                },
            ),
            // A relayed request reached the wrong agent: the relaying agent's ticket is outdated.
            _ => vec![CoordinatorAction::answer(
                request,
                Answer::Code {
                    code: ResultCode::UnknownOwnerUnreachable,
                    detail: AnswerDetail::NotForwarded,
                },
            )],
        }
    }

    fn dispatch_to_store(&mut self, now: MonoTime, event: StoreEvent) -> Vec<CoordinatorAction> {
        let actions = self.store.handle(now, event);
        actions.into_iter().map(Into::into).collect()
    }

    fn dispatch_to_relays(&mut self, now: MonoTime, event: RelayEvent) -> Vec<CoordinatorAction> {
        let actions = self.relays.handle(now, event);
        actions.into_iter().map(Into::into).collect()
    }

    fn dispatch_to_both(
        &mut self,
        now: MonoTime,
        store: StoreEvent,
        relay: RelayEvent,
    ) -> Vec<CoordinatorAction> {
        let mut actions = self.dispatch_to_store(now, store);
        actions.extend(self.dispatch_to_relays(now, relay));
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
