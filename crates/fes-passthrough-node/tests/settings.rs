//! Loading of settings files that are being written while the process starts.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::mpsc::channel;
use std::thread;

use fes_adapter::parse_settings;
use fes_adapter::stand_in::SettingsValues;
use fes_adapter::stand_in::encode_settings;
use fes_passthrough_node::load_settings;
use fes_passthrough_node::load_settings_at_start;

fn settings_text() -> String {
    encode_settings(&SettingsValues {
        name: "n".into(),
        data_centre: "z".into(),
        is_first_start: false,
        vm: Ipv4Addr::LOCALHOST,
        seed_entries: Vec::new(),
        client_port: 1,
        status_port: 2,
        node_port: 3,
        target: None,
        store: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4),
        stop_grace_s: 6,
    })
}

/// Guards against a process that exits at its start because its settings file is only partly
/// written (found by the soak with seed 113).
#[test]
fn a_partly_written_file_is_retried() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, "").expect("written");
    let is_refused_at_once = load_settings(Some(path.clone())).is_err();
    let (start, started) = channel::<()>();
    let written = path.clone();
    let writer = thread::spawn(move || {
        started.recv().expect("signalled");
        fs::write(written, settings_text()).expect("written");
    });

    start.send(()).expect("writer waits");
    let settings = load_settings_at_start(Some(&path));

    writer.join().expect("written");
    assert!(is_refused_at_once);
    assert_eq!(settings.expect("valid").name.as_str(), "n");
}

/// Guards against a process that waits forever for valid settings.
#[test]
fn a_file_that_stays_invalid_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, "nonsense").expect("written");

    assert!(load_settings_at_start(Some(&path)).is_err());
}

/// Guards against a changed address of the platform that operators take to be in use, because no
/// restart is asked for.
#[test]
fn a_changed_address_of_the_platform_needs_a_restart() {
    let current = parse_settings(&settings_text()).expect("valid");
    let mut moved = current.clone();
    moved.platform_address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 5);
    let mut other_seeds = current.clone();
    other_seeds.seed_entries = vec![Ipv4Addr::LOCALHOST];
    other_seeds.is_first_start = true;
    other_seeds.warm_up.overage_per_mille += 1;

    assert!(current.needs_restart_for(&moved));
    assert!(!current.needs_restart_for(&other_seeds));
}
