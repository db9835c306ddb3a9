//! Results of an experiment before they are evaluated against targets.

use crate::Bound;
use crate::Experiment;
use crate::Figure;
use crate::Policy;
use crate::Series;

/// A figure under both policies, not yet evaluated against its target. An infinite value means
/// that the event never happened.
#[derive(Debug, Clone)]
pub(crate) struct RawFigure {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) bound: Bound,
    pub(crate) target: Option<f64>,
    pub(crate) baseline: f64,
    pub(crate) current: f64,
}

/// Figures and plot series of an experiment.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExperimentResult {
    pub(crate) figures: Vec<RawFigure>,
    pub(crate) series: Vec<Series>,
}

impl RawFigure {
    /// Creates a figure that must not exceed its target.
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

    /// Creates a figure that must reach its target.
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

    /// Creates an informational figure, which has no target.
    pub(crate) fn without_target(name: &'static str, unit: &'static str, values: [f64; 2]) -> Self {
        Self {
            target: None,
            ..Self::at_most(name, unit, 0.0, values)
        }
    }

    /// Compares the value under `policy` with the target.
    pub(crate) fn evaluate(self, experiment: Experiment, policy: Policy) -> Figure {
        let value = match policy {
            Policy::Baseline => self.baseline,
            Policy::Current => self.current,
        };
        let met = match (self.target, self.bound) {
            (None, _) => true,
            (Some(target), Bound::AtMost) => value <= target,
            (Some(target), Bound::AtLeast) => value >= target,
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
