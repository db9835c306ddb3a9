//! Matches responses to requests by inbound stream, request ID and incarnation.

use std::collections::VecDeque;

use fes_protocol::FastMap;
use fes_protocol::Incarnation;
use fes_protocol::RequestId;

/// Number of ended requests to keep, to distinguish duplicate responses from late ones.
const MAX_ENDED_REQUESTS: usize = 1_024;

/// The stream on which a request arrived from a client or another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundStreamId {
    /// Number of the connection within the agent incarnation.
    pub connection: u64,
    /// Number of the stream within the connection.
    pub stream: u64,
}

/// Identifies the request that a response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResponseTag {
    /// Stream on which the request arrived.
    pub inbound_stream: InboundStreamId,
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
        /// Body length announced by the head, in bytes, if any.
        body_bytes: Option<u64>,
    },
    /// A chunk of the body.
    Body {
        /// Length of the chunk.
        len_bytes: u64,
    },
    /// The response ended properly.
    End,
    /// The response was reset or its connection was lost.
    Aborted,
}

/// Reason for dropping a part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The request was cancelled or timed out, or its response was reset.
    Late,
    /// The request was already answered.
    Duplicate,
    /// No such request is open, or it arrived on another stream.
    Unmatched,
    /// Another incarnation sent the request.
    OtherIncarnation,
}

/// What to do with a part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Forward the part to the inbound stream.
    Forward(InboundStreamId),
    /// Forward the end to the inbound stream; the response is complete.
    Complete(InboundStreamId),
    /// Reset the inbound stream; the response can't be completed.
    Reset(InboundStreamId),
    /// Drop the part.
    Drop(DropReason),
}

/// Counters of dropped parts by reason, and of ended responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MatchCounters {
    /// Parts received after the request was cancelled or timed out, or its response was reset.
    pub late_count: u64,
    /// Parts received after the complete response.
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
    inbound_stream: InboundStreamId,
    head_seen: bool,
    body_bytes: Option<u64>,
    received_bytes: u64,
}

/// Tracks the open requests of one agent incarnation and the progress of their responses.
#[derive(Debug)]
pub struct ResponseMatcher {
    incarnation: Incarnation,
    open: FastMap<RequestId, OpenResponse>,
    ended: FastMap<RequestId, DropReason>,
    ended_order: VecDeque<RequestId>,
    counters: MatchCounters,
}

impl ResponseMatcher {
    /// Creates a matcher for the requests of one agent incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            open: FastMap::default(),
            ended: FastMap::default(),
            ended_order: VecDeque::new(),
            counters: MatchCounters::default(),
        }
    }

    /// Registers a request and returns the tag that its response must carry.
    pub fn register(&mut self, inbound_stream: InboundStreamId, request: RequestId) -> ResponseTag {
        let open_response = OpenResponse {
            inbound_stream,
            head_seen: false,
            body_bytes: None,
            received_bytes: 0,
        };
        self.open.insert(request, open_response);
        ResponseTag {
            inbound_stream,
            request,
            incarnation: self.incarnation,
        }
    }

    /// Ends a request that was cancelled, timed out or answered in another way.
    pub fn cancel(&mut self, request: RequestId) {
        if self.open.remove(&request).is_some() {
            self.record_end(request, DropReason::Late);
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

    /// Decides how to deliver a part of a response.
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
                Delivery::Forward(open.inbound_stream)
            }
            ResponsePart::Body { len_bytes } if open.fits(len_bytes) => {
                open.received_bytes += len_bytes;
                Delivery::Forward(open.inbound_stream)
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
            Some(open) if open.inbound_stream == tag.inbound_stream => None,
            Some(_) => Some(DropReason::Unmatched),
            None => Some(
                self.ended
                    .get(&tag.request)
                    .copied()
                    .unwrap_or(DropReason::Unmatched),
            ),
        }
    }

    fn complete(&mut self, tag: ResponseTag) -> Delivery {
        self.open.remove(&tag.request);
        self.record_end(tag.request, DropReason::Duplicate);
        self.counters.complete_count += 1;
        Delivery::Complete(tag.inbound_stream)
    }

    fn reset(&mut self, tag: ResponseTag) -> Delivery {
        self.open.remove(&tag.request);
        self.record_end(tag.request, DropReason::Late);
        self.counters.reset_count += 1;
        Delivery::Reset(tag.inbound_stream)
    }

    fn record_end(&mut self, request: RequestId, reason: DropReason) {
        self.ended.insert(request, reason);
        self.ended_order.push_back(request);
        if self.ended_order.len() > MAX_ENDED_REQUESTS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
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
    /// Returns whether another `len_bytes` bytes fit the announced body length.
    fn fits(&self, len_bytes: u64) -> bool {
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
