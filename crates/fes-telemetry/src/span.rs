//! Spans: one for each hop of a request.

use std::fmt;
use std::time::SystemTime;

use fes_protocol::ResultCode;

use crate::TraceContext;

/// A hop of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hop {
    /// The client.
    Client,
    /// The entry. The agent records this span, because an entry can't read the encrypted request:
    /// it starts at the sent time of the encapsulation header.
    Entry,
    /// The agent.
    Agent,
    /// The upstream.
    Upstream,
}

impl Hop {
    /// Returns the hop in lower case.
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
    /// Identity; put it into the `traceparent` header of the next hop.
    pub context: TraceContext,
    pub(crate) parent_span_id: u64,
    pub(crate) hop: Hop,
    pub(crate) name: String,
    pub(crate) start: SystemTime,
}

/// A finished span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedSpan {
    /// Identity.
    pub context: TraceContext,
    /// ID of the parent span; 0 if there is none.
    pub parent_span_id: u64,
    /// The hop.
    pub hop: Hop,
    /// What was done, such as `GET /reports`.
    pub name: String,
    /// Start on the wall clock.
    pub start: SystemTime,
    /// End on the wall clock.
    pub end: SystemTime,
    /// The failure, if any.
    pub code: Option<ResultCode>,
}

impl fmt::Display for FinishedSpan {
    /// Writes the span as one line of text.
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
