//! Trace of the tickets that came into force during a run, one event per line.

use std::fmt;

use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;

use crate::TicketVersion;

/// Event of the trace: an object came into force at a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceEvent {
    /// Virtual time of the event.
    pub at: MonoTime,
    /// Process at which the object came into force.
    pub node: NodeId,
    /// Process that sent the ticket; `None` for the platform.
    pub from: Option<NodeId>,
    /// Object that came into force.
    pub object: ObjectKey,
    /// Version of the object that was in force before.
    pub before: Option<TicketVersion>,
    /// Version of the object that is in force now.
    pub after: TicketVersion,
}

impl TraceEvent {
    /// Returns whether the ticket number of the object decreased.
    #[must_use]
    pub fn is_decrease(&self) -> bool {
        let before = self.before.map(|version| version.number);
        before.is_some_and(|number| number > self.after.number)
    }
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let from = self
            .from
            .map_or_else(|| "platform".to_owned(), |node| node.to_string());
        let before = self
            .before
            .map_or_else(|| "none".to_owned(), |version| version.number.to_string());
        write!(
            f,
            "{:>14} {from} -> {}: {} {before} -> {}",
            self.at.to_string(),
            self.node,
            self.object,
            self.after
        )
    }
}

/// All events of a run in chronological order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    events: Vec<TraceEvent>,
}

impl Trace {
    /// Appends an event.
    pub fn push(&mut self, event: TraceEvent) {
        self.events.push(event);
    }

    /// Returns all events.
    #[must_use]
    pub fn events(&self) -> &[TraceEvent] {
        &self.events
    }

    /// Returns the events in which the ticket number of an object decreased at a process.
    pub fn decreases(&self) -> impl Iterator<Item = &TraceEvent> {
        self.events.iter().filter(|event| event.is_decrease())
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        Ok(())
    }
}
