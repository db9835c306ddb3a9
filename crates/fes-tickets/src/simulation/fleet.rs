//! Simulated fleet: processes, network and platform.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_kernel::PathQuality;
use fes_kernel::SimulatedNetwork;
use fes_kernel::SimulationEvent;
use fes_protocol::CONTROL_OVERHEAD_BYTES;
use fes_protocol::ControlMessage;
use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::Ticket;
use fes_protocol::TicketDigest;
use fes_protocol::encode_control;

use crate::Distribution;
use crate::DistributionAction;
use crate::DistributionEvent;
use crate::DistributionReport;
use crate::DistributionSettings;
use crate::Endpoint;
use crate::HighestWins;
use crate::PeerDirectory;
use crate::PlatformAnswer;
use crate::PlatformRead;
use crate::Precedence;
use crate::Snapshot;
use crate::TicketMessage;
use crate::TicketStore;
use crate::encode_message;
use crate::simulation::FleetShape;
use crate::simulation::RegionPaths;
use crate::simulation::SimulatedPlatform;
use crate::simulation::Trace;
use crate::simulation::TraceEvent;

/// IPv4 and UDP headers of a datagram.
const UDP_IP_OVERHEAD_BYTES: usize = 28;
/// IP and TCP headers, TLS record overhead and HTTP/2 frame header of a message on an open link.
const LINK_OVERHEAD_BYTES: usize = 40 + 22 + 9;
const PLATFORM_PATH: PathQuality = PathQuality::perfect(2_000);
const SEED_PEERS_PER_PROCESS: u64 = 3;

/// Sender or receiver on the simulated network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// A process.
    Node(NodeId),
    /// The platform.
    Platform,
}

#[derive(Debug, Clone)]
enum Packet {
    Digest(TicketDigest),
    Message {
        from: Endpoint,
        message: Arc<TicketMessage>,
    },
    Read(PlatformRead),
    Answer(PlatformAnswer),
}

#[derive(Debug)]
struct Process<P: Precedence> {
    data_centre: DataCentreName,
    distribution: Distribution<P>,
    started_at: MonoTime,
    paused_until: MonoTime,
    timer_at: MonoTime,
    restarts: u64,
    sent_bytes: u64,
}

/// Simulated fleet in virtual time. All processes use the precedence rule `P`.
#[derive(Debug)]
pub struct SimulatedFleet<P: Precedence = HighestWins> {
    /// The platform.
    pub platform: SimulatedPlatform,
    /// Trace of all objects that came into force.
    pub trace: Trace,
    /// All reports and the processes that made them.
    pub reports: Vec<(NodeId, DistributionReport)>,
    network: SimulatedNetwork<Participant, Packet>,
    paths: RegionPaths,
    processes: FastMap<NodeId, Process<P>>,
    /// All processes in order of data centre and ID.
    nodes: Vec<NodeId>,
    /// Processes by link address.
    nodes_by_link: FastMap<SocketAddr, NodeId>,
    seed: u64,
}

