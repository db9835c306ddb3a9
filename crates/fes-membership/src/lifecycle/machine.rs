//! Event-driven state machine over the typestate [`Process`], for entries and agents.

use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;

use super::CutOff;
use super::Draining;
use super::LifecycleAction;
use super::LifecycleEvent;
use super::ProbeReport;
use super::Process;
use super::Serving;
use super::Starting;
use super::Stopped;
use super::WorkInProgress;

/// Period of goodbyes and checks while draining.
const DRAIN_TICK_MS: u64 = 500;

/// Time for sending the answers to work that was cut off.
const ANSWER_FLUSH_MS: u64 = 1_000;

/// Delay of a tick above which the process counts as paused.
const MAX_TICK_DELAY_MS: u64 = 1_000;

/// Time that a process paused past its drain bound gets to read what arrived in the meantime.
const BOUND_EXTENSION_MS: u64 = 5_000;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Routes datagrams.
    Entry,
    /// Terminates flows and runs requests.
    Agent,
}

/// Bounds of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifecycleSettings {
    /// Time after SIGTERM or an operator's request at which work is cut off, in milliseconds.
    pub drain_bound_ms: u64,
    /// Shortest drain of a serving process, in milliseconds. Within this time other processes
    /// learn of the drain.
    pub linger_ms: u64,
    /// Time without client datagrams after which an entry assumes that the network fabric no longer
    /// routes to it, in milliseconds.
    pub quiet_ms: u64,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self {
            drain_bound_ms: 3_600_000,
            linger_ms: 3_000,
            quiet_ms: 2_000,
        }
    }
}

#[derive(Debug)]
enum AnyProcess {
    Starting(Process<Starting>),
    Serving(Process<Serving>),
    Draining(Process<Draining>),
    Stopped(Process<Stopped>),
}

/// Life cycle of one process.
#[derive(Debug)]
pub struct LifecycleMachine {
    role: Role,
    settings: LifecycleSettings,
    process: AnyProcess,
    work: WorkInProgress,
    next_tick: MonoTime,
}

