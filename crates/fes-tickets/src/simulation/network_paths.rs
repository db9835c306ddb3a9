//! Quality of the network paths between data centres.

use fes_kernel::PathQuality;
use fes_protocol::DataCentreName;

use crate::Distance;
use crate::distance_between;

/// Path quality by distance between data centres.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionPaths {
    /// Within a data centre.
    pub same_data_centre: PathQuality,
    /// Between data centres of a region.
    pub same_region: PathQuality,
    /// Between regions.
    pub other_region: PathQuality,
}

impl RegionPaths {
    /// Returns paths with a delay of 0.25 ms within a data centre, 4 ms within a region and 40 ms
    /// between regions, a jitter of up to a quarter of the delay, and the given loss and
    /// duplication.
    #[must_use]
    pub const fn with_loss(loss: f64, duplication: f64) -> Self {
        const fn path(delay_us: u64, loss: f64, duplication: f64) -> PathQuality {
            PathQuality {
                delay_us,
                jitter_us: delay_us / 4,
                loss,
                duplication,
            }
        }
        Self {
            same_data_centre: path(250, loss, duplication),
            same_region: path(4_000, loss, duplication),
            other_region: path(40_000, loss, duplication),
        }
    }

    /// Returns the quality of the path between two data centres.
    #[must_use]
    pub fn between(&self, from: &DataCentreName, to: &DataCentreName) -> PathQuality {
        match distance_between(from, to) {
            Distance::SameDataCentre => self.same_data_centre,
            Distance::SameRegion => self.same_region,
            Distance::OtherRegion => self.other_region,
        }
    }
}
