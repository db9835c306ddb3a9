//! Commands of the `fescueshift` command line. All of them only read.

mod cli;
mod commands;
mod latency;
mod load_run;
mod local_fleet;
mod local_run;
mod output;

pub use cli::cli;
pub use cli::run;
