//! Decoding of a log line with its time and process.

use jiff::Timestamp;

use crate::log_line::LogLine;
use crate::log_line::field;

const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];
/// Maximum number of words up to the level, so that a word of a message isn't taken for it.
const MAX_HEAD_WORDS: usize = 8;

/// A log line with its time and process.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogRecord<'a> {
    /// Name of the process, or the file if the line has no prefix with a name.
    pub(super) process: &'a str,
    pub(super) at_ms: i64,
    text: &'a str,
}

impl<'a> LogRecord<'a> {
    /// Decodes a line. Returns `None` if it has no time or no level.
    pub(super) fn decode(line: LogLine<'a>) -> Option<Self> {
        let words = line.text.split_ascii_whitespace();
        let head: Vec<&str> = words.take(MAX_HEAD_WORDS).collect();
        let level_index = head.iter().position(|word| LEVELS.contains(word))?;
        let (time, prefix) = head[..level_index].split_last()?;
        let time: Timestamp = time.parse().ok()?;
        let name = prefix.last().filter(|word| is_name(word));
        Some(Self {
            process: name.copied().unwrap_or(line.file),
            at_ms: time.as_millisecond(),
            text: line.text,
        })
    }

    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        field(self.text, name)
    }

    pub(super) fn is_start(&self) -> bool {
        self.field("event") == Some("start")
    }
}

/// Returns whether a word of a prefix is a name. A prefix may also consist of just a time.
fn is_name(word: &str) -> bool {
    word.parse::<f64>().is_err() && word.parse::<Timestamp>().is_err()
}
