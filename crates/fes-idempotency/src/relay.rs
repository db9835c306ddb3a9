//! Requests whose key names another agent. They are relayed to that agent once and never retried.

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::Answer;
use crate::AnswerDetail;
use crate::KeyOwner;

/// Time after the deadline of a request during which its relay still waits for the owner's answer,
/// in milliseconds. Covers the return path over a slow link.
pub const RELAY_GRACE_MS: u64 = 1_000;

/// Input of [`RelayTable::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayEvent {
    /// A client sent a request whose key names another target of this service.
    Request {
        /// ID that the agent assigned to the request.
        request: RequestId,
        /// Owner of the key.
        owner: KeyOwner,
        /// Latest time at which the owner may start the request, on this agent's clock.
        deadline: MonoTime,
    },
    /// There is no link to the owner, and no byte of the request was sent.
    LinkUnavailable {
        /// The request.
        request: RequestId,
    },
    /// The first byte of the request is about to be written to the link.
    Forwarded {
        /// The request.
        request: RequestId,
    },
    /// The owner sent a complete answer.
    OwnerAnswered {
        /// The request.
        request: RequestId,
        /// The owner's answer.
        answer: Answer,
    },
    /// The link was lost, or the owner's answer was truncated.
    LinkLost {
        /// The request.
        request: RequestId,
    },
    /// The client cancelled the request or its flow ended.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// The drain bound passed and the process is about to stop.
    DrainBoundReached,
    /// Due at the time that [`RelayTable::next_timer`] returns.
    Timer,
}

/// Output of [`RelayTable::handle`], to be carried out by the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Send the request to the owner's agent, marked as relayed. A request is forwarded only once.
    Forward {
        /// The request.
        request: RequestId,
        /// The owner.
        owner: KeyOwner,
        /// Latest time at which the owner may start the request, on this agent's clock. It is sent
        /// as the remaining time.
        deadline: MonoTime,
    },
    /// Answer the client.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Reset the link stream, because the client no longer waits. The owner refuses the request if
    /// it is still queued and no other request waits for it; if it already runs, the owner keeps
    /// the outcome for a retry.
    Cancel {
        /// The request.
        request: RequestId,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Relay {
    forwarded: bool,
    expires_at: MonoTime,
}

/// Requests that were relayed to their owners and are not answered yet.
#[derive(Debug, Default)]
pub struct RelayTable {
    relays: FastMap<RequestId, Relay>,
    dropped_event_count: u64,
}

impl RelayTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait for an answer.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.relays.len()
    }

    /// Returns the number of late and duplicate events that were dropped.
    #[must_use]
    pub const fn dropped_event_count(&self) -> u64 {
        self.dropped_event_count
    }

    /// Returns whether a request waits for an answer.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.relays.contains_key(&request)
    }

    /// Returns when [`RelayEvent::Timer`] is due, if any request waits.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonoTime> {
        self.relays.values().map(|relay| relay.expires_at).min()
    }

    /// Processes an event and returns the actions that the host must carry out, in order.
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
                self.finish(request, |relay| relay.unreachable_answer())
            }
            RelayEvent::OwnerAnswered { request, answer } => self.finish(request, |_| answer),
            RelayEvent::ClientCancelled { request } => match self.relays.remove(&request) {
                Some(_) => vec![RelayAction::Cancel { request }],
                None => Vec::new(),
            },
            RelayEvent::DrainBoundReached => self.expire(|_| true),
            RelayEvent::Timer => self.expire(|relay| relay.expires_at <= now),
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
            expires_at: deadline.plus_ms(RELAY_GRACE_MS),
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

    fn finish(
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

    fn expire(&mut self, is_due: impl Fn(&Relay) -> bool) -> Vec<RelayAction> {
        let due = self.relays.iter().filter(|(_, relay)| is_due(relay));
        let mut requests: Vec<RequestId> = due.map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests
            .into_iter()
            .flat_map(|request| self.finish(request, |relay| relay.unreachable_answer()))
            .collect()
    }
}

impl Relay {
    /// Returns the answer for a request whose owner can't be reached. Its code is never "not run":
    /// even if this attempt wasn't forwarded, an earlier one may have run.
    const fn unreachable_answer(self) -> Answer {
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
