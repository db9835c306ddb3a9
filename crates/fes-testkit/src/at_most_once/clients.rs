//! Clients of the simulated fleet: their tries and how each one ends.

use fes_idempotency::AnswerDetail;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;

use super::agent::Origin;
use super::event::Event;
use super::network::Fate;
use super::simulation::FleetSimulation;
use super::simulation::short;

/// How a client's try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
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
pub struct ClientAttempt {
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
    pub loss_cause: Option<&'static str>,
    /// Every answer that reached the client; the first one ends the try.
    pub outcomes: Vec<(MonoTime, AttemptOutcome)>,
}

impl FleetSimulation {
    /// Sends a client's try and returns its number.
    pub fn send(&mut self, attempt: ClientAttempt) -> usize {
        let attempt_id = self.attempts.len();
        let (entry, agent) = (attempt.entry, NodeId::Agent(attempt.agent));
        self.say(format!(
            "{} -> {} via {}: key {}, body {}",
            attempt.name,
            short(agent),
            short(entry),
            self.alias(&attempt.key),
            attempt.body
        ));
        self.attempts.push(attempt);
        self.send_for_attempt(attempt_id, entry, agent, Event::Request { attempt_id });
        attempt_id
    }

    /// Lets a client give up a try.
    pub fn cancel(&mut self, attempt_id: usize) {
        let attempt = &self.attempts[attempt_id];
        let (entry, to) = (attempt.entry, attempt.agent);
        self.end(attempt_id, AttemptOutcome::ConnectionLost);
        let origin = Origin::Client { attempt_id };
        let cancel = Event::Cancel { to, origin };
        self.send_for_attempt(attempt_id, entry, NodeId::Agent(to), cancel);
    }

    pub(super) fn send_for_attempt(
        &mut self,
        attempt_id: usize,
        from: NodeId,
        to: NodeId,
        event: Event,
    ) {
        match self.network.fate(from, to) {
            Fate::Arrives(delays) => delays
                .iter()
                .for_each(|us| self.schedule_us(*us, event.clone())),
            Fate::Lost => {
                self.attempts[attempt_id].loss_cause = Some("message lost");
                self.say(format!("{} loses a message to {}", short(from), short(to)));
            }
        }
    }

    /// Ends the tries that a fault explains; any other without an end is a violation.
    pub fn close_open_attempts(&mut self) {
        for attempt_id in 0..self.attempts.len() {
            if !self.attempts[attempt_id].outcomes.is_empty() {
                continue;
            }
            match self.attempts[attempt_id].loss_cause {
                Some(_) => self.end(attempt_id, AttemptOutcome::ConnectionLost),
                None => {
                    let name = self.attempts[attempt_id].name.clone();
                    self.violations
                        .push(format!("{name} got no answer, and no fault explains it"));
                }
            }
        }
    }

    pub(super) fn set_loss_cause(&mut self, target: TargetId, loss_cause: &'static str) {
        for attempt in &mut self.attempts {
            if attempt.agent == target && attempt.outcomes.is_empty() {
                attempt.loss_cause = Some(loss_cause);
            }
        }
    }

    /// Returns the number of tries that ended with a complete response.
    #[must_use]
    pub fn answered_count(&self) -> usize {
        let answered = |attempt: &&ClientAttempt| {
            matches!(
                attempt.outcomes.first(),
                Some((_, AttemptOutcome::Answered { .. }))
            )
        };
        self.attempts.iter().filter(answered).count()
    }

    pub(super) fn end(&mut self, attempt_id: usize, end: AttemptOutcome) {
        let name = self.attempts[attempt_id].name.clone();
        let is_first = self.attempts[attempt_id].outcomes.is_empty();
        self.attempts[attempt_id]
            .outcomes
            .push((self.now, end.clone()));
        let text = match end {
            AttemptOutcome::Answered { body } => format!("answered \"{}\"", self.shorten(&body)),
            AttemptOutcome::Code(code, AnswerDetail::None) => {
                format!("F{} {}", code.number(), code.name())
            }
            AttemptOutcome::Code(code, detail) => {
                format!("F{} {}: {detail}", code.number(), code.name())
            }
            AttemptOutcome::ConnectionLost => "connection lost".into(),
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
