//! Commands of the `fescueshift` command line. None of them changes the tickets or settings of a
//! fleet.

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
