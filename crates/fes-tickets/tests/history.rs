//! Guards against ticket numbers that decrease at a process, processes that don't converge, and
//! tickets that are partially applied, in random sequences of tickets and failures.
//!
//! `FES_HISTORY_RUNS` sets the number of runs, `FES_HISTORY_SEED` the first seed. A failing run
//! prints its seed and its trace, one event per line.

use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use fes_protocol::TicketObject;
use fes_tickets::HighestWins;
use fes_tickets::Precedence;
use fes_tickets::TicketVersion;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::Participant;
use fes_tickets::simulation::PlatformState;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::SimulatedFleet;
use fes_tickets::simulation::TraceEvent;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DEFAULT_RUNS: u64 = 200;
const STEPS: usize = 40;
const CONVERGENCE_TIME_MS: u64 = 40_000;

/// Incorrect precedence rule: the ticket that arrives last is in force.
#[derive(Debug, Clone, Copy, Default)]
struct LastArrivalWins;

impl Precedence for LastArrivalWins {
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool {
        offered != in_force
    }
}

/// Incorrect precedence rule: of two different tickets with the same number, the one that arrives
/// first stays in force.
#[derive(Debug, Clone, Copy, Default)]
struct FirstOfEqualsWins;

impl Precedence for FirstOfEqualsWins {
    fn replaces(offered: TicketVersion, in_force: TicketVersion) -> bool {
        offered.number > in_force.number
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn random_ticket(shape: &FleetShape, random: &mut ChaCha8Rng) -> Ticket {
    let mut objects = Vec::new();
    for id in 1..=shape.service_count {
        if id == 1 || random.random_bool(0.4) {
            let mut spec = shape.service(ServiceId(id));
            spec.upstreams[0].slots = random.random_range(1..=3);
            objects.push(TicketObject::Service(spec.into()));
        }
    }
    Ticket {
        // The range is small, so that conflicts and stale tickets are frequent.
        number: TicketNumber(random.random_range(10..30)),
        objects,
    }
}

fn random_node<P: Precedence>(fleet: &SimulatedFleet<P>, random: &mut ChaCha8Rng) -> NodeId {
    let nodes = fleet.nodes();
    nodes[random.random_range(0..nodes.len())]
}

fn partition<P: Precedence>(fleet: &mut SimulatedFleet<P>, random: &mut ChaCha8Rng) {
    let nodes = fleet.nodes().to_vec();
    let sides: Vec<bool> = nodes.iter().map(|_| random.random_bool(0.5)).collect();
    for (a, side_a) in nodes.iter().zip(&sides) {
        for (b, side_b) in nodes.iter().zip(&sides) {
            if side_a != side_b {
                fleet.block(Participant::Node(*a), Participant::Node(*b));
            }
        }
        if random.random_bool(0.5) {
            fleet.block(Participant::Node(*a), Participant::Platform);
        }
    }
}

fn step<P: Precedence>(shape: &FleetShape, fleet: &mut SimulatedFleet<P>, random: &mut ChaCha8Rng) {
    match random.random_range(0..12) {
        0..=2 => fleet.publish(random_ticket(shape, random)),
        3..=4 => {
            let from = random_node(fleet, random);
            let to = random_node(fleet, random);
            fleet.inject(to, from, random_ticket(shape, random));
        }
        5 => partition(fleet, random),
        6 => fleet.heal(),
        7 => {
            let node = random_node(fleet, random);
            fleet.pause(node, random.random_range(100..15_000));
        }
        8 => {
            let node = random_node(fleet, random);
            fleet.restart(node);
        }
        9 => fleet.platform.state = PlatformState::Down,
        10 => fleet.platform.state = PlatformState::StaleAt(random.random_range(0..20)),
        _ => {
            fleet.platform.state = PlatformState::Up;
            fleet.platform.roll_back(random.random_range(0..3));
        }
    }
}

/// Returns the description of a ticket that is partially applied at a process.
fn partially_applied<P: Precedence>(fleet: &SimulatedFleet<P>) -> Option<String> {
    for node in fleet.nodes() {
        let snapshot = fleet.snapshot(*node)?;
        for (version, ticket) in snapshot.tickets() {
            let lags = |object: &TicketObject| {
                let in_force = snapshot.version_of(&object.key());
                in_force.is_none_or(|held| held < version)
            };
            if ticket.objects.iter().any(lags) {
                return Some(format!("{node} has partially applied ticket {version}"));
            }
        }
    }
    None
}

/// Runs the fleet for a duration, or until a ticket number decreases. Returns whether one
/// decreased. Without this stop, an incorrect store could send tickets in circles forever.
fn run_checked<P: Precedence>(fleet: &mut SimulatedFleet<P>, duration_ms: u64) -> bool {
    let until = fleet.now().plus_ms(duration_ms);
    let mut seen = fleet.trace.events().len();
    fleet.run_until(until, |fleet| {
        let events = fleet.trace.events();
        let decreased = events[seen..].iter().any(TraceEvent::is_decrease);
        seen = events.len();
        decreased
    })
}

/// Runs one random sequence. Returns the violation and the trace if an invariant is violated.
fn run_history<P: Precedence>(seed: u64) -> Result<(), String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let shape = FleetShape::scaled(
        random.random_range(3..8),
        random.random_range(1..4),
        random.random_range(4..12),
    );
    let paths = RegionPaths::with_loss(random.random_range(0.0..0.2), 0.05);
    let mut fleet = SimulatedFleet::<P>::new(&shape, paths, seed);
    let mut violation = None;
    let mut decreased = false;
    for _ in 0..STEPS {
        step(&shape, &mut fleet, &mut random);
        decreased = run_checked(&mut fleet, random.random_range(0..2_000));
        if decreased {
            break;
        }
        violation = violation.or_else(|| partially_applied(&fleet));
    }
    fleet.heal();
    fleet.platform.state = PlatformState::Up;
    if !decreased {
        run_checked(&mut fleet, CONVERGENCE_TIME_MS);
    }
    if let Some(event) = fleet.trace.decreases().next() {
        violation = Some(format!("a ticket number decreased: {event}"));
    } else if !fleet.has_converged() {
        violation = Some("the processes didn't converge after the end of all failures".to_owned());
    }
    match violation {
        None => Ok(()),
        Some(violation) => Err(format!("seed {seed}: {violation}\n{}", fleet.trace)),
    }
}

fn first_violation<P: Precedence>(first_seed: u64, runs: u64) -> Option<String> {
    (first_seed..first_seed + runs).find_map(|seed| run_history::<P>(seed).err())
}

#[test]
fn numbers_never_decrease_and_all_processes_converge() {
    let runs = env_number("FES_HISTORY_RUNS", DEFAULT_RUNS);
    let first_seed = env_number("FES_HISTORY_SEED", 1);
    println!("seeds {first_seed} to {}", first_seed + runs - 1);

    let violation = first_violation::<HighestWins>(first_seed, runs);

    assert_eq!(violation, None);
}

#[test]
fn the_check_notices_a_store_that_accepts_lower_numbers() {
    let violation = first_violation::<LastArrivalWins>(1, 20).expect("a violation");

    assert!(
        violation.contains("a ticket number decreased"),
        "{violation}"
    );
    assert!(
        violation.lines().count() > 2,
        "the trace has no events: {violation}"
    );
}

#[test]
fn the_check_notices_a_store_that_keeps_the_first_of_two_conflicting_tickets() {
    let violation = first_violation::<FirstOfEqualsWins>(1, 50).expect("a violation");

    assert!(violation.contains("didn't converge"), "{violation}");
}
