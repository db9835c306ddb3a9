//! Interpreter of scenario files. A file has one command per line; times are in milliseconds, and
//! each event is one line of output.

use std::error::Error;

use fes_idempotency::StoreLimits;
use fes_protocol::EntryId;
use fes_protocol::NodeId;
use fes_protocol::TargetId;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use super::checks;
use fes_testkit::at_most_once::ClientAttempt;
use fes_testkit::at_most_once::FleetSimulation;
use fes_testkit::at_most_once::InjectedBug;
use fes_testkit::at_most_once::SimulatedAgent;
use fes_testkit::at_most_once::UpstreamMode;

const DEFAULT_DEADLINE_MS: u64 = 1_000;
const SETTLE_MS: u64 = 10_000;

type Output = Result<String, Box<dyn Error>>;

/// Runs a scenario with three agents and any number of entries.
pub struct Script {
    simulation: FleetSimulation,
}

impl Script {
    pub fn new() -> Self {
        let mut simulation = FleetSimulation::new(1, 3, InjectedBug::None);
        simulation.trace.clear();
        Self { simulation }
    }

    fn agent(
        &mut self,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<&mut SimulatedAgent, Box<dyn Error>> {
        let target = target(positional(args)?)?;
        self.simulation
            .agents
            .get_mut(&target)
            .ok_or("no such agent".into())
    }

    fn key_text(&self, name: &str) -> String {
        let known = self
            .simulation
            .aliases
            .iter()
            .find(|(_, alias)| *alias == name);
        known.map_or_else(|| name.to_string(), |(key, _)| key.clone())
    }

    fn send(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let name = positional(args)?.to_string();
        let key = self.key_text(positional(args)?);
        let attempt = ClientAttempt {
            name,
            key,
            body: positional(args)?.to_string(),
            agent: target(args.take_key("to").ok_or("to= is missing")?)?,
            entry: node(args.take_key("via").unwrap_or("e1"))?,
            deadline_ms: number(args, "deadline")?.unwrap_or(DEFAULT_DEADLINE_MS),
            sent_at: self.simulation.now,
            loss_cause: None,
            outcomes: Vec::new(),
        };
        self.simulation.send(attempt);
        Ok(())
    }

    fn set_upstream(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let run_ms = number(args, "run")?;
        let agent = self.agent(args)?;
        agent.upstream = match args.next_pos() {
            None | Some("answers") => UpstreamMode::Answers,
            Some("streams") => UpstreamMode::Streams,
            Some("refuses-once") => UpstreamMode::RefusesOnce,
            Some("refuses") => UpstreamMode::Refuses,
            Some("loses") => UpstreamMode::LosesConnection,
            Some("truncates") => UpstreamMode::Truncates,
            Some(other) => return Err(format!("no upstream mode '{other}'").into()),
        };
        agent.run_us = run_ms.map_or(agent.run_us, |ms| ms * 1_000);
        Ok(())
    }

    fn configure(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let (slots, queue) = (number(args, "slots")?, number(args, "queue")?);
        let (keys, bound) = (number(args, "keys")?, number(args, "bound")?);
        let retry_budget = number(args, "retries")?;
        let agent = self.agent(args)?;
        agent.retry_budget = retry_budget.map_or(agent.retry_budget, |value| value as u32);
        agent.slots = slots.map_or(agent.slots, |value| value as usize);
        agent.max_queue = queue.map_or(agent.max_queue, |value| value as usize);
        if let Some(keys) = keys {
            let max_keys = keys as usize;
            agent.set_limits(StoreLimits {
                max_keys,
                ..StoreLimits::default()
            });
        }
        if let Some(bound) = bound {
            agent.set_drain_bound(bound);
        }
        Ok(())
    }

    fn cancel(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let name = positional(args)?;
        let found = self
            .simulation
            .attempts
            .iter()
            .position(|attempt| attempt.name == name);
        self.simulation.cancel(found.ok_or("no such request")?);
        Ok(())
    }

    /// Runs until no event is pending, then checks the history.
    fn finish(&mut self) -> Output {
        self.simulation.finish_after_ms(SETTLE_MS);
        let found = checks::violations(&self.simulation);
        if !found.is_empty() {
            return Err(found.join("; ").into());
        }
        let mut out = self.output();
        for run in &self.simulation.runs {
            out.push_str(&format!(
                "executed: {} {}\n",
                self.simulation.alias(&run.key),
                run.body
            ));
        }
        out.push_str(&format!("executions: {}\n", self.simulation.runs.len()));
        Ok(out)
    }

    fn output(&mut self) -> String {
        let lines = std::mem::take(&mut self.simulation.trace);
        lines.into_iter().map(|line| line + "\n").collect()
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Output {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "key" => {
                let name = positional(&mut args)?;
                let issuer = target(args.take_key("from").ok_or("from= is missing")?)?;
                self.simulation.issue_key(issuer, name);
            }
            "send" => self.send(&mut args)?,
            "run" => self.simulation.run_ms(positional(&mut args)?.parse()?),
            "cancel" => self.cancel(&mut args)?,
            "crash" => self.simulation.crash(target(positional(&mut args)?)?),
            "restart" => self.simulation.start_agent(target(positional(&mut args)?)?),
            "pause" => {
                let agent = target(positional(&mut args)?)?;
                self.simulation
                    .pause(agent, positional(&mut args)?.parse()?);
            }
            "cut" => {
                let (a, b) = (positional(&mut args)?, positional(&mut args)?);
                self.simulation.partition(node(a)?, node(b)?);
            }
            "heal" => self.simulation.network.heal(),
            "lose-next" => self.simulation.network.drop_next = true,
            "double-next" => self.simulation.network.duplicate_next = true,
            "delay-next" => {
                self.simulation.network.delay_next_us =
                    positional(&mut args)?.parse::<u64>()? * 1_000
            }
            "sigterm" => self.simulation.drain(target(positional(&mut args)?)?),
            "rotate" => self.agent(&mut args)?.rotate_keys(),
            "leaving" => self
                .simulation
                .set_leaving(target(positional(&mut args)?)?, true),
            "active" => self
                .simulation
                .set_leaving(target(positional(&mut args)?)?, false),
            "leave" => self.agent(&mut args)?.named_by_ticket = false,
            "heartbeat" => {
                let from = target(positional(&mut args)?)?;
                let to = target(args.take_key("to").ok_or("to= is missing")?)?;
                let spare = number(&mut args, "spare")?.unwrap_or(1_000);
                self.simulation
                    .deliver_heartbeat(from, to, u32::try_from(spare)?);
            }
            "upstream" => self.set_upstream(&mut args)?,
            "agent" => self.configure(&mut args)?,
            "finish" => return self.finish(),
            other => return Err(format!("no command '{other}'").into()),
        }
        args.reject_next()?;
        Ok(self.output())
    }
}

fn positional<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str, Box<dyn Error>> {
    args.next_pos().ok_or("an argument is missing".into())
}

fn number(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Option<u64>, Box<dyn Error>> {
    args.take_key(key)
        .map(|text| text.parse().map_err(Into::into))
        .transpose()
}

fn node(name: &str) -> Result<NodeId, Box<dyn Error>> {
    match name.split_at_checked(1) {
        Some(("a", id)) => Ok(NodeId::Agent(TargetId(id.parse()?))),
        Some(("e", id)) => Ok(NodeId::Entry(EntryId(id.parse()?))),
        _ => Err(format!("no node '{name}'").into()),
    }
}

fn target(name: &str) -> Result<TargetId, Box<dyn Error>> {
    match node(name)? {
        NodeId::Agent(target) => Ok(target),
        NodeId::Entry(_) => Err(format!("'{name}' is not an agent").into()),
    }
}
