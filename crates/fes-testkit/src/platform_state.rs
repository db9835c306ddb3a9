//! What the platform double serves.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;

/// How the platform double answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// At once, with the current state.
    Up,
    /// Closes every connection without an answer.
    Down,
    /// With the tickets up to this number only, as a platform that was rolled back.
    Stale {
        /// Highest number served.
        highest: u64,
    },
    /// Correctly, but this much later.
    Slow {
        /// Delay of each answer.
        delay_ms: u64,
    },
    /// With status 500.
    Failing,
    /// With a body that isn't JSON.
    Malformed,
    /// With a body that is larger than a value may be.
    Oversized,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Runs.
    Live,
    /// Will be taken away.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// State.
    pub state: VmState,
}

/// Shared state of the double.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) mode: Cell<PlatformMode>,
    pub(crate) tickets: RefCell<BTreeMap<u64, Value>>,
    pub(crate) vms: RefCell<Vec<Vm>>,
    pub(crate) staged_vms: RefCell<Vec<Vm>>,
    pub(crate) request_counts: RefCell<BTreeMap<String, usize>>,
    pub(crate) waiting: Cell<usize>,
    pub(crate) changed: Notify,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            mode: Cell::new(PlatformMode::Up),
            tickets: RefCell::default(),
            vms: RefCell::default(),
            staged_vms: RefCell::default(),
            request_counts: RefCell::default(),
            waiting: Cell::new(0),
            changed: Notify::new(),
        }
    }
}

impl PlatformState {
    /// Returns the tickets above `after`, as the mode allows.
    pub(crate) fn tickets_above(&self, after: u64) -> Vec<Value> {
        let tickets = self.tickets.borrow();
        let visible = tickets.range(..=self.limit());
        let above = visible.filter(|(number, _)| **number > after);
        above.map(|(_, ticket)| ticket.clone()).collect()
    }

    /// Returns the highest number held, as the mode allows; 0 if there is none.
    pub(crate) fn highest(&self) -> u64 {
        let tickets = self.tickets.borrow();
        let visible = tickets.range(..=self.limit()).next_back();
        visible.map_or(0, |(number, _)| *number)
    }

    fn limit(&self) -> u64 {
        match self.mode.get() {
            PlatformMode::Stale { highest } => highest,
            _ => u64::MAX,
        }
    }

    pub(crate) fn count_call(&self, reader: &str) {
        let mut calls = self.request_counts.borrow_mut();
        *calls.entry(reader.to_owned()).or_default() += 1;
    }
}
