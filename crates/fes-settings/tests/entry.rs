//! Entry settings: a complete file is read, and all faults of an invalid one are reported at once.

use std::fs;

use fes_protocol::EntryId;
use fes_protocol::KeyEpoch;
use fes_protocol::ResultCode;
use fes_settings::EntrySettings;
use tempfile::TempDir;

const KEY_0: &str = "000102030405060708090a0b0c0d0e0f";

fn directory_with_certificates() -> TempDir {
    let directory = tempfile::tempdir().expect("temporary directory");
    let names = vec!["fescueshift.internal".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("certificate");
    fs::write(directory.path().join("cert.pem"), certificate.cert.pem()).expect("write");
    let key = certificate.signing_key.serialize_pem();
    fs::write(directory.path().join("key.pem"), key).expect("write");
    directory
}

fn valid_text() -> String {
    format!(
        r#"entry = 7
data_centre = "ruwi"
vm = "vm-17"
control_address = "127.0.0.1:9000"
link_address = "127.0.0.1:9000"
status_address = "127.0.0.1:9001"
platform_address = "127.0.0.1:9100"
seed_peers = ["127.0.0.1:9200"]
log_level = "debug"

[[listen]]
service = 3
address = "127.0.0.1:0"

[[key]]
epoch = 1
key = "{KEY_0}"

[link_tls]
certificate = "cert.pem"
private_key = "key.pem"
authority = "cert.pem"
"#
    )
}

fn parse(directory: &TempDir, text: &str) -> Result<EntrySettings, fes_settings::Faults> {
    EntrySettings::parse(directory.path().join("entry.toml"), text)
}

/// Fails if a complete file is refused or read into the wrong fields.
#[test]
fn a_complete_file_is_read() {
    let directory = directory_with_certificates();

    let settings = parse(&directory, &valid_text()).expect("no faults");

    assert_eq!(settings.entry, EntryId(7));
    assert_eq!(settings.listen.len(), 1);
    assert_eq!(settings.node.seed_peers.len(), 1);
    assert_eq!(settings.node.log_level, log::LevelFilter::Debug);
    assert_eq!(
        settings.node.keys.initial_ring().current_epoch(),
        KeyEpoch(1)
    );
}

/// Fails if only the first fault is reported, or if a fault names the wrong line.
#[test]
fn all_faults_are_reported_with_their_lines() {
    let directory = directory_with_certificates();
    let text = valid_text()
        .replace("entry = 7", "entry = 0")
        .replace("\"ruwi\"", "\"Ruwi!\"")
        .replace(
            "control_address = \"127.0.0.1:9000\"",
            "control_address = \"localhost:1\"",
        )
        .replace(
            "status_address = \"127.0.0.1:9001\"",
            "status_address = \"127.0.0.1:9000\"",
        )
        .replace("log_level = \"debug\"", "colour = 1")
        .replace("service = 3", "service = \"x\"")
        .replace("0e0f", "0e")
        .replace("authority = \"cert.pem\"", "authority = \"none.pem\"");

    let faults = parse(&directory, &text).expect_err("faults");

    let found: Vec<(usize, &str, ResultCode)> = faults
        .0
        .iter()
        .map(|fault| (fault.line, fault.key.as_str(), fault.code))
        .collect();
    assert_eq!(
        found,
        [
            (1, "entry", ResultCode::SettingsBadNumber),
            (2, "data_centre", ResultCode::SettingsBadName),
            (4, "control_address", ResultCode::SettingsBadAddress),
            (6, "status_address", ResultCode::SettingsDuplicate),
            (9, "colour", ResultCode::SettingsUnknownKey),
            (12, "listen[0].service", ResultCode::SettingsBadNumber),
            (17, "key[0].key", ResultCode::SettingsBadKey),
            (22, "link_tls.authority", ResultCode::SettingsBadCertificate),
        ]
    );
}

/// Fails if a fault shows a secret.
#[test]
fn a_bad_secret_is_redacted() {
    let directory = directory_with_certificates();
    let text = valid_text().replace("0e0f", "0e0fff");

    let faults = parse(&directory, &text).expect_err("faults");

    assert!(!faults.to_string().contains("0001020304"));
    assert!(faults.to_string().contains("redacted"));
}
