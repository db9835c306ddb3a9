//! Timeline of a recovery from the log lines of entries and agents.

use std::process::Command;
use std::process::Output;

use fes_passthrough_node::Distribution;
use fes_passthrough_node::LogLine;
use fes_passthrough_node::Phase;
use fes_passthrough_node::Role;
use fes_passthrough_node::Timeline;
use fes_passthrough_node::recovery_timeline;
use fes_passthrough_node::render_timeline;
use fes_passthrough_node::timeline_to_json;
use fes_protocol::ResultCode;
use jiff::Timestamp;
use rstest::rstest;

const FLOW: &str = "flow=1.1.1.1:7>2.2.2.2:80";

fn time(at_ms: i64) -> Timestamp {
    Timestamp::from_millisecond(1_767_225_600_000 + at_ms).expect("time")
}

/// Line with a prefix of time and process name, as a log collector writes it.
fn line(process: &str, at_ms: i64, message: &str) -> String {
    format!("0.5 {process} {:.3} INFO  [flows] {message}", time(at_ms))
}

fn start(process: &str, at_ms: i64) -> String {
    let role = match process.starts_with("entry") {
        true => "entry",
        false => "agent",
    };
    let message = format!("event=start role={role} vm={process} data_centre=a incarnation=1");
    line(process, at_ms, &message)
}

fn flow(process: &str, at_ms: i64, outcome: &str) -> String {
    let message = format!("outcome={outcome} {FLOW} age_ms=0 version=0 load=0 request=-");
    line(process, at_ms, &message)
}

fn try_timeline(
    texts: &[String],
    from: Option<Timestamp>,
) -> Result<Timeline, fes_protocol::Error> {
    let line = |text| LogLine { file: "all", text };
    let lines: Vec<LogLine<'_>> = texts.iter().map(|text| line(text.as_str())).collect();
    recovery_timeline(&lines, from)
}

fn timeline(texts: &[String]) -> Timeline {
    try_timeline(texts, None).expect("timeline")
}

fn times(timeline: &Timeline, phase: Phase, role: Role) -> Option<Distribution> {
    let mut phases = timeline.phases.iter();
    let times = phases.find(|times| times.phase == phase && times.role == role);
    times.expect("phase").distribution
}

fn min_max_count(times: Option<Distribution>) -> Option<(i64, i64, usize)> {
    times.map(|times| (times.min_ms, times.max_ms, times.count))
}

/// Two restarts of all four processes, at 0 s and at 60 s, and starts of single processes.
fn two_restarts() -> Vec<String> {
    vec![
        start("entry-1", 0),
        start("entry-2", 1_000),
        start("agent-1", 2_000),
        start("agent-2", 4_500),
        flow("agent-1", 5_000, "answered"),
        start("agent-1", 58_500),
        start("entry-1", 60_000),
        start("entry-2", 60_010),
        start("agent-1", 60_020),
        start("agent-2", 61_500),
        flow("agent-1", 62_000, "answered"),
        start("entry-1", 90_000),
    ]
}

/// Guards against measuring from the start of a single process, in a roll-out before or after the
/// restart, and against counting lines of a later restart.
#[rstest]
#[case(None, 60_000, 2_000)]
#[case(Some(0), 0, 5_000)]
#[case(Some(58_000), 58_500, 3_500)]
fn the_requested_restart_is_measured(
    #[case] from_ms: Option<i64>,
    #[case] first_start_ms: i64,
    #[case] answered_ms: i64,
) {
    let timeline = try_timeline(&two_restarts(), from_ms.map(time)).expect("timeline");

    let answers = times(&timeline, Phase::RequestAnswered, Role::Agent);
    assert_eq!(
        timeline.first_start_at_ms,
        time(first_start_ms).as_millisecond()
    );
    assert_eq!(
        min_max_count(answers),
        Some((answered_ms, answered_ms, 1)),
        "answers of this restart only"
    );
}

/// Guards against pairing lines of the same flow at different processes, whose lines interleave.
#[test]
fn flows_are_paired_within_a_process() {
    let texts = [
        start("entry-1", 0),
        start("entry-2", 0),
        start("agent-1", 0),
        flow("entry-1", 100, "search_started"),
        flow("entry-2", 150, "search_started"),
        flow("entry-1", 300, "search_lost"),
        flow("entry-2", 160, "search_found"),
        flow("entry-1", 400, "placed"),
        flow("agent-1", 405, "accepted"),
        flow("entry-2", 406, "accepted"),
        flow("entry-1", 430, "accepted"),
    ];

    let timeline = timeline(&texts);

    let duration = |phase| min_max_count(times(&timeline, phase, Role::Entry));
    assert_eq!(duration(Phase::SearchDuration), Some((10, 200, 2)));
    assert_eq!(duration(Phase::SearchEnded), Some((160, 300, 2)));
    assert_eq!(duration(Phase::OpeningDuration), Some((30, 30, 1)));
}

/// Guards against repeated events, such as later reads of the list, that hide the first ones.
#[test]
fn the_first_events_of_processes_count() {
    let heard = |at_ms, vm| line("entry-1", at_ms, &format!("outcome=agent_heard vm={vm}"));
    let texts = [
        start("entry-1", 0),
        line("entry-1", 20, "event=list_read revision=1 entries=2"),
        line("entry-1", 25, "event=routes_in_force version=1"),
        heard(30, "1.1.1.1"),
        heard(40, "1.1.1.2"),
        line("entry-1", 41, "event=ready after_ms=41 version=1"),
        heard(900, "1.1.1.1"),
    ];

    let timeline = timeline(&texts);

    let entry = |phase| min_max_count(times(&timeline, phase, Role::Entry));
    assert_eq!(entry(Phase::FirstView), Some((20, 20, 1)));
    assert_eq!(entry(Phase::Ready), Some((41, 41, 1)));
    assert_eq!(entry(Phase::FirstReport), Some((30, 40, 2)));
}

