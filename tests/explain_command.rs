//! Guards against `fescueshift explain` output that differs from what entries and agents do.

use std::fs;
use std::path::Path;
use std::process::Command;

use fes_protocol::ConnectionIdCodec;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::RoutableId;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_testkit::CertificateAuthority;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

const TICKET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/examples/staveworks.json");
const SERVICE: u32 = 1;

const SETTINGS: &str = r#"
entry = 1
data_centre = "ruwi"
vm = "vm-0317"
control_address = "127.0.0.1:7400"
link_address = "127.0.0.1:7401"
status_address = "127.0.0.1:9100"
platform_address = "127.0.0.1:8080"
[[listen]]
service = 1
address = "127.0.0.1:4433"
[[key]]
epoch = 1
key = "07070707070707070707070707070707"
[link_tls]
certificate = "link.pem"
private_key = "link-key.pem"
authority = "authority.pem"
"#;

fn write_settings(directory: &Path) -> std::path::PathBuf {
    let authority = CertificateAuthority::new();
    let (certificate, key) = authority.leaf_pem();
    fs::write(directory.join("link.pem"), certificate).unwrap();
    fs::write(directory.join("link-key.pem"), key).unwrap();
    fs::write(directory.join("authority.pem"), authority.certificate_pem()).unwrap();
    let path = directory.join("entry.toml");
    fs::write(&path, SETTINGS).unwrap();
    path
}

fn explain(arguments: &[&str]) -> Value {
    let directory = TempDir::new().unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fescueshift"))
        .args([
            "explain",
            "--json",
            "--ticket",
            TICKET,
            "--service",
            "1",
            "--settings",
        ])
        .arg(write_settings(directory.path()))
        .args(arguments)
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).unwrap()
}

fn established_datagram(target: u64) -> String {
    let keys = KeyRing::new(KeyEpoch(1), SecretKey::new([7; 16]));
    let target = TargetId(u32::try_from(target).unwrap());
    let id = RoutableId {
        service: ServiceId(SERVICE),
        target,
        nonce: 5,
    };
    let id = ConnectionIdCodec::new(&keys).encode(id, 0);
    std::iter::once(0x40)
        .chain(id)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn first_packet_and_established_flow_are_routed_to_the_same_target() {
    let first = explain(&["--datagram", "c0 00000001 08 8394c8f03e515708"]);
    let target = first["target"].as_u64().unwrap();

    let flow = explain(&["--datagram", &established_datagram(target)]);

    assert_eq!(first["rule"], "a first packet follows the placement table");
    assert_eq!(flow["rule"], "the connection ID names the target");
    assert_eq!(
        (&flow["target"], &flow["upstream"]),
        (&first["target"], &first["upstream"])
    );
    assert!(flow["ticket"].as_u64().is_some());
}

#[rstest]
#[case::datagram(&["--datagram", "4001"], "F5003")]
#[case::flow(&["--datagram", "40ffffffffffffffffffffffffffffffffffff"], "F5008")]
#[case::key(&["--key", "order-17"], "F2005")]
fn refusals_include_their_result_code(#[case] arguments: &[&str], #[case] code: &str) {
    let explanation = explain(arguments);

    assert!(
        explanation["code"].as_str().unwrap().starts_with(code),
        "{explanation}"
    );
    assert_eq!(explanation["target"], Value::Null);
}
