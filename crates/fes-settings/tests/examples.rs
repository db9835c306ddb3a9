//! The published examples are valid, and the page lists every key.

use std::fs;
use std::path::Path;

use fes_settings::AgentSettings;
use fes_settings::EntrySettings;
use fes_settings::Faults;
use rstest::rstest;
use tempfile::TempDir;

const ENTRY: &str = include_str!("../../../docs/examples/entry.toml");
const AGENT: &str = include_str!("../../../docs/examples/agent.toml");
const PAGE: &str = include_str!("../../../docs/settings.md");

/// Makes a directory with the files that the examples name.
fn directory() -> TempDir {
    let directory = tempfile::tempdir().expect("temporary directory");
    let names = vec!["fescueshift".to_owned()];
    let made = rcgen::generate_simple_self_signed(names).expect("certificate");
    let key = made.signing_key.serialize_pem();
    for name in ["link.pem", "service.pem", "fleet-authority.pem"] {
        fs::write(directory.path().join(name), made.cert.pem()).expect("write");
    }
    for name in ["link-key.pem", "service-key.pem"] {
        fs::write(directory.path().join(name), &key).expect("write");
    }
    for epoch in 1..=2 {
        let file = directory.path().join(format!("key-epoch-{epoch}.hex"));
        fs::write(file, format!("{epoch:032x}\n")).expect("write");
    }
    directory
}

fn load_entry(path: &Path) -> Option<Faults> {
    EntrySettings::load(path).err()
}

fn load_agent(path: &Path) -> Option<Faults> {
    AgentSettings::load(path).err()
}

/// Guards against a published example that the program refuses.
#[rstest]
#[case(ENTRY, load_entry)]
#[case(AGENT, load_agent)]
fn the_examples_have_no_faults(#[case] text: &str, #[case] load: fn(&Path) -> Option<Faults>) {
    let directory = directory();
    let path = directory.path().join("settings.toml");
    fs::write(&path, text).expect("write");

    let faults = load(&path);

    assert!(faults.is_none(), "{}", faults.expect("faults"));
}

/// Guards against a key that the program knows and the page doesn't. The program names all keys
/// that it knows when it meets an unknown one.
#[rstest]
#[case(ENTRY, load_entry)]
#[case(AGENT, load_agent)]
fn the_page_lists_every_key(#[case] text: &str, #[case] load: fn(&Path) -> Option<Faults>) {
    let directory = directory();
    let path = directory.path().join("settings.toml");
    // A line before a table's header belongs to the table before it.
    let text = text.replace("\n[", "\nunknown = 1\n[") + "unknown = 1\n";
    fs::write(&path, text).expect("write");

    let faults = load(&path).expect("faults").0;

    assert!(!faults.is_empty());
    for fault in faults {
        assert!(fault.key.ends_with("unknown"), "{fault}");
        let known = fault
            .allowed
            .strip_prefix("one of: ")
            .expect("list of keys");
        for key in known.split(", ") {
            let row = format!("| `{key}` |");
            let heading = format!("[{key}]");
            assert!(PAGE.contains(&row) || PAGE.contains(&heading), "{key}");
        }
    }
}
