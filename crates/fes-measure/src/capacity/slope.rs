//! A measured relation between size and cost.

use serde::Deserialize;
use serde::Serialize;

use super::LinearFit;
use super::Point;

/// Points measured at several sizes, with the line through them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Identifier, for example `route_table_memory`.
    pub name: String,
    /// Unit of size, for example `targets`.
    pub size_unit: String,
    /// Unit of cost, for example `bytes`.
    pub cost_unit: String,
    /// Measured points in ascending order of size.
    pub points: Vec<Point>,
    /// Line through the points.
    pub fit: LinearFit,
}

impl Slope {
    /// Fits a line through points.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        size_unit: impl Into<String>,
        cost_unit: impl Into<String>,
        points: Vec<Point>,
    ) -> Self {
        let fit = LinearFit::of(&points);
        Self {
            name: name.into(),
            size_unit: size_unit.into(),
            cost_unit: cost_unit.into(),
            points,
            fit,
        }
    }

    /// Returns the cost at a size, from the line. Beyond the measured sizes it is at least the
    /// largest measured cost, so that noise can't predict a cost that falls with size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        let from_line = self.fit.at(size);
        if self.extrapolation(size) < 1.0 {
            return from_line;
        }
        self.points.iter().map(|p| p.cost).fold(from_line, f64::max)
    }

    /// Returns how far a size lies beyond the largest measured one, as a factor; at most 1 means
    /// that nothing is extrapolated.
    #[must_use]
    pub fn extrapolation(&self, size: f64) -> f64 {
        let largest = self.points.iter().map(|p| p.size).fold(0.0, f64::max);
        if largest > 0.0 {
            size / largest
        } else {
            f64::INFINITY
        }
    }
}
