//! A fleet of entry and agent processes, with test doubles of the platform, the upstreams and the
//! network fabric in the process of the test.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
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
use fes_testkit::Fabric;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use tempfile::TempDir;

use super::addresses::DaemonAddresses;
use super::addresses::Subnet;
use super::daemon::Daemon;

const SERVICE: ServiceId = ServiceId(1);
const DATA_CENTRE: &str = "dc1";
/// Number of the first agent in the subnet; entries have lower numbers.
const FIRST_AGENT_NUMBER: u8 = 100;
const FIRST_TARGET_ID: u32 = 11;
const SLOTS: u32 = 4;
const CERTIFICATE_FILES: [&str; 5] = [
    "link.pem",
    "link-key.pem",
    "authority.pem",
    "client.pem",
    "client-key.pem",
];

/// A fleet of daemon processes.
pub struct Fleet {
    subnet: Subnet,
    directory: TempDir,
    authority: CertificateAuthority,
    platform: Platform,
    fabric: Fabric,
    pub log: ExecutionLog,
    upstreams: Vec<Upstream>,
    pub agents: Vec<Daemon>,
    /// Entries with their numbers.
    pub entries: Vec<(u8, Daemon)>,
    /// IDs of the targets whose upstreams are leaving.
    leaving: Vec<u32>,
    next_ticket: u64,
    next_entry: u8,
}

impl Fleet {
    /// Starts a fleet and waits until all daemons are ready.
    pub async fn start(entry_count: usize, agent_count: u8, seed: u64) -> Self {
        println!("seed {seed}");
        let mut fleet = Self {
            subnet: Subnet::unused(),
            directory: TempDir::new().expect("a temporary directory"),
            authority: CertificateAuthority::new(),
            platform: Platform::start().await.expect("the platform double starts"),
            fabric: Fabric::start([], seed).expect("the fabric double starts"),
            log: ExecutionLog::default(),
            upstreams: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            leaving: Vec::new(),
            next_ticket: 1,
            next_entry: 1,
        };
        fleet.write_certificates();
        for number in 0..agent_count {
            fleet.start_agent(number, seed).await;
        }
        for _ in 0..entry_count {
            fleet.spawn_entry();
        }
        fleet.publish();
        fleet.await_ready().await;
        fleet.update_fabric();
        fleet
    }

    /// Starts another entry, publishes it in a ticket, and updates the fabric once it is ready.
    pub async fn add_entry(&mut self) {
        self.spawn_entry();
        self.publish();
        self.await_ready().await;
        self.update_fabric();
    }

    /// Publishes a ticket that marks the upstream of an agent as leaving.
    pub fn publish_leaving(&mut self, agent: usize) {
        self.leaving.push(target_id(agent));
        self.publish();
    }

    pub fn client(&self, name: impl Into<String>) -> Client {
        let authorities = [self.authority.certificate()];
        let options = ClientOptions::new(self.fabric.address(), authorities, name);
        Client::new(options).expect("a client can be created")
    }

    fn spawn_entry(&mut self) {
        let number = self.next_entry;
        self.next_entry += 1;
        let addresses = self.subnet.daemon(number);
        let mut settings = format!(
            "entry = {number}\ncontrol_address = \"{}\"\n",
            addresses.control()
        );
        self.append_common_settings(&mut settings, addresses, &format!("entry-vm-{number}"));
        let _ = write!(
            settings,
            "[[listen]]\nservice = {SERVICE}\naddress = \"{}\"\n",
            addresses.client()
        );
        let path = self.write_file(&format!("entry-{number}.toml"), &settings);
        let binary = env!("CARGO_BIN_EXE_fescueshift-entry");
        self.entries
            .push((number, Daemon::start(binary, &path, addresses.status())));
    }

    async fn start_agent(&mut self, number: u8, seed: u64) {
        let options = UpstreamOptions {
            name: format!("upstream-{number}"),
            slots: SLOTS as usize,
            seed,
            ..UpstreamOptions::default()
        };
        let upstream = Upstream::start(options, self.log.clone())
            .await
            .expect("upstream starts");
        let addresses = self.subnet.daemon(FIRST_AGENT_NUMBER + number);
        let mut settings = format!(
            "target = {}\nservice = {SERVICE}\nslots = {SLOTS}\nagent_address = \"{}\"\nupstream_address = \"{}\"\n",
            target_id(usize::from(number)),
            addresses.control(),
            upstream.address()
        );
        self.append_common_settings(&mut settings, addresses, &format!("vm-{number}"));
        settings.push_str(
            "[client_tls]\ncertificate = \"client.pem\"\nprivate_key = \"client-key.pem\"\n",
        );
        let path = self.write_file(&format!("agent-{number}.toml"), &settings);
        let binary = env!("CARGO_BIN_EXE_fescueshift-agent");
        self.agents
            .push(Daemon::start(binary, &path, addresses.status()));
        self.upstreams.push(upstream);
    }

