//! Maximum number of new flows that a target gets per second while it warms up.

use crate::ServiceWarmUp;

/// Limit of new flows of targets that warm up, relative to what their service states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmUpSettings {
    /// Factor on the service's rate, in thousandths; 0 if there is no limit.
    pub overage_per_mille: u32,
    /// Number of new flows per second that are allowed in addition, in thousandths.
    pub slack_per_mille: u32,
}

impl WarmUpSettings {
    /// Returns the maximum number of new flows in any second, or none if there is no limit. A limit
    /// below 1 counts as 1, since the target would get no flow at all.
    #[must_use]
    pub fn max_openings_per_s(self, service: ServiceWarmUp) -> Option<u32> {
        if self.overage_per_mille == 0 || service.openings_per_1000_s == 0 {
            return None;
        }
        let rate_millionths =
            u64::from(service.openings_per_1000_s) * u64::from(self.overage_per_mille);
        let slack_millionths = u64::from(self.slack_per_mille) * 1_000;
        let limit = rate_millionths.saturating_add(slack_millionths) / 1_000_000;
        Some(u32::try_from(limit).unwrap_or(u32::MAX).max(1))
    }
}
