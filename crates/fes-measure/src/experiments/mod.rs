//! Experiments, one per module.

mod broken_flows;
mod demand_peak;
mod experiment_result;
mod head_of_line;
mod imbalance;
mod mix;
mod statistics;

pub(crate) use broken_flows::broken_flows;
pub(crate) use demand_peak::PeakFigures;
pub(crate) use demand_peak::demand_peak;
pub(crate) use demand_peak::peak_figures;
pub(crate) use demand_peak::peak_scenario;
pub(crate) use experiment_result::ExperimentResult;
pub(crate) use experiment_result::RawFigure;
pub(crate) use head_of_line::head_of_line;
pub(crate) use imbalance::imbalance;
pub(crate) use statistics::percentile;
pub(crate) use statistics::share;
