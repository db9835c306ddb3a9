//! Runs `fescueshift load` against a running fleet.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

use fes_agent::Agent;
use fes_agent::AgentHandle;
use fes_entry::Entry;
use fes_entry::EntryHandle;
use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::Lifecycle;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_settings::AgentSettings;
use fes_settings::EntrySettings;
use fes_settings::ListenSettings;
use fes_settings::NodeSettings;
use fes_testkit::CertificateAuthority;
use fes_testkit::ExecutionLog;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::secret_keys;
use fes_testkit::wait_until;
use serde_json::Value;
use tempfile::TempDir;

const SERVICE: ServiceId = ServiceId(1);
const SLOTS: u32 = 4;
const KEY_SEED: u64 = 5;

struct Fleet {
    address: SocketAddr,
    directory: TempDir,
    log: ExecutionLog,
    upstream: Upstream,
    _platform: Platform,
    _entry: EntryHandle,
    _agent: AgentHandle,
}

/// Starts an entry and an agent, publishes their ticket on the platform, and waits until both
/// serve.
async fn start_fleet() -> Fleet {
    let authority = CertificateAuthority::new();
    let directory = tempfile::tempdir().expect("temporary directory");
    let pem = authority.certificate_pem();
    std::fs::write(directory.path().join("ca.pem"), pem).expect("write");
    let platform = Platform::start().await.expect("platform");
    let node = |vm: &str| {
        NodeSettings::new(
            "dc".into(),
            vm.into(),
            platform.address(),
            secret_keys(KEY_SEED),
            authority.link_identity(),
        )
    };
    let mut settings = EntrySettings::new(EntryId(1), node("vm-1"));
    settings.listen.push(ListenSettings {
        service: SERVICE,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
    });
    let entry = Entry::start(settings).await.expect("entry");
    let log = ExecutionLog::default();
    let upstream = Upstream::start(UpstreamOptions::default(), log.clone())
        .await
        .expect("upstream");
    let mut node = node("vm-2");
    node.seed_peers.push(entry.link_address());
    let agent = Agent::start(AgentSettings::new(
        TargetId(1),
        SERVICE,
        SLOTS,
        node,
        upstream.address(),
        authority.client_identity(),
    ))
    .await
    .expect("agent");
    let address = entry.service_address(SERVICE).expect("service socket");
    let ticket = ticket(&entry, &agent, address);
    platform.publish_ticket(&ticket).expect("published");
    let serves = |lifecycle, highest| lifecycle == Lifecycle::Serving && highest == ticket.number;
    wait_until("both serve", || {
        serves(entry.lifecycle(), entry.snapshot().highest())
            && serves(agent.lifecycle(), agent.snapshot().highest())
    })
    .await;
    Fleet {
        address,
        directory,
        log,
        upstream,
        _platform: platform,
        _entry: entry,
        _agent: agent,
    }
}

fn ticket(entry: &EntryHandle, agent: &AgentHandle, address: SocketAddr) -> Ticket {
    let upstream = UpstreamSpec {
        target: TargetId(1),
        name: "upstream-1".into(),
        vm: "vm-2".into(),
        data_centre: "dc".into(),
        agent_address: agent.agent_address(),
        link_address: agent.link_address(),
        slots: SLOTS,
        state: UpstreamState::Active,
    };
    let service = ServiceSpec {
        id: SERVICE,
        name: "auction".into(),
        state: ServiceState::Active,
        addresses: vec![address],
        data_centres: vec!["dc".into()],
        upstreams: vec![upstream],
    };
    let fleet = FleetSpec {
        data_centre: "dc".into(),
        entries: vec![EntrySpec {
            id: EntryId(1),
            vm: "vm-1".into(),
            control_address: entry.control_address(),
            link_address: entry.link_address(),
        }],
    };
    Ticket {
        number: TicketNumber(1),
        objects: vec![
            TicketObject::Service(service.into()),
            TicketObject::Fleet(fleet.into()),
        ],
    }
}

/// Runs `load` on a blocking thread, because the fleet runs on the current arbiter.
async fn run_load(address: SocketAddr, directory: &TempDir, more: &[&str]) -> (Output, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescueshift"));
    command
        .args(["load", &address.to_string(), "--json", "--authority"])
        .arg(directory.path().join("ca.pem"))
        .args(["--rate", "50", "--duration-s", "1", "--connections", "3"])
        .args(more);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("task").expect("program");
    let report = serde_json::from_slice(&output.stdout).expect("one JSON object");
    (output, report)
}

/// Guards against requests that aren't sent, aren't counted, or are sent without their idempotency
/// key.
#[actix_rt::test]
async fn every_request_is_sent_and_counted() {
    let fleet = start_fleet().await;
    let more = ["--non-repeatable", "50", "--feeds", "3", "--verify"];

    let (output, report) = run_load(fleet.address, &fleet.directory, &more).await;

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(report["requests"], 50, "{report}");
    assert_eq!(report["answered"], 50, "{report}");
    assert_eq!(report["broken_feeds"], 0, "{report}");
    assert!(
        report["feed_counts"]["events"].as_u64() > Some(0),
        "{report}"
    );
    let [p50, p99] = ["p50", "p99"].map(|q| report["latency_us"][q].as_u64());
    assert!(Some(0) < p50 && p50 <= p99, "{report}");
    assert_eq!(fleet.log.len(), 50);
    assert!((10..=40).contains(&fleet.log.runs_by_key().len()));
}

/// Guards against truncated responses that count as answers.
#[actix_rt::test]
async fn truncated_responses_are_not_answers() {
    let fleet = start_fleet().await;
    fleet.upstream.set_truncating_responses(true);

    let (_, report) = run_load(fleet.address, &fleet.directory, &[]).await;

    assert_eq!(report["requests"], 50, "{report}");
    assert_eq!(report["answered"], 0, "{report}");
}

/// Guards against an unreachable service that is reported as success.
#[actix_rt::test]
async fn unreachable_service_is_a_violation() {
    let mut fleet = start_fleet().await;
    let unused = std::net::UdpSocket::bind("127.0.0.1:0").expect("socket");
    fleet.address = unused.local_addr().expect("address");

    let more = ["--timeout-ms", "300", "--non-repeatable", "0"];
    let (output, report) = run_load(fleet.address, &fleet.directory, &more).await;

    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert_eq!(report["lost"], 50, "{report}");
}