impl<P: Precedence> SimulatedFleet<P> {
    /// Creates a fleet in which all processes and the platform hold the tickets of the shape.
    #[must_use]
    pub fn new(shape: &FleetShape, paths: RegionPaths, seed: u64) -> Self {
        let tickets = shape.tickets();
        let mut store = TicketStore::<P>::default();
        for ticket in &tickets {
            store.apply(Arc::clone(ticket));
        }
        let directory = Arc::new(PeerDirectory::new(store.state()));
        let mut fleet = Self {
            platform: SimulatedPlatform::new(tickets),
            trace: Trace::default(),
            reports: Vec::new(),
            network: SimulatedNetwork::new(seed),
            paths,
            processes: FastMap::default(),
            nodes: Vec::new(),
            nodes_by_link: FastMap::default(),
            seed,
        };
        for (data_centre, peer) in directory.peers_by_data_centre() {
            let settings = fleet.settings(peer.node, data_centre, 0);
            let directory = Arc::clone(&directory);
            let distribution =
                Distribution::serving(MonoTime::ZERO, settings, store.clone(), directory);
            fleet.nodes_by_link.insert(peer.addresses.link, peer.node);
            fleet.nodes.push(peer.node);
            fleet.add(peer.node, data_centre.clone(), distribution, 0);
        }
        fleet
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> MonoTime {
        self.network.now()
    }

    /// Returns all processes in order of data centre and ID.
    #[must_use]
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Returns the data centre of a process.
    #[must_use]
    pub fn data_centre(&self, node: NodeId) -> Option<&DataCentreName> {
        self.processes
            .get(&node)
            .map(|process| &process.data_centre)
    }

    /// Returns the state in force at a process.
    #[must_use]
    pub fn snapshot(&self, node: NodeId) -> Option<Arc<Snapshot>> {
        let process = self.processes.get(&node)?;
        Some(process.distribution.snapshot())
    }

    /// Returns the distribution of a process.
    #[must_use]
    pub fn distribution(&self, node: NodeId) -> Option<&Distribution<P>> {
        self.processes
            .get(&node)
            .map(|process| &process.distribution)
    }

    /// Returns whether the state in force is the same at all processes.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let mut hashes = self
            .processes
            .values()
            .map(|process| process.distribution.snapshot().state_hash());
        let first = hashes.next();
        hashes.all(|hash| Some(hash) == first)
    }

    /// Returns the number of bytes that each process sent, in the order of [`Self::nodes`].
    #[must_use]
    pub fn sent_bytes(&self) -> Vec<u64> {
        let sent = |node| self.processes.get(node).map_or(0, |p| p.sent_bytes);
        self.nodes.iter().map(sent).collect()
    }

    /// Changes the quality of all paths.
    pub const fn set_paths(&mut self, paths: RegionPaths) {
        self.paths = paths;
    }

    /// Publishes a ticket on the platform.
    pub fn publish(&mut self, ticket: Ticket) {
        let answers = self.platform.publish(Arc::new(ticket));
        self.send_answers(answers);
    }

    /// Sends a ticket to a process as a push from a peer.
    pub fn inject(&mut self, node: NodeId, from: NodeId, ticket: Ticket) {
        let message = Arc::new(TicketMessage::Push(vec![Arc::new(ticket)]));
        let from_endpoint = Endpoint::Node(from);
        let packet = Packet::Message {
            from: from_endpoint,
            message,
        };
        let path = PathQuality::perfect(1_000);
        self.network.send_reliable(
            Participant::Node(from),
            Participant::Node(node),
            packet,
            path,
        );
    }

    /// Drops all further messages from one participant to another, in this direction only.
    pub fn block(&mut self, from: Participant, to: Participant) {
        self.network.block(from, to);
    }

    /// Removes all blocks.
    pub fn heal(&mut self) {
        self.network.unblock_all();
    }

    /// Pauses a process. Its messages and timers are deferred until it resumes.
    pub fn pause(&mut self, node: NodeId, duration_ms: u64) {
        let until = self.now().plus_ms(duration_ms);
        if let Some(process) = self.processes.get_mut(&node) {
            process.paused_until = until;
        }
    }

    /// Restarts a process without tickets and with some seed peers.
    pub fn restart(&mut self, node: NodeId) {
        let Some(old) = self.processes.remove(&node) else {
            return;
        };
        let restarts = old.restarts + 1;
        let mut settings = self.settings(node, &old.data_centre, restarts);
        settings.seed_peers = self.seed_peers_for(node, restarts);
        let distribution =
            Distribution::with_store(MonoTime::ZERO, settings, TicketStore::default());
        self.add(node, old.data_centre, distribution, restarts);
    }

    /// Runs the simulation for a duration.
    pub fn run_ms(&mut self, duration_ms: u64) {
        self.run_until(self.now().plus_ms(duration_ms), |_| false);
    }

