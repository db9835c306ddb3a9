//! Log output: one line per record, prefixed with the component that logs it.

use std::io;
use std::io::Write;

use env_logger::Builder;
use env_logger::Target;
use log::Level;
use log::LevelFilter;

use crate::LogFlusher;
use crate::QueuedWriter;
use crate::log_target;

/// Prefix of the names of all crates of this workspace.
const CRATE_PREFIX: &str = "fes_";

/// Starts logging to standard error. Crates of this workspace log at `level`, libraries at `warn`
/// or `level`, whichever is more severe. A second call has no effect.
pub fn init_log(level: LevelFilter) {
    // An error means that a logger is installed already; it keeps its settings.
    let _ = builder(level).try_init();
}

/// Starts logging to standard output through a [`QueuedWriter`], which never blocks the caller.
/// Call [`LogFlusher::flush`] on the returned handle before the process ends.
///
/// # Errors
///
/// Returns the system's error if the writer thread can't be started.
pub fn init_queued_log(level: LevelFilter) -> io::Result<LogFlusher> {
    let writer = QueuedWriter::start(io::stdout())?;
    let flusher = writer.flusher();
    let mut builder = builder(level);
    builder.target(Target::Pipe(Box::new(writer)));
    let _ = builder.try_init();
    Ok(flusher)
}

fn builder(level: LevelFilter) -> Builder {
    let mut builder = Builder::new();
    builder.filter_level(level.min(LevelFilter::Warn));
    for target in log_target::ALL {
        builder.filter_module(target, level);
    }
    // The target of a record without an explicit one is the module path, which starts with the
    // crate's name.
    builder.filter_module(CRATE_PREFIX, level);
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

/// Formats a record as time, level, component and message. Line breaks in the message are escaped,
/// so that untrusted input can't forge a record. A prefix of the message that repeats the
/// component, such as `agent: `, is removed.
#[must_use]
pub fn format_line(time: &str, level: Level, target: &str, message: &str) -> String {
    let crate_name = target.split("::").next().unwrap_or(target);
    let component = crate_name.strip_prefix(CRATE_PREFIX).unwrap_or(crate_name);
    let without_prefix = message
        .strip_prefix(component)
        .and_then(|rest| rest.strip_prefix(": "));
    let message = without_prefix.unwrap_or(message);
    let mut line = format!("{time} {level:<5} [{component}] ");
    if message.contains(['\n', '\r']) {
        line.push_str(&message.replace('\n', "\\n").replace('\r', "\\r"));
    } else {
        line.push_str(message);
    }
    line
}
