//! Least-squares fit of a line to measured points.

use serde::Deserialize;
use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size, in the slope's unit of size.
    pub size: f64,
    /// Cost, in the slope's unit of cost.
    pub cost: f64,
}

/// The line `cost = intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    /// Cost per unit of size.
    pub slope: f64,
    /// Cost at size 0.
    pub intercept: f64,
    /// Coefficient of determination, 0 to 1.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line to the points. Returns a constant line at the mean cost if all sizes are equal.
    #[must_use]
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / count;
        let size_variation: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let cost_variation: f64 = points.iter().map(|p| (p.cost - mean_cost).powi(2)).sum();
        if size_variation == 0.0 {
            return Self {
                slope: 0.0,
                intercept: mean_cost,
                r_squared: 0.0,
            };
        }
        let covariation: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.cost - mean_cost))
            .sum();
        let slope = covariation / size_variation;
        let r_squared = if cost_variation == 0.0 {
            1.0
        } else {
            covariation * covariation / (size_variation * cost_variation)
        };
        Self {
            slope,
            intercept: mean_cost - slope * mean_size,
            r_squared,
        }
    }

    /// Returns the cost at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
