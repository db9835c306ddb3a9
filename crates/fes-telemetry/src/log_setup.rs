//! Log output: one line per record, with a fixed prefix for each part.

use std::io;
use std::io::Write;

use env_logger::Builder;
use env_logger::Target;
use log::Level;
use log::LevelFilter;

use crate::LogFlusher;
use crate::QueuedWriter;
use crate::log_target;

/// Start of the names of all own crates.
const OWN_CRATES: &str = "fes_";

/// Starts logging to standard error. Own parts log at `level`, libraries from `warn` upward. A
/// second call has no effect.
pub fn init_log(level: LevelFilter) {
    // An error means that a logger is installed already, which keeps its settings.
    let _ = builder(level).try_init();
}

/// Starts logging to standard output without ever blocking the caller: see [`QueuedWriter`]. Returns
/// what waits for the last lines before the process ends.
///
/// # Errors
///
/// Returns the system's error if the writing thread can't be started.
pub fn init_queued_log(level: LevelFilter) -> io::Result<LogFlusher> {
    let writer = QueuedWriter::start(io::stdout())?;
    let flush = writer.flusher();
    let mut builder = builder(level);
    builder.target(Target::Pipe(Box::new(writer)));
    let _ = builder.try_init();
    Ok(flush)
}

fn builder(level: LevelFilter) -> Builder {
    let mut builder = Builder::new();
    builder.filter_level(level.min(LevelFilter::Warn));
    for target in log_target::ALL {
        builder.filter_module(target, level);
    }
    // Records without a target of their own carry the name of their crate.
    builder.filter_module(OWN_CRATES, level);
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let line = format_line(
            &time.to_string(),
            record.level(),
            record.target(),
            &record.args().to_string(),
        );
        writeln!(out, "{line}")
    });
    builder
}

/// Formats a record: time, level, part, message. Line breaks within the message are escaped, so
/// that input from outside can't forge a record.
#[must_use]
pub fn format_line(time: &str, level: Level, target: &str, message: &str) -> String {
    let crate_name = target.split("::").next().unwrap_or(target);
    let part = crate_name.strip_prefix(OWN_CRATES).unwrap_or(crate_name);
    let without_part = message
        .strip_prefix(part)
        .and_then(|rest| rest.strip_prefix(": "));
    let message = without_part.unwrap_or(message);
    let mut line = format!("{time} {level:<5} [{part}] ");
    if message.contains(['\n', '\r']) {
        line.push_str(&message.replace('\n', "\\n").replace('\r', "\\r"));
    } else {
        line.push_str(message);
    }
    line
}
