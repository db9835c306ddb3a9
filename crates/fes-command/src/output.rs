//! Writes to standard output and standard error.

use std::io::ErrorKind;
use std::io::Write;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use indicatif::ProgressBar;
use indicatif::ProgressDrawTarget;
use indicatif::ProgressStyle;

/// Maximum width of text output, in columns.
pub(crate) const MAX_WIDTH_COLUMNS: usize = 80;

/// Writes text to standard output. A closed pipe isn't an error.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            let detail = "standard output can't be written";
            Err(Error::io(ResultCode::OutputUnwritable, detail, error))
        }
        _ => Ok(()),
    }
}

/// Writes text to standard error, wrapped.
pub(crate) fn print_error(text: &str) {
    // If standard error is closed, there is no way to report it.
    let _ = std::io::stderr().write_all(wrap(text).as_bytes());
}

/// Wraps lines at spaces to at most [`MAX_WIDTH_COLUMNS`] columns. Continuation lines are indented
/// by four more columns. Longer words aren't broken.
pub(crate) fn wrap(text: &str) -> String {
    let mut wrapped = String::new();
    for line in text.lines() {
        let indent = line.len() - line.trim_start().len();
        let mut column = 0;
        for word in line[indent..].split_inclusive(' ') {
            let width = word.trim_end().chars().count();
            if column == 0 {
                wrapped.push_str(&line[..indent]);
                column = indent;
            } else if column + width > MAX_WIDTH_COLUMNS {
                trim_spaces(&mut wrapped);
                wrapped.push('\n');
                column = indent + 4;
                wrapped.push_str(&" ".repeat(column));
            }
            wrapped.push_str(word);
            column += word.chars().count();
        }
        trim_spaces(&mut wrapped);
        wrapped.push('\n');
    }
    wrapped
}

fn trim_spaces(text: &mut String) {
    text.truncate(text.trim_end_matches(' ').len());
}

/// Formats rows as columns, the first left-aligned and the others right-aligned.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        for (column, cell) in row.iter().enumerate() {
            let width = widths[column];
            if column == 0 {
                text.push_str(&format!("{cell:<width$}"));
            } else {
                text.push_str(&format!("  {cell:>width$}"));
            }
        }
        trim_spaces(&mut text);
        text.push('\n');
    }
    text
}

/// Creates a progress bar on standard error. It is shown only on a terminal.
pub(crate) fn progress(length: u64, unit: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr());
    let template = format!("{{wide_bar}} {{pos}}/{{len}} {unit} {{elapsed}}");
    match ProgressStyle::with_template(&template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
