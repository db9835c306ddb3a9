//! Settings of admission.

use crate::ClassName;

/// Expected service time of a class on a reference VM, the VM whose speed counts as 1.0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassPrior {
    /// The class.
    pub class: ClassName,
    /// Mean service time on a reference VM, in microseconds.
    pub service_us: u64,
}

/// Settings of admission for one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Number of requests that the upstream runs concurrently; at least 1.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue_capacity: usize,
    /// Expected service times. These classes never fall into the overflow class.
    pub priors: Vec<ClassPrior>,
    /// Expected service time of a class without a prior, in microseconds on a reference VM.
    pub default_service_us: u64,
    /// Maximum number of classes; further ones share the overflow class.
    pub max_classes: usize,
    /// A class is long if its mean is above this multiple of the shortest mean of a common class.
    pub long_multiple: f64,
    /// One slot in this many, but at least one, is reserved for short classes.
    pub reserve_one_in: u32,
    /// Age bound: a long request takes precedence over short ones after waiting this multiple of
    /// its class mean.
    pub age_bound_multiple: f64,
    /// Minimum of the age bound, in milliseconds.
    pub min_age_bound_ms: u64,
    /// Permitted retries per first attempt.
    pub retry_ratio: f64,
}

impl AdmissionSettings {
    /// Returns the default values, as set by the design page, for an upstream with `slots` slots.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            queue_capacity: 256,
            priors: Vec::new(),
            default_service_us: 20_000,
            max_classes: 64,
            long_multiple: 8.0,
            reserve_one_in: 2,
            age_bound_multiple: 4.0,
            min_age_bound_ms: 2_000,
            retry_ratio: 0.1,
        }
    }

    /// Adds the expected service time of a class.
    #[must_use]
    pub fn with_prior(mut self, class: ClassName, service_us: u64) -> Self {
        self.priors.push(ClassPrior { class, service_us });
        self
    }

    /// Returns how many of `limit` slots long classes may use. A single slot is shared by all
    /// classes.
    #[must_use]
    pub fn long_slots(&self, limit: u32) -> u32 {
        let reserved = limit.div_ceil(self.reserve_one_in.max(1)).max(1);
        limit.saturating_sub(reserved).max(1)
    }
}
