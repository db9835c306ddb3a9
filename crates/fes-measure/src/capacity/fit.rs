//! Least-squares line through measured points.

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

/// Line `cost = intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    /// Cost per unit of size.
    pub slope: f64,
    /// Cost at size 0.
    pub intercept: f64,
    /// Share of the variance that the line explains, 0 to 1.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line. Returns a flat line through the mean if the sizes don't differ.
    #[must_use]
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / count;
        let size_spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let cost_spread: f64 = points.iter().map(|p| (p.cost - mean_cost).powi(2)).sum();
        if size_spread == 0.0 {
            return Self {
                slope: 0.0,
                intercept: mean_cost,
                r_squared: 0.0,
            };
        }
        let joint: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.cost - mean_cost))
            .sum();
        let slope = joint / size_spread;
        let r_squared = if cost_spread == 0.0 {
            1.0
        } else {
            joint * joint / (size_spread * cost_spread)
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
