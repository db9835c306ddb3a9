//! W3C Trace Context.

use std::fmt;

/// Header that carries the trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";

const SAMPLED_FLAG: u8 = 1;
const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;
const BYTE_DIGITS: usize = 2;

/// Identifies a span and its trace. Neither ID is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// ID of the trace, the same at all hops.
    pub trace_id: u128,
    /// ID of the span.
    pub span_id: u64,
    /// Whether the trace is sampled, so that its spans are recorded.
    pub is_sampled: bool,
}

impl TraceContext {
    /// Creates the context of the root span of a new, sampled trace.
    #[must_use]
    pub fn root() -> Self {
        Self {
            trace_id: rand::random::<u128>().max(1),
            span_id: new_span_id(),
            is_sampled: true,
        }
    }

    /// Creates the context of a child span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            span_id: new_span_id(),
            ..*self
        }
    }

    /// Parses a `traceparent` header. Returns `None` if it is malformed, in which case the standard
    /// requires the caller to start a new trace.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut fields = header.trim().split('-');
        let version = hex_field(fields.next()?, BYTE_DIGITS)?;
        let trace_id = hex_field(fields.next()?, TRACE_ID_DIGITS)?;
        let span_id = hex_field(fields.next()?, SPAN_ID_DIGITS)?;
        let flags = hex_field(fields.next()?, BYTE_DIGITS)?;
        let has_extra_field = fields.next().is_some();
        // Version 255 is forbidden, and version 0 has exactly four fields.
        if version == 0xff || (version == 0 && has_extra_field) || trace_id == 0 || span_id == 0 {
            return None;
        }
        Some(Self {
            trace_id,
            span_id: u64::try_from(span_id).ok()?,
            is_sampled: flags & u128::from(SAMPLED_FLAG) != 0,
        })
    }
}

impl fmt::Display for TraceContext {
    /// Formats the context as the value of a `traceparent` header.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = if self.is_sampled { SAMPLED_FLAG } else { 0 };
        write!(
            f,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

fn new_span_id() -> u64 {
    rand::random::<u64>().max(1)
}

fn hex_field(text: &str, digits: usize) -> Option<u128> {
    let is_lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != digits || !text.bytes().all(is_lower_hex) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
