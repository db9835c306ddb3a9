//! Simulated cluster of entries and agents.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_kernel::PathQuality;
use fes_kernel::SimulatedNetwork;
use fes_kernel::SimulationEvent;
use fes_protocol::ControlMessage;
use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::Incarnation;
use fes_protocol::MonoTime;
use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_tickets::Distribution;
use fes_tickets::DistributionEvent;
use fes_tickets::DistributionSettings;
use fes_tickets::Endpoint;
use fes_tickets::PeerDirectory;
use fes_tickets::PlatformAnswer;
use fes_tickets::TicketMessage;
use fes_tickets::TicketStore;
use fes_tickets::encode_message;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::Participant;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::SimulatedPlatform;

use crate::TargetLiveness;
use crate::VmHint;
use crate::datagram_bytes;
use crate::simulation::SimulatedNode;
use crate::simulation::node::Outgoing;
use crate::simulation::packet::Packet;

const PLATFORM_PATH: PathQuality = PathQuality::perfect(2_000);
/// IP and TCP headers, TLS record and HTTP/2 frame header of one message on an open link.
const LINK_OVERHEAD_BYTES: usize = 40 + 22 + 9;

/// Entries and agents of a [`FleetShape`] on virtual time.
#[derive(Debug)]
pub struct SimulatedCluster {
    /// The simulated platform.
    pub platform: SimulatedPlatform,
    network: SimulatedNetwork<Participant, Packet>,
    paths: RegionPaths,
    nodes: FastMap<NodeId, SimulatedNode>,
    node_ids: Vec<NodeId>,
    nodes_by_link: FastMap<SocketAddr, NodeId>,
    service_of: FastMap<TargetId, ServiceId>,
    next_incarnation: u64,
    seed: u64,
}

impl SimulatedCluster {
    /// Creates a cluster in which all processes are serving and have the tickets of `shape`.
    #[must_use]
    pub fn new(shape: &FleetShape, paths: RegionPaths, seed: u64) -> Self {
        let tickets = shape.tickets();
        let mut store = TicketStore::new();
        for ticket in &tickets {
            store.apply(Arc::clone(ticket));
        }
        let directory = Arc::new(PeerDirectory::new(store.state()));
        let services = store.state().services();
        let service_of = services
            .flat_map(|s| s.value.upstreams.iter().map(|u| (u.target, s.value.id)))
            .collect();
        let mut cluster = Self {
            platform: SimulatedPlatform::new(tickets),
            network: SimulatedNetwork::new(seed),
            paths,
            nodes: FastMap::default(),
            node_ids: Vec::new(),
            nodes_by_link: FastMap::default(),
            service_of,
            next_incarnation: 0x1234_5678_0000,
            seed,
        };
        for (data_centre, peer) in directory.peers_by_data_centre() {
            let settings = cluster.settings(peer.node, data_centre);
            let directory = Arc::clone(&directory);
            let distribution =
                Distribution::serving(MonoTime::ZERO, settings, store.clone(), directory);
            cluster.nodes_by_link.insert(peer.addresses.link, peer.node);
            cluster.node_ids.push(peer.node);
            cluster.add(peer.node, data_centre.clone(), distribution);
        }
        cluster
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> MonoTime {
        self.network.now()
    }

    /// Returns all processes in order of data centre and ID.
    #[must_use]
    pub fn node_ids(&self) -> &[NodeId] {
        &self.node_ids
    }

    /// Returns a process, if it exists.
    #[must_use]
    pub fn node(&self, node: NodeId) -> Option<&SimulatedNode> {
        self.nodes.get(&node)
    }

    /// Returns the data centre of a process.
    #[must_use]
    pub fn data_centre(&self, node: NodeId) -> Option<&DataCentreName> {
        self.nodes.get(&node).map(|node| &node.data_centre)
    }

    /// Returns the mean bytes per second that a process sent and received since its start or the
    /// last reset.
    #[must_use]
    pub fn traffic(&self, node: NodeId) -> Option<(u64, u64)> {
        let meter = self.nodes.get(&node)?.meter;
        let now = self.now();
        Some((meter.sent_per_second(now), meter.received_per_second(now)))
    }

    /// Resets the traffic counters of all processes.
    pub fn reset_traffic(&mut self) {
        let now = self.now();
        for node in self.nodes.values_mut() {
            node.meter = crate::TrafficMeter::starting(now);
        }
    }

    /// Sets the quality of all paths.
    pub const fn set_paths(&mut self, paths: RegionPaths) {
        self.paths = paths;
    }

    /// Publishes a ticket at the platform.
    pub fn publish(&mut self, ticket: Ticket) {
        let answers = self.platform.publish(Arc::new(ticket));
        self.send_answers(answers);
    }

    /// Drops all later messages from one participant to another, in this direction only.
    pub fn block(&mut self, from: Participant, to: Participant) {
        self.network.block(from, to);
    }

    /// Delivers messages from one participant to another again.
    pub fn unblock(&mut self, from: Participant, to: Participant) {
        self.network.unblock(from, to);
    }

    /// Removes all blocks.
    pub fn heal(&mut self) {
        self.network.unblock_all();
    }

    /// Pauses a process. Messages to it are delivered after the pause.
    pub fn pause(&mut self, node: NodeId, duration_ms: u64) {
        let until = self.now().plus_ms(duration_ms);
        if let Some(node) = self.nodes.get_mut(&node) {
            node.paused_until = until;
        }
    }

    /// Kills a process without a graceful stop.
    pub fn kill(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.stopped = true;
        }
    }

