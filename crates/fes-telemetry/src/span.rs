//! Spans of the hops of a request.

use std::fmt;
use std::time::SystemTime;

use fes_protocol::ResultCode;

use crate::TraceContext;

/// Process on the path of a request. Each hop has a span of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hop {
    /// The client.
    Client,
    /// The entry. The agent records this span, because an entry can't decrypt the request. It
    /// starts at the send time in the encapsulation header.
    Entry,
    /// The agent.
    Agent,
    /// The upstream.
    Upstream,
}

impl Hop {
    /// Returns the name of the hop in lower case.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Upstream => "upstream",
        }
    }
}

/// A span in progress. It is recorded when [`crate::Tracer::finish`] receives it.
#[derive(Debug, Clone)]
pub struct Span {
    /// Context to send in the `traceparent` header to the next hop.
    pub context: TraceContext,
    pub(crate) parent_span_id: u64,
    pub(crate) hop: Hop,
    pub(crate) name: String,
    pub(crate) start: SystemTime,
}

/// A finished span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedSpan {
    /// IDs of the span and its trace.
    pub context: TraceContext,
    /// ID of the parent span; 0 if there is none.
    pub parent_span_id: u64,
    /// The hop.
    pub hop: Hop,
    /// Name of the operation, such as `GET /reports`.
    pub name: String,
    /// Wall-clock time of the start.
    pub start: SystemTime,
    /// Wall-clock time of the end.
    pub end: SystemTime,
    /// Result code of the failure, if any.
    pub code: Option<ResultCode>,
}

impl fmt::Display for FinishedSpan {
    /// Formats the span as one line of `key=value` pairs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let duration = self.end.duration_since(self.start).unwrap_or_default();
        write!(
            f,
            "trace={:032x} span={:016x} parent={:016x} hop={} name={:?} duration_us={}",
            self.context.trace_id,
            self.context.span_id,
            self.parent_span_id,
            self.hop.name(),
            self.name,
            duration.as_micros()
        )?;
        match self.code {
            Some(code) => write!(f, " code=F{:04}", code.number()),
            None => f.write_str(" code=ok"),
        }
    }
}
