//! Runner of scenario scripts against a simulated fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::str::FromStr;

use fes_protocol::EntryId;
use fes_protocol::NodeId;
use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_tickets::DistributionReport;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::Participant;
use fes_tickets::simulation::PlatformState;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::SimulatedFleet;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;

type ScriptResult<T> = Result<T, Box<dyn Error>>;

/// Runs the commands of a script against a simulated fleet.
pub struct ScenarioRunner {
    shape: FleetShape,
    fleet: SimulatedFleet,
    shown_report_count: usize,
    partially_applied_count: usize,
}

impl ScenarioRunner {
    pub fn new() -> Self {
        Self::with_shape(FleetShape::scaled(5, 2, 6), 1)
    }

    fn with_shape(shape: FleetShape, seed: u64) -> Self {
        let fleet = SimulatedFleet::new(&shape, RegionPaths::with_loss(0.0, 0.0), seed);
        Self {
            shape,
            fleet,
            shown_report_count: 0,
            partially_applied_count: 0,
        }
    }

    /// Creates a ticket that carries the given services, whose upstreams have the given slots.
    fn ticket(&self, number: u64, services: &str, slots: u32) -> ScriptResult<Ticket> {
        let mut objects = Vec::new();
        for id in services.split(',') {
            let mut spec = self.shape.service(ServiceId(id.parse()?));
            for upstream in &mut spec.upstreams {
                upstream.slots = slots;
            }
            objects.push(TicketObject::Service(spec.into()));
        }
        Ok(Ticket {
            number: TicketNumber(number),
            objects,
        })
    }

    /// Returns the processes grouped by the ticket and slots of a service that are in force.
    fn in_force(&self, id: ServiceId) -> String {
        let mut groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for node in self.fleet.nodes() {
            let Some(snapshot) = self.fleet.snapshot(*node) else {
                continue;
            };
            let answer = snapshot.service(id).map_or_else(
                || "nothing".to_owned(),
                |service| {
                    let slots = service.value.upstreams.first().map_or(0, |u| u.slots);
                    format!("ticket {} with {slots} slots", service.version.number)
                },
            );
            groups.entry(answer).or_default().push(node.to_string());
        }
        let count = self.fleet.nodes().len();
        let line = |(answer, nodes): (String, Vec<String>)| {
            let names = if nodes.len() == count {
                "all".to_owned()
            } else {
                nodes.join(" ")
            };
            format!("{answer}: {names}\n")
        };
        groups.into_iter().map(line).collect()
    }

    fn readers(&self) -> Vec<NodeId> {
        let nodes = self.fleet.nodes().iter().copied();
        let is_reader = |node: &NodeId| {
            let process = self.fleet.distribution(*node);
            process.is_some_and(fes_tickets::Distribution::is_reader)
        };
        nodes.filter(is_reader).collect()
    }

    /// Returns the reports since the last call without duplicates.
    fn reports(&mut self) -> String {
        let new = &self.fleet.reports[self.shown_report_count..];
        let line = |report: &DistributionReport| format!("F{} {report}\n", report.code().number());
        let lines: BTreeSet<String> = new.iter().map(|(_, report)| line(report)).collect();
        self.shown_report_count = self.fleet.reports.len();
        lines.into_iter().collect()
    }

    fn partition(&mut self, region: &str, platform: &str) {
        let is_inside = |id: &NodeId| {
            let data_centre = self.fleet.data_centre(*id);
            data_centre.is_some_and(|data_centre| data_centre.as_str().starts_with(region))
        };
        let (inside_nodes, outside_nodes): (Vec<NodeId>, Vec<NodeId>) =
            self.fleet.nodes().iter().copied().partition(is_inside);
        for a in &inside_nodes {
            for b in &outside_nodes {
                self.fleet
                    .block(Participant::Node(*a), Participant::Node(*b));
                self.fleet
                    .block(Participant::Node(*b), Participant::Node(*a));
            }
        }
        let without_platform = match platform {
            "inside" => outside_nodes,
            "outside" => inside_nodes,
            "none" => [inside_nodes, outside_nodes].concat(),
            _ => Vec::new(),
        };
        for node in without_platform {
            self.fleet
                .block(Participant::Node(node), Participant::Platform);
            self.fleet
                .block(Participant::Platform, Participant::Node(node));
        }
    }

    /// Runs the fleet and counts the processes with a partially applied ticket after every event:
    /// services 1 and 2 are in force with different ticket numbers, of which at least one is from
    /// the script (10 or above). This is only meaningful if each ticket of the script carries both
    /// services.
    fn run_and_check(&mut self, duration_ms: u64) {
        let until = self.fleet.now().plus_ms(duration_ms);
        let mut partially_applied_count = 0;
        self.fleet.run_until(until, |fleet| {
            for node in fleet.nodes() {
                let Some(snapshot) = fleet.snapshot(*node) else {
                    continue;
                };
                let first = snapshot.version_of(&ObjectKey::Service(ServiceId(1)));
                let second = snapshot.version_of(&ObjectKey::Service(ServiceId(2)));
                let number = |v: Option<fes_tickets::TicketVersion>| v.map_or(0, |v| v.number.0);
                let differ = number(first) != number(second);
                partially_applied_count +=
                    usize::from(differ && number(first).max(number(second)) >= 10);
            }
            false
        });
        self.partially_applied_count += partially_applied_count;
    }
}