    /// Starts a killed process as a new incarnation.
    pub fn start_if_stopped(&mut self, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|node| node.stopped) {
            self.restart(node);
        }
    }

    /// Replaces a process by a new incarnation, which fetches tickets from peers and the platform.
    pub fn restart(&mut self, node: NodeId) {
        let Some(old) = self.nodes.remove(&node) else {
            return;
        };
        let mut settings = self.settings(node, &old.data_centre);
        let mut links: Vec<(&SocketAddr, &NodeId)> = self.nodes_by_link.iter().collect();
        links.sort();
        let others = links.into_iter().filter(|(_, other)| **other != node);
        settings.seed_peers = others.map(|(address, _)| *address).take(3).collect();
        let store = TicketStore::new();
        let distribution = Distribution::with_store(MonoTime::ZERO, settings, store);
        self.add(node, old.data_centre, distribution);
    }

    /// Delivers SIGTERM to an agent.
    pub fn terminate(&mut self, node: NodeId) {
        self.run_on_node(node, SimulatedNode::terminate);
    }

    /// Delivers a VM list to all processes.
    pub fn read_vm_list(&mut self, hints: &[VmHint]) {
        for node in self.node_ids.clone() {
            self.run_on_node(node, |node, now| node.read_vm_list(now, hints));
        }
    }

    /// Delivers a datagram again, as a network may at any later time.
    pub fn replay(&mut self, from: NodeId, to: NodeId, message: ControlMessage) {
        let packet = Packet::Control(Arc::new(message));
        let path = PathQuality::perfect(100);
        self.network
            .send_datagram(Participant::Node(from), Participant::Node(to), packet, path);
    }

    /// Runs the simulation for `duration_ms` of virtual time.
    pub fn run_ms(&mut self, duration_ms: u64) {
        let until = self.now().plus_ms(duration_ms);
        while let Some((receiver, arrival)) = self.network.advance_until(until) {
            match receiver {
                Participant::Platform => self.deliver_to_platform(arrival),
                Participant::Node(node) => self.deliver_to_node(node, arrival),
            }
        }
    }

    fn settings(&self, node: NodeId, data_centre: &DataCentreName) -> DistributionSettings {
        let number = match node {
            NodeId::Entry(id) => u64::from(id.0) << 1,
            NodeId::Agent(id) => u64::from(id.0) << 1 | 1,
        };
        let node_seed =
            (number + (self.next_incarnation << 24)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        DistributionSettings {
            node,
            data_centre: data_centre.clone(),
            seed_peers: Vec::new(),
            random_seed: self.seed ^ node_seed,
        }
    }

    fn add(&mut self, id: NodeId, data_centre: DataCentreName, distribution: Distribution) {
        let now = self.now();
        self.next_incarnation += 1;
        let seed = self.seed ^ self.next_incarnation;
        let node = match id {
            NodeId::Entry(entry) => {
                let liveness = TargetLiveness::new(MonoTime::ZERO, entry, seed);
                SimulatedNode::entry(now, data_centre, distribution, liveness)
            }
            NodeId::Agent(target) => {
                let service = self.service_of.get(&target).copied();
                let incarnation = Incarnation(self.next_incarnation);
                let service = service.unwrap_or(ServiceId(0));
                SimulatedNode::agent(now, data_centre, distribution, service, target, incarnation)
            }
        };
        self.nodes.insert(id, node);
        self.run_on_node(id, SimulatedNode::apply_snapshot);
    }

    fn run_on_node(
        &mut self,
        id: NodeId,
        action: impl FnOnce(&mut SimulatedNode, MonoTime) -> Vec<Outgoing>,
    ) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&id).filter(|node| !node.stopped) else {
            return;
        };
        let sent = action(node, now);
        let deadline = node.next_deadline(now).max(now);
        if deadline < node.timer_at {
            node.timer_at = deadline;
            self.network.set_timer(deadline, Participant::Node(id));
        }
        for message in sent {
            self.send(id, message);
        }
    }

    fn send(&mut self, from: NodeId, message: Outgoing) {
        match message {
            Outgoing::Datagram(to, message) => self.send_datagram(from, to, message),
            Outgoing::Link(to, message) => self.send_link(from, to, message),
            Outgoing::Read(read) => self.network.send_reliable(
                Participant::Node(from),
                Participant::Platform,
                Packet::Read(read),
                PLATFORM_PATH,
            ),
        }
    }

    fn send_datagram(&mut self, from: NodeId, to: NodeId, message: ControlMessage) {
        let Some(path) = self.count_traffic(from, to, datagram_bytes(&message)) else {
            return;
        };
        let packet = Packet::Control(Arc::new(message));
        self.network
            .send_datagram(Participant::Node(from), Participant::Node(to), packet, path);
    }

    fn send_link(&mut self, from: NodeId, to: Endpoint, message: TicketMessage) {
        let to = match to {
            Endpoint::Node(node) => Some(node),
            Endpoint::Seed(address) => self.nodes_by_link.get(&address).copied(),
        };
        let Some(to) = to else {
            return;
        };
        let payload_bytes = encode_message(&message).map_or(0, |bytes| bytes.len());
        let size_bytes = payload_bytes + LINK_OVERHEAD_BYTES;
        let Some(path) = self.count_traffic(from, to, size_bytes) else {
            return;
        };
        let packet = Packet::Tickets {
            from: Endpoint::Node(from),
            message: Arc::new(message),
        };
        self.network
            .send_reliable(Participant::Node(from), Participant::Node(to), packet, path);
    }

    /// Counts the bytes at both processes and returns the quality of the path between them, or
    /// `None` if one of them doesn't exist.
    fn count_traffic(
        &mut self,
        from: NodeId,
        to: NodeId,
        size_bytes: usize,
    ) -> Option<PathQuality> {
        let sender_data_centre = {
            let sender = self.nodes.get_mut(&from)?;
            sender.meter.count_sent(size_bytes);
            sender.data_centre.clone()
        };
        let receiver = self.nodes.get_mut(&to)?;
        receiver.meter.count_received(size_bytes);
        Some(
            self.paths
                .between(&sender_data_centre, &receiver.data_centre),
        )
    }

    fn deliver_to_platform(&mut self, arrival: SimulationEvent<Participant, Packet>) {
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
            let packet = Packet::Answer(answer);
            self.network.send_reliable(
                Participant::Platform,
                Participant::Node(node),
                packet,
                PLATFORM_PATH,
            );
        }
    }

    fn deliver_to_node(&mut self, id: NodeId, arrival: SimulationEvent<Participant, Packet>) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if now < node.paused_until {
            let at = node.paused_until;
            self.network.defer(at, Participant::Node(id), arrival);
            return;
        }
        match arrival {
            SimulationEvent::Timer if now < node.timer_at => {}
            SimulationEvent::Timer => {
                node.timer_at = MonoTime::NEVER;
                self.run_on_node(id, SimulatedNode::tick);
            }
            SimulationEvent::Message { from, body } => {
                self.run_on_node(id, |node, now| match (from, body) {
                    (Participant::Node(from), Packet::Control(message)) => {
                        node.receive(now, from, &message)
                    }
                    (_, Packet::Tickets { from, message }) => {
                        let message = Arc::unwrap_or_clone(message);
                        node.distribute(now, DistributionEvent::Message { from, message })
                    }
                    (_, Packet::Answer(answer)) => {
                        node.distribute(now, DistributionEvent::PlatformAnswered(answer))
                    }
                    _ => Vec::new(),
                })
            }
        }
    }
}
