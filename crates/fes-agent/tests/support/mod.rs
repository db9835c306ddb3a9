//! Fixtures: entries, agents and upstreams on loopback sockets.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use fes_agent::Agent;
use fes_agent::AgentHandle;
use fes_entry::Entry;
use fes_entry::EntryHandle;
use fes_protocol::EntryId;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_settings::AgentSettings;
use fes_settings::EntrySettings;
use fes_settings::ListenSettings;
use fes_settings::NodeSettings;
use fes_testkit::Authority;
use fes_testkit::Client;
use fes_testkit::ClientOptions;
use fes_testkit::ExecutionLog;
use fes_testkit::Fabric;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::secret_keys;

pub const SERVICE: ServiceId = ServiceId(1);
const KEY_SEED: u64 = 7;
const SLOTS: u32 = 4;

/// A running system for one service.
pub struct Cluster {
    pub authority: Authority,
    pub platform: Platform,
    pub entries: Vec<EntryHandle>,
    pub agents: Vec<AgentHandle>,
    pub upstreams: Vec<Upstream>,
    pub fabric: Fabric,
    pub log: ExecutionLog,
}

/// Starts a system and puts its service in force.
pub async fn cluster(entry_count: u32, agent_count: u32) -> Cluster {
    cluster_with(entry_count, agent_count, |_| {}).await
}

/// Starts a system whose agents have adjusted settings.
pub async fn cluster_with(
    entry_count: u32,
    agent_count: u32,
    adjust: impl Fn(&mut AgentSettings),
) -> Cluster {
    let authority = Authority::new();
    let platform = Platform::start().await.expect("platform");
    let log = ExecutionLog::default();
    let mut upstreams = Vec::new();
    let mut agents = Vec::new();
    for number in 1..=agent_count {
        let options = UpstreamOptions {
            name: format!("upstream-{number}"),
            slots: SLOTS as usize,
            ..UpstreamOptions::default()
        };
        let upstream = Upstream::start(options, log.clone())
            .await
            .expect("upstream");
        let mut settings = AgentSettings::new(
            TargetId(number),
            SERVICE,
            SLOTS,
            node_settings(&authority, &platform, &format!("vm-{number}")),
            upstream.address(),
            authority.client_identity(),
        );
        adjust(&mut settings);
        agents.push(Agent::start(settings).await.expect("agent"));
        upstreams.push(upstream);
    }
    let mut entries = Vec::new();
    for number in 1..=entry_count {
        let node = node_settings(&authority, &platform, &format!("entry-vm-{number}"));
        entries.push(Entry::start(&entry_settings(number, node)).expect("entry"));
    }
    let addresses = entries.iter().map(|entry| service_address(entry));
    let fabric = Fabric::start(addresses, KEY_SEED).expect("fabric");
    let cluster = Cluster {
        authority,
        platform,
        entries,
        agents,
        upstreams,
        fabric,
        log,
    };
    cluster.apply(1);
    cluster
}

impl Cluster {
    /// Puts the service with all agents in force under a ticket number.
    pub fn apply(&self, number: u64) {
        let spec = Arc::new(self.spec());
        let number = TicketNumber(number);
        for agent in &self.agents {
            agent.apply(number, &spec);
        }
        for entry in &self.entries {
            entry.apply([(number, Arc::clone(&spec))]);
        }
    }

    /// Returns the service with all agents.
    pub fn spec(&self) -> ServiceSpec {
        let upstreams = self
            .agents
            .iter()
            .zip(1..)
            .map(|(agent, number)| UpstreamSpec {
                target: TargetId(number),
                name: format!("upstream-{number}").into(),
                vm: format!("vm-{number}").into(),
                data_centre: "dc".into(),
                agent_address: agent.agent_address(),
                link_address: agent.link_address(),
                slots: SLOTS,
                state: UpstreamState::Active,
            });
        ServiceSpec {
            id: SERVICE,
            name: "auction".into(),
            state: ServiceState::Active,
            addresses: vec![self.fabric.address()],
            data_centres: vec!["dc".into()],
            upstreams: upstreams.collect(),
        }
    }

    /// Makes a client of the service.
    pub fn client(&self, name: &str) -> Client {
        let authorities = [self.authority.certificate()];
        let options = ClientOptions::new(self.fabric.address(), authorities, name);
        Client::new(options).expect("client")
    }

    /// Returns the sum of a counter over all agents.
    pub fn sum(&self, counter: impl Fn(&AgentHandle) -> u64) -> u64 {
        self.agents.iter().map(counter).sum()
    }
}

/// Returns the address at which an entry serves clients.
pub fn service_address(entry: &EntryHandle) -> SocketAddr {
    entry.service_address(SERVICE).expect("service socket")
}

fn entry_settings(number: u32, node: NodeSettings) -> EntrySettings {
    let mut settings = EntrySettings::new(EntryId(number), node);
    settings.listen.push(ListenSettings {
        service: SERVICE,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
    });
    settings
}

fn node_settings(authority: &Authority, platform: &Platform, vm: &str) -> NodeSettings {
    NodeSettings::new(
        "dc".into(),
        vm.into(),
        platform.address(),
        secret_keys(KEY_SEED),
        authority.link_identity(),
    )
}
