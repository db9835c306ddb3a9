//! Results for people and machines.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde::Serialize;

/// Which side of its target a figure must be on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At most the target.
    AtMost,
    /// At least the target.
    AtLeast,
}

/// A measured figure under both policies.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Experiment that measured it.
    pub experiment: &'static str,
    /// What was measured.
    pub name: &'static str,
    /// Unit of all values.
    pub unit: &'static str,
    /// Side of the target.
    pub bound: Bound,
    /// Target of the design page; `None` for a figure that only informs.
    pub target: Option<f64>,
    /// Value under the baseline; `None` if it is infinite or was not seen.
    pub baseline: Option<f64>,
    /// Value under the current policy; `None` if it is infinite or was not seen.
    pub current: Option<f64>,
    /// Whether the judged policy met the target; `true` for a figure without target.
    pub met: bool,
}

/// A curve for plots.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Name of the plot that the curve belongs to; also its file name.
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

/// The result of [`crate::run`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Name of the profile.
    pub profile: &'static str,
    /// Seed of all random choices.
    pub seed: u64,
    /// Policy that `met` judges.
    pub policy: &'static str,
    /// The figures.
    pub figures: Vec<Figure>,
    /// Whether all targets were met.
    pub met: bool,
    /// Share of targets met, weighted by what the profile's user cares about.
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
    /// Returns [`ResultCode::OutputUnwritable`] if it can't be encoded.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string_pretty(self)
            .map_err(|e| Error::coded(ResultCode::OutputUnwritable, e.to_string()))
    }
}
