//! Life cycle scenarios, and a property test of the rules of a graceful stop under arbitrary
//! events.

use std::error::Error;
use std::path::PathBuf;

use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_membership::lifecycle::LifecycleMachine;
use fes_membership::lifecycle::LifecycleSettings;
use fes_membership::lifecycle::Role;
use fes_membership::lifecycle::WorkInProgress;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use goldenscript::Command;
use goldenscript::Context;
use goldenscript::Runner;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

/// Runs one process on virtual time. Times in scenarios are in milliseconds.
struct LifecycleRunner {
    now: MonoTime,
    machine: LifecycleMachine,
    timers: Vec<MonoTime>,
    work: WorkInProgress,
}

fn machine(role: Role, drain_bound_ms: u64) -> LifecycleMachine {
    let settings = LifecycleSettings {
        drain_bound_ms,
        ..LifecycleSettings::default()
    };
    LifecycleMachine::new(role, settings)
}

fn runner(role: Role, drain_bound_ms: u64) -> LifecycleRunner {
    LifecycleRunner {
        now: MonoTime::ZERO,
        machine: machine(role, drain_bound_ms),
        timers: Vec::new(),
        work: WorkInProgress::default(),
    }
}

impl LifecycleRunner {
    fn handle(&mut self, event: LifecycleEvent) -> String {
        let mut out = String::new();
        for action in self.machine.handle(self.now, event) {
            match action {
                LifecycleAction::SetTimer(at) => self.timers.push(at),
                other => out.push_str(&format!("{:>7} ms  {other:?}\n", self.now.as_ms())),
            }
        }
        out
    }

    /// Advances time and fires the timers that become due.
    fn run(&mut self, ms: u64) -> String {
        let until = self.now.plus_ms(ms);
        let mut out = String::new();
        while let Some(next) = self.timers.iter().copied().filter(|at| *at <= until).min() {
            self.timers.retain(|at| *at != next);
            self.now = next;
            out.push_str(&self.handle(LifecycleEvent::Timer));
        }
        self.now = until;
        out
    }

    /// Advances time without firing timers, like a pause of the VM.
    fn pause(&mut self, ms: u64) -> String {
        self.now = self.now.plus_ms(ms);
        self.timers.clear();
        self.handle(LifecycleEvent::Timer)
    }

    fn probe(&self) -> String {
        let probe = self.machine.probe();
        let (ready, health) = (probe.ready_status(), probe.health_status());
        format!("{}: readiness {ready}, health {health}\n", probe.text)
    }
}

fn source(name: &str) -> Result<DrainSource, Box<dyn Error>> {
    match name {
        "ticket" => Ok(DrainSource::Ticket),
        "vm-list" => Ok(DrainSource::VmList),
        "sigterm" => Ok(DrainSource::Signal),
        "operator" => Ok(DrainSource::Operator),
        other => Err(format!("unknown drain source '{other}'").into()),
    }
}

impl Runner for LifecycleRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let argument = args.next_pos().unwrap_or_default();
        Ok(match command.name.as_str() {
            "entry" | "agent" => {
                let role = if command.name == "entry" {
                    Role::Entry
                } else {
                    Role::Agent
                };
                *self = runner(role, argument.parse()?);
                String::new()
            }
            "ready" => self.handle(LifecycleEvent::Ready),
            "drain" => self.handle(LifecycleEvent::Drain(source(argument)?)),
            "withdraw" => self.handle(LifecycleEvent::Withdrawn(source(argument)?)),
            "work" => {
                let count = |text: Option<&str>| text.unwrap_or("0").parse();
                self.work.request_count = count(args.take_key("requests"))?;
                self.work.stream_count = count(args.take_key("streams"))?;
                self.handle(LifecycleEvent::Progress(self.work))
            }
            "datagram" => {
                self.work.last_datagram_at = Some(self.now);
                self.handle(LifecycleEvent::Progress(self.work))
            }
            "run" => LifecycleRunner::run(self, argument.parse()?),
            "pause" => self.pause(argument.parse()?),
            "probe" => self.probe(),
            other => return Err(format!("unknown command '{other}'").into()),
        })
    }
}

#[rstest]
fn scenario(#[files("tests/lifecycle/*.txt")] path: PathBuf) {
    let mut runner = runner(Role::Agent, 60_000);

    let outcome = goldenscript::run(&mut runner, &path);

    outcome.expect("scenario matches its recorded output");
}

fn any_event() -> impl Strategy<Value = (u64, LifecycleEvent)> {
    let sources = [
        DrainSource::Ticket,
        DrainSource::VmList,
        DrainSource::Signal,
        DrainSource::Operator,
    ];
    let source = proptest::sample::select(sources.to_vec());
    let event = proptest::prop_oneof![
        Just(LifecycleEvent::Ready),
        source.clone().prop_map(LifecycleEvent::Drain),
        source.prop_map(LifecycleEvent::Withdrawn),
        (0_u32..3, 0_u32..2).prop_map(|(request_count, stream_count)| {
            let last_datagram_at = None;
            LifecycleEvent::Progress(WorkInProgress {
                request_count,
                stream_count,
                last_datagram_at,
            })
        }),
        Just(LifecycleEvent::ClockJumped),
        Just(LifecycleEvent::Timer),
    ];
    (0_u64..4_000, event)
}

proptest! {
    /// Guards against a stop that cuts off work before the bound, a second exit, a process that
    /// stops without a final source, and a second signal that moves the bound.
    #[test]
    fn any_order_of_events_keeps_the_rules(
        steps in proptest::collection::vec(any_event(), 1..60),
    ) {
        let mut machine = machine(Role::Agent, 10_000);
        let (mut now, mut work) = (MonoTime::ZERO, WorkInProgress::default());
        let (mut stop_requested_at, mut exited) = (None, false);

        for (pause_ms, event) in steps {
            now = now.plus_ms(pause_ms);
            let (state, bound) = (machine.lifecycle(), machine.bound_at());
            match event {
                LifecycleEvent::Progress(reported) => work = reported,
                LifecycleEvent::Drain(source) if source.is_final() && !exited => {
                    stop_requested_at = stop_requested_at.or(Some(now));
                }
                _ => {}
            }
            let actions = machine.handle(now, event);
            prop_assert!(!exited || actions.is_empty(), "{actions:?} after the exit");
            prop_assert!(machine.bound_at() >= bound || machine.lifecycle() != state);
            prop_assert_eq!(machine.probe().ready, machine.lifecycle() == Lifecycle::Serving);
            if actions.iter().any(|action| matches!(action, LifecycleAction::Exit { .. })) {
                exited = true;
                let requested_at =
                    stop_requested_at.expect("a process stops only after a final source");
                let is_done = work.request_count == 0 && work.stream_count == 0;
                let is_due = now >= requested_at.plus_ms(10_000);
                prop_assert!(is_done || machine.cut_off().is_some(), "exit with unfinished work");
                prop_assert!(is_due || machine.cut_off().is_none(), "cut off before the bound");
            }
        }
    }
}
