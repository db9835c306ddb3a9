//! Requests whose key names another agent: relayed to it once, never retried.

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::Answer;
use crate::AnswerDetail;
use crate::KeyOwner;

/// How long after a request's deadline its relay still waits for the owner's answer, in
/// milliseconds. Covers the way back over a slow link.
pub const RELAY_GRACE_MS: u64 = 1_000;

/// What happened to a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayEvent {
    /// A client's request whose key names another target of this service.
    Request {
        /// ID that the agent gave to this request.
        request: RequestId,
        /// Owner that the key names.
        owner: KeyOwner,
        /// Latest start at the owner, on this agent's clock.
        deadline: MonoTime,
    },
    /// There is no link to the owner; nothing of the request was written to one.
    LinkUnavailable {
        /// The request.
        request: RequestId,
    },
    /// The first byte of the request is about to be written to the link.
    Forwarded {
        /// The request.
        request: RequestId,
    },
    /// The owner answered completely.
    OwnerAnswered {
        /// The request.
        request: RequestId,
        /// The owner's answer.
        answer: Answer,
    },
    /// The link was lost, or the owner's answer ended early.
    LinkLost {
        /// The request.
        request: RequestId,
    },
    /// The client cancelled the request or its flow is gone.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed; the process is about to stop.
    DrainBoundReached,
    /// Due at the time that [`RelayTable::next_timer`] returns.
    Timer,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Send the request to the owner's agent, marked as relayed. Never sent twice.
    Forward {
        /// The request.
        request: RequestId,
        /// The owner.
        owner: KeyOwner,
        /// Latest start at the owner, on this agent's clock; sent as the time that remains.
        deadline: MonoTime,
    },
    /// Answer the client.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// The client no longer waits; reset the link stream. The owner then refuses the request if it
    /// is queued and nobody else waits for it, and keeps the outcome for a retry if it runs.
    Cancel {
        /// The request.
        request: RequestId,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Relay {
    forwarded: bool,
    give_up_at: MonoTime,
}

/// Requests on their way to their owners.
#[derive(Debug, Default)]
pub struct RelayTable {
    relays: FastMap<RequestId, Relay>,
    dropped_event_count: u64,
}

impl RelayTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait for an owner.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.relays.len()
    }

    /// Returns the number of late and doubled events that were dropped.
    #[must_use]
    pub const fn dropped_event_count(&self) -> u64 {
        self.dropped_event_count
    }

    /// Returns whether a request waits for an owner.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.relays.contains_key(&request)
    }

    /// Returns when [`RelayEvent::Timer`] is due, if anything waits.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonoTime> {
        self.relays.values().map(|relay| relay.give_up_at).min()
    }

    /// Reacts to an event.
    pub fn handle(&mut self, now: MonoTime, event: RelayEvent) -> Vec<RelayAction> {
        match event {
            RelayEvent::Request {
                request,
                owner,
                deadline,
            } => self.on_request(request, owner, deadline),
            RelayEvent::Forwarded { request } => {
                match self.relays.get_mut(&request) {
                    Some(relay) => relay.forwarded = true,
                    None => self.dropped_event_count += 1,
                }
                Vec::new()
            }
            RelayEvent::LinkUnavailable { request } | RelayEvent::LinkLost { request } => {
                self.end(request, |relay| relay.unknown())
            }
            RelayEvent::OwnerAnswered { request, answer } => self.end(request, |_| answer),
            RelayEvent::ClientCancelled { request } => match self.relays.remove(&request) {
                Some(_) => vec![RelayAction::Cancel { request }],
                None => Vec::new(),
            },
            RelayEvent::DrainBoundReached => self.give_up(|_| true),
            RelayEvent::Timer => self.give_up(|relay| relay.give_up_at <= now),
        }
    }

    fn on_request(
        &mut self,
        request: RequestId,
        owner: KeyOwner,
        deadline: MonoTime,
    ) -> Vec<RelayAction> {
        let relay = Relay {
            forwarded: false,
            give_up_at: deadline.plus_ms(RELAY_GRACE_MS),
        };
        if self.relays.contains_key(&request) {
            self.dropped_event_count += 1;
            return Vec::new();
        }
        self.relays.insert(request, relay);
        vec![RelayAction::Forward {
            request,
            owner,
            deadline,
        }]
    }

    fn end(
        &mut self,
        request: RequestId,
        answer: impl FnOnce(Relay) -> Answer,
    ) -> Vec<RelayAction> {
        let Some(relay) = self.relays.remove(&request) else {
            self.dropped_event_count += 1;
            return Vec::new();
        };
        let answer = answer(relay);
        vec![RelayAction::Answer { request, answer }]
    }

    fn give_up(&mut self, is_due: impl Fn(&Relay) -> bool) -> Vec<RelayAction> {
        let due = self.relays.iter().filter(|(_, relay)| is_due(relay));
        let mut requests: Vec<RequestId> = due.map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests
            .into_iter()
            .flat_map(|request| self.end(request, |relay| relay.unknown()))
            .collect()
    }
}

impl Relay {
    /// The answer when the owner can't be heard. Even if this try wasn't forwarded, an earlier one
    /// may have run, so it is never "not run".
    const fn unknown(self) -> Answer {
        Answer::Code {
            code: ResultCode::UnknownOwnerUnreachable,
            detail: if self.forwarded {
                AnswerDetail::Forwarded
            } else {
                AnswerDetail::NotForwarded
            },
        }
    }
}
