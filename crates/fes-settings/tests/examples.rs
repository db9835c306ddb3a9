//! The examples in `docs/` are valid, and `docs/settings.md` lists every key.

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

/// Creates a directory with the certificates and keys that the examples name.
fn directory_with_certificates() -> TempDir {
    let directory = tempfile::tempdir().expect("temporary directory");
    let names = vec!["fescueshift".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("certificate");
    let key = certificate.signing_key.serialize_pem();
    for name in ["link.pem", "service.pem", "fleet-authority.pem"] {
        fs::write(directory.path().join(name), certificate.cert.pem()).expect("write");
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

/// Fails if the parser refuses a published example.
#[rstest]
#[case(ENTRY, load_entry)]
#[case(AGENT, load_agent)]
fn the_examples_have_no_faults(#[case] text: &str, #[case] load: fn(&Path) -> Option<Faults>) {
    let directory = directory_with_certificates();
    let path = directory.path().join("settings.toml");
    fs::write(&path, text).expect("write");

    let faults = load(&path);

    assert!(faults.is_none(), "{}", faults.expect("faults"));
}

/// Fails if a key is missing from the page. The fault of an unknown key lists all known keys.
#[rstest]
#[case(ENTRY, load_entry)]
#[case(AGENT, load_agent)]
fn the_page_lists_every_key(#[case] text: &str, #[case] load: fn(&Path) -> Option<Faults>) {
    let directory = directory_with_certificates();
    let path = directory.path().join("settings.toml");
    // Adds an unknown key to every table: a line above a header belongs to the table before it.
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