    /// Runs the simulation until `stop` returns true after an event, or until a time. Returns
    /// whether
    /// `stop` returned true.
    pub fn run_until(&mut self, until: MonoTime, mut stop: impl FnMut(&Self) -> bool) -> bool {
        while let Some((participant, arrival)) = self.network.advance_until(until) {
            match participant {
                Participant::Platform => self.arrive_at_platform(arrival),
                Participant::Node(node) => self.arrive_at_node(node, arrival),
            }
            if stop(self) {
                return true;
            }
        }
        false
    }

    fn settings(
        &self,
        node: NodeId,
        data_centre: &DataCentreName,
        restarts: u64,
    ) -> DistributionSettings {
        let number = match node {
            NodeId::Entry(id) => u64::from(id.0) << 1,
            NodeId::Agent(id) => u64::from(id.0) << 1 | 1,
        };
        let mixed = number
            .wrapping_add(restarts << 40)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        DistributionSettings {
            node,
            data_centre: data_centre.clone(),
            seed_peers: Vec::new(),
            random_seed: self.seed ^ mixed,
        }
    }

    fn seed_peers_for(&self, node: NodeId, restarts: u64) -> Vec<SocketAddr> {
        let mut links: Vec<(&SocketAddr, &NodeId)> = self.nodes_by_link.iter().collect();
        links.sort();
        let others: Vec<SocketAddr> = links
            .into_iter()
            .filter(|(_, other)| **other != node)
            .map(|(address, _)| *address)
            .collect();
        let count = others.len().max(1) as u64;
        let index = |n| ((self.seed.wrapping_add(restarts * 31 + n * 7)) % count) as usize;
        let chosen = (0..SEED_PEERS_PER_PROCESS).filter_map(|n| others.get(index(n)));
        chosen.copied().collect()
    }

    fn add(
        &mut self,
        node: NodeId,
        data_centre: DataCentreName,
        distribution: Distribution<P>,
        restarts: u64,
    ) {
        let started_at = self.now();
        let first = started_at.plus_us(distribution.next_deadline().as_us());
        self.network.set_timer(first, Participant::Node(node));
        let process = Process {
            data_centre,
            distribution,
            started_at,
            paused_until: MonoTime::ZERO,
            timer_at: first,
            restarts,
            sent_bytes: 0,
        };
        self.processes.insert(node, process);
    }

    fn arrive_at_platform(&mut self, arrival: SimulationEvent<Participant, Packet>) {
        let now = self.now();
        let answers = match arrival {
            SimulationEvent::Message {
                from: Participant::Node(node),
                body: Packet::Read(read),
            } => self.platform.read(now, node, read),
            SimulationEvent::Message { .. } => Vec::new(),
            SimulationEvent::Timer => self.platform.expire_watches(now),
        };
        self.send_answers(answers);
        if let Some(at) = self.platform.next_watch_expiry() {
            self.network.set_timer(at, Participant::Platform);
        }
    }

    fn send_answers(&mut self, answers: Vec<(NodeId, PlatformAnswer)>) {
        for (node, answer) in answers {
            self.network.send_reliable(
                Participant::Platform,
                Participant::Node(node),
                Packet::Answer(answer),
                PLATFORM_PATH,
            );
        }
    }

    fn arrive_at_node(&mut self, node: NodeId, arrival: SimulationEvent<Participant, Packet>) {
        let now = self.now();
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if now < process.paused_until {
            let at = process.paused_until;
            self.network.defer(at, Participant::Node(node), arrival);
            return;
        }
        let (from, event) = match arrival {
            SimulationEvent::Timer if now < process.timer_at => return,
            SimulationEvent::Timer => {
                process.timer_at = MonoTime::NEVER;
                (None, DistributionEvent::Tick)
            }
            SimulationEvent::Message { from, body } => match event_of(body) {
                Some(event) => (Some(from), event),
                None => return,
            },
        };
        let local_now = MonoTime::from_us(now.us_since(process.started_at));
        let before = process.distribution.snapshot();
        let actions = process.distribution.handle(local_now, event);
        let deadline = process.distribution.next_deadline();
        let timer_at = process.started_at.plus_us(deadline.as_us());
        if timer_at < process.timer_at {
            process.timer_at = timer_at;
            self.network.set_timer(timer_at, Participant::Node(node));
        }
        let sender = from.and_then(|participant| match participant {
            Participant::Node(node) => Some(node),
            Participant::Platform => None,
        });
        let mut before = before;
        for action in actions {
            self.execute(node, sender, &mut before, action);
        }
    }

