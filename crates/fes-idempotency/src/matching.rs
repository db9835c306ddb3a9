//! Matches responses to requests by flow, request ID and incarnation.

use std::collections::VecDeque;

use fes_protocol::FastMap;
use fes_protocol::Incarnation;
use fes_protocol::RequestId;

/// Requests whose end is remembered, so that a doubled response is told from a late one.
const REMEMBERED_ENDS: usize = 1_024;

/// The stream of a client's connection that a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId {
    /// Number of the connection within the agent incarnation.
    pub connection: u64,
    /// Number of the stream within the connection.
    pub stream: u64,
}

/// What a response says about the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResponseTag {
    /// Flow of the request.
    pub flow: FlowId,
    /// ID of the request.
    pub request: RequestId,
    /// Agent incarnation that sent the request.
    pub incarnation: Incarnation,
}

/// A part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and header fields.
    Head {
        /// Announced length of the body in bytes, if any.
        body_bytes: Option<u64>,
    },
    /// Bytes of the body.
    Body {
        /// Their number.
        len_bytes: u64,
    },
    /// The response ended as the protocol requires.
    End,
    /// The response was reset or its connection lost.
    Aborted,
}

/// Why a part of a response was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The request was cancelled or timed out.
    Late,
    /// The request was answered already.
    Duplicate,
    /// No such request is open, or it came from another flow.
    Unmatched,
    /// Another incarnation sent the request.
    OtherIncarnation,
}

/// What to do with a part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Pass it on to the flow.
    Forward(FlowId),
    /// Pass on the end; the response is complete.
    Complete(FlowId),
    /// Reset the flow's stream: the response can't become complete.
    Reset(FlowId),
    /// Drop it.
    Drop(DropReason),
}

/// Dropped parts by reason, and responses by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MatchCounters {
    /// Parts that came after the request was cancelled or timed out.
    pub late_count: u64,
    /// Parts that came after the complete response.
    pub duplicate_count: u64,
    /// Parts for which no request is open.
    pub unmatched_count: u64,
    /// Parts for another incarnation.
    pub other_incarnation_count: u64,
    /// Complete responses.
    pub complete_count: u64,
    /// Responses that were reset.
    pub reset_count: u64,
}

#[derive(Debug, Clone, Copy)]
struct OpenResponse {
    flow: FlowId,
    head_seen: bool,
    body_bytes: Option<u64>,
    received_bytes: u64,
}

/// Open requests of one agent incarnation and their responses so far.
#[derive(Debug)]
pub struct ResponseMatcher {
    incarnation: Incarnation,
    open: FastMap<RequestId, OpenResponse>,
    ends: FastMap<RequestId, DropReason>,
    end_order: VecDeque<RequestId>,
    counters: MatchCounters,
}

impl ResponseMatcher {
    /// Makes a matcher for the requests of one agent incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            open: FastMap::default(),
            ends: FastMap::default(),
            end_order: VecDeque::new(),
            counters: MatchCounters::default(),
        }
    }

    /// Expects a response and returns the tag that it must carry.
    pub fn register(&mut self, flow: FlowId, request: RequestId) -> ResponseTag {
        let expected = OpenResponse {
            flow,
            head_seen: false,
            body_bytes: None,
            received_bytes: 0,
        };
        self.open.insert(request, expected);
        ResponseTag {
            flow,
            request,
            incarnation: self.incarnation,
        }
    }

    /// Stops expecting a response: the request was cancelled, timed out or answered otherwise.
    pub fn cancel(&mut self, request: RequestId) {
        if self.open.remove(&request).is_some() {
            self.remember(request, DropReason::Late);
        }
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> MatchCounters {
        self.counters
    }

    /// Decides on a part of a response.
    pub fn receive(&mut self, tag: ResponseTag, part: ResponsePart) -> Delivery {
        if let Some(reason) = self.mismatch(tag) {
            self.count_drop(reason);
            return Delivery::Drop(reason);
        }
        let Some(open) = self.open.get_mut(&tag.request) else {
            return Delivery::Drop(DropReason::Unmatched);
        };
        match part {
            ResponsePart::Head { body_bytes } if !open.head_seen => {
                open.head_seen = true;
                open.body_bytes = body_bytes;
                Delivery::Forward(open.flow)
            }
            ResponsePart::Body { len_bytes } if open.accepts(len_bytes) => {
                open.received_bytes += len_bytes;
                Delivery::Forward(open.flow)
            }
            ResponsePart::End if open.is_complete() => self.complete(tag),
            _ => self.reset(tag),
        }
    }

    fn mismatch(&self, tag: ResponseTag) -> Option<DropReason> {
        if tag.incarnation != self.incarnation {
            return Some(DropReason::OtherIncarnation);
        }
        match self.open.get(&tag.request) {
            Some(open) if open.flow == tag.flow => None,
            Some(_) => Some(DropReason::Unmatched),
            None => Some(
                self.ends
                    .get(&tag.request)
                    .copied()
                    .unwrap_or(DropReason::Unmatched),
            ),
        }
    }

    fn complete(&mut self, tag: ResponseTag) -> Delivery {
        self.open.remove(&tag.request);
        self.remember(tag.request, DropReason::Duplicate);
        self.counters.complete_count += 1;
        Delivery::Complete(tag.flow)
    }

    fn reset(&mut self, tag: ResponseTag) -> Delivery {
        self.open.remove(&tag.request);
        self.remember(tag.request, DropReason::Late);
        self.counters.reset_count += 1;
        Delivery::Reset(tag.flow)
    }

    fn remember(&mut self, request: RequestId, reason: DropReason) {
        self.ends.insert(request, reason);
        self.end_order.push_back(request);
        if self.end_order.len() > REMEMBERED_ENDS
            && let Some(oldest) = self.end_order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    const fn count_drop(&mut self, reason: DropReason) {
        match reason {
            DropReason::Late => self.counters.late_count += 1,
            DropReason::Duplicate => self.counters.duplicate_count += 1,
            DropReason::Unmatched => self.counters.unmatched_count += 1,
            DropReason::OtherIncarnation => self.counters.other_incarnation_count += 1,
        }
    }
}

impl OpenResponse {
    /// Returns whether so many further bytes fit the announced length.
    fn accepts(&self, len_bytes: u64) -> bool {
        let total_bytes = self.received_bytes.saturating_add(len_bytes);
        self.head_seen && self.body_bytes.is_none_or(|body| total_bytes <= body)
    }

    fn is_complete(&self) -> bool {
        self.head_seen
            && self
                .body_bytes
                .is_none_or(|body| self.received_bytes == body)
    }
}
