//! What happened to tickets in a run, one hop per line.

use std::fmt;

use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;

use crate::TicketVersion;

/// An object that came into force at a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceEvent {
    /// When.
    pub at: MonoTime,
    /// Where.
    pub node: NodeId,
    /// Who sent the ticket; `None` if it was the platform.
    pub from: Option<NodeId>,
    /// The object.
    pub object: ObjectKey,
    /// Ticket in force before.
    pub before: Option<TicketVersion>,
    /// Ticket in force now.
    pub after: TicketVersion,
}

impl TraceEvent {
    /// Returns whether the number of the object went down.
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

/// All hops of a run in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    events: Vec<TraceEvent>,
}

impl Trace {
    /// Adds a hop.
    pub fn push(&mut self, hop: TraceEvent) {
        self.events.push(hop);
    }

    /// Returns all hops.
    #[must_use]
    pub fn events(&self) -> &[TraceEvent] {
        &self.events
    }

    /// Returns the hops at which the number of an object went down at a process.
    pub fn decreases(&self) -> impl Iterator<Item = &TraceEvent> {
        self.events.iter().filter(|hop| hop.is_decrease())
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for hop in &self.events {
            writeln!(f, "{hop}")?;
        }
        Ok(())
    }
}
