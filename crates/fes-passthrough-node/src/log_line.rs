//! Log lines of collected logs and their fields.

/// A log line and its file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// Name of the file.
    pub file: &'a str,
    /// Text of the line.
    pub text: &'a str,
}

/// Returns the value of a field of a line.
pub(crate) fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut words = text.split_ascii_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the timestamp of a line, or an empty text if it has none. A log collector may have put
/// other words in front of it.
pub(crate) fn timestamp(text: &str) -> &str {
    let mut words = text.split_ascii_whitespace();
    let is_time = |word: &&str| word.len() >= 20 && word.contains('T') && word.ends_with('Z');
    words.find(is_time).unwrap_or_default()
}
