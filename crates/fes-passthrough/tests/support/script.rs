//! Scenario language: one command per line, with times in milliseconds from the start.

use std::error::Error;

use fes_passthrough::TargetState;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;

use super::client::Client;
use super::fixtures::flow;
use super::fixtures::once_address;
use super::fixtures::stream_address;
use super::simulation::Simulation;

const SLOTS: usize = 4;
const WORK_MS: u64 = 20;
const STREAM_PAUSE_MS: u64 = 300;

type ScriptResult<T> = Result<T, Box<dyn Error>>;

/// Runs one scenario.
#[derive(Default)]
pub struct Script {
    simulation: Option<Simulation>,
    next_port: u16,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> ScriptResult<String> {
        let mut args = command.consume_args();
        let text = self.execute(&command.name, &mut args)?;
        args.reject_next()?;
        Ok(text)
    }
}

impl Script {
    fn execute(&mut self, name: &str, args: &mut ArgumentConsumer<'_>) -> ScriptResult<String> {
        match name {
            "world" => self.create_simulation(args)?,
            "clients" => self.add_clients(args)?,
            "run" => {
                let until_ms = position(args)?;
                self.simulation()?.run_until(until_ms);
            }
            "see" => return self.report(),
            _ => self.inject(name, args)?,
        }
        Ok(String::new())
    }

    fn create_simulation(&mut self, args: &mut ArgumentConsumer<'_>) -> ScriptResult<()> {
        let entries = number(args, "entries")?;
        let targets = number(args, "targets")?;
        let mut simulation = Simulation::new(entries, targets, SLOTS, WORK_MS, 1);
        simulation.run_until(500);
        self.simulation = Some(simulation);
        self.next_port = 1_000;
        Ok(())
    }

    fn add_clients(&mut self, args: &mut ArgumentConsumer<'_>) -> ScriptResult<()> {
        let count: u16 = number(args, "count")?;
        let requests = number(args, "requests")?;
        let destination = match args.next_pos() {
            Some("stream") => stream_address(),
            Some("once") => once_address(),
            other => return Err(format!("unknown kind of client: {other:?}").into()),
        };
        for _ in 0..count {
            let client = Client::new(flow(self.next_port, destination), requests, STREAM_PAUSE_MS);
            let at_ms = self.simulation()?.now_ms + u64::from(self.next_port % 40) * 7;
            self.simulation()?.add_client(client, at_ms);
            self.next_port += 1;
        }
        Ok(())
    }

    fn inject(&mut self, name: &str, args: &mut ArgumentConsumer<'_>) -> ScriptResult<()> {
        let index: usize = position(args)?;
        let simulation = self.simulation()?;
        match name {
            "kill-entry" => simulation.entries[index] = None,
            "start-entry" => simulation.start_entry(index),
            "kill-agent" => simulation.agents[index] = None,
            "start-agent" => simulation.start_agent(index, false),
            "crash-target" => simulation.targets[index].crash_and_restart(),
            "drain-target" => {
                simulation.change_target(index, |record| record.state = TargetState::Draining);
            }
            "lose-percent" => simulation.loss_percent = u64::try_from(index)?,
            other => return Err(format!("unknown command: {other}").into()),
        }
        Ok(())
    }

    fn report(&mut self) -> ScriptResult<String> {
        let simulation = self.simulation()?;
        let client_count = simulation.clients.len();
        Ok(format!(
            "{} ms: {} clients, {} answers, {} resets of open flows, {} broken flows\n",
            simulation.now_ms,
            client_count,
            simulation.answered(),
            simulation.resets_while_open(),
            simulation.broken_flows()
        ))
    }

    fn simulation(&mut self) -> ScriptResult<&mut Simulation> {
        Ok(self
            .simulation
            .as_mut()
            .ok_or("no simulation has been created")?)
    }
}

fn number<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>, name: &str) -> ScriptResult<T>
where
    T::Err: Error + 'static,
{
    let text = args.take_key(name);
    Ok(text
        .ok_or_else(|| format!("missing argument: {name}"))?
        .parse()?)
}

fn position<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>) -> ScriptResult<T>
where
    T::Err: Error + 'static,
{
    let text = args.next_pos().ok_or("missing numeric argument")?;
    Ok(text.parse()?)
}
