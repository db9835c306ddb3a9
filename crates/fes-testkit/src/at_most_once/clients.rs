//! Clients of the simulated fleet: their tries and how each one ends.

use fes_idempotency::AnswerDetail;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;

use super::agent::Origin;
use super::event::Event;
use super::network::Fate;
use super::world::World;
use super::world::short;

/// How a client's try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With a complete response.
    Answered {
        /// Body of the response.
        body: String,
    },
    /// With a result code.
    Code(ResultCode, AnswerDetail),
    /// Without an answer.
    ConnectionLost,
}

/// One try of a request by a client.
#[derive(Debug, Clone)]
pub struct Try {
    /// Name in traces.
    pub name: String,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Agent that the connection leads to.
    pub agent: TargetId,
    /// Entry on the way.
    pub entry: NodeId,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// When it was sent.
    pub sent_at: MonoTime,
    /// The fault that explains why no answer came, if there was one.
    pub excuse: Option<&'static str>,
    /// Every answer that reached the client; the first one ends the try.
    pub ends: Vec<(MonoTime, End)>,
}

impl World {
    /// Sends a client's try and returns its number.
    pub fn send(&mut self, attempt: Try) -> usize {
        let try_id = self.tries.len();
        let (entry, agent) = (attempt.entry, NodeId::Agent(attempt.agent));
        self.say(format!(
            "{} -> {} via {}: key {}, body {}",
            attempt.name,
            short(agent),
            short(entry),
            self.alias(&attempt.key),
            attempt.body
        ));
        self.tries.push(attempt);
        self.carry_for_try(try_id, entry, agent, Event::Request { try_id });
        try_id
    }

    /// Lets a client give up a try.
    pub fn cancel(&mut self, try_id: usize) {
        let attempt = &self.tries[try_id];
        let (entry, to) = (attempt.entry, attempt.agent);
        self.end(try_id, End::ConnectionLost);
        let origin = Origin::Client { try_id };
        let cancel = Event::Cancel { to, origin };
        self.carry_for_try(try_id, entry, NodeId::Agent(to), cancel);
    }

    pub(super) fn carry_for_try(&mut self, try_id: usize, from: NodeId, to: NodeId, event: Event) {
        match self.network.fate(from, to) {
            Fate::Arrives(delays) => delays.iter().for_each(|us| self.at_us(*us, event.clone())),
            Fate::Lost => {
                self.tries[try_id].excuse = Some("message lost");
                self.say(format!("{} loses a message to {}", short(from), short(to)));
            }
        }
    }

    /// Ends the tries that a fault explains; any other without an end is a violation.
    pub fn close_open_tries(&mut self) {
        for try_id in 0..self.tries.len() {
            if !self.tries[try_id].ends.is_empty() {
                continue;
            }
            match self.tries[try_id].excuse {
                Some(_) => self.end(try_id, End::ConnectionLost),
                None => {
                    let name = self.tries[try_id].name.clone();
                    self.violations
                        .push(format!("{name} got no answer, and no fault explains it"));
                }
            }
        }
    }

    pub(super) fn excuse_tries_at(&mut self, target: TargetId, excuse: &'static str) {
        for attempt in &mut self.tries {
            if attempt.agent == target && attempt.ends.is_empty() {
                attempt.excuse = Some(excuse);
            }
        }
    }

    /// Returns the number of tries that ended with a complete response.
    #[must_use]
    pub fn answered_count(&self) -> usize {
        let answered =
            |attempt: &&Try| matches!(attempt.ends.first(), Some((_, End::Answered { .. })));
        self.tries.iter().filter(answered).count()
    }

    pub(super) fn end(&mut self, try_id: usize, end: End) {
        let name = self.tries[try_id].name.clone();
        let is_first = self.tries[try_id].ends.is_empty();
        self.tries[try_id].ends.push((self.now, end.clone()));
        let text = match end {
            End::Answered { body } => format!("answered \"{}\"", self.shorten(&body)),
            End::Code(code, AnswerDetail::None) => format!("F{} {}", code.number(), code.name()),
            End::Code(code, detail) => format!("F{} {}: {detail}", code.number(), code.name()),
            End::ConnectionLost => "connection lost".into(),
        };
        let late = if is_first { "" } else { " (late, dropped)" };
        self.say(format!("{name} <- {text}{late}"));
    }

    fn shorten(&self, body: &str) -> String {
        self.aliases
            .iter()
            .fold(body.to_string(), |text, (key, name)| {
                text.replace(key, name)
            })
    }
}
