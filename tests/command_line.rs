//! Exit status, output and line width of the `fescueshift` commands.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::thread;

use fes_testkit::CertificateAuthority;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

const MAX_WIDTH_COLUMNS: usize = 80;
const COMMANDS: [&str; 9] = [
    "check",
    "diff",
    "explain",
    "status",
    "local",
    "load",
    "measure",
    "completions",
    "man",
];

fn fescueshift(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fescueshift"))
        .args(arguments)
        .env_remove("CLICOLOR_FORCE")
        .output()
        .expect("program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Creates a directory with the entry settings of the documentation, a faulty copy, and the files
/// that they refer to.
fn settings_directory() -> TempDir {
    let directory = tempfile::tempdir().expect("temporary directory");
    let write = |name: &str, content: &str| {
        std::fs::write(directory.path().join(name), content).expect("write");
    };
    let authority = CertificateAuthority::new();
    let (certificate, key) = authority.leaf_pem();
    write("link.pem", &certificate);
    write("link-key.pem", &key);
    write("fleet-authority.pem", authority.certificate_pem());
    write("key-epoch-1.hex", &"1".repeat(32));
    write("key-epoch-2.hex", &"2".repeat(32));
    write("good.toml", include_str!("../docs/examples/entry.toml"));
    let faulty = include_str!("../docs/examples/entry.toml")
        .replace("entry = 3", "entry = 0\nprompt = true")
        .replace("\"info\"", "\"loud\"");
    write("faulty.toml", &faulty);
    directory
}

/// Guards against exit statuses on which scripts can't rely.
#[rstest]
#[case(&["good.toml"], 0)]
#[case(&["good.toml", "faulty.toml"], 1)]
#[case(&["missing.toml"], 2)]
fn check_exit_status_distinguishes_good_faulty_and_unreadable_files(
    #[case] files: &[&str],
    #[case] expected: i32,
) {
    let directory = settings_directory();
    let paths = files.iter().map(|file| directory.path().join(file));
    let paths: Vec<String> = paths.map(|path| path.display().to_string()).collect();
    let mut arguments = vec!["check"];
    arguments.extend(paths.iter().map(String::as_str));

    let output = fescueshift(&arguments);

    assert_eq!(output.status.code(), Some(expected), "{output:?}");
}

/// Guards against JSON output that omits a fault, its line or its result code.
#[test]
fn check_reports_all_faults_as_json() {
    let directory = settings_directory();
    let path = directory.path().join("faulty.toml").display().to_string();

    let output = fescueshift(&["check", "--json", &path]);

    let report: Value = serde_json::from_slice(&output.stdout).expect("one JSON object");
    let faults = report["files"][0]["faults"].as_array().expect("faults");
    let found: Vec<_> = faults
        .iter()
        .map(|fault| (fault["key"].as_str(), fault["code"].as_str()))
        .collect();
    assert_eq!(
        found,
        [
            (Some("entry"), Some("F1006")),
            (Some("prompt"), Some("F1003")),
            (Some("log_level"), Some("F1009")),
        ]
    );
    assert!(faults.iter().all(|fault| fault["line"].as_u64() > Some(0)));
}

/// Guards against tickets that are checked as settings files.
#[rstest]
#[case("{\"number\": 3, \"key_epoch\": {\"current\": 1}}", 0)]
#[case("{\"number\": 3, \"key_epoch\": {\"current\": 9}}", 1)]
fn check_recognises_tickets(#[case] ticket: &str, #[case] expected: i32) {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("change.json");
    std::fs::write(&path, ticket).expect("write");

    let output = fescueshift(&["check", &path.display().to_string()]);

    assert_eq!(output.status.code(), Some(expected), "{output:?}");
}

/// Guards against help texts and reports that are wider than a terminal.
#[test]
fn help_and_reports_fit_80_columns() {
    let directory = settings_directory();
    let faulty = directory.path().join("faulty.toml").display().to_string();
    let mut outputs: Vec<Output> = COMMANDS
        .iter()
        .map(|command| fescueshift(&[command, "--help"]))
        .collect();
    outputs.push(fescueshift(&["--help"]));
    outputs.push(fescueshift(&["explain"]));
    outputs.push(fescueshift(&["check", &faulty]));

    for output in outputs {
        let text = text(&output.stdout);
        assert!(!text.is_empty());
        // The path can be longer than a line, depending on the temporary directory of the system.
        let lines = text.lines().filter(|line| !line.contains(&faulty));
        for line in lines {
            assert!(line.chars().count() <= MAX_WIDTH_COLUMNS, "{line}");
        }
    }
}

/// Guards against colour codes in the output although `NO_COLOR` is set.
#[test]
fn no_color_variable_disables_colours() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescueshift"));
    command.arg("--help").env("NO_COLOR", "1");

    let output = command.output().expect("program");

    assert!(!output.stdout.contains(&0x1b));
}

/// Guards against help texts without an example.
#[test]
fn help_of_every_command_has_examples() {
    for command in COMMANDS {
        let help = text(&fescueshift(&[command, "--help"]).stdout);

        assert!(help.contains(&format!("fescueshift {command}")), "{help}");
        assert!(help.contains("Examples:"), "{help}");
    }
}

/// Guards against invalid arguments that are reported as success.
#[rstest]
#[case(&["explain", "F9999"])]
#[case(&["launch"])]
#[case(&["status", "not-an-address"])]
#[case(&["load", "127.0.0.1:1", "--authority", "/nonexistent.pem"])]
#[case(&["local", "--requests", "0"])]
fn usage_errors_exit_with_2(#[case] arguments: &[&str]) {
    let output = fescueshift(arguments);

    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(output.stdout.is_empty());
    assert!(!output.stderr.is_empty());
}

/// Guards against completion scripts and manual pages that omit a command.
#[test]
fn completions_and_manual_pages_include_every_command() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().display().to_string();

    let script = text(&fescueshift(&["completions", "bash"]).stdout);
    let written = fescueshift(&["man", "--directory", &path]);

    assert!(written.status.success(), "{written:?}");
    for command in COMMANDS {
        assert!(script.contains(command));
        let page = directory.path().join(format!("fescueshift-{command}.1"));
        assert!(page.exists(), "{}", page.display());
    }
}

