//! Agent settings: every kind of invalid value is reported, in any table.

use std::fs;

use fes_protocol::KeyEpoch;
use fes_protocol::ResultCode;
use fes_settings::AgentSettings;
use fes_settings::Faults;
use fes_settings::INVALID_SETTINGS_EXIT_STATUS;
use rstest::rstest;
use tempfile::TempDir;

const AGENT: &str = include_str!("../../../docs/examples/agent.toml");
const SECOND_KEY: &str = "\n[[key]]\nepoch = 2\nkey = \"00112233445566778899aabbccddeeff\"\n";

fn directory_with_certificates() -> TempDir {
    let directory = tempfile::tempdir().expect("temporary directory");
    let names = vec!["fescueshift".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("certificate");
    let key = certificate.signing_key.serialize_pem();
    let write = |name: &str, content: &str| {
        fs::write(directory.path().join(name), content).expect("write");
    };
    write("link.pem", &certificate.cert.pem());
    write("service.pem", &certificate.cert.pem());
    write("fleet-authority.pem", &certificate.cert.pem());
    write("link-key.pem", &key);
    write("service-key.pem", &key);
    write("key-epoch-1.hex", "000102030405060708090a0b0c0d0e0f\n");
    directory
}

fn parse(text: &str) -> Result<AgentSettings, Faults> {
    AgentSettings::parse(
        directory_with_certificates().path().join("agent.toml"),
        text,
    )
}

/// Fails if an invalid value is accepted, or reported under the wrong code or key.
#[rstest]
#[case("slots = 4", "slots = 0", "slots", ResultCode::SettingsBadNumber)]
#[case("slots = 4", "slots = 4.5", "slots", ResultCode::SettingsBadNumber)]
#[case("slots = 4", "slots = \"4\"", "slots", ResultCode::SettingsBadNumber)]
#[case("slots = 4", "", "slots", ResultCode::SettingsMissingKey)]
#[case(
    "flow_limit = 4_000",
    "flow_limit = 0",
    "flow_limit",
    ResultCode::SettingsBadNumber
)]
#[case(
    "mean_ms = 40",
    "mean_ms = -1",
    "class_prior[0].mean_ms",
    ResultCode::SettingsBadNumber
)]
#[case(
    "GET /reports",
    "POST /reservations",
    "class_prior[1].class",
    ResultCode::SettingsDuplicate
)]
#[case(
    "GET /reports",
    "get /reports",
    "class_prior[1].class",
    ResultCode::SettingsBadName
)]
#[case(
    "GET /reports",
    "GET /a/b",
    "class_prior[1].class",
    ResultCode::SettingsBadName
)]
#[case(
    "\"127.0.0.1:8000\"",
    "8000",
    "upstream_address",
    ResultCode::SettingsBadAddress
)]
#[case(
    "127.0.0.1:8000",
    "127.0.0.1",
    "upstream_address",
    ResultCode::SettingsBadAddress
)]
#[case(
    "192.0.2.42:9100",
    "192.0.2.42:7401",
    "status_address",
    ResultCode::SettingsDuplicate
)]
#[case(
    "203.0.113.17:7401",
    "192.0.2.17:7401",
    "seed_peers",
    ResultCode::SettingsDuplicate
)]
#[case("vm-0342", "-vm", "vm", ResultCode::SettingsBadName)]
#[case(
    "http://192.0.2.9",
    "ftp://192.0.2.9",
    "otlp_endpoint",
    ResultCode::SettingsBadAddress
)]
#[case(
    "key-epoch-1.hex",
    "none.hex",
    "key[0].file",
    ResultCode::SettingsBadKey
)]
#[case(
    "key-epoch-1.hex",
    "link.pem",
    "key[0].file",
    ResultCode::SettingsBadKey
)]
#[case(
    "epoch = 1",
    "epoch = 4",
    "key[0].epoch",
    ResultCode::SettingsBadNumber
)]
#[case(
    "service-key.pem",
    "service.pem",
    "client_tls.private_key",
    ResultCode::SettingsBadCertificate
)]
#[case(
    "[client_tls]",
    "[client_tl]",
    "client_tl",
    ResultCode::SettingsUnknownKey
)]
fn a_bad_value_is_reported(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] key: &str,
    #[case] code: ResultCode,
) {
    assert!(AGENT.contains(valid), "{valid}");
    let text = AGENT.replacen(valid, invalid, 1);

    let faults = parse(&text).expect_err("faults").0;

    let found = faults.iter().any(|f| f.key == key && f.code == code);
    assert!(found, "{}", Faults(faults));
}

/// Fails if more than two keys, or keys whose epochs aren't adjacent, are accepted. A key ring
/// holds the current key and one of an adjacent epoch.
#[rstest]
#[case(&["epoch = 2"], None)]
#[case(&["epoch = 0"], None)]
#[case(&["epoch = 1"], Some(ResultCode::SettingsDuplicate))]
#[case(&["epoch = 3"], Some(ResultCode::SettingsBadNumber))]
#[case(&["epoch = 2", "epoch = 3"], Some(ResultCode::SettingsBadKey))]
fn keys_have_adjacent_epochs(#[case] others: &[&str], #[case] expected: Option<ResultCode>) {
    let other_keys = others
        .iter()
        .map(|epoch| SECOND_KEY.replace("epoch = 2", epoch));
    let text = AGENT.to_owned() + &other_keys.collect::<String>();

    let parsed = parse(&text);

    let code = parsed.err().map(|faults| faults.0[0].code);
    assert_eq!(code, expected);
}

/// Fails if processes reject each other's keys during a key rotation.
#[test]
fn both_keys_are_accepted_whichever_is_current() {
    let text = AGENT.to_owned() + SECOND_KEY;
    let keys = parse(&text).expect("no faults").node.keys;

    for current in [1, 2].map(KeyEpoch) {
        let ring = keys.ring(current).expect("configured");
        assert_eq!(ring.current_epoch(), current);
        assert_eq!(ring.accepted().count(), 2);
    }
    assert!(keys.ring(KeyEpoch(3)).is_none());
    assert_eq!(keys.initial_ring().current_epoch(), KeyEpoch(1));
}

/// Fails if a syntax error is reported without its line, or a missing file without its name.
#[test]
fn unreadable_files_are_named() {
    let syntax = parse("slots = 4\ntarget = = 3\n").expect_err("fault").0;
    let missing = AgentSettings::load("/nonexistent/agent.toml")
        .expect_err("fault")
        .0;

    assert_eq!(
        (syntax[0].line, syntax[0].code),
        (2, ResultCode::SettingsSyntax)
    );
    assert_eq!(missing[0].code, ResultCode::SettingsUnreadable);
    assert_eq!(&*missing[0].file, "/nonexistent/agent.toml");
    assert_eq!(INVALID_SETTINGS_EXIT_STATUS, 2);
}