    fn execute(
        &mut self,
        node: NodeId,
        sender: Option<NodeId>,
        before: &mut Arc<Snapshot>,
        action: DistributionAction,
    ) {
        match action {
            DistributionAction::SendDigest { to, digest } => self.send_digest(node, to, digest),
            DistributionAction::Send { to, message } => self.send_message(node, to, message),
            DistributionAction::ReadPlatform(read) => self.network.send_reliable(
                Participant::Node(node),
                Participant::Platform,
                Packet::Read(read),
                PLATFORM_PATH,
            ),
            DistributionAction::InForce { snapshot, changed } => {
                for object in changed {
                    self.record_event(node, sender, before, &snapshot, object);
                }
                *before = snapshot;
            }
            DistributionAction::Ready => {}
            DistributionAction::Report(report) => self.reports.push((node, report)),
        }
    }

    fn record_event(
        &mut self,
        node: NodeId,
        from: Option<NodeId>,
        before: &Snapshot,
        after: &Snapshot,
        object: ObjectKey,
    ) {
        let Some(version) = after.version_of(&object) else {
            return;
        };
        self.trace.push(TraceEvent {
            at: self.now(),
            node,
            from,
            before: before.version_of(&object),
            after: version,
            object,
        });
    }

    fn send_digest(&mut self, from: NodeId, to: NodeId, digest: TicketDigest) {
        let encoded = encode_control(&ControlMessage::TicketDigest(digest));
        let payload_bytes = encoded.map_or(0, |bytes| bytes.len());
        let size_bytes = payload_bytes + CONTROL_OVERHEAD_BYTES + UDP_IP_OVERHEAD_BYTES;
        let Some(path) = self.record_sent_bytes(from, to, size_bytes) else {
            return;
        };
        self.network.send_datagram(
            Participant::Node(from),
            Participant::Node(to),
            Packet::Digest(digest),
            path,
        );
    }

    fn send_message(&mut self, from: NodeId, to: Endpoint, message: TicketMessage) {
        let to = match to {
            Endpoint::Node(node) => node,
            Endpoint::Seed(address) => match self.nodes_by_link.get(&address) {
                Some(node) => *node,
                None => return,
            },
        };
        let payload_bytes = encode_message(&message).map_or(0, |bytes| bytes.len());
        let size_bytes = payload_bytes + LINK_OVERHEAD_BYTES;
        let Some(path) = self.record_sent_bytes(from, to, size_bytes) else {
            return;
        };
        let packet = Packet::Message {
            from: Endpoint::Node(from),
            message: Arc::new(message),
        };
        self.network
            .send_reliable(Participant::Node(from), Participant::Node(to), packet, path);
    }

    /// Adds the size of a message to the bytes that the sender sent. Returns the path to the
    /// receiver, or `None` if one of the two doesn't exist.
    fn record_sent_bytes(
        &mut self,
        from: NodeId,
        to: NodeId,
        size_bytes: usize,
    ) -> Option<PathQuality> {
        let to_data_centre = self.processes.get(&to)?.data_centre.clone();
        let sender = self.processes.get_mut(&from)?;
        sender.sent_bytes += size_bytes as u64;
        Some(self.paths.between(&sender.data_centre, &to_data_centre))
    }
}

fn event_of(packet: Packet) -> Option<DistributionEvent> {
    match packet {
        Packet::Digest(digest) => Some(DistributionEvent::Digest(digest)),
        Packet::Message { from, message } => Some(DistributionEvent::Message {
            from,
            message: Arc::unwrap_or_clone(message),
        }),
        Packet::Answer(answer) => Some(DistributionEvent::PlatformAnswered(answer)),
        Packet::Read(_) => None,
    }
}
