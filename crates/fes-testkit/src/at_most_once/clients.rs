//! Clients of the simulated fleet: their attempts and the outcome of each.

use fes_idempotency::AnswerDetail;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ResultCode;
use fes_protocol::TargetId;

use super::agent::Origin;
use super::event::Event;
use super::network::Transmission;
use super::simulation::FleetSimulation;
use super::simulation::node_label;

/// Outcome of a client's attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The client received a complete response.
    Answered {
        /// Response body.
        body: String,
    },
    /// The client received a result code.
    Code(ResultCode, AnswerDetail),
    /// The connection ended without an answer.
    ConnectionLost,
}

/// One attempt of a client to send a request.
#[derive(Debug, Clone)]
pub struct ClientAttempt {
    /// Name in the trace.
    pub name: String,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Agent that terminates the connection.
    pub agent: TargetId,
    /// Entry on the path to the agent.
    pub entry: NodeId,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Virtual time at which the attempt is sent.
    pub sent_at: MonoTime,
    /// Fault that explains a missing answer, if one occurred.
    pub loss_cause: Option<&'static str>,
    /// Outcomes with their times; the first one ends the attempt, later answers are dropped.
    pub outcomes: Vec<(MonoTime, AttemptOutcome)>,
}

impl FleetSimulation {
    /// Sends an attempt and returns its index in [`Self::attempts`].
    pub fn send(&mut self, attempt: ClientAttempt) -> usize {
        let attempt_id = self.attempts.len();
        let (entry, agent) = (attempt.entry, NodeId::Agent(attempt.agent));
        self.push_trace(format!(
            "{} -> {} via {}: key {}, body {}",
            attempt.name,
            node_label(agent),
            node_label(entry),
            self.alias(&attempt.key),
            attempt.body
        ));
        self.attempts.push(attempt);
        self.send_for_attempt(attempt_id, entry, agent, Event::Request { attempt_id });
        attempt_id
    }

    /// Cancels an attempt at the client.
    pub fn cancel(&mut self, attempt_id: usize) {
        let attempt = &self.attempts[attempt_id];
        let (entry, to) = (attempt.entry, attempt.agent);
        self.record_outcome(attempt_id, AttemptOutcome::ConnectionLost);
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
        match self.network.transmit(from, to) {
            Transmission::Delivered(delays) => delays
                .iter()
                .for_each(|us| self.schedule_us(*us, event.clone())),
            Transmission::Lost => {
                self.attempts[attempt_id].loss_cause = Some("message lost");
                self.push_trace(format!(
                    "{} loses a message to {}",
                    node_label(from),
                    node_label(to)
                ));
            }
        }
    }

    /// Ends every open attempt as a lost connection if a fault explains it, and records a violation
    /// otherwise.
    pub fn close_open_attempts(&mut self) {
        for attempt_id in 0..self.attempts.len() {
            if !self.attempts[attempt_id].outcomes.is_empty() {
                continue;
            }
            match self.attempts[attempt_id].loss_cause {
                Some(_) => self.record_outcome(attempt_id, AttemptOutcome::ConnectionLost),
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

    /// Returns the number of attempts that ended with a complete response.
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

    pub(super) fn record_outcome(&mut self, attempt_id: usize, outcome: AttemptOutcome) {
        let name = self.attempts[attempt_id].name.clone();
        let is_first = self.attempts[attempt_id].outcomes.is_empty();
        self.attempts[attempt_id]
            .outcomes
            .push((self.now, outcome.clone()));
        let text = match outcome {
            AttemptOutcome::Answered { body } => {
                format!("answered \"{}\"", self.abbreviate_keys(&body))
            }
            AttemptOutcome::Code(code, AnswerDetail::None) => {
                format!("F{} {}", code.number(), code.name())
            }
            AttemptOutcome::Code(code, detail) => {
                format!("F{} {}: {detail}", code.number(), code.name())
            }
            AttemptOutcome::ConnectionLost => "connection lost".into(),
        };
        let late = if is_first { "" } else { " (late, dropped)" };
        self.push_trace(format!("{name} <- {text}{late}"));
    }

    fn abbreviate_keys(&self, body: &str) -> String {
        self.aliases
            .iter()
            .fold(body.to_string(), |text, (key, name)| {
                text.replace(key, name)
            })
    }
}
