//! Cost as a function of size, fitted to measurements.

use serde::Deserialize;
use serde::Serialize;

use super::LinearFit;
use super::Point;

/// Costs measured at several sizes, with the line fitted to them. The capacity report calls this a
/// slope; the slope of the line itself is [`LinearFit::slope`].
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
    /// Least-squares line through the points.
    pub fit: LinearFit,
}

impl Slope {
    /// Fits a line to the points.
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

    /// Returns the cost at a size, from the fitted line. From the largest measured size on, it is
    /// at least the largest measured cost, because noise can give the line a negative slope.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        let from_line = self.fit.at(size);
        if self.extrapolation(size) < 1.0 {
            return from_line;
        }
        self.points.iter().map(|p| p.cost).fold(from_line, f64::max)
    }

    /// Returns the ratio of a size to the largest measured size. The cost is extrapolated if it
    /// exceeds 1.
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
