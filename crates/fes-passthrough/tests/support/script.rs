//! The scenario language: one command per line, times in milliseconds from the start.

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
use super::world::World;

const SLOTS: usize = 4;
const WORK_MS: u64 = 20;
const STREAM_PAUSE_MS: u64 = 300;

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Runs one scenario.
#[derive(Default)]
pub struct Script {
    world: Option<World>,
    next_port: u16,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Fallible<String> {
        let mut args = command.consume_args();
        let text = self.execute(&command.name, &mut args)?;
        args.reject_next()?;
        Ok(text)
    }
}

impl Script {
    fn execute(&mut self, name: &str, args: &mut ArgumentConsumer<'_>) -> Fallible<String> {
        match name {
            "world" => self.make_world(args)?,
            "clients" => self.add_clients(args)?,
            "run" => {
                let until_ms = position(args)?;
                self.world()?.run_until(until_ms);
            }
            "see" => return self.see(),
            _ => self.inject(name, args)?,
        }
        Ok(String::new())
    }

    fn make_world(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<()> {
        let entries = number(args, "entries")?;
        let targets = number(args, "targets")?;
        let mut world = World::new(entries, targets, SLOTS, WORK_MS, 1);
        world.run_until(500);
        self.world = Some(world);
        self.next_port = 1_000;
        Ok(())
    }

    fn add_clients(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<()> {
        let count: u16 = number(args, "count")?;
        let requests = number(args, "requests")?;
        let destination = match args.next_pos() {
            Some("stream") => stream_address(),
            Some("once") => once_address(),
            other => return Err(format!("no kind of client {other:?}").into()),
        };
        for _ in 0..count {
            let client = Client::new(flow(self.next_port, destination), requests, STREAM_PAUSE_MS);
            let at_ms = self.world()?.now_ms + u64::from(self.next_port % 40) * 7;
            self.world()?.add_client(client, at_ms);
            self.next_port += 1;
        }
        Ok(())
    }

    fn inject(&mut self, name: &str, args: &mut ArgumentConsumer<'_>) -> Fallible<()> {
        let index: usize = position(args)?;
        let world = self.world()?;
        match name {
            "kill-entry" => world.entries[index] = None,
            "start-entry" => world.start_entry(index),
            "kill-agent" => world.agents[index] = None,
            "start-agent" => world.start_agent(index, false),
            "crash-target" => world.targets[index].crash_and_restart(),
            "drain-target" => {
                world.change_target(index, |record| record.state = TargetState::Draining);
            }
            "lose-percent" => world.loss_percent = u64::try_from(index)?,
            other => return Err(format!("no command '{other}'").into()),
        }
        Ok(())
    }

    fn see(&mut self) -> Fallible<String> {
        let world = self.world()?;
        let sent = world.clients.len();
        Ok(format!(
            "{} ms: {} clients, {} answers, {} resets of open flows, {} broken flows\n",
            world.now_ms,
            sent,
            world.answered(),
            world.resets_while_open(),
            world.broken_flows()
        ))
    }

    fn world(&mut self) -> Fallible<&mut World> {
        Ok(self.world.as_mut().ok_or("no world yet")?)
    }
}

fn number<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>, name: &str) -> Fallible<T>
where
    T::Err: Error + 'static,
{
    let text = args.take_key(name);
    Ok(text.ok_or_else(|| format!("{name} is missing"))?.parse()?)
}

fn position<T: std::str::FromStr>(args: &mut ArgumentConsumer<'_>) -> Fallible<T>
where
    T::Err: Error + 'static,
{
    let text = args.next_pos().ok_or("a number is missing")?;
    Ok(text.parse()?)
}
