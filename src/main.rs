//! The `fescueshift` command line. See `fes_command` for the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    fes_command::run(std::env::args_os())
}
