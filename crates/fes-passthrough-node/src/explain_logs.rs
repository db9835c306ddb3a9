//! Walks from a request's id to the story of its flow in collected logs.

use std::fmt::Write;

/// Requests of one flow follow each other; lines this far apart belong to others.
const RELATED_LINES: usize = 200;

/// A line of a log, with the file that it came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// Name of the file.
    pub file: &'a str,
    /// Text.
    pub text: &'a str,
}

/// What the logs say of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation<'a> {
    /// Flow of the request.
    pub flow: Option<&'a str>,
    /// Lines of the flow in the order of their time.
    pub lines: Vec<LogLine<'a>>,
    /// One sentence on how the request ended.
    pub conclusion: &'static str,
}

/// Explains a request from the lines of all processes.
#[must_use]
pub fn explain<'a>(lines: &[LogLine<'a>], request: &str) -> Explanation<'a> {
    let names_request = |line: &&LogLine<'a>| field(line.text, "request") == Some(request);
    let Some(first) = lines.iter().find(names_request) else {
        return Explanation {
            flow: None,
            lines: Vec::new(),
            conclusion: "No line names this request: it reached no agent, or its lines are missing. \
                      Search for the client's address.",
        };
    };
    let flow = field(first.text, "flow");
    let of_flow = lines.iter().filter(|line| field(line.text, "flow") == flow);
    let mut story: Vec<LogLine<'a>> = of_flow.copied().collect();
    story.sort_by_key(|line| time(line.text));
    story.truncate(RELATED_LINES);
    let from = story
        .iter()
        .position(|line| field(line.text, "request") == Some(request));
    let own = &story[from.unwrap_or(0)..];
    let until = own.iter().skip(1).position(|line| {
        field(line.text, "request").is_some_and(|other| other != "-" && other != request)
    });
    let own = &own[..until.map_or(own.len(), |until| until + 1)];
    Explanation {
        flow,
        conclusion: conclusion(own),
        lines: story,
    }
}

/// Writes an explanation for a reader.
#[must_use]
pub fn render(explanation: &Explanation<'_>) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    if let Some(flow) = explanation.flow {
        let _ = writeln!(text, "flow {flow}");
    }
    for line in &explanation.lines {
        let _ = writeln!(text, "  {}: {}", line.file, line.text);
    }
    let _ = writeln!(text, "{}", explanation.conclusion);
    text
}

fn conclusion(lines: &[LogLine<'_>]) -> &'static str {
    let has = |outcome| {
        lines
            .iter()
            .any(|line| field(line.text, "outcome") == Some(outcome))
    };
    match () {
        () if has("answered") => "The target answered it.",
        () if has("given_up_waiting") => {
            "It waited for a slot until its client left. It has not run."
        }
        () if has("timed_out_waiting") => "It waited for a slot until its timeout. It has not run.",
        () if has("search_lost") => "Its target ended, and the client was told by a reset.",
        () if has("route_removed") => "Its route was removed, and the client was told by a reset.",
        () if has("started") => {
            "The target had it and no answer was seen: look for the end of the target or agent."
        }
        () => "It was not handed to a target as far as these lines show.",
    }
}

/// Returns the value of a field of a line.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut words = text.split_ascii_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the time of a line, which may stand behind words that a collector added.
fn time(text: &str) -> &str {
    let mut words = text.split_ascii_whitespace();
    let is_time = |word: &&str| word.len() >= 20 && word.contains('T') && word.ends_with('Z');
    words.find(is_time).unwrap_or_default()
}
