//! Simulation scenarios.

use fes_protocol::MonoTime;

use crate::Profile;

/// Requests of one kind in the simulated mix. Several components can have the same class name.
#[derive(Debug, Clone)]
pub(crate) struct MixComponent {
    /// Name of the class that admission sees.
    pub(crate) name: &'static str,
    /// Weight in the mix, relative to the sum over all classes.
    pub(crate) share: f64,
    /// Mean service time on a reference VM, in microseconds.
    pub(crate) service_us: f64,
    /// Time that the client waits for the response, in milliseconds.
    pub(crate) timeout_ms: u64,
    pub(crate) repeatable: bool,
    /// Whether admission gets the mean service time of the class as a prior.
    pub(crate) has_prior: bool,
    /// Whether the requests are stragglers.
    pub(crate) long: bool,
}

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) profile: Profile,
    pub(crate) seed: u64,
    /// Speed of each target relative to a reference VM.
    pub(crate) speeds: Vec<f64>,
    pub(crate) classes: Vec<MixComponent>,
    /// Demand over time: points (time in milliseconds, demand as a share of capacity), linearly
    /// interpolated.
    pub(crate) load: Vec<(u64, f64)>,
    pub(crate) end: MonoTime,
    pub(crate) clients_retry: bool,
}

impl Scenario {
    /// Returns the total capacity of the targets in reference slots.
    pub(crate) fn capacity_slots(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.profile.slots)
    }

    /// Returns the mean service time of a request on a reference slot, in microseconds.
    pub(crate) fn mean_cost_us(&self) -> f64 {
        let share: f64 = self.classes.iter().map(|c| c.share).sum();
        let cost: f64 = self.classes.iter().map(|c| c.share * c.service_us).sum();
        cost / share
    }

    /// Returns the demand at `now` as a share of capacity.
    pub(crate) fn load_at(&self, now: MonoTime) -> f64 {
        let at_ms = now.as_us() as f64 / 1e3;
        let mut previous = (0.0, self.load.first().map_or(0.0, |p| p.1));
        for (point_ms, load) in &self.load {
            let point_ms = *point_ms as f64;
            if at_ms < point_ms {
                let part = (at_ms - previous.0) / (point_ms - previous.0);
                return previous.1 + (load - previous.1) * part;
            }
            previous = (point_ms, *load);
        }
        previous.1
    }

    /// Returns the maximum demand as a share of capacity.
    pub(crate) fn max_load(&self) -> f64 {
        self.load.iter().map(|p| p.1).fold(0.0, f64::max)
    }

    /// Returns the mean interarrival time of first attempts at a load, in microseconds.
    pub(crate) fn arrival_gap_us(&self, load: f64) -> f64 {
        self.mean_cost_us() / (self.capacity_slots() * load.max(1e-9))
    }
}
