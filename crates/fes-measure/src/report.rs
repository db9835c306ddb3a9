//! Reports of experiments, as text or as JSON.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde::Serialize;

/// Direction in which a figure is bounded by its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At most the target.
    AtMost,
    /// At least the target.
    AtLeast,
}

/// A figure measured under both policies.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Experiment that measured it.
    pub experiment: &'static str,
    /// What was measured.
    pub name: &'static str,
    /// Unit of all values.
    pub unit: &'static str,
    /// Whether the target is an upper or a lower bound.
    pub bound: Bound,
    /// Target from `docs/design.md`; `None` for an informational figure.
    pub target: Option<f64>,
    /// Value under the baseline policy; `None` if it is infinite or not a number.
    pub baseline: Option<f64>,
    /// Value under the current policy; `None` if it is infinite or not a number.
    pub current: Option<f64>,
    /// Whether the evaluated policy met the target; `true` for an informational figure.
    pub met: bool,
}

/// A curve for plots.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Name of the plot that the curve belongs to; also the prefix of its file name.
    pub plot: &'static str,
    /// Label of the horizontal axis.
    pub x_label: &'static str,
    /// Label of the vertical axis.
    pub y_label: &'static str,
    /// Label of the curve.
    pub label: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// The result of [`crate::run()`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Name of the profile.
    pub profile: &'static str,
    /// Seed of all random choices.
    pub seed: u64,
    /// Policy that `met` and `weighted_score` evaluate.
    pub policy: &'static str,
    /// The figures.
    pub figures: Vec<Figure>,
    /// Whether all targets were met.
    pub met: bool,
    /// Share of targets met, weighted by [`crate::Profile::weight`].
    pub weighted_score: f64,
    /// Curves for plots.
    #[serde(skip)]
    pub series: Vec<Series>,
}

impl Report {
    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::OutputUnwritable`] if serialization fails.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string_pretty(self).map_err(|e| {
            let detail = format!("can't serialize the report as JSON: {e}");
            Error::coded(ResultCode::OutputUnwritable, detail)
        })
    }
}
