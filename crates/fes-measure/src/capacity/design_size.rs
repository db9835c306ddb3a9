//! Fleet size and budgets from the requirements.

use serde::Deserialize;
use serde::Serialize;

/// Size of the fleet, and the budgets of each entry and agent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DesignSize {
    /// Number of entries.
    pub entries: f64,
    /// Number of targets, each with an agent.
    pub targets: f64,
    /// Number of services, each with one address.
    pub services: f64,
    /// Open flows in the fleet.
    pub open_flows: f64,
    /// New flows per second in the fleet.
    pub new_flows_per_s: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Failures and restarts of VMs per day.
    pub vm_events_per_day: f64,
    /// Bound for the control traffic that an entry or agent sends and receives, in bytes per
    /// second.
    pub control_bytes_per_s: f64,
    /// Bound for the processor time of control at an entry or agent, in per cent of a core.
    pub control_core_percent: f64,
    /// Bound for the memory of control at an entry or agent, in bytes.
    pub control_memory_bytes: f64,
    /// Bound for a routing decision, in nanoseconds.
    pub decision_ns: f64,
}

impl DesignSize {
    /// Returns the required size: 790 entries, 8,000 targets and 1,200 services.
    #[must_use]
    pub const fn required() -> Self {
        Self {
            entries: 790.0,
            targets: 8_000.0,
            services: 1_200.0,
            open_flows: 5_600_000.0,
            new_flows_per_s: 44_000.0,
            changes_per_day: 2_100.0,
            vm_events_per_day: 509.0,
            control_bytes_per_s: 3_000.0,
            control_core_percent: 3.7,
            control_memory_bytes: 64_000_000.0,
            decision_ns: 200.0,
        }
    }

    /// Returns the size with all counts and rates multiplied by `factor` and the budgets unchanged.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            entries: self.entries * factor,
            targets: self.targets * factor,
            services: self.services * factor,
            open_flows: self.open_flows * factor,
            new_flows_per_s: self.new_flows_per_s * factor,
            changes_per_day: self.changes_per_day * factor,
            vm_events_per_day: self.vm_events_per_day * factor,
            ..*self
        }
    }

    /// Returns the mean number of targets per service.
    #[must_use]
    pub fn targets_per_service(&self) -> f64 {
        self.targets / self.services
    }

    /// Returns configuration changes per second.
    #[must_use]
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / 86_400.0
    }
}
