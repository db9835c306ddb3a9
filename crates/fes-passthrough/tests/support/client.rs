//! A client: it opens a flow, sends requests on it one after the other, and sends again what isn't
//! answered.

use fes_passthrough::FlowKey;
use fes_passthrough::Segment;

use super::fixtures::client_segment;
use super::fixtures::opening;

const FIRST_RETRY_MS: u64 = 200;
const LONGEST_RETRY_MS: u64 = 1_600;

/// A client with an open flow ignores resets that are further from its last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    pub sent_ms: u64,
    pub answered_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening { copies: u32 },
    Waiting { since_ms: u64 },
    Idle,
    Ended,
}

#[derive(Debug)]
pub struct Client {
    pub flow: FlowKey,
    pub answers: Vec<Answer>,
    /// Resets that arrived while the flow was open.
    pub resets_while_open: usize,
    pub is_refused: bool,
    /// Time from sending a request to the reset that ended it.
    pub told_after_ms: Option<u64>,
    pause_ms: u64,
    requests_left: usize,
    state: State,
    opened_by: Option<u32>,
    sequence: u32,
    retry_ms: u64,
    first_sent_ms: u64,
    /// Timers that were set before this time are out of date.
    due_ms: u64,
}

impl Client {
    pub fn new(flow: FlowKey, requests: usize, pause_ms: u64) -> Self {
        Self {
            flow,
            answers: Vec::new(),
            resets_while_open: 0,
            is_refused: false,
            told_after_ms: None,
            pause_ms,
            requests_left: requests,
            state: State::Opening { copies: 0 },
            opened_by: None,
            sequence: 1,
            retry_ms: FIRST_RETRY_MS,
            first_sent_ms: 0,
            due_ms: 0,
        }
    }

    pub fn is_done(&self) -> bool {
        self.requests_left == 0 && self.state != State::Opening { copies: 0 }
    }

    pub fn is_open(&self) -> bool {
        self.opened_by.is_some() && self.state != State::Ended
    }

    /// Sends what is due and returns it with the time of the next call.
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
            State::Opening { copies: 3.. } | State::Ended => (None, None),
            State::Opening { copies } => {
                if copies == 0 {
                    self.first_sent_ms = now_ms;
                }
                self.state = State::Opening { copies: copies + 1 };
                let segment = Segment {
                    acknowledged: copies,
                    sequence: 0,
                    ..opening(self.flow)
                };
                let next_ms = [200, 600, 1_400][usize::try_from(copies).expect("few copies")];
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
            State::Waiting { .. } => {
                self.retry_ms = (self.retry_ms * 2).min(LONGEST_RETRY_MS);
                (Some(self.request()), Some(now_ms + self.retry_ms))
            }
        }
    }

    /// Takes a packet; returns what the client sends at once, and when its timer should run.
    pub fn on_packet(&mut self, now_ms: u64, segment: &Segment) -> (Option<Segment>, Option<u64>) {
        let (segment, at_ms) = self.take(now_ms, segment);
        self.due_ms = at_ms.unwrap_or(self.due_ms);
        (segment, at_ms)
    }

    fn take(&mut self, now_ms: u64, segment: &Segment) -> (Option<Segment>, Option<u64>) {
        if segment.is_reset {
            let distance = segment
                .sequence
                .wrapping_sub(self.acknowledgement().acknowledged);
            let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            if self.is_open() && !is_near {
                return (None, None);
            }
            if let State::Waiting { since_ms } = self.state {
                self.told_after_ms = Some(now_ms - since_ms);
            }
            if self.is_open() {
                self.resets_while_open += 1;
            } else {
                self.is_refused = true;
            }
            self.state = State::Ended;
            return (None, None);
        }
        if segment.is_syn && self.opened_by.is_none() {
            self.opened_by = Some(segment.sequence);
            self.state = State::Idle;
            return (Some(self.acknowledgement()), Some(now_ms));
        }
        let State::Waiting { since_ms } = self.state else {
            return (None, None);
        };
        let is_own = self.opened_by.map(|s| s.wrapping_add(1)) == Some(segment.sequence);
        if segment.payload_bytes == 0 || !is_own {
            return (None, None);
        }
        self.answers.push(Answer {
            sent_ms: since_ms,
            answered_ms: now_ms,
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

    fn acknowledgement(&self) -> Segment {
        Segment {
            sequence: self.sequence,
            acknowledged: self.opened_by.unwrap_or(0).wrapping_add(1),
            ..client_segment(self.flow)
        }
    }
}
