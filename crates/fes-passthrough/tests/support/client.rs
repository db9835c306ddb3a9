//! Simulated client: opens a flow, sends requests sequentially and retransmits unanswered packets.

use fes_passthrough::FlowKey;
use fes_passthrough::Segment;

use super::fixtures::client_segment;
use super::fixtures::opening;

const FIRST_RETRY_MS: u64 = 200;
const LONGEST_RETRY_MS: u64 = 1_600;
/// Number of times that a client sends the end of its flow again while it isn't acknowledged.
const MAX_END_RETRIES: u32 = 8;

/// Largest distance of a reset's sequence number from the client's acknowledgement number. A client
/// with an open flow ignores other resets.
const RESET_WINDOW: u32 = 76_800;

/// Timing of an answered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTiming {
    pub sent_ms: u64,
    pub answered_ms: u64,
    /// Whether the target answered that it failed.
    pub is_failure: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening {
        transmissions: u32,
    },
    Waiting {
        since_ms: u64,
    },
    Idle,
    /// The client has closed the flow, which isn't acknowledged.
    Closing {
        retries: u32,
    },
    Ended,
}

#[derive(Debug)]
pub struct Client {
    pub flow: FlowKey,
    pub answers: Vec<RequestTiming>,
    /// Number of resets that arrived while the flow was open.
    pub resets_while_open: usize,
    /// Whether a reset arrived before the flow was open or after it ended.
    pub is_refused: bool,
    /// Time from the first transmission of a request to the reset that arrived instead of a
    /// response.
    pub reset_after_ms: Option<u64>,
    /// Time after which the client closes the flow if a request isn't answered.
    pub timeout_ms: u64,
    pause_ms: u64,
    requests_left: usize,
    state: State,
    initial_sequence: Option<u32>,
    sequence: u32,
    retry_ms: u64,
    first_sent_ms: u64,
    /// Timers that fire before this time are outdated.
    due_ms: u64,
}

impl Client {
    pub fn new(flow: FlowKey, requests: usize, pause_ms: u64) -> Self {
        Self {
            flow,
            answers: Vec::new(),
            resets_while_open: 0,
            is_refused: false,
            reset_after_ms: None,
            timeout_ms: u64::MAX,
            pause_ms,
            requests_left: requests,
            state: State::Opening { transmissions: 0 },
            initial_sequence: None,
            sequence: 1,
            retry_ms: FIRST_RETRY_MS,
            first_sent_ms: 0,
            due_ms: 0,
        }
    }

    /// Returns whether all requests were answered. A client without requests is done once it has
    /// sent its opening packet.
    pub fn is_done(&self) -> bool {
        self.requests_left == 0 && self.state != State::Opening { transmissions: 0 }
    }

    pub fn is_open(&self) -> bool {
        let is_closed = matches!(self.state, State::Closing { .. } | State::Ended);
        self.initial_sequence.is_some() && !is_closed
    }

    /// Returns the packet that is due and the time of the next timer.
    pub fn on_timer(&mut self, now_ms: u64) -> (Option<Segment>, Option<u64>) {
        if now_ms < self.due_ms {
            return (None, None);
        }
        let (segment, at_ms) = self.send_due(now_ms);
        self.due_ms = at_ms.unwrap_or(u64::MAX);
        (segment, at_ms)
    }

