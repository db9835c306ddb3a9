//! An entry: placement runs the production code on the agents' reports.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use fes_passthrough::AgentTable;
use fes_passthrough::FleetView;
use fes_passthrough::FlowKey;
use fes_passthrough::FlowUse;
use fes_passthrough::ListChange;
use fes_passthrough::LoadReport;
use fes_passthrough::PlacementContext;
use fes_passthrough::TripTimes;
use fes_passthrough::WarmUpShares;
use fes_passthrough::select_target;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;

use super::agent::DESTINATION;
use super::fleet::SERVICE;
use super::fleet::Target;
use super::fleet::data_centre_name;
use super::fleet::target_record;
use super::fleet::vm;
use super::flow_policy::FlowPolicy;
use crate::sim::Variates;

/// Period of the agents' reports in fleets of this size.
pub(crate) const REPORT_PERIOD_MS: u64 = 100;
/// Stream of random numbers of the first entry.
const RANDOM_STREAM: u64 = 100;

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    policy: FlowPolicy,
    data_centre: DataCentreName,
    view: FleetView,
    agents: AgentTable,
    warm_up: WarmUpShares,
    slots: Vec<u32>,
    rotation: usize,
    random: Variates,
}

impl Entry {
    /// Creates the entry with a number, one of `entries`, in a data centre.
    pub(crate) fn new(
        policy: FlowPolicy,
        targets: &[Target],
        data_centre: usize,
        number: u64,
        entries: u64,
        seed: u64,
    ) -> Self {
        let mut view = FleetView::new();
        for (index, target) in targets.iter().enumerate() {
            let record = target_record(index, target);
            view.apply(MonoTime::ZERO, ListChange::Target(record));
        }
        let mut agents = AgentTable::default();
        agents.set_other_entries(entries - 1);
        Self {
            policy,
            data_centre: data_centre_name(data_centre),
            view,
            agents,
            warm_up: WarmUpShares::default(),
            slots: targets.iter().map(|target| target.slots).collect(),
            rotation: 0,
            random: Variates::new(seed, RANDOM_STREAM + number),
        }
    }

    /// Records the report of a target's agent.
    pub(crate) fn on_report(&mut self, now: MonoTime, target: usize, report: LoadReport) {
        let vm = vm(target);
        self.agents.record_report(now, vm, report, REPORT_PERIOD_MS);
        self.agents.record_accepted(vm);
    }

    /// Selects the target of a flow and records its placement.
    pub(crate) fn place(&mut self, now: MonoTime, flow: usize, flow_use: FlowUse) -> usize {
        self.rotation = self.rotation.wrapping_add(1);
        let target = match self.policy {
            FlowPolicy::Random | FlowPolicy::RandomQueued => self.random.below(self.slots.len()),
            FlowPolicy::LeastRequests => self.least_requests(),
            _ => self.current(now, flow, flow_use),
        };
        let is_stream = flow_use == FlowUse::Stream;
        self.agents.record_placed(now, vm(target), is_stream);
        target
    }

    fn current(&self, now: MonoTime, flow: usize, flow_use: FlowUse) -> usize {
        // Without measurements, the constant cost of other data centres applies.
        let trips = TripTimes::default();
        let context = PlacementContext {
            view: &self.view,
            agents: &self.agents,
            warm_up: &self.warm_up,
            trips: &trips,
            data_centre: &self.data_centre,
        };
        let key = flow_key(flow);
        let selected = select_target(now, context, SERVICE, &key, flow_use, &[], self.rotation);
        let is_selected = |target: &usize| selected.is_some_and(|s| s.vm == vm(*target));
        (0..self.slots.len()).find(is_selected).unwrap_or(0)
    }

    /// Returns the target with the least requests per slot, in thousandths; of equal ones, each in
    /// turn.
    fn least_requests(&self) -> usize {
        let count = self.slots.len();
        let rotated = (0..count).map(|index| (index + self.rotation) % count);
        let load = |target: &usize| {
            let slots = u64::from(self.slots[*target]);
            self.requests(*target) * 1_000 / slots
        };
        rotated.min_by_key(load).unwrap_or(0)
    }

    fn requests(&self, target: usize) -> u64 {
        self.agents.get(vm(target)).map_or(0, |agent| {
            let report = agent.report();
            let (placed, _) = agent.placed_since_report();
            u64::from(report.running) + u64::from(report.waiting) + u64::from(placed)
        })
    }
}

fn flow_key(flow: usize) -> FlowKey {
    let client = Ipv4Addr::from(0x6440_0000 + u32::try_from(flow).unwrap_or(0));
    FlowKey {
        client: SocketAddrV4::new(client, 40_000),
        destination: DESTINATION,
    }
}
