//! One experiment per file.

mod broken_flows;
mod crest;
mod head_of_line;
mod imbalance;
mod measured;
mod mix;
mod statistics;

pub(crate) use broken_flows::broken_flows;
pub(crate) use crest::PeakFigures;
pub(crate) use crest::crest;
pub(crate) use crest::peak_figures;
pub(crate) use crest::peak_scenario;
pub(crate) use head_of_line::head_of_line;
pub(crate) use imbalance::imbalance;
pub(crate) use measured::Measured;
pub(crate) use measured::RawFigure;
