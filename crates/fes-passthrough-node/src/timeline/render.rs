//! Output of a timeline as a table and as JSON.

use std::fmt::Write;

use jiff::Timestamp;
use serde_json::Value;
use serde_json::json;

use crate::timeline::PhaseTimes;
use crate::timeline::Timeline;

/// Formats a timeline as a table.
#[must_use]
pub fn render_timeline(timeline: &Timeline) -> String {
    let mut text = String::new();
    // Writing to a `String` never fails.
    let _ = writeln!(text, "first start {}", first_start(timeline));
    let _ = writeln!(
        text,
        "times in ms since then; *_duration: ms between the two lines"
    );
    let _ = writeln!(
        text,
        "{:<17} {:<5} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "phase", "role", "min", "median", "p95", "max", "count"
    );
    for times in &timeline.phases {
        let _ = writeln!(text, "{}", table_row(times));
    }
    let _ = writeln!(text, "{}", answered_text(timeline));
    for note in notes(timeline) {
        let _ = writeln!(text, "note: {note}");
    }
    text
}

/// Formats a timeline as JSON. The times of a phase without lines are `null`.
#[must_use]
pub fn timeline_to_json(timeline: &Timeline) -> Value {
    let phases: Vec<Value> = timeline.phases.iter().map(phase_to_json).collect();
    json!({
        "first_start": first_start(timeline),
        "phases": phases,
        "answered_95_percent_ms": timeline.answered_ms,
        "answering_agents": timeline.answering_agents,
        "agents": timeline.agents,
        "not_started": timeline.not_started,
        "mixed_files": timeline.mixed_files,
        "unfinished_searches": timeline.unfinished_searches,
        "unfinished_openings": timeline.unfinished_openings,
        "suppressed_lines": timeline.suppressed_lines,
        "left_out_lines": timeline.left_out_lines,
        "unreadable_lines": timeline.unreadable_lines,
    })
}

fn first_start(timeline: &Timeline) -> String {
    let time = Timestamp::from_millisecond(timeline.first_start_at_ms);
    time.map_or_else(|_| "-".to_owned(), |time| format!("{time:.3}"))
}

fn table_row(times: &PhaseTimes) -> String {
    let head = format!("{:<17} {:<5}", times.phase.name(), times.role.name());
    let Some(times) = times.distribution else {
        return format!("{head} no lines in the logs");
    };
    format!(
        "{head} {:>9} {:>9} {:>9} {:>9} {:>7}",
        times.min_ms, times.median_ms, times.p95_ms, times.max_ms, times.count
    )
}

fn phase_to_json(times: &PhaseTimes) -> Value {
    let distribution = times.distribution.map(|times| {
        json!({
            "min_ms": times.min_ms,
            "median_ms": times.median_ms,
            "p95_ms": times.p95_ms,
            "max_ms": times.max_ms,
            "count": times.count,
        })
    });
    json!({
        "phase": times.phase.name(),
        "role": times.role.name(),
        "is_duration": times.phase.is_duration(),
        "times": distribution,
    })
}

fn answered_text(timeline: &Timeline) -> String {
    let (answering, agents) = (timeline.answering_agents, timeline.agents);
    match timeline.answered_ms {
        Some(answered_ms) => {
            format!("95 % of {agents} agents had answered a request after {answered_ms} ms")
        }
        None => format!("95 % of {agents} agents not reached: {answering} answered a request"),
    }
}

fn notes(timeline: &Timeline) -> Vec<String> {
    let mut notes = Vec::new();
    let mut note = |is_needed: bool, text: String| {
        if is_needed {
            notes.push(text);
        }
    };
    let not_started = &timeline.not_started;
    let names = not_started.join(" ");
    note(
        !not_started.is_empty(),
        format!("no start of {} processes: {names}", not_started.len()),
    );
    let mixed = timeline.mixed_files.join(" ");
    note(
        !mixed.is_empty(),
        format!("lines of several processes without their names, taken for one: {mixed}"),
    );
    let searches = timeline.unfinished_searches;
    note(searches > 0, format!("{searches} searches have no end"));
    let openings = timeline.unfinished_openings;
    note(
        openings > 0,
        format!("{openings} openings have no acceptance at the same entry"),
    );
    let missing = timeline.suppressed_lines + timeline.left_out_lines;
    note(
        missing > 0,
        format!(
            "the processes left out {missing} lines, so that flows and requests may be missing"
        ),
    );
    let unreadable = timeline.unreadable_lines;
    note(
        unreadable > 0,
        format!("{unreadable} unreadable lines were skipped"),
    );
    notes
}
