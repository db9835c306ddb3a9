//! The log level applies to this workspace, and records name their component once.

use fes_telemetry::format_line;
use fes_telemetry::init_log;
use log::Level;
use log::LevelFilter;
use log::log_enabled;

#[test]
fn workspace_crates_log_at_the_configured_level_and_libraries_at_warn() {
    init_log(LevelFilter::Info);

    assert!(log_enabled!(target: "fes_agent::host", Level::Info));
    assert!(log_enabled!(target: "agent", Level::Info));
    assert!(!log_enabled!(target: "fes_agent::host", Level::Debug));
    assert!(log_enabled!(target: "h2::codec", Level::Warn));
    assert!(!log_enabled!(target: "h2::codec", Level::Info));
}

#[test]
fn a_record_names_its_component_once() {
    let line = format_line("T", Level::Info, "fes_agent::host", "agent: peer 2 is Dead");

    assert_eq!(line, "T INFO  [agent] peer 2 is Dead");
}
