//! Deployment profiles from `docs/design.md`.

use crate::Experiment;

/// Sizes, network delays and request mix of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Name used on the command line.
    pub name: &'static str,
    /// Targets of the main service.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Open client connections per target.
    pub connections_per_target: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres, in milliseconds.
    pub remote_delay_ms: u64,
    /// One-way delay between clients and agents, in milliseconds.
    pub client_delay_ms: u64,
    /// Mean service time of a short request on a reference VM, in microseconds.
    pub short_service_us: f64,
    /// Client timeout for a short request, in milliseconds.
    pub short_timeout_ms: u64,
    /// Share of short requests that are non-repeatable.
    pub non_repeatable_share: f64,
    /// Class of the short repeatable requests.
    pub query_class: &'static str,
    /// Class of the short non-repeatable requests.
    pub non_repeatable_class: &'static str,
    /// Class of the long requests.
    pub long_class: &'static str,
}

impl Profile {
    /// Staveworks Analytics: auction and reservation service.
    #[must_use]
    pub const fn staveworks() -> Self {
        Self {
            name: "staveworks",
            targets: 7,
            slots: 4,
            connections_per_target: 2_000,
            data_centres: 3,
            remote_delay_ms: 4,
            client_delay_ms: 3,
            short_service_us: 20_000.0,
            short_timeout_ms: 500,
            non_repeatable_share: 0.3,
            query_class: "GET /inspections",
            non_repeatable_class: "POST /reservations",
            long_class: "GET /reports",
        }
    }

    /// Al-Mafraq Tank Instruments: live gauging and reconciliation service.
    #[must_use]
    pub const fn al_mafraq() -> Self {
        Self {
            name: "al-mafraq",
            targets: 7,
            slots: 2,
            connections_per_target: 2_000,
            data_centres: 3,
            remote_delay_ms: 3,
            client_delay_ms: 1,
            short_service_us: 20_000.0,
            short_timeout_ms: 500,
            non_repeatable_share: 0.3,
            query_class: "GET /levels",
            non_repeatable_class: "POST /reconciliations",
            long_class: "GET /charts",
        }
    }

    /// Returns all profiles.
    #[must_use]
    pub const fn all() -> [Self; 2] {
        [Self::staveworks(), Self::al_mafraq()]
    }

    /// Returns the profile with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|profile| profile.name == name)
    }

    /// Returns the weight of an experiment in the score of this deployment. The weights of the
    /// individual experiments add up to 1.
    ///
    /// Staveworks gives the highest weight to broken flows, Al-Mafraq to demand peaks and
    /// head-of-line blocking.
    #[must_use]
    pub fn weight(&self, experiment: Experiment) -> f64 {
        let is_staveworks = self.name == "staveworks";
        match experiment {
            Experiment::BrokenFlows if is_staveworks => 0.4,
            Experiment::BrokenFlows => 0.15,
            Experiment::Imbalance if is_staveworks => 0.2,
            Experiment::Imbalance => 0.15,
            Experiment::DemandPeak | Experiment::HeadOfLine if is_staveworks => 0.2,
            Experiment::DemandPeak | Experiment::HeadOfLine => 0.35,
            Experiment::All => 1.0,
        }
    }
}
