//! Scenarios of the experiment.

use fes_protocol::MonoTime;

/// A load and a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowScenario {
    /// Name used in reports.
    pub name: &'static str,
    /// Mean demand relative to the capacity of all slots, without the burst.
    pub load: f64,
    /// Whether a quarter of the targets is faster than the others.
    pub is_uneven: bool,
    /// Whether some requests take several times as long as the others.
    pub has_tail: bool,
    /// Swing of the demand of each data centre, relative to its mean.
    pub swing: f64,
    /// Whether demand is higher for some seconds.
    pub has_burst: bool,
    /// Whether most requests belong to long flows.
    pub has_long_flows: bool,
}

/// Swing of the demand of a data centre.
const SWING: f64 = 0.55;
/// Period of the swing: the measured part of a run.
const SWING_PERIOD_S: f64 = 12.0;
/// Demand during a burst, relative to that before.
const BURST_FACTOR: f64 = 1.7;
const BURST_FROM_S: f64 = 5.0;
const BURST_TO_S: f64 = 9.0;

/// Requests sent before this time aren't measured: the queues fill, and run times are learnt.
pub(crate) const MEASURED_FROM: MonoTime = MonoTime::from_ms(2_000);
/// Requests sent from this time aren't measured.
pub(crate) const MEASURED_TO: MonoTime = MonoTime::from_ms(14_000);
/// End of the demand. It lasts longer than the measured part by the timeout of a request, so that
/// queues don't empty while measured requests are in them.
pub(crate) const ENDS_AT: MonoTime = MonoTime::from_ms(15_000);

const SINGLE_REQUESTS: FlowScenario = FlowScenario {
    name: "tail",
    load: 0.8,
    is_uneven: false,
    has_tail: true,
    swing: 0.0,
    has_burst: false,
    has_long_flows: false,
};

const UNEVEN: FlowScenario = FlowScenario {
    name: "uneven-speed",
    is_uneven: true,
    ..SINGLE_REQUESTS
};

impl FlowScenario {
    /// Targets of uneven speed.
    pub const UNEVEN_SPEED: Self = Self {
        has_tail: false,
        ..UNEVEN
    };
    /// Run times with a tail on equal targets.
    pub const TAIL: Self = SINGLE_REQUESTS;
    /// Demand in waves that are out of phase between data centres.
    pub const WAVES: Self = Self {
        name: "waves",
        swing: SWING,
        ..UNEVEN
    };
    /// A burst that exceeds the capacity.
    pub const BURST: Self = Self {
        name: "burst",
        has_burst: true,
        ..UNEVEN
    };
    /// Long flows beside flows with one request.
    pub const LONG_FLOWS: Self = Self {
        name: "long-flows",
        has_long_flows: true,
        ..UNEVEN
    };
    /// All of the above at once.
    pub const COMBINED: Self = Self {
        name: "combined",
        load: 0.7,
        swing: SWING,
        has_burst: true,
        has_long_flows: true,
        ..UNEVEN
    };
    /// Overload of 1.2 times the capacity.
    pub const OVERLOAD_1_2: Self = Self::overload("overload-1.2", 1.2);
    /// Overload of 1.8 times the capacity.
    pub const OVERLOAD_1_8: Self = Self::overload("overload-1.8", 1.8);
    /// Overload of 3 times the capacity.
    pub const OVERLOAD_3: Self = Self::overload("overload-3", 3.0);

    /// All scenarios.
    pub const ALL: [Self; 9] = [
        Self::UNEVEN_SPEED,
        Self::TAIL,
        Self::WAVES,
        Self::BURST,
        Self::LONG_FLOWS,
        Self::COMBINED,
        Self::OVERLOAD_1_2,
        Self::OVERLOAD_1_8,
        Self::OVERLOAD_3,
    ];

    const fn overload(name: &'static str, load: f64) -> Self {
        Self {
            name,
            load,
            ..UNEVEN
        }
    }

    /// Returns the demand of a data centre relative to the mean demand.
    pub(crate) fn relative_demand(&self, phase: f64, at_s: f64) -> f64 {
        let angle = std::f64::consts::TAU * (at_s / SWING_PERIOD_S + phase);
        let is_burst = self.has_burst && (BURST_FROM_S..BURST_TO_S).contains(&at_s);
        let burst = if is_burst { BURST_FACTOR } else { 1.0 };
        (1.0 + self.swing * angle.sin()) * burst
    }

    /// Returns the highest value of [`Self::relative_demand`].
    pub(crate) fn max_relative_demand(&self) -> f64 {
        let burst = if self.has_burst { BURST_FACTOR } else { 1.0 };
        (1.0 + self.swing) * burst
    }
}
