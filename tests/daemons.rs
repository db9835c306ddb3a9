//! Runs the daemons as processes, with settings files, tickets from the platform, and SIGTERM.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::Arc;

use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_testkit::CertificateAuthority;
use fes_testkit::Client;
use fes_testkit::ClientOptions;
use fes_testkit::ExecutionLog;
use fes_testkit::Outcome;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::wait_until;
use tempfile::TempDir;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Unused loopback addresses of the service and the daemons.
struct Addresses {
    service: SocketAddr,
    entry_control: SocketAddr,
    entry_link: SocketAddr,
    entry_status: SocketAddr,
    agent: SocketAddr,
    agent_link: SocketAddr,
    agent_status: SocketAddr,
}

/// A daemon process. It is killed if the test ends first.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.0.kill();
    }
}

impl Process {
    fn start(program: &str, settings: &Path) -> Self {
        Self(
            Command::new(program)
                .args(["--settings".as_ref(), settings.as_os_str()])
                .spawn()
                .expect("process"),
        )
    }

    fn assert_running(&mut self) {
        let status = self.0.try_wait().expect("process");
        assert!(status.is_none(), "the process exited: {status:?}");
    }

    fn terminate(&self) {
        let pid = self.0.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill").success());
    }

    async fn await_exit(mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.0.try_wait().expect("process") {
                return status;
            }
            tokio::task::yield_now().await;
        }
    }
}

fn unused_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    socket.local_addr().expect("address")
}

fn unused_tcp_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.local_addr().expect("address")
}

fn unused_addresses() -> Addresses {
    Addresses {
        service: unused_udp_address(),
        entry_control: unused_udp_address(),
        entry_link: unused_tcp_address(),
        entry_status: unused_tcp_address(),
        agent: unused_udp_address(),
        agent_link: unused_tcp_address(),
        agent_status: unused_tcp_address(),
    }
}

fn ticket(addresses: &Addresses) -> Ticket {
    let upstream = UpstreamSpec {
        target: TargetId(1),
        name: "upstream-1".into(),
        vm: "vm-1".into(),
        data_centre: "dc".into(),
        agent_address: addresses.agent,
        link_address: addresses.agent_link,
        slots: 4,
        state: UpstreamState::Active,
    };
    let service = ServiceSpec {
        id: ServiceId(1),
        name: "auction".into(),
        state: ServiceState::Active,
        addresses: vec![addresses.service],
        data_centres: vec!["dc".into()],
        upstreams: vec![upstream],
    };
    let entry = EntrySpec {
        id: EntryId(1),
        vm: "entry-vm".into(),
        control_address: addresses.entry_control,
        link_address: addresses.entry_link,
    };
    let fleet = FleetSpec {
        data_centre: "dc".into(),
        entries: vec![entry],
    };
    Ticket {
        number: TicketNumber(1),
        objects: vec![
            TicketObject::Service(Arc::new(service)),
            TicketObject::Fleet(Arc::new(fleet)),
        ],
    }
}

/// Writes the certificates and the settings files of both daemons.
fn write_settings(
    authority: &CertificateAuthority,
    addresses: &Addresses,
    platform: SocketAddr,
    upstream: SocketAddr,
) -> TempDir {
    let directory = tempfile::tempdir().expect("directory");
    let write = |name: &str, text: &str| {
        std::fs::write(directory.path().join(name), text).expect("file");
    };
    let (certificate, key) = authority.leaf_pem();
    write("authority.pem", authority.certificate_pem());
    write("leaf.pem", &certificate);
    write("leaf-key.pem", &key);
    let shared =
        format!("data_centre = \"dc\"\nplatform_address = \"{platform}\"\nlog_level = \"error\"\n");
    let tables = "[[key]]\nepoch = 0\nkey = \"000102030405060708090a0b0c0d0e0f\"\n\
        [link_tls]\ncertificate = \"leaf.pem\"\nprivate_key = \"leaf-key.pem\"\n\
        authority = \"authority.pem\"\n";
    let entry = format!(
        "entry = 1\nvm = \"entry-vm\"\ncontrol_address = \"{}\"\nlink_address = \"{}\"\n\
        status_address = \"{}\"\n{shared}[[listen]]\nservice = 1\naddress = \"{}\"\n{tables}",
        addresses.entry_control, addresses.entry_link, addresses.entry_status, addresses.service
    );
    write("entry.toml", &entry);
    let agent = format!(
        "target = 1\nservice = 1\nslots = 4\nvm = \"vm-1\"\nagent_address = \"{}\"\n\
        link_address = \"{}\"\nstatus_address = \"{}\"\nupstream_address = \"{upstream}\"\n\
        {shared}{tables}[client_tls]\ncertificate = \"leaf.pem\"\nprivate_key = \"leaf-key.pem\"\n",
        addresses.agent, addresses.agent_link, addresses.agent_status
    );
    write("agent.toml", &agent);
    directory
}

/// Guards against daemons that don't start from a settings file, and against a SIGTERM, even a
/// repeated one, that aborts a request in progress.
#[actix_rt::test]
async fn sigterm_drains_the_daemons() {
    let authority = CertificateAuthority::new();
    let platform = Platform::start().await.expect("platform");
    let options = UpstreamOptions::default();
    let upstream = Upstream::start(options, ExecutionLog::default()).await;
    let upstream = upstream.expect("upstream");
    let addresses = unused_addresses();
    platform
        .publish_ticket(&ticket(&addresses))
        .expect("publish");
    let files = write_settings(
        &authority,
        &addresses,
        platform.address(),
        upstream.address(),
    );
    let start = |program, name: &str| Process::start(program, &files.path().join(name));
    let mut entry = start(env!("CARGO_BIN_EXE_fescueshift-entry"), "entry.toml");
    let mut agent = start(env!("CARGO_BIN_EXE_fescueshift-agent"), "agent.toml");
    let options = ClientOptions::new(addresses.service, [authority.certificate()], "buyer");
    let client = Client::new(options).expect("client");
    while client.get("/lots/1").await != ANSWERED {
        client.disconnect();
        entry.assert_running();
        agent.assert_running();
    }

    upstream.hold("/reports");
    let report_client = client.clone();
    let report = actix_rt::spawn(async move { report_client.get("/reports/1?bytes=50000").await });
    wait_until("the report runs", || upstream.running() == 1).await;
    agent.terminate();
    agent.terminate();
    while client.get("/lots/2").await == ANSWERED {}
    upstream.release("/reports");
    let outcome = report.await.expect("task");
    let agent_status = agent.await_exit().await;
    entry.terminate();
    let entry_status = entry.await_exit().await;

    assert_eq!(outcome, ANSWERED);
    assert_eq!(
        (agent_status.code(), entry_status.code()),
        (Some(0), Some(0))
    );
}

/// Guards against a daemon that starts with faulty settings.
#[test]
fn daemon_exits_on_faulty_settings() {
    let directory = tempfile::tempdir().expect("directory");
    let settings = directory.path().join("agent.toml");
    std::fs::write(&settings, "target = 0\n").expect("file");

    let output = Command::new(env!("CARGO_BIN_EXE_fescueshift-agent"))
        .args(["--settings".as_ref(), settings.as_os_str()])
        .output();

    assert_eq!(output.expect("process").status.code(), Some(2));
}
