//! A complete fleet in one process, on loopback sockets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fes_agent::Agent;
use fes_agent::AgentHandle;
use fes_entry::Entry;
use fes_entry::EntryHandle;
use fes_protocol::EntryId;
use fes_protocol::EntrySpec;
use fes_protocol::Error;
use fes_protocol::FleetSpec;
use fes_protocol::Lifecycle;
use fes_protocol::Result;
use fes_protocol::ResultCode;
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
use fes_telemetry::FinishedSpan;
use fes_telemetry::Tracer;
use fes_testkit::CertificateAuthority;
use fes_testkit::Client;
use fes_testkit::ClientOptions;
use fes_testkit::ExecutionLog;
use fes_testkit::Fabric;
use fes_testkit::Platform;
use fes_testkit::Upstream;
use fes_testkit::UpstreamOptions;
use fes_testkit::secret_keys;
use tokio::time::Instant;
use tokio::time::sleep;

const SERVICE: ServiceId = ServiceId(1);
const DATA_CENTRE: &str = "local";
const SLOTS: u32 = 4;
const ENTRY_COUNT: u32 = 2;
/// Timeout until all processes serve: 7 s until a ticket is in force everywhere, and as long again
/// for the start of a process.
const SERVING_TIMEOUT_MS: u64 = 14_000;
const SPAN_CAPACITY: usize = 1_024;
const SERVING_POLL_INTERVAL_MS: u64 = 10;

/// Two entries, an agent for each upstream, and test doubles of the platform, the network fabric
/// and the upstreams.
pub(crate) struct LocalFleet {
    authority: CertificateAuthority,
    platform: Platform,
    fabric: Fabric,
    log: ExecutionLog,
    upstreams: Vec<Upstream>,
    agents: Vec<AgentHandle>,
    entries: Vec<EntryHandle>,
    next_entry: u32,
    next_ticket: u64,
    tickets_in_force_ms: Vec<u64>,
    tracer: Tracer,
    seed: u64,
}

impl LocalFleet {
    /// Starts the fleet and publishes its first ticket.
    pub(crate) async fn start(upstream_count: u32, seed: u64) -> Result<Self> {
        let mut fleet = Self {
            authority: CertificateAuthority::new(),
            platform: Platform::start().await?,
            fabric: Fabric::start([], seed)?,
            log: ExecutionLog::default(),
            upstreams: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            next_entry: 1,
            next_ticket: 1,
            tickets_in_force_ms: Vec::new(),
            tracer: Tracer::disabled().with_recent_spans(SPAN_CAPACITY),
            seed,
        };
        for _ in 0..ENTRY_COUNT {
            fleet.start_entry().await?;
        }
        for number in 1..=upstream_count {
            fleet.start_agent(number).await?;
        }
        fleet.publish()?;
        fleet.await_serving().await?;
        fleet.update_fabric()?;
        Ok(fleet)
    }

    /// Kills the oldest entry. The fabric keeps sending datagrams to its address.
    pub(crate) fn kill_entry(&mut self) {
        if !self.entries.is_empty() {
            self.entries.remove(0).kill();
        }
    }

    /// Starts another entry, waits until the fabric sends to it instead of the oldest entry, and
    /// stops the oldest one gracefully.
    pub(crate) async fn drain_entry(&mut self) -> Result<()> {
        let oldest = self.entries.remove(0);
        self.start_entry().await?;
        self.publish()?;
        self.await_serving().await?;
        self.update_fabric()?;
        oldest.drain().await;
        Ok(())
    }

    /// Returns the latest spans of the clients and agents. Entries keep none in memory.
    pub(crate) fn spans(&self) -> Vec<FinishedSpan> {
        let agents = self.agents.iter().flat_map(AgentHandle::recent_spans);
        self.tracer
            .recent_spans()
            .into_iter()
            .chain(agents)
            .collect()
    }

    /// Starts another entry and updates the fabric once it serves.
    pub(crate) async fn add_entry(&mut self) -> Result<()> {
        self.start_entry().await?;
        self.publish()?;
        self.await_serving().await?;
        self.update_fabric()
    }

    /// Creates a client of the service.
    pub(crate) fn client(&self, name: impl Into<String>) -> Result<Client> {
        let authorities = [self.authority.certificate()];
        let mut options = ClientOptions::new(self.fabric.address(), authorities, name);
        options.tracer = self.tracer.clone();
        Client::new(options)
    }

    /// Returns the log of the requests that the upstreams executed.
    pub(crate) const fn log(&self) -> &ExecutionLog {
        &self.log
    }

    /// Returns, for each ticket, the time until it was in force in all processes and all of them
    /// served.
    pub(crate) fn tickets_in_force_ms(&self) -> &[u64] {
        &self.tickets_in_force_ms
    }

    /// Returns the address of the first upstream.
    pub(crate) fn upstream_address(&self) -> SocketAddr {
        self.upstreams[0].address()
    }

    /// Returns the number of requests that each upstream started.
    pub(crate) fn started_by_upstream(&self) -> Vec<u64> {
        self.upstreams.iter().map(Upstream::started).collect()
    }