/// Guards against zeros in place of missing lines, and against hiding lines that can't be used.
#[test]
fn missing_lines_are_reported() {
    let texts = [
        start("entry-1", 0),
        start("agent-1", 10),
        flow("agent-2", 5, "answered"),
        flow("entry-1", 20, "placed"),
        line("entry-1", 21, "suppressed=7 outcome=placed"),
        "log: lines_left_out=3 reason=queue_full".to_owned(),
        "0.5 entry-1 2026-01-01T00:0".to_owned(),
    ];

    let timeline = timeline(&texts);

    let text = render_timeline(&timeline);
    let json = timeline_to_json(&timeline);
    assert!(
        text.contains("first_view        entry no lines in the logs"),
        "{text}"
    );
    assert!(text.contains("not reached: 0 answered a request"), "{text}");
    assert!(text.contains("no start of 1 processes: agent-2"), "{text}");
    assert!(text.contains("1 openings have no acceptance"), "{text}");
    assert!(text.contains("left out 10 lines"), "{text}");
    assert!(text.contains("1 unreadable lines"), "{text}");
    assert!(json["phases"][2]["times"].is_null(), "{json:#}");
    assert!(json["answered_95_percent_ms"].is_null(), "{json:#}");
}

/// Guards against counting lines of the lost processes, which may have later times than the first
/// start by the clock of another machine, and against losing lines after a clock was set back.
#[test]
fn clocks_may_differ() {
    let texts = [
        start("agent-1", -60_000),
        flow("agent-1", 8, "answered"),
        start("entry-1", 0),
        start("agent-1", 50),
        line("entry-1", 40, "event=list_read revision=1 entries=2"),
        flow("entry-1", 60, "placed"),
        flow("entry-1", 55, "accepted"),
        flow("agent-1", 48, "started"),
        flow("agent-1", 90, "answered"),
    ];

    let timeline = timeline(&texts);

    let entry = |phase| min_max_count(times(&timeline, phase, Role::Entry));
    let agent = |phase| min_max_count(times(&timeline, phase, Role::Agent));
    assert_eq!(agent(Phase::RequestStarted), Some((48, 48, 1)));
    assert_eq!(agent(Phase::RequestAnswered), Some((90, 90, 1)));
    assert_eq!(entry(Phase::OpeningAccepted), Some((55, 55, 1)));
    assert_eq!(entry(Phase::OpeningDuration), None, "not negative");
}

/// Guards against an end of the recovery that too few agents have reached.
#[rstest]
#[case(18, None)]
#[case(19, Some(119))]
fn the_recovery_ends_when_95_percent_have_answered(
    #[case] answering: i64,
    #[case] expected: Option<i64>,
) {
    let name = |agent: i64| format!("agent-{agent}");
    let mut texts: Vec<String> = (1..=20).map(|agent| start(&name(agent), 0)).collect();
    texts.extend((1..=answering).map(|agent| flow(&name(agent), 100 + agent, "answered")));
    texts.push(flow("agent-1", 9_000, "answered"));

    let timeline = timeline(&texts);

    let answers = times(&timeline, Phase::RequestAnswered, Role::Agent).expect("answers");
    assert_eq!(timeline.answered_ms, expected);
    assert_eq!(answers.max_ms, expected.unwrap_or(9_000));
}

/// Guards against a table without content for logs that hold no restart.
#[rstest]
#[case(&[], ResultCode::LogEmpty)]
#[case(&["no log line".to_owned()], ResultCode::LogEmpty)]
#[case(&[flow("agent-1", 0, "answered")], ResultCode::LogWithoutRestart)]
fn logs_without_restart_are_errors(#[case] texts: &[String], #[case] expected: ResultCode) {
    let error = try_timeline(texts, None).expect_err("no restart");

    assert_eq!(error.code(), expected);
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescueshift-passthrough"));
    let command = command.arg("timeline").args(arguments);
    command.output().expect("command runs")
}

/// Guards against files without names in their lines that are taken for one process, and against
/// errors without a code.
#[test]
fn the_command_reads_a_file_for_each_process() {
    let directory = tempfile::tempdir().expect("directory");
    let path = |name: &str| directory.path().join(name).display().to_string();
    let (entry, agent, mixed) = (path("entry.log"), path("agent.log"), path("mixed.log"));
    let plain = |text: String| text.replace("0.5 all ", "") + "\n";
    let message = |role| format!("event=start role={role} vm={role}");
    std::fs::write(&entry, plain(line("all", 0, &message("entry")))).expect("written");
    std::fs::write(&agent, plain(line("all", 7, &message("agent")))).expect("written");

    let texts = [&entry, &agent].map(|path| std::fs::read_to_string(path).expect("text"));
    std::fs::write(&mixed, texts.concat()).expect("written");

    let found = run(&["--json", "--logs", &entry, &agent]);
    let concatenated = run(&["--logs", &mixed]);
    let missing = run(&["--logs", &path("missing.log")]);

    let json: serde_json::Value = serde_json::from_slice(&found.stdout).expect("JSON");
    assert_eq!(json["phases"][1]["times"]["min_ms"], 7, "{json:#}");
    assert_eq!(json["mixed_files"], serde_json::json!([]), "{json:#}");
    let text = String::from_utf8_lossy(&concatenated.stdout);
    assert!(text.contains("taken for one"), "{text}");
    assert!(!missing.status.success());
    assert!(missing.stderr.starts_with(b"F8006"), "{missing:?}");
}