    fn send_due(&mut self, now_ms: u64) -> (Option<Segment>, Option<u64>) {
        match self.state {
            State::Opening { transmissions: 3.. } | State::Ended => (None, None),
            State::Opening { transmissions } => {
                if transmissions == 0 {
                    self.first_sent_ms = now_ms;
                }
                self.state = State::Opening {
                    transmissions: transmissions + 1,
                };
                let segment = Segment {
                    // In an opening packet, the number of its earlier transmissions.
                    acknowledged: transmissions,
                    sequence: 0,
                    ..opening(self.flow)
                };
                // Times of the two retransmissions after the first packet; at the third time, the
                // client gives up.
                let next_ms = [200, 600, 1_400][usize::try_from(transmissions).expect("at most 2")];
                (Some(segment), Some(self.first_sent_ms + next_ms))
            }
            State::Idle => {
                if self.requests_left == 0 {
                    return (None, None);
                }
                self.state = State::Waiting { since_ms: now_ms };
                self.retry_ms = FIRST_RETRY_MS;
                (Some(self.request()), Some(now_ms + FIRST_RETRY_MS))
            }
            State::Waiting { since_ms } if now_ms >= since_ms.saturating_add(self.timeout_ms) => {
                self.retry_ms = FIRST_RETRY_MS;
                self.state = State::Closing { retries: 0 };
                (Some(self.end()), Some(now_ms + self.retry_ms))
            }
            State::Closing {
                retries: MAX_END_RETRIES..,
            } => {
                self.state = State::Ended;
                (None, None)
            }
            State::Closing { retries } => {
                self.state = State::Closing {
                    retries: retries + 1,
                };
                self.retry_ms = (self.retry_ms * 2).min(LONGEST_RETRY_MS);
                (Some(self.end()), Some(now_ms + self.retry_ms))
            }
            State::Waiting { since_ms } => {
                let leaves_at_ms = since_ms.saturating_add(self.timeout_ms);
                self.retry_ms = (self.retry_ms * 2).min(LONGEST_RETRY_MS);
                let next_ms = now_ms + self.retry_ms;
                (Some(self.request()), Some(next_ms.min(leaves_at_ms)))
            }
        }
    }

    /// Handles a packet. Returns the packet to send in response and the time of the next timer.
    pub fn on_packet(&mut self, now_ms: u64, segment: &Segment) -> (Option<Segment>, Option<u64>) {
        let (segment, at_ms) = self.handle(now_ms, segment);
        self.due_ms = at_ms.unwrap_or(self.due_ms);
        (segment, at_ms)
    }

    fn handle(&mut self, now_ms: u64, segment: &Segment) -> (Option<Segment>, Option<u64>) {
        if segment.is_reset {
            let distance = segment
                .sequence
                .wrapping_sub(self.acknowledgement().acknowledged);
            let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            if self.is_open() && !is_near {
                return (None, None);
            }
            if let State::Waiting { since_ms } = self.state {
                self.reset_after_ms = Some(now_ms - since_ms);
            }
            if self.is_open() {
                self.resets_while_open += 1;
            } else {
                self.is_refused = true;
            }
            self.state = State::Ended;
            return (None, None);
        }
        if segment.is_syn && self.initial_sequence.is_none() {
            self.initial_sequence = Some(segment.sequence);
            self.state = State::Idle;
            return (Some(self.acknowledgement()), Some(now_ms));
        }
        let State::Waiting { since_ms } = self.state else {
            return (None, None);
        };
        // Targets choose random initial sequence numbers, so another target's differs.
        let is_from_opening_target =
            self.initial_sequence.map(|s| s.wrapping_add(1)) == Some(segment.sequence);
        if segment.payload_bytes == 0 || !is_from_opening_target {
            return (None, None);
        }
        self.answers.push(RequestTiming {
            sent_ms: since_ms,
            answered_ms: now_ms,
            is_failure: segment.is_failure,
        });
        self.requests_left -= 1;
        self.sequence += 100;
        self.state = State::Idle;
        (Some(self.acknowledgement()), Some(now_ms + self.pause_ms))
    }

    fn request(&self) -> Segment {
        Segment {
            payload_bytes: 100,
            ..self.acknowledgement()
        }
    }

    /// Returns the end of the flow, which follows a request that isn't answered.
    fn end(&self) -> Segment {
        Segment {
            is_fin: true,
            sequence: self.sequence + 100,
            ..self.acknowledgement()
        }
    }

    fn acknowledgement(&self) -> Segment {
        Segment {
            sequence: self.sequence,
            acknowledged: self.initial_sequence.unwrap_or(0).wrapping_add(1),
            ..client_segment(self.flow)
        }
    }
}
