//! Finds the log lines of a request and of its flow in collected logs, and explains how the request
//! ended.

use std::fmt::Write;

use crate::log_line::LogLine;
use crate::log_line::field;
use crate::log_line::timestamp;

/// Maximum number of lines per flow. Later lines are taken to belong to later requests of the flow.
const MAX_FLOW_LINES: usize = 200;

/// Conclusion for a request that no log line names.
const NOT_FOUND: &str = "No log line contains this request ID: the request reached no agent, or its \
                         log lines are missing. Search the logs for the address of the client.";

/// Explanation of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation<'a> {
    /// Flow of the request.
    pub flow: Option<&'a str>,
    /// Log lines of the flow, ordered by timestamp.
    pub lines: Vec<LogLine<'a>>,
    /// One sentence about how the request ended.
    pub conclusion: String,
}

/// Explains the request with this ID from the log lines of all processes.
#[must_use]
pub fn explain<'a>(lines: &[LogLine<'a>], request: &str) -> Explanation<'a> {
    let has_request_id = |line: &&LogLine<'a>| field(line.text, "request") == Some(request);
    let Some(first) = lines.iter().find(has_request_id) else {
        return Explanation {
            flow: None,
            lines: Vec::new(),
            conclusion: NOT_FOUND.to_owned(),
        };
    };
    let flow = field(first.text, "flow");
    let matching = lines.iter().filter(|line| field(line.text, "flow") == flow);
    let mut flow_lines: Vec<LogLine<'a>> = matching.copied().collect();
    flow_lines.sort_by_key(|line| timestamp(line.text));
    flow_lines.truncate(MAX_FLOW_LINES);
    let start = flow_lines
        .iter()
        .position(|line| field(line.text, "request") == Some(request));
    let request_lines = &flow_lines[start.unwrap_or(0)..];
    let end = request_lines.iter().skip(1).position(|line| {
        field(line.text, "request").is_some_and(|other| other != "-" && other != request)
    });
    let request_lines = &request_lines[..end.map_or(request_lines.len(), |end| end + 1)];
    Explanation {
        flow,
        conclusion: conclusion(request_lines),
        lines: flow_lines,
    }
}

/// Formats an explanation as text.
#[must_use]
pub fn render(explanation: &Explanation<'_>) -> String {
    let mut text = String::new();
    // Writing to a `String` never fails.
    if let Some(flow) = explanation.flow {
        let _ = writeln!(text, "flow {flow}");
    }
    for line in &explanation.lines {
        let _ = writeln!(text, "  {}: {}", line.file, line.text);
    }
    let _ = writeln!(text, "{}", explanation.conclusion);
    text
}

fn conclusion(lines: &[LogLine<'_>]) -> String {
    let find = |outcome| {
        lines
            .iter()
            .find(|line| field(line.text, "outcome") == Some(outcome))
    };
    let has = |outcome| find(outcome).is_some();
    let text = match () {
        () if has("answered") => "The target answered the request.",
        () if has("failed") => {
            "The target got the request and failed it: it closed the flow without a response, or \
             reported a failure of its own."
        }
        () if has("given_up_waiting") => {
            "The client gave up while the request waited for a slot. The request has not run."
        }
        () if has("timed_out_waiting") => {
            "The request timed out while it waited for a slot. It has not run."
        }
        () if has("dropped_stale") && !has("started") => {
            "The request timed out before it could be sent to the target. It has not run."
        }
        () if has("search_lost") => "The target of the flow ended. The client was sent a reset.",
        () if has("route_removed") => {
            "The route of the flow was removed. The client was sent a reset."
        }
        () if has("started") => {
            "The target received the request, but no answer was logged. Check whether the target or \
             the agent ended."
        }
        () => "These lines don't show that the request was sent to a target.",
    };
    let has_reached_target = has("answered") || has("failed");
    let dropped = find("given_up_waiting").or_else(|| find("timed_out_waiting"));
    let wait = dropped
        .filter(|_| !has_reached_target)
        .and_then(wait_sentence);
    match wait {
        Some(wait) => format!("{text} {wait}"),
        None => text.to_owned(),
    }
}

/// Returns a sentence on the time that the request of a line was queued. Agents of older versions
/// don't log this time; their lines have a load of 0.
fn wait_sentence(line: &LogLine<'_>) -> Option<String> {
    let waited_ms = field(line.text, "age_ms")?;
    let queued = field(line.text, "load").filter(|load| *load != "0")?;
    Some(format!(
        "It was queued for {waited_ms} ms; {queued} requests were queued at the end, including it."
    ))
}
