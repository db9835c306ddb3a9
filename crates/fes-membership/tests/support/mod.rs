//! Runner of scenario scripts on a simulated cluster.

use std::collections::BTreeMap;
use std::error::Error;
use std::str::FromStr;

use fes_membership::VmHint;
use fes_membership::VmState;
use fes_membership::simulation::SimulatedCluster;
use fes_membership::simulation::SimulatedNode;
use fes_protocol::ControlMessage;
use fes_protocol::EntryId;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::NodeId;
use fes_protocol::PeerHeartbeat;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::Participant;
use fes_tickets::simulation::RegionPaths;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;

type ScriptResult<T> = Result<T, Box<dyn Error>>;

/// Executes the commands of a script on a simulated cluster.
pub struct ScenarioRunner {
    shape: FleetShape,
    cluster: SimulatedCluster,
    next_ticket: u64,
    published_at_ms: u64,
}

impl ScenarioRunner {
    pub fn new() -> Self {
        Self::with_shape(FleetShape::scaled(5, 1, 5), 1)
    }

    fn with_shape(shape: FleetShape, seed: u64) -> Self {
        let paths = RegionPaths::with_loss(0.0, 0.0);
        let next_ticket = u64::from(shape.service_count) + 2;
        let cluster = SimulatedCluster::new(&shape, paths, seed);
        Self {
            shape,
            cluster,
            next_ticket,
            published_at_ms: 0,
        }
    }

    fn entries(&self) -> Vec<(NodeId, &SimulatedNode)> {
        let nodes = self.cluster.node_ids().iter();
        let known = nodes.filter_map(|id| self.cluster.node(*id).map(|node| (*id, node)));
        known
            .filter(|(_, node)| node.liveness().is_some())
            .collect()
    }

    /// Lists for each entry which targets of service 1 match `condition`, grouping entries with the
    /// same answer.
    fn by_entry(&self, condition: impl Fn(&SimulatedNode, TargetId) -> bool) -> String {
        let mut groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let service = self.shape.service(ServiceId(1));
        let entries = self.entries();
        let count = entries.len();
        for (id, node) in entries {
            let targets = service.upstreams.iter().map(|upstream| upstream.target);
            let chosen: Vec<String> = targets
                .filter(|target| condition(node, *target))
                .map(|target| target.to_string())
                .collect();
            let answer = if chosen.is_empty() {
                "none".to_owned()
            } else {
                chosen.join(" ")
            };
            groups.entry(answer).or_default().push(id.to_string());
        }
        let line = |(answer, ids): (String, Vec<String>)| {
            let who = if ids.len() == count {
                "all entries".to_owned()
            } else {
                ids.join(" ")
            };
            format!("{who}: {answer}\n")
        };
        groups.into_iter().map(line).collect()
    }

    fn peer_states(&self, id: NodeId) -> ScriptResult<String> {
        let node = self.cluster.node(id).ok_or("no such process")?;
        let table = node.peer_table().ok_or("process is not an agent")?;
        let line = |(target, state, _, _)| format!("{target} {state:?}\n");
        Ok(table.peers().map(line).collect())
    }

    /// Partitions a region from the rest. `platform` is the side that still reaches the platform:
    /// `inside`, `outside` or `both`.
    fn partition(&mut self, region: &str, platform: &str) {
        let inside = |id: &NodeId| {
            let data_centre = self.cluster.data_centre(*id);
            data_centre.is_some_and(|data_centre| data_centre.as_str().starts_with(region))
        };
        let (near, far): (Vec<NodeId>, Vec<NodeId>) =
            self.cluster.node_ids().iter().copied().partition(inside);
        for a in &near {
            for b in &far {
                self.cluster
                    .block(Participant::Node(*a), Participant::Node(*b));
                self.cluster
                    .block(Participant::Node(*b), Participant::Node(*a));
            }
        }
        let without_platform = match platform {
            "inside" => far,
            "outside" => near,
            _ => Vec::new(),
        };
        for node in without_platform {
            self.cluster
                .block(Participant::Node(node), Participant::Platform);
            self.cluster
                .block(Participant::Platform, Participant::Node(node));
        }
    }

    /// Reports that no entry places flows on a target, if at most `bound_ms` have passed since the
    /// last publication, or else the entries that still do.
    fn stopped_within(&self, target: TargetId, bound_ms: u64) -> String {
        let mut late = Vec::new();
        for (id, node) in self.entries() {
            let liveness = node.liveness().expect("entries track target liveness");
            if liveness.placeable(target) {
                late.push(format!("{id} still places on {target}\n"));
            }
        }
        let elapsed_ms = self.cluster.now().as_ms() - self.published_at_ms;
        if late.is_empty() && elapsed_ms <= bound_ms {
            return format!("no entry places on {target} within {bound_ms} ms\n");
        }
        late.concat()
    }

    fn replay_old_heartbeat(&mut self, from: TargetId, incarnation: u64, sequence: u64) {
        let heartbeat = PeerHeartbeat {
            service: ServiceId(1),
            target: from,
            incarnation: Incarnation(incarnation),
            sequence,
            lifecycle: Lifecycle::Serving,
            capacity_milli: 0,
            demand_milli: 0,
            queue_wait_ms: 0,
            long_wait_ms: 0,
            flow_count: 0,
            key_issue_ms: 0,
            heard: Vec::new(),
        };
        let message = ControlMessage::PeerHeartbeat(heartbeat);
        for node in self.cluster.node_ids().to_vec() {
            if matches!(node, NodeId::Agent(to) if to != from) {
                let sender = NodeId::Agent(from);
                self.cluster.replay(sender, node, message.clone());
            }
        }
    }
}