/// Guards against a `diff` that omits changes, or doesn't report that a ticket would be ignored.
#[test]
fn diff_shows_changes_and_ignored_tickets() {
    let in_force = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/examples/staveworks.json");
    let leaving = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/docs/examples/staveworks-upstream-leaving.json"
    );

    let change = fescueshift(&["diff", leaving, "--in-force", in_force, "--json"]);
    let stale = fescueshift(&["diff", in_force, "--in-force", leaving, "--json"]);

    let report: Value = serde_json::from_slice(&change.stdout).expect("one JSON object");
    let upstreams = report["services"][0]["upstreams"]
        .as_array()
        .expect("upstreams");
    let is_leaving = |upstream: &&Value| upstream["change"] == "starts-leaving";
    assert_eq!(upstreams.iter().filter(is_leaving).count(), 1, "{report}");
    assert_eq!(change.status.code(), Some(0), "{change:?}");
    let report: Value = serde_json::from_slice(&stale.stdout).expect("one JSON object");
    assert_eq!(report["reports"][0]["code"], "F4003", "{report}");
    assert_eq!(stale.status.code(), Some(1), "{stale:?}");
}

/// Serves a status page to a single client.
fn serve_status(page: &Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let body = page.to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            request.extend(byte);
        }
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let response = head + &body;
        stream.write_all(response.as_bytes()).expect("a response");
    });
    address
}

/// Guards against a list of peers that is printed as a single line, wider than the terminal.
#[test]
fn status_prints_one_line_per_peer() {
    let peer = |target: u32, state: &str| {
        serde_json::json!({
            "target": target, "state": state, "capacity_milli": 16_000, "demand_milli": 12_345,
        })
    };
    let peers = [peer(12, "HeardByOthers"), peer(13, "Alive")];
    let page = serde_json::json!({"node": "agent-11", "peers": peers});
    let address = serve_status(&page).to_string();

    let output = fescueshift(&["status", &address]);

    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        printed.lines().all(|line| line.len() <= MAX_WIDTH_COLUMNS),
        "{printed}"
    );
    let count_lines = |words: &[&str]| {
        let contains_all = |line: &&str| words.iter().all(|word| line.contains(word));
        printed.lines().filter(contains_all).count()
    };
    assert_eq!(
        count_lines(&["target 12", "state HeardByOthers"]),
        1,
        "{printed}"
    );
    assert_eq!(count_lines(&["target 13", "state Alive"]), 1, "{printed}");
}
