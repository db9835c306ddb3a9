//! Experiments on virtual time, baselines, reports and plots.