    async fn start_agent(&mut self, number: u32) -> Result<()> {
        let options = UpstreamOptions {
            name: format!("upstream-{number}"),
            slots: SLOTS as usize,
            seed: self.seed,
            ..UpstreamOptions::default()
        };
        let upstream = Upstream::start(options, self.log.clone()).await?;
        let settings = AgentSettings::new(
            TargetId(number),
            SERVICE,
            SLOTS,
            self.node_settings(&format!("vm-{number}")),
            upstream.address(),
            self.authority.client_identity(),
        );
        self.agents.push(Agent::start(settings).await?);
        self.upstreams.push(upstream);
        Ok(())
    }

    async fn start_entry(&mut self) -> Result<()> {
        let number = self.next_entry;
        self.next_entry += 1;
        let node = self.node_settings(&format!("entry-vm-{number}"));
        let mut settings = EntrySettings::new(EntryId(number), node);
        settings.listen.push(ListenSettings {
            service: SERVICE,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        });
        self.entries.push(Entry::start(settings).await?);
        Ok(())
    }

    /// Waits until every process serves with the latest ticket. Entries read it from the platform,
    /// and agents receive it from entries.
    async fn await_serving(&mut self) -> Result<()> {
        let published = Instant::now();
        let deadline = published + Duration::from_millis(SERVING_TIMEOUT_MS);
        while !self.serves_latest() {
            if Instant::now() >= deadline {
                let detail = format!(
                    "not all processes serve with the latest ticket after {SERVING_TIMEOUT_MS} ms: {}",
                    self.describe_processes()
                );
                return Err(Error::coded(ResultCode::RunFailed, detail));
            }
            sleep(Duration::from_millis(SERVING_POLL_INTERVAL_MS)).await;
        }
        let elapsed_ms = u64::try_from(published.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.tickets_in_force_ms.push(elapsed_ms);
        Ok(())
    }

    fn serves_latest(&self) -> bool {
        let is_latest = |lifecycle: Lifecycle, highest: TicketNumber| {
            lifecycle == Lifecycle::Serving && highest.0 + 1 == self.next_ticket
        };
        let entries = self
            .entries
            .iter()
            .all(|entry| is_latest(entry.lifecycle(), entry.snapshot().highest()));
        let agents = self
            .agents
            .iter()
            .all(|agent| is_latest(agent.lifecycle(), agent.snapshot().highest()));
        entries && agents
    }

    fn describe_processes(&self) -> String {
        let entries = self.entries.iter().map(|entry| {
            let highest = entry.snapshot().highest();
            format!(
                "entry {} is {} with ticket {highest}",
                entry.id(),
                lifecycle_name(entry.lifecycle())
            )
        });
        let agents = self.agents.iter().map(|agent| {
            let highest = agent.snapshot().highest();
            format!(
                "agent {} is {} with ticket {highest}",
                agent.target(),
                lifecycle_name(agent.lifecycle())
            )
        });
        entries.chain(agents).collect::<Vec<_>>().join(", ")
    }

    /// Publishes the state of the fleet as a ticket with the next number.
    fn publish(&mut self) -> Result<()> {
        let number = TicketNumber(self.next_ticket);
        self.next_ticket += 1;
        self.platform.publish_ticket(&Ticket {
            number,
            objects: vec![
                TicketObject::Service(Arc::new(self.service())),
                TicketObject::Fleet(Arc::new(self.fleet())),
            ],
        })
    }

    fn fleet(&self) -> FleetSpec {
        let entry = |entry: &EntryHandle| EntrySpec {
            id: entry.id(),
            vm: format!("entry-vm-{}", entry.id()).into(),
            control_address: entry.control_address(),
            link_address: entry.link_address(),
        };
        FleetSpec {
            data_centre: DATA_CENTRE.into(),
            entries: self.entries.iter().map(entry).collect(),
        }
    }

    fn service(&self) -> ServiceSpec {
        let upstream = |(agent, number): (&AgentHandle, u32)| UpstreamSpec {
            target: TargetId(number),
            name: format!("upstream-{number}").into(),
            vm: format!("vm-{number}").into(),
            data_centre: DATA_CENTRE.into(),
            agent_address: agent.agent_address(),
            link_address: agent.link_address(),
            slots: SLOTS,
            state: UpstreamState::Active,
        };
        ServiceSpec {
            id: SERVICE,
            name: "local".into(),
            state: ServiceState::Active,
            addresses: vec![self.fabric.address()],
            data_centres: vec![DATA_CENTRE.into()],
            upstreams: self.agents.iter().zip(1..).map(upstream).collect(),
        }
    }

    fn update_fabric(&self) -> Result<()> {
        let addresses = self.entries.iter().map(|entry| {
            entry.service_address(SERVICE).ok_or_else(|| {
                let detail = "an entry has no socket for the service";
                Error::coded(ResultCode::RunFailed, detail)
            })
        });
        let addresses: Vec<SocketAddr> = addresses.collect::<Result<_>>()?;
        self.fabric.set_entries(addresses);
        Ok(())
    }

    fn node_settings(&self, vm: &str) -> NodeSettings {
        let mut settings = NodeSettings::new(
            DATA_CENTRE.into(),
            vm.into(),
            self.platform.address(),
            secret_keys(self.seed),
            self.authority.link_identity(),
        );
        settings.seed_peers = self.entries.iter().map(EntryHandle::link_address).collect();
        settings
    }
}

const fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Starting => "starting",
        Lifecycle::Serving => "serving",
        Lifecycle::Draining => "draining",
        Lifecycle::Stopped => "stopped",
    }
}
