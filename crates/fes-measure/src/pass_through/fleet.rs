//! Targets of the modelled fleet.

use std::net::Ipv4Addr;

use fes_passthrough::ServiceTag;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_protocol::DataCentreName;
use fes_protocol::UpstreamName;

/// Number of data centres.
pub(crate) const DATA_CENTRES: usize = 3;
/// Service of all targets.
pub(crate) const SERVICE: ServiceTag = ServiceTag(1);

/// Number of targets. An entry with up to 25 agents gets reports at the shortest period.
const TARGETS: usize = 24;
const SLOTS: u32 = 3;
/// One in this number of targets is fast.
const FAST_DIVISOR: usize = 4;
const FAST_RUN_TIME_PER_MILLE: u64 = 460;
const USUAL_RUN_TIME_PER_MILLE: u64 = 1_000;
/// One-way trip between processes of a data centre.
const LOCAL_TRIP_US: u64 = 200;
/// One-way trip between data centres; known fleets have 1.4 to 4.4 ms.
const REMOTE_TRIP_US: u64 = 2_500;

/// A target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) data_centre: usize,
    pub(crate) slots: u32,
    /// Run time relative to that on a usual target.
    run_time_per_mille: u64,
}

impl Target {
    /// Returns the time that a request runs here.
    pub(crate) const fn run_us(&self, work_us: u64) -> u64 {
        work_us * self.run_time_per_mille / USUAL_RUN_TIME_PER_MILLE
    }

    /// Returns the capacity in slots of a usual target.
    pub(crate) fn capacity(&self) -> f64 {
        let relative = USUAL_RUN_TIME_PER_MILLE as f64 / self.run_time_per_mille as f64;
        f64::from(self.slots) * relative
    }

    /// Returns the time of a one-way trip from a client of a data centre.
    pub(crate) const fn trip_us(&self, data_centre: usize) -> u64 {
        match self.data_centre == data_centre {
            true => LOCAL_TRIP_US,
            false => REMOTE_TRIP_US,
        }
    }

    /// Returns a rank that is lower for faster targets.
    pub(crate) const fn speed_rank(&self) -> u64 {
        self.run_time_per_mille
    }
}

/// Returns the targets; if the fleet is uneven, a quarter of them in each data centre is fast.
pub(crate) fn targets(is_uneven: bool) -> Vec<Target> {
    let target = |index: usize| {
        let is_fast = is_uneven && (index / DATA_CENTRES).is_multiple_of(FAST_DIVISOR);
        Target {
            data_centre: index % DATA_CENTRES,
            slots: SLOTS,
            run_time_per_mille: match is_fast {
                true => FAST_RUN_TIME_PER_MILLE,
                false => USUAL_RUN_TIME_PER_MILLE,
            },
        }
    };
    (0..TARGETS).map(target).collect()
}

/// Returns the capacity of all targets in slots of a usual target.
pub(crate) fn total_capacity(targets: &[Target]) -> f64 {
    targets.iter().map(Target::capacity).sum()
}

/// Returns the VM of a target.
pub(crate) fn vm(target: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0001 + u32::try_from(target).unwrap_or(0))
}

/// Returns the name of a data centre.
pub(crate) fn data_centre_name(data_centre: usize) -> DataCentreName {
    DataCentreName::from(format!("dc-{data_centre}"))
}

/// Returns the record of a target in the platform's list.
pub(crate) fn target_record(index: usize, target: &Target) -> TargetRecord {
    TargetRecord {
        id: UpstreamName::from(format!("target-{index}")),
        service: SERVICE,
        vm: vm(index),
        data_centre: data_centre_name(target.data_centre),
        slots: target.slots,
        state: TargetState::Ready,
        started_at_ms: 1,
        warm_up_ms: 0,
        revision: 1,
        created_revision: 1,
        writes: 0,
    }
}
