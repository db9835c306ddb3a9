//! Commands of the `fescueshift` command line. All of them only read.

mod cli;
mod commands;
mod load_run;
mod output;

pub use cli::cli;
pub use cli::run;
