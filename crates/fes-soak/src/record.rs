//! What clients and targets saw, and which of it breaks a promise.

use std::collections::HashMap;

use fes_passthrough::FlowKey;
use tokio::time::Duration;
use tokio::time::Instant;

/// A process that was disturbed this recently isn't held to a promise about its flows.
const SETTLE_MS: u64 = 4_000;
const STRAY_WINDOW_MS: u64 = 2_000;
const STRAYS_THAT_BREAK: usize = 3;

/// A flow that a target holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    target: usize,
    life: u64,
}

/// Shared record of a soak.
#[derive(Debug, Default)]
pub struct Record {
    /// Broken promises.
    pub violations: Vec<String>,
    /// Requests answered.
    pub answered: usize,
    /// Requests given up at their deadline.
    pub failed: usize,
    /// Requests sent near the end, and how many of them were answered.
    pub recovery_sent: usize,
    /// Of those, answered.
    pub recovery_answered: usize,
    /// Flows that were reset.
    pub resets: usize,
    runs: HashMap<u64, usize>,
    held: HashMap<FlowKey, Held>,
    lives: HashMap<usize, u64>,
    disturbed_at: HashMap<usize, Instant>,
    entries_disturbed_at: Option<Instant>,
    arrivals: HashMap<FlowKey, Vec<(Instant, bool)>>,
}

impl Record {
    /// Records that a target, its agent or its link was disturbed.
    pub fn record_target_disruption(&mut self, target: usize) {
        self.disturbed_at.insert(target, Instant::now());
    }

    /// Records that an entry or the store was disturbed.
    pub fn record_entry_disruption(&mut self) {
        self.entries_disturbed_at = Some(Instant::now());
    }

    /// Records that a target lost all that it held.
    pub fn record_crash(&mut self, target: usize) {
        *self.lives.entry(target).or_default() += 1;
        self.record_target_disruption(target);
    }

    /// Records that a request that must not be repeated runs.
    pub fn record_non_repeatable_run(&mut self, request: u64) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violations
                .push(format!("request {request} ran {runs} times"));
        }
    }

    /// Records that a flow opened at a target.
    pub fn record_open(&mut self, flow: FlowKey, target: usize) {
        let life = self.life(target);
        self.held.insert(flow, Held { target, life });
    }

    /// Records that a packet of a flow reached a target.
    pub fn record_arrival(&mut self, flow: FlowKey, target: usize) {
        let Some(held) = self.held.get(&flow).copied() else {
            return;
        };
        if held.life != self.life(held.target) || self.is_disturbed(held.target) {
            self.arrivals.remove(&flow);
            return;
        }
        let now = Instant::now();
        let arrivals = self.arrivals.entry(flow).or_default();
        arrivals.push((now, held.target == target));
        arrivals.retain(|(at, _)| at.elapsed() < Duration::from_millis(STRAY_WINDOW_MS));
        let strays = arrivals.iter().filter(|(_, is_home)| !is_home).count();
        if strays >= STRAYS_THAT_BREAK && strays == arrivals.len() {
            // The flow's own target has the rest of the window to be reached.
            let first = arrivals[0].0;
            if first.elapsed() > Duration::from_millis(STRAY_WINDOW_MS * 9 / 10) {
                self.violations
                    .push(format!("flow {flow}: {strays} packets went astray"));
            }
        }
    }

    /// Records that a client with an open flow was reset.
    pub fn record_reset(&mut self, flow: FlowKey) {
        self.resets += 1;
        let Some(held) = self.held.get(&flow).copied() else {
            return;
        };
        let is_alive = held.life == self.life(held.target);
        if is_alive && !self.is_disturbed(held.target) {
            self.violations.push(format!("open flow {flow} was reset"));
        }
    }

    fn life(&self, target: usize) -> u64 {
        self.lives.get(&target).copied().unwrap_or(0)
    }

    fn is_disturbed(&self, target: usize) -> bool {
        let settle = Duration::from_millis(SETTLE_MS);
        let is_recent = |at: &Instant| at.elapsed() < settle;
        self.disturbed_at.get(&target).is_some_and(is_recent)
            || self.entries_disturbed_at.as_ref().is_some_and(is_recent)
    }
}
