//! What a run simulates.

use fes_protocol::MonoTime;

use crate::Profile;

/// A class of requests and its share of arrivals.
#[derive(Debug, Clone)]
pub(crate) struct ClassMix {
    pub(crate) name: &'static str,
    pub(crate) share: f64,
    /// Mean service time on a reference VM, in microseconds.
    pub(crate) service_us: f64,
    /// Time from sending until the response loses its value, in milliseconds.
    pub(crate) patience_ms: u64,
    pub(crate) repeatable: bool,
    /// Whether admission is told of the class's service time by a prior.
    pub(crate) has_prior: bool,
    /// Whether this is a straggler class.
    pub(crate) long: bool,
}

/// A run of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) profile: Profile,
    pub(crate) seed: u64,
    /// Speed of each target relative to a reference VM.
    pub(crate) speeds: Vec<f64>,
    pub(crate) classes: Vec<ClassMix>,
    /// Points (time in milliseconds, demand as a share of capacity), joined by straight lines.
    pub(crate) load: Vec<(u64, f64)>,
    pub(crate) end: MonoTime,
    pub(crate) clients_retry: bool,
}

impl Scenario {
    /// Returns the capacity of the service in reference slots.
    pub(crate) fn capacity_slots(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.profile.slots)
    }

    /// Returns the mean cost of a request on a reference slot, in microseconds.
    pub(crate) fn mean_cost_us(&self) -> f64 {
        let share: f64 = self.classes.iter().map(|c| c.share).sum();
        let cost: f64 = self.classes.iter().map(|c| c.share * c.service_us).sum();
        cost / share
    }

    /// Returns the demand as a share of capacity.
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

    /// Returns the greatest demand as a share of capacity.
    pub(crate) fn max_load(&self) -> f64 {
        self.load.iter().map(|p| p.1).fold(0.0, f64::max)
    }

    /// Returns the mean time between first attempts at a load, in microseconds.
    pub(crate) fn arrival_gap_us(&self, load: f64) -> f64 {
        self.mean_cost_us() / (self.capacity_slots() * load.max(1e-9))
    }
}
