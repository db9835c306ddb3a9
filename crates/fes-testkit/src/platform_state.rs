//! State of the platform double.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;

/// Behaviour of the platform double.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// Responds immediately with the current state.
    Up,
    /// Closes every connection without a response.
    Down,
    /// Serves only tickets up to a number, like a platform that was rolled back.
    Stale {
        /// Highest ticket number served.
        highest: u64,
    },
    /// Responds with the current state after a delay.
    Slow {
        /// Delay of each response, in milliseconds.
        delay_ms: u64,
    },
    /// Responds with status 500.
    Failing,
    /// Responds with a body that isn't valid JSON.
    Malformed,
    /// Responds with a body larger than the maximum size that a reader accepts.
    Oversized,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed.
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

/// Shared state of a platform double.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) mode: Cell<PlatformMode>,
    pub(crate) tickets: RefCell<BTreeMap<u64, Value>>,
    pub(crate) vms: RefCell<Vec<Vm>>,
    pub(crate) staged_vms: RefCell<Vec<Vm>>,
    pub(crate) request_counts: RefCell<BTreeMap<String, usize>>,
    pub(crate) waiting_watches: Cell<usize>,
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
            waiting_watches: Cell::new(0),
            changed: Notify::new(),
        }
    }
}

impl PlatformState {
    /// Returns the tickets with numbers above `after` that are visible in the current mode.
    pub(crate) fn tickets_above(&self, after: u64) -> Vec<Value> {
        let tickets = self.tickets.borrow();
        let visible = tickets.range(..=self.highest_visible());
        let above = visible.filter(|(number, _)| **number > after);
        above.map(|(_, ticket)| ticket.clone()).collect()
    }

    /// Returns the highest ticket number visible in the current mode, or 0 if there is none.
    pub(crate) fn highest(&self) -> u64 {
        let tickets = self.tickets.borrow();
        let visible = tickets.range(..=self.highest_visible()).next_back();
        visible.map_or(0, |(number, _)| *number)
    }

    fn highest_visible(&self) -> u64 {
        match self.mode.get() {
            PlatformMode::Stale { highest } => highest,
            _ => u64::MAX,
        }
    }

    pub(crate) fn count_request(&self, reader: &str) {
        let mut counts = self.request_counts.borrow_mut();
        *counts.entry(reader.to_owned()).or_default() += 1;
    }
}
