//! Figures before they are judged.

use crate::Bound;
use crate::Experiment;
use crate::Figure;
use crate::Policy;
use crate::Series;

/// A figure under both policies, not yet judged. Infinite values mean "never".
#[derive(Debug, Clone)]
pub(crate) struct RawFigure {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) bound: Bound,
    pub(crate) target: Option<f64>,
    pub(crate) baseline: f64,
    pub(crate) current: f64,
}

/// What an experiment measured.
#[derive(Debug, Clone, Default)]
pub(crate) struct Measured {
    pub(crate) figures: Vec<RawFigure>,
    pub(crate) series: Vec<Series>,
}

impl RawFigure {
    /// Makes a figure that must not exceed its target.
    pub(crate) fn at_most(
        name: &'static str,
        unit: &'static str,
        target: f64,
        [baseline, current]: [f64; 2],
    ) -> Self {
        Self {
            name,
            unit,
            bound: Bound::AtMost,
            target: Some(target),
            baseline,
            current,
        }
    }

    /// Makes a figure that must reach its target.
    pub(crate) fn at_least(
        name: &'static str,
        unit: &'static str,
        target: f64,
        values: [f64; 2],
    ) -> Self {
        Self {
            bound: Bound::AtLeast,
            ..Self::at_most(name, unit, target, values)
        }
    }

    /// Makes a figure without target.
    pub(crate) fn note(name: &'static str, unit: &'static str, values: [f64; 2]) -> Self {
        Self {
            target: None,
            ..Self::at_most(name, unit, 0.0, values)
        }
    }

    pub(crate) fn judge(self, experiment: Experiment, policy: Policy) -> Figure {
        let judged = match policy {
            Policy::Baseline => self.baseline,
            Policy::Current => self.current,
        };
        let met = match (self.target, self.bound) {
            (None, _) => true,
            (Some(target), Bound::AtMost) => judged <= target,
            (Some(target), Bound::AtLeast) => judged >= target,
        };
        Figure {
            experiment: experiment.name(),
            name: self.name,
            unit: self.unit,
            bound: self.bound,
            target: self.target,
            baseline: Some(self.baseline).filter(|value| value.is_finite()),
            current: Some(self.current).filter(|value| value.is_finite()),
            met,
        }
    }
}
