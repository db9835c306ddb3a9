//! Test fixtures: entries, agents and upstreams on loopback sockets.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use fes_agent::Agent;
use fes_agent::AgentHandle;
use fes_entry::Entry;
use fes_entry::EntryHandle;
use fes_link::LinkPool;
use fes_link::LinkTls;
use fes_node::TicketLinks;
use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::FleetSpec;
use fes_protocol::NodeId;
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
use fes_testkit::Client;
use fes_testkit::ClientOptions;
use fes_testkit::ExecutionLog;
use fes_testkit::Fabric;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::secret_keys;
use fes_tickets::TicketMessage;

pub const SERVICE: ServiceId = ServiceId(1);
pub const KEY_SEED: u64 = 7;
pub const SLOTS: u32 = 4;

/// Node ID under which the tests push tickets.
const TICKET_SENDER: NodeId = NodeId::Entry(EntryId(999));

/// A running deployment of one service.
pub struct Cluster {
    pub authority: CertificateAuthority,
    pub platform: Platform,
    pub entries: Vec<EntryHandle>,
    pub agents: Vec<AgentHandle>,
    pub upstreams: Vec<Upstream>,
    pub fabric: Fabric,
    pub log: ExecutionLog,
    pub leaving: Vec<TargetId>,
}

/// Starts a deployment and publishes its service.
pub async fn cluster(entry_count: u32, agent_count: u32) -> Cluster {
    cluster_with(entry_count, agent_count, |_| {}).await
}

/// Starts a deployment with adjusted agent settings and publishes its service.
pub async fn cluster_with(
    entry_count: u32,
    agent_count: u32,
    adjust: impl Fn(&mut AgentSettings),
) -> Cluster {
    let cluster = start(entry_count, agent_count, adjust, |_| {}).await;
    cluster.publish(1).await;
    cluster
}

/// Starts a deployment without publishing a ticket.
pub async fn unpublished_cluster(entry_count: u32, agent_count: u32) -> Cluster {
    start(entry_count, agent_count, |_| {}, |_| {}).await
}

/// Starts a deployment with adjusted node settings and publishes its service.
pub async fn cluster_with_nodes(
    entry_count: u32,
    agent_count: u32,
    adjust: impl Fn(&mut NodeSettings),
) -> Cluster {
    let cluster = start(entry_count, agent_count, |_| {}, adjust).await;
    cluster.publish(1).await;
    cluster
}

async fn start(
    entry_count: u32,
    agent_count: u32,
    adjust: impl Fn(&mut AgentSettings),
    adjust_node: impl Fn(&mut NodeSettings),
) -> Cluster {
    let authority = CertificateAuthority::new();
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
        adjust_node(&mut settings.node);
        agents.push(Agent::start(settings).await.expect("agent"));
        upstreams.push(upstream);
    }
    let mut entries = Vec::new();
    for number in 1..=entry_count {
        let mut node = node_settings(&authority, &platform, &format!("entry-vm-{number}"));
        adjust_node(&mut node);
        entries.push(
            Entry::start(entry_settings(number, node))
                .await
                .expect("entry"),
        );
    }
    let addresses = entries.iter().map(service_address);
    let fabric = Fabric::start(addresses, KEY_SEED).expect("fabric");
    Cluster {
        authority,
        platform,
        entries,
        agents,
        upstreams,
        fabric,
        log,
        leaving: Vec::new(),
    }
}

impl Cluster {
    /// Publishes the current state under a ticket number and pushes it to every process.
    pub async fn publish(&self, number: u64) {
        let ticket = self.ticket(number);
        self.platform.publish_ticket(&ticket).expect("publish");
        let message = TicketMessage::Push(vec![Arc::new(ticket)]);
        let links = TicketLinks::new(TICKET_SENDER, self.links());
        let agents = self.agents.iter().map(AgentHandle::link_address);
        let entries = self.entries.iter().map(EntryHandle::link_address);
        for address in agents.chain(entries) {
            links.send(address, &message).await.expect("push");
        }
    }

    /// Kills an agent and restarts it at the same addresses.
    pub async fn restart_agent(&mut self, index: usize) {
        let former = self.agents.remove(index);
        let target = former.target();
        let mut settings = AgentSettings::new(
            target,
            SERVICE,
            SLOTS,
            node_settings(&self.authority, &self.platform, &format!("vm-{target}")),
            self.upstreams[index].address(),
            self.authority.client_identity(),
        );
        settings.agent_address = former.agent_address();
        settings.node.link_address = former.link_address();
        former.kill();
        // The addresses are free when the aborted tasks of the killed agent have been dropped.
        let agent = loop {
            tokio::task::yield_now().await;
            if let Ok(agent) = Agent::start(settings.clone()).await {
                break agent;
            }
        };
        self.agents.insert(index, agent);
    }

    /// Creates a link pool with an identity that the test authority issued.
    pub fn links(&self) -> LinkPool {
        let identity = self.authority.link_identity();
        let key = identity.private_key.clone_key();
        let tls = LinkTls::new(identity.authorities, identity.certificates, key);
        LinkPool::new(tls.expect("link identity"))
    }

    /// Returns a ticket with the current state.
    pub fn ticket(&self, number: u64) -> Ticket {
        let entries = self.entries.iter().map(|entry| EntrySpec {
            id: entry.id(),
            vm: format!("entry-vm-{}", entry.id()).into(),
            control_address: entry.control_address(),
            link_address: entry.link_address(),
        });
        let fleet = FleetSpec {
            data_centre: "dc".into(),
            entries: entries.collect(),
        };
        Ticket {
            number: TicketNumber(number),
            objects: vec![
                TicketObject::Service(Arc::new(self.spec())),
                TicketObject::Fleet(Arc::new(fleet)),
            ],
        }
    }

    /// Returns the service specification with all running agents.
    pub fn spec(&self) -> ServiceSpec {
        let state = |target| match self.leaving.contains(&target) {
            true => UpstreamState::Leaving,
            false => UpstreamState::Active,
        };
        let upstreams = self.agents.iter().map(|agent| UpstreamSpec {
            target: agent.target(),
            name: format!("upstream-{}", agent.target()).into(),
            vm: format!("vm-{}", agent.target()).into(),
            data_centre: "dc".into(),
            agent_address: agent.agent_address(),
            link_address: agent.link_address(),
            slots: SLOTS,
            state: state(agent.target()),
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

    /// Creates a client of the service.
    pub fn client(&self, name: &str) -> Client {
        let authorities = [self.authority.certificate()];
        let options = ClientOptions::new(self.fabric.address(), authorities, name);
        Client::new(options).expect("client")
    }

    /// Sums a counter over all agents.
    pub fn sum(&self, counter: impl Fn(&AgentHandle) -> u64) -> u64 {
        self.agents.iter().map(counter).sum()
    }
}

/// Returns the address where an entry serves clients.
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

fn node_settings(authority: &CertificateAuthority, platform: &Platform, vm: &str) -> NodeSettings {
    NodeSettings::new(
        "dc".into(),
        vm.into(),
        platform.address(),
        secret_keys(KEY_SEED),
        authority.link_identity(),
    )
}
