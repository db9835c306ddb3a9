//! Service-time estimates per class.

use std::collections::BTreeMap;

use crate::AdmissionSettings;
use crate::ClassName;

/// Weight of a new observation in mean and variance. The forecast of a queue's wait adds up class
/// means, and with them their errors: with a weight of 0.05, the errors in a queue of one class
/// amounted to 8 % of the total wait.
const MEAN_WEIGHT: f64 = 0.01;

/// Cap of an observation, as a multiple of the mean. Otherwise single requests that run 50 times as
/// long as their class would dominate its mean and variance, and normal requests would be refused
/// because of the wait forecast. If the whole class slows down, the mean still moves by 3 % per
/// observation.
const MAX_OBSERVATION_TO_MEAN: f64 = 4.0;

/// Number of first observations that aren't capped, so that they replace a wrong prior quickly.
const UNCAPPED_OBSERVATIONS: u64 = 20;

/// Assumed ratio of the standard deviation of service times to their mean before the first
/// observation.
const PRIOR_RELATIVE_DEVIATION: f64 = 0.5;

/// Weight of a new arrival in the class shares.
const SHARE_WEIGHT: f64 = 0.002;

/// Share of arrivals at or above which a class is common.
const COMMON_SHARE: f64 = 0.1;

/// Index of a class in its [`ClassTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClassIndex(usize);

#[derive(Debug, Clone)]
struct ClassEstimate {
    /// Expected service time on a reference VM, if the settings contain one.
    prior_us: Option<f64>,
    mean_us: f64,
    variance_us2: f64,
    observation_count: u64,
    /// Share of this class in the arrivals.
    share: f64,
}

/// Bounded table of classes. Names beyond the bound share the overflow class.
#[derive(Debug, Clone)]
pub struct ClassTable {
    // Clients choose the names, so a map with a fast hasher would be open to hash flooding.
    names: BTreeMap<ClassName, ClassIndex>,
    estimates: Vec<ClassEstimate>,
    max_classes: usize,
    /// Initial mean of a class without a prior.
    default_us: f64,
    /// A class is long if its mean is above this multiple of the shortest mean of a common class.
    long_multiple: f64,
}

const OVERFLOW_CLASS: ClassIndex = ClassIndex(0);

impl ClassTable {
    /// Creates a table with the classes that have priors and the overflow class.
    #[must_use]
    pub fn new(settings: &AdmissionSettings) -> Self {
        let default_us = settings.default_service_us.max(1) as f64;
        let mut table = Self {
            names: BTreeMap::new(),
            estimates: vec![ClassEstimate::new(None, default_us)],
            max_classes: settings.max_classes.max(settings.priors.len()),
            default_us,
            long_multiple: settings.long_multiple,
        };
        for prior in &settings.priors {
            let us = prior.service_us.max(1) as f64;
            table.insert(prior.class.clone(), ClassEstimate::new(Some(us), us));
        }
        table
    }

    /// Returns the class of a name, adding it if there is room.
    pub fn index_of(&mut self, name: &ClassName) -> ClassIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        if self.names.len() >= self.max_classes {
            return OVERFLOW_CLASS;
        }
        self.insert(name.clone(), ClassEstimate::new(None, self.default_us))
    }

    /// Counts an arrival in the class shares, which determine the common classes.
    pub fn count_arrival(&mut self, class: ClassIndex) {
        for (position, estimate) in self.estimates.iter_mut().enumerate() {
            let indicator = if position == class.0 { 1.0 } else { 0.0 };
            estimate.share += (indicator - estimate.share) * SHARE_WEIGHT;
        }
    }

    /// Adds an observed service time, in microseconds. Returns the observation after its cap, which
    /// is what the estimate uses.
    pub fn observe(&mut self, class: ClassIndex, service_us: f64) -> f64 {
        let estimate = &mut self.estimates[class.0];
        estimate.observation_count += 1;
        let service_us = if estimate.observation_count > UNCAPPED_OBSERVATIONS {
            service_us.min(estimate.mean_us * MAX_OBSERVATION_TO_MEAN)
        } else {
            service_us
        };
        // The arithmetic mean of the first observations replaces a wrong prior quickly.
        let weight = MEAN_WEIGHT.max(1.0 / (estimate.observation_count as f64 + 1.0));
        let difference_us = service_us - estimate.mean_us;
        estimate.mean_us += difference_us * weight;
        let variance_error_us2 = difference_us * difference_us - estimate.variance_us2;
        estimate.variance_us2 += variance_error_us2 * weight;
        service_us
    }

    /// Returns the mean service time at this agent, in microseconds.
    #[must_use]
    pub fn mean_us(&self, class: ClassIndex) -> f64 {
        self.estimates[class.0].mean_us
    }

    /// Returns the variance of the service time at this agent, in square microseconds.
    #[must_use]
    pub fn variance_us2(&self, class: ClassIndex) -> f64 {
        self.estimates[class.0].variance_us2
    }

    /// Returns the expected service time on a reference VM, if the settings contain one. Only such
    /// classes contribute to the estimated speed of a VM.
    #[must_use]
    pub fn prior_us(&self, class: ClassIndex) -> Option<f64> {
        self.estimates[class.0].prior_us
    }

    /// Returns whether the class is long: its mean is above the configured multiple of
    /// [`Self::shortest_common_us`].
    #[must_use]
    pub fn is_long(&self, class: ClassIndex) -> bool {
        self.mean_us(class) > self.long_multiple * self.shortest_common_us()
    }

    /// Returns the shortest mean service time among common classes, or among all classes if none is
    /// common, in microseconds.
    #[must_use]
    pub fn shortest_common_us(&self) -> f64 {
        let shortest = |common: bool| {
            self.estimates
                .iter()
                .filter(|e| !common || e.share >= COMMON_SHARE)
                .map(|e| e.mean_us)
                .fold(f64::INFINITY, f64::min)
        };
        let among_common = shortest(true);
        if among_common.is_finite() {
            among_common
        } else {
            shortest(false)
        }
    }

    fn insert(&mut self, name: ClassName, estimate: ClassEstimate) -> ClassIndex {
        let index = ClassIndex(self.estimates.len());
        self.estimates.push(estimate);
        self.names.insert(name, index);
        index
    }
}

impl ClassEstimate {
    const fn new(prior_us: Option<f64>, mean_us: f64) -> Self {
        Self {
            prior_us,
            mean_us,
            variance_us2: mean_us * mean_us * PRIOR_RELATIVE_DEVIATION * PRIOR_RELATIVE_DEVIATION,
            observation_count: 0,
            share: 0.0,
        }
    }
}