/// Returns the value of a key, or `default` if the command doesn't have it.
fn key_or<T: FromStr>(args: &mut ArgumentConsumer<'_>, key: &str, default: T) -> ScriptResult<T>
where
    T::Err: Error + 'static,
{
    Ok(args
        .take_key(key)
        .map(str::parse)
        .transpose()?
        .unwrap_or(default))
}

fn parse_node(text: &str) -> ScriptResult<NodeId> {
    let (kind, number) = text
        .split_once('-')
        .ok_or("process must be entry-N or agent-N")?;
    let number: u32 = number.parse()?;
    match kind {
        "entry" => Ok(NodeId::Entry(EntryId(number))),
        "agent" => Ok(NodeId::Agent(TargetId(number))),
        _ => Err("process must be entry-N or agent-N".into()),
    }
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> ScriptResult<String> {
        let mut args = command.consume_args();
        let mut output = String::new();
        match command.name.as_str() {
            "cluster" => {
                let entries = key_or(&mut args, "entries", 5)?;
                let targets = key_or(&mut args, "targets", 5)?;
                let seed = key_or(&mut args, "seed", 1)?;
                *self = Self::with_shape(FleetShape::scaled(entries, 1, targets), seed);
                for id in self.cluster.node_ids() {
                    let data_centre = self
                        .cluster
                        .data_centre(*id)
                        .ok_or("process has no data centre")?;
                    output.push_str(&format!("{id} in {data_centre}\n"));
                }
            }
            "loss" => {
                let percent: f64 = args.next_pos().ok_or("percentage missing")?.parse()?;
                let paths = RegionPaths::with_loss(percent / 100.0, percent / 1_000.0);
                self.cluster.set_paths(paths);
            }
            "run" => {
                let ms: u64 = args.next_pos().ok_or("milliseconds missing")?.parse()?;
                self.cluster.run_ms(ms);
            }
            "kill" => self
                .cluster
                .kill(parse_node(args.next_pos().ok_or("process missing")?)?),
            "restart" => self
                .cluster
                .restart(parse_node(args.next_pos().ok_or("process missing")?)?),
            "terminate" => self
                .cluster
                .terminate(parse_node(args.next_pos().ok_or("process missing")?)?),
            "pause" => {
                let node = parse_node(args.next_pos().ok_or("process missing")?)?;
                let ms: u64 = args.next_pos().ok_or("milliseconds missing")?.parse()?;
                self.cluster.pause(node, ms);
            }
            "block" | "unblock" => {
                let from = Participant::Node(parse_node(args.next_pos().ok_or("sender missing")?)?);
                while let Some(to) = args.next_pos() {
                    let to = Participant::Node(parse_node(to)?);
                    if command.name == "block" {
                        self.cluster.block(from, to);
                    } else {
                        self.cluster.unblock(from, to);
                    }
                }
            }
            "partition" => {
                let platform: String = key_or(&mut args, "platform", "both".to_owned())?;
                let region = args.next_pos().ok_or("region missing")?;
                self.partition(region, &platform);
            }
            "heal" => self.cluster.heal(),
            "leave" => {
                let names = std::iter::from_fn(|| args.next_pos());
                let targets: Result<Vec<u32>, _> = names.map(str::parse).collect();
                let targets: Vec<TargetId> = targets?.into_iter().map(TargetId).collect();
                let number = TicketNumber(self.next_ticket);
                self.next_ticket += 1;
                self.published_at_ms = self.cluster.now().as_ms();
                let ticket = self.shape.leaving_ticket(number, ServiceId(1), &targets);
                self.cluster.publish(ticket);
            }
            "vm-list" => {
                let names = std::iter::from_fn(|| args.next_pos());
                let leaving = names.map(|vm| VmHint {
                    vm: vm.into(),
                    state: VmState::Leaving,
                });
                let hints: Vec<VmHint> = leaving.collect();
                self.cluster.read_vm_list(&hints);
            }
            "replay" => {
                let from = TargetId(args.next_pos().ok_or("target missing")?.parse()?);
                let incarnation: u64 = key_or(&mut args, "incarnation", 99)?;
                let sequence: u64 = key_or(&mut args, "sequence", 1)?;
                self.replay_old_heartbeat(from, incarnation, sequence);
            }
            "stopped" => {
                let target = TargetId(args.next_pos().ok_or("target missing")?.parse()?);
                let bound_ms = key_or(&mut args, "within", 3_000)?;
                output = self.stopped_within(target, bound_ms);
            }
            "placeable" => {
                output = self.by_entry(|n, t| n.liveness().is_some_and(|v| v.placeable(t)));
            }
            "lost" => {
                output = self.by_entry(|n, t| n.liveness().is_some_and(|v| v.confirmed_lost(t)));
            }
            "peers" => {
                output = self.peer_states(parse_node(args.next_pos().ok_or("agent missing")?)?)?
            }
            "admits" => {
                let id = parse_node(args.next_pos().ok_or("agent missing")?)?;
                let node = self.cluster.node(id).ok_or("no such process")?;
                output = format!("{}\n", if node.is_leaving() { "no" } else { "yes" });
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(output)
    }
}