fn key_or_default<T: FromStr>(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
    default: T,
) -> ScriptResult<T>
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
    let (kind, number) = text.split_once('-').ok_or("use entry-N or agent-N")?;
    let number: u32 = number.parse()?;
    match kind {
        "entry" => Ok(NodeId::Entry(EntryId(number))),
        "agent" => Ok(NodeId::Agent(TargetId(number))),
        _ => Err("use entry-N or agent-N".into()),
    }
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> ScriptResult<String> {
        let mut args = command.consume_args();
        let mut output = String::new();
        match command.name.as_str() {
            "fleet" => {
                let entries = key_or_default(&mut args, "entries", 5)?;
                let services = key_or_default(&mut args, "services", 2)?;
                let targets = key_or_default(&mut args, "targets", 6)?;
                let seed = key_or_default(&mut args, "seed", 1)?;
                let shape = FleetShape::scaled(entries, services, targets);
                *self = Self::with_shape(shape, seed);
            }
            "loss" => {
                let percent: f64 = args.next_pos().ok_or("percent")?.parse()?;
                let paths = RegionPaths::with_loss(percent / 100.0, percent / 1_000.0);
                self.fleet.set_paths(paths);
            }
            "run" => {
                let ms: u64 = args.next_pos().ok_or("milliseconds")?.parse()?;
                self.run_and_check(ms);
            }
            "skip" => {
                let ms: u64 = args.next_pos().ok_or("milliseconds")?.parse()?;
                self.fleet.run_ms(ms);
            }
            "publish" => {
                let number = args.next_pos().ok_or("number")?.parse()?;
                let services = key_or_default(&mut args, "services", "1".to_owned())?;
                let slots = key_or_default(&mut args, "slots", 4)?;
                let ticket = self.ticket(number, &services, slots)?;
                self.fleet.publish(ticket);
            }
            "push" => {
                let from = parse_node(args.next_pos().ok_or("from")?)?;
                let to = parse_node(args.next_pos().ok_or("to")?)?;
                let number = args.next_pos().ok_or("number")?.parse()?;
                let services = key_or_default(&mut args, "services", "1".to_owned())?;
                let slots = key_or_default(&mut args, "slots", 4)?;
                let ticket = self.ticket(number, &services, slots)?;
                self.fleet.inject(to, from, ticket);
            }
            "platform" => match args.next_pos().ok_or("state")? {
                "up" => self.fleet.platform.state = PlatformState::Up,
                "down" => self.fleet.platform.state = PlatformState::Down,
                "stale" => {
                    let index = self.fleet.platform.index();
                    self.fleet.platform.state = PlatformState::StaleAt(index);
                }
                "rollback" => self
                    .fleet
                    .platform
                    .roll_back(key_or_default(&mut args, "tickets", 1)?),
                "reads" => {
                    let peak = self.fleet.platform.peak_reads_per_second();
                    let bound = key_or_default(&mut args, "at-most", 2_000)?;
                    output = if peak <= bound {
                        format!("at most {bound} reads/s\n")
                    } else {
                        format!("{peak} reads/s\n")
                    };
                }
                state => return Err(format!("unknown state {state}").into()),
            },
            "partition" => {
                let platform = key_or_default(&mut args, "platform", "both".to_owned())?;
                let region = args.next_pos().ok_or("region")?;
                self.partition(region, &platform);
            }
            "heal" => self.fleet.heal(),
            "isolate" => {
                let node = Participant::Node(parse_node(args.next_pos().ok_or("process")?)?);
                let others = self.fleet.nodes().iter().copied().map(Participant::Node);
                let others: Vec<Participant> = others.chain([Participant::Platform]).collect();
                for other in others {
                    self.fleet.block(node, other);
                    self.fleet.block(other, node);
                }
            }
            "pause-readers" => {
                let ms: u64 = args.next_pos().ok_or("milliseconds")?.parse()?;
                for node in self.readers() {
                    self.fleet.pause(node, ms);
                }
            }
            "pause" => {
                let node = parse_node(args.next_pos().ok_or("process")?)?;
                let ms: u64 = args.next_pos().ok_or("milliseconds")?.parse()?;
                self.fleet.pause(node, ms);
            }
            "restart" => self
                .fleet
                .restart(parse_node(args.next_pos().ok_or("process")?)?),
            "in-force" => {
                let id: u32 = args.next_pos().ok_or("service")?.parse()?;
                output = self.in_force(ServiceId(id));
            }
            "ready" => {
                let node = parse_node(args.next_pos().ok_or("process")?)?;
                let process = self.fleet.distribution(node).ok_or("no such process")?;
                output = format!("{}\n", if process.is_ready() { "yes" } else { "no" });
            }
            "readers" => {
                let readers: Vec<String> = self.readers().iter().map(NodeId::to_string).collect();
                output = format!("{}\n", readers.join(" "));
            }
            "reports" => output = self.reports(),
            "decreases" => output = format!("{}\n", self.fleet.trace.decreases().count()),
            "half-applied" => output = format!("{}\n", self.partially_applied_count),
            "converged" => output = format!("{}\n", self.fleet.has_converged()),
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(output)
    }
}
