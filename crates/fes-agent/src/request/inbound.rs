//! Requests that have been received completely.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use fes_admission::RequestOrigin;
use fes_idempotency::InboundStreamId;
use fes_protocol::MonoTime;
use fes_protocol::headers::DEADLINE_MS;
use fes_protocol::headers::IDEMPOTENCY_KEY;
use http::HeaderMap;
use http::request::Parts;

use super::ResponseSink;
use crate::quic::EntryHop;

/// Longest deadline that a client may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Resolves when the sender of a request cancels it, disconnects, or has the whole response.
pub(crate) type ResponseEnded = Pin<Box<dyn Future<Output = ()>>>;

/// A request with its complete body, and where its response goes.
pub(crate) struct InboundRequest {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: RequestOrigin,
    /// The client connection and stream of the request, or zeros if another agent forwarded it.
    pub(crate) inbound_stream: InboundStreamId,
    /// The entry that delivered the request, if a client sent it.
    pub(crate) entry: Option<EntryHop>,
    pub(crate) sink: ResponseSink,
    pub(crate) response_ended: ResponseEnded,
}

impl InboundRequest {
    /// Returns the idempotency key of a non-repeatable request.
    pub(crate) fn idempotency_key(&self) -> Option<&[u8]> {
        let value = self.parts.headers.get(IDEMPOTENCY_KEY)?;
        Some(value.as_bytes())
    }
}

/// Returns the deadline of a request that arrived at `arrival`: the time that its header requests,
/// or `default_ms`.
pub(crate) fn request_deadline(
    headers: &HeaderMap,
    arrival: MonoTime,
    default_ms: u64,
) -> MonoTime {
    let requested_ms = headers
        .get(DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    arrival.plus_ms(requested_ms.unwrap_or(default_ms).min(MAX_DEADLINE_MS))
}
