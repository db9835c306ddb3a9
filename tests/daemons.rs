//! The daemons as processes: settings files, tickets from the platform, and SIGTERM.

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

/// Free addresses of one run.
struct Addresses {
    service: SocketAddr,
    entry_control: SocketAddr,
    entry_link: SocketAddr,
    entry_status: SocketAddr,
    agent: SocketAddr,
    agent_link: SocketAddr,
    agent_status: SocketAddr,
}

/// A process that is killed if the test ends before it does.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended.
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
        assert!(status.is_none(), "the process ended: {status:?}");
    }

    fn terminate(&self) {
        let pid = self.0.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill").success());
    }

    async fn ended(mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.0.try_wait().expect("process") {
                return status;
            }
            tokio::task::yield_now().await;
        }
    }
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    socket.local_addr().expect("address")
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.local_addr().expect("address")
}

fn addresses() -> Addresses {
    Addresses {
        service: free_udp(),
        entry_control: free_udp(),
        entry_link: free_tcp(),
        entry_status: free_tcp(),
        agent: free_udp(),
        agent_link: free_tcp(),
        agent_status: free_tcp(),
    }
}

fn ticket(at: &Addresses) -> Ticket {
    let upstream = UpstreamSpec {
        target: TargetId(1),
        name: "upstream-1".into(),
        vm: "vm-1".into(),
        data_centre: "dc".into(),
        agent_address: at.agent,
        link_address: at.agent_link,
        slots: 4,
        state: UpstreamState::Active,
    };
    let service = ServiceSpec {
        id: ServiceId(1),
        name: "auction".into(),
        state: ServiceState::Active,
        addresses: vec![at.service],
        data_centres: vec!["dc".into()],
        upstreams: vec![upstream],
    };
    let entry = EntrySpec {
        id: EntryId(1),
        vm: "entry-vm".into(),
        control_address: at.entry_control,
        link_address: at.entry_link,
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

/// Writes certificates and both settings files.
fn write_settings(
    authority: &CertificateAuthority,
    at: &Addresses,
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
        at.entry_control, at.entry_link, at.entry_status, at.service
    );
    write("entry.toml", &entry);
    let agent = format!(
        "target = 1\nservice = 1\nslots = 4\nvm = \"vm-1\"\nagent_address = \"{}\"\n\
        link_address = \"{}\"\nstatus_address = \"{}\"\nupstream_address = \"{upstream}\"\n\
        {shared}{tables}[client_tls]\ncertificate = \"leaf.pem\"\nprivate_key = \"leaf-key.pem\"\n",
        at.agent, at.agent_link, at.agent_status
    );
    write("agent.toml", &agent);
    directory
}

/// Fails if a daemon doesn't start from a settings file, or if SIGTERM, even twice, cuts off a
/// request in progress.
#[actix_rt::test]
async fn sigterm_drains_the_daemons() {
    let authority = CertificateAuthority::new();
    let platform = Platform::start().await.expect("platform");
    let options = UpstreamOptions::default();
    let upstream = Upstream::start(options, ExecutionLog::default()).await;
    let upstream = upstream.expect("upstream");
    let at = addresses();
    platform.publish_ticket(&ticket(&at)).expect("publish");
    let files = write_settings(&authority, &at, platform.address(), upstream.address());
    let start = |program, name: &str| Process::start(program, &files.path().join(name));
    let mut entry = start(env!("CARGO_BIN_EXE_fescueshift-entry"), "entry.toml");
    let mut agent = start(env!("CARGO_BIN_EXE_fescueshift-agent"), "agent.toml");
    let options = ClientOptions::new(at.service, [authority.certificate()], "buyer");
    let client = Client::new(options).expect("client");
    while client.get("/lots/1").await != ANSWERED {
        client.disconnect();
        entry.assert_running();
        agent.assert_running();
    }

    upstream.hold("/reports");
    let asking = client.clone();
    let report = actix_rt::spawn(async move { asking.get("/reports/1?bytes=50000").await });
    wait_until("the report runs", || upstream.running() == 1).await;
    agent.terminate();
    agent.terminate();
    while client.get("/lots/2").await == ANSWERED {}
    upstream.release("/reports");
    let outcome = report.await.expect("task");
    let agent_status = agent.ended().await;
    entry.terminate();
    let entry_status = entry.ended().await;

    assert_eq!(outcome, ANSWERED);
    assert_eq!(
        (agent_status.code(), entry_status.code()),
        (Some(0), Some(0))
    );
}

/// Fails if a daemon starts with settings that have faults.
#[test]
fn faulty_settings_end_the_daemon() {
    let directory = tempfile::tempdir().expect("directory");
    let settings = directory.path().join("agent.toml");
    std::fs::write(&settings, "target = 0\n").expect("file");

    let output = Command::new(env!("CARGO_BIN_EXE_fescueshift-agent"))
        .args(["--settings".as_ref(), settings.as_os_str()])
        .output();

    assert_eq!(output.expect("process").status.code(), Some(2));
}
