//! Checks that names of the users' platform are used only in the adapter.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Names that are specific to the platform.
const PLATFORM_NAMES: &[&str] = &[
    "datagramAddress",
    "heartbeatIntervalMs",
    "warmupRemainingMs",
    "concurrencyLimit",
    "kv-range",
    "kv-watch",
    "kv-key",
    "op/config",
    "op/evacuate",
    "servers/",
    "BOUNCED",
    "FESCUESHIFT_SETTINGS",
    "seedNodes",
    "internalPortRange",
    "weightedServices",
];

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("readable") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Guards against platform-specific names in the crates of the product.
#[test]
fn no_crate_uses_names_of_the_platform() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    rust_files(&crates, &mut files);
    files.retain(|file| !file.ends_with("tests/boundary.rs"));

    let mut found = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).expect("text");
        let names = PLATFORM_NAMES.iter().filter(|name| text.contains(**name));
        found.extend(names.map(|name| format!("{name} in {}", file.display())));
    }

    assert!(files.len() > 100, "{} files", files.len());
    assert!(found.is_empty(), "{found:#?}");
}