    fn append_common_settings(&self, settings: &mut String, addresses: DaemonAddresses, vm: &str) {
        let seed_peer = self.subnet.daemon(FIRST_AGENT_NUMBER).link();
        // Writing to a `String` never fails.
        let _ = write!(
            settings,
            "data_centre = \"{DATA_CENTRE}\"\nvm = \"{vm}\"\nlink_address = \"{}\"\n\
             status_address = \"{}\"\nplatform_address = \"{}\"\nseed_peers = [\"{seed_peer}\"]\n\
             log_level = \"error\"\n\
             [[key]]\nepoch = 1\nkey = \"000102030405060708090a0b0c0d0e0f\"\n\
             [link_tls]\ncertificate = \"link.pem\"\nprivate_key = \"link-key.pem\"\n\
             authority = \"authority.pem\"\n",
            addresses.link(),
            addresses.status(),
            self.platform.address()
        );
    }

    fn write_certificates(&self) {
        let (link, link_key) = self.authority.leaf_pem();
        let (client, client_key) = self.authority.leaf_pem();
        let authority = self.authority.certificate_pem().to_owned();
        for (name, content) in CERTIFICATE_FILES
            .iter()
            .zip([link, link_key, authority, client, client_key])
        {
            self.write_file(name, &content);
        }
    }

    fn write_file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        fs::write(&path, content).expect("a temporary file can be written");
        path
    }

    async fn await_ready(&mut self) {
        for daemon in self
            .agents
            .iter_mut()
            .chain(self.entries.iter_mut().map(|(_, daemon)| daemon))
        {
            daemon.await_ready().await;
        }
    }

    fn update_fabric(&self) {
        let addresses = self
            .entries
            .iter()
            .map(|(number, _)| self.subnet.daemon(*number).client());
        self.fabric.set_entries(addresses);
    }

    fn publish(&mut self) {
        let number = TicketNumber(self.next_ticket);
        self.next_ticket += 1;
        let ticket = Ticket {
            number,
            objects: vec![
                TicketObject::Service(Arc::new(self.service())),
                TicketObject::Fleet(Arc::new(self.entry_fleet())),
            ],
        };
        self.platform
            .publish_ticket(&ticket)
            .expect("the ticket can be published");
    }

    fn service(&self) -> ServiceSpec {
        let upstream = |agent: usize| {
            let addresses = self.subnet.daemon(FIRST_AGENT_NUMBER + agent as u8);
            let target = target_id(agent);
            let is_leaving = self.leaving.contains(&target);
            UpstreamSpec {
                target: TargetId(target),
                name: format!("upstream-{agent}").into(),
                vm: format!("vm-{agent}").into(),
                data_centre: DATA_CENTRE.into(),
                agent_address: addresses.control(),
                link_address: addresses.link(),
                slots: SLOTS,
                state: if is_leaving {
                    UpstreamState::Leaving
                } else {
                    UpstreamState::Active
                },
            }
        };
        ServiceSpec {
            id: SERVICE,
            name: "auction".into(),
            state: ServiceState::Active,
            addresses: vec![self.service_address()],
            data_centres: vec![DATA_CENTRE.into()],
            upstreams: (0..self.agents.len()).map(upstream).collect(),
        }
    }

    fn entry_fleet(&self) -> FleetSpec {
        let entry = |(number, _): &(u8, Daemon)| EntrySpec {
            id: EntryId(u32::from(*number)),
            vm: format!("entry-vm-{number}").into(),
            control_address: self.subnet.daemon(*number).control(),
            link_address: self.subnet.daemon(*number).link(),
        };
        FleetSpec {
            data_centre: DATA_CENTRE.into(),
            entries: self.entries.iter().map(entry).collect(),
        }
    }

    fn service_address(&self) -> SocketAddr {
        self.fabric.address()
    }
}

fn target_id(agent: usize) -> u32 {
    FIRST_TARGET_ID + agent as u32
}
