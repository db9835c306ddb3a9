//! Entries and agents with their routing state.

use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_routing::AgentIngress;
use fes_routing::PlacementHasher;
use fes_routing::ReturnPath;
use fes_routing::RouteTable;
use fes_routing::Router;

use fes_protocol::ServiceId;
use fes_protocol::TargetId;

use super::liveness::Verdicts;
use super::plan::Change;

/// State common to entries and agents.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) router: Router,
    pub(crate) verdicts: Verdicts,
    pub(crate) is_alive: bool,
    applied_index: usize,
}

impl Process {
    /// Creates a process that has applied this change only, as after a restart.
    pub(crate) fn new(now: MonoTime, index: usize, change: &Change) -> Self {
        let table = rebuild(&RouteTable::default(), now, change);
        Self {
            router: Router::new(Arc::new(table), &change.keys),
            verdicts: Verdicts::default(),
            is_alive: true,
            applied_index: index,
        }
    }

    /// Applies a change; returns `false` if this or a later one has been applied already.
    pub(crate) fn apply(&mut self, now: MonoTime, index: usize, change: &Change) -> bool {
        if index <= self.applied_index {
            return false;
        }
        self.applied_index = index;
        let table = rebuild(self.router.table(), now, change);
        self.router.set_table(Arc::new(table));
        self.router.set_keys(&change.keys);
        true
    }

    /// Returns the index of the latest applied change.
    pub(crate) const fn applied_index(&self) -> usize {
        self.applied_index
    }
}

/// An agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) service: ServiceId,
    pub(crate) target: TargetId,
    pub(crate) process: Process,
    pub(crate) ingress: AgentIngress,
    pub(crate) return_path: ReturnPath,
    pub(crate) next_nonce: u64,
    pub(crate) is_draining: bool,
}

impl Agent {
    pub(crate) fn new(service: ServiceId, target: TargetId, change: &Change) -> Self {
        let hasher = PlacementHasher::new(change.keys.current().clone());
        Self {
            service,
            target,
            process: Process::new(MonoTime::ZERO, 0, change),
            ingress: AgentIngress::new(service, target, hasher),
            return_path: ReturnPath::new(),
            next_nonce: 0,
            is_draining: false,
        }
    }
}

fn rebuild(previous: &RouteTable, now: MonoTime, change: &Change) -> RouteTable {
    let objects = change.services.iter();
    RouteTable::rebuild(
        previous,
        now,
        objects.map(|spec| (change.ticket, Arc::clone(spec))),
    )
}
