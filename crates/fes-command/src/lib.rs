//! Commands of the `fescueshift` command line. All of them only read.

mod cli;
mod commands;
mod direct_client;
mod explain_routing;
mod latency;
mod load_run;
mod local_fleet;
mod local_run;
mod output;
mod path_run;
mod ticket_file;

pub use cli::cli;
pub use cli::run;