impl LifecycleMachine {
    /// Creates the life cycle of a process that has just started.
    #[must_use]
    pub fn new(role: Role, settings: LifecycleSettings) -> Self {
        Self {
            role,
            settings,
            process: AnyProcess::Starting(Process::new()),
            work: WorkInProgress::default(),
            next_tick: MonoTime::NEVER,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub const fn lifecycle(&self) -> Lifecycle {
        match self.process {
            AnyProcess::Starting(_) => Lifecycle::Starting,
            AnyProcess::Serving(_) => Lifecycle::Serving,
            AnyProcess::Draining(_) => Lifecycle::Draining,
            AnyProcess::Stopped(_) => Lifecycle::Stopped,
        }
    }

    /// Returns the content of the probe endpoints.
    #[must_use]
    pub const fn probe(&self) -> ProbeReport {
        ProbeReport::of(self.lifecycle())
    }

    /// Returns the time at which work is cut off, if the process is stopping.
    #[must_use]
    pub const fn bound_at(&self) -> Option<MonoTime> {
        match &self.process {
            AnyProcess::Draining(process) => process.bound_at(),
            _ => None,
        }
    }

    /// Returns the work that was cut off, if the process stopped because of the drain bound.
    #[must_use]
    pub const fn cut_off(&self) -> Option<CutOff> {
        match &self.process {
            AnyProcess::Stopped(process) => process.cut_off(),
            _ => None,
        }
    }

    /// Handles an event and returns the actions that the host has to carry out, in this order.
    pub fn handle(&mut self, now: MonoTime, event: LifecycleEvent) -> Vec<LifecycleAction> {
        let before = self.lifecycle();
        if let LifecycleEvent::Progress(work) = event {
            self.work = work;
        }
        let bound_at = now.plus_ms(self.settings.drain_bound_ms);
        let linger_until = now.plus_ms(self.settings.linger_ms);
        let placeholder = AnyProcess::Starting(Process::new());
        self.process = match std::mem::replace(&mut self.process, placeholder) {
            AnyProcess::Starting(process) => on_starting(process, now, event, bound_at),
            AnyProcess::Serving(process) => on_serving(process, event, linger_until, bound_at),
            AnyProcess::Draining(mut process) => {
                if event == LifecycleEvent::ClockJumped || self.was_paused(now) {
                    process.extend_bound(now.plus_ms(BOUND_EXTENSION_MS));
                }
                on_draining(process, event, bound_at)
            }
            stopped @ AnyProcess::Stopped(_) => stopped,
        };
        let mut actions = Vec::new();
        if self.lifecycle() != before {
            self.push_transition_actions(now, &mut actions);
        }
        self.try_cut_off(now, &mut actions);
        self.try_stop(now, &mut actions);
        actions
    }

    /// Adds the actions that are due on the transition to the current state.
    fn push_transition_actions(&mut self, now: MonoTime, actions: &mut Vec<LifecycleAction>) {
        let is_agent = self.role == Role::Agent;
        self.next_tick = MonoTime::NEVER;
        match self.lifecycle() {
            Lifecycle::Starting | Lifecycle::Stopped => {}
            Lifecycle::Serving => {
                if is_agent {
                    actions.push(LifecycleAction::ResumeAdmission);
                }
                actions.push(LifecycleAction::Announce(Lifecycle::Serving));
            }
            Lifecycle::Draining => {
                if is_agent {
                    actions.push(LifecycleAction::StopAdmission);
                }
                actions.push(LifecycleAction::Announce(Lifecycle::Draining));
                actions.push(LifecycleAction::SendGoodbye);
                if is_agent {
                    actions.push(LifecycleAction::SendGoaway);
                }
                self.next_tick = now;
            }
        }
    }

    /// Returns whether the tick is too late to be explained by load, so that the process must have
    /// been paused.
    fn was_paused(&self, now: MonoTime) -> bool {
        now > self.next_tick.plus_ms(MAX_TICK_DELAY_MS)
    }

    /// Sends a goodbye and sets the next timer when a tick is due. A timer left over from an
    /// earlier drain fires before the tick is due and is ignored.
    fn repeat_goodbye(
        &mut self,
        now: MonoTime,
        bound_at: Option<MonoTime>,
        actions: &mut Vec<LifecycleAction>,
    ) {
        if now < self.next_tick {
            return;
        }
        if !actions.contains(&LifecycleAction::SendGoodbye) {
            actions.push(LifecycleAction::SendGoodbye);
        }
        self.next_tick = now.plus_ms(DRAIN_TICK_MS);
        if let Some(bound) = bound_at.filter(|bound| *bound > now) {
            self.next_tick = self.next_tick.min(bound);
        }
        actions.push(LifecycleAction::SetTimer(self.next_tick));
    }

    /// Cuts off unfinished work once the drain bound is reached.
    fn try_cut_off(&mut self, now: MonoTime, actions: &mut Vec<LifecycleAction>) {
        let AnyProcess::Draining(process) = &mut self.process else {
            return;
        };
        if self.work.is_done(now, self.settings.quiet_ms) {
            return;
        }
        let Some(cut_off) = process.cut_off(now, self.work, now.plus_ms(ANSWER_FLUSH_MS)) else {
            return;
        };
        if self.role == Role::Agent {
            actions.push(LifecycleAction::CutOffWork(cut_off));
        }
        actions.push(LifecycleAction::LogCutOff(cut_off));
        self.next_tick = now;
    }

    fn try_stop(&mut self, now: MonoTime, actions: &mut Vec<LifecycleAction>) {
        let placeholder = AnyProcess::Starting(Process::new());
        self.process = match std::mem::replace(&mut self.process, placeholder) {
            AnyProcess::Draining(process) => {
                match process.stop(now, self.work, self.settings.quiet_ms) {
                    Ok(stopped) => {
                        self.push_stop_actions(&stopped, actions);
                        AnyProcess::Stopped(stopped)
                    }
                    Err(process) => {
                        self.repeat_goodbye(now, process.bound_at(), actions);
                        AnyProcess::Draining(process)
                    }
                }
            }
            other => other,
        };
    }

    fn push_stop_actions(&self, stopped: &Process<Stopped>, actions: &mut Vec<LifecycleAction>) {
        let is_agent = self.role == Role::Agent;
        actions.push(LifecycleAction::Announce(Lifecycle::Stopped));
        actions.push(LifecycleAction::SendGoodbye);
        if is_agent {
            actions.push(LifecycleAction::CloseConnections);
        }
        actions.push(LifecycleAction::CloseSockets);
        let status = u8::from(stopped.cut_off().is_some());
        actions.push(LifecycleAction::Exit { status });
    }
}

fn on_starting(
    mut process: Process<Starting>,
    now: MonoTime,
    event: LifecycleEvent,
    bound_at: MonoTime,
) -> AnyProcess {
    match event {
        LifecycleEvent::Ready => match process.serve(now) {
            Ok(serving) => AnyProcess::Serving(serving),
            Err(draining) => AnyProcess::Draining(draining),
        },
        LifecycleEvent::Drain(source) if source.is_final() => {
            AnyProcess::Draining(process.drain(now, source, bound_at))
        }
        LifecycleEvent::Drain(source) => {
            process.add_source(source);
            AnyProcess::Starting(process)
        }
        LifecycleEvent::Withdrawn(source) => {
            process.withdraw(source);
            AnyProcess::Starting(process)
        }
        _ => AnyProcess::Starting(process),
    }
}

fn on_serving(
    process: Process<Serving>,
    event: LifecycleEvent,
    linger_until: MonoTime,
    bound_at: MonoTime,
) -> AnyProcess {
    match event {
        LifecycleEvent::Drain(source) => {
            AnyProcess::Draining(process.drain(source, linger_until, bound_at))
        }
        _ => AnyProcess::Serving(process),
    }
}

fn on_draining(
    mut process: Process<Draining>,
    event: LifecycleEvent,
    bound_at: MonoTime,
) -> AnyProcess {
    match event {
        LifecycleEvent::Drain(source) => {
            process.add_source(source, bound_at);
            AnyProcess::Draining(process)
        }
        LifecycleEvent::Withdrawn(source) => match process.withdraw(source) {
            Ok(serving) => AnyProcess::Serving(serving),
            Err(draining) => AnyProcess::Draining(draining),
        },
        _ => AnyProcess::Draining(process),
    }
}
