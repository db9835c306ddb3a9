//! Measures how long a ticket takes to be in force everywhere.

use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::TicketNumber;

use crate::HighestWins;
use crate::simulation::FleetShape;
use crate::simulation::RegionPaths;
use crate::simulation::SimulatedFleet;

/// Time for readers to start their watches before the ticket is published.
const WARM_UP_MS: u64 = 12_000;
/// Last part of the warm-up, over which the traffic without changes is counted.
const STEADY_MS: u64 = 6_000;
const LIMIT_MS: u64 = 60_000;

/// What to measure.
#[derive(Debug, Clone, PartialEq)]
pub struct ConvergenceSettings {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Delays and loss.
    pub paths: RegionPaths,
    /// Seed of the run.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConvergenceReport {
    /// Processes.
    pub process_count: usize,
    /// Processes that had the ticket in force within the limit of 60 s.
    pub reached_count: usize,
    /// Milliseconds from publication until half of the processes had the ticket in force.
    pub median_ms: u64,
    /// Milliseconds until 99 % had it.
    pub p99_ms: u64,
    /// Milliseconds until the last one had it.
    pub last_ms: u64,
    /// Most reads of the platform in one second, waiting watches included.
    pub peak_platform_reads_per_second: u64,
    /// Mean bytes that a process sent per second while nothing changed.
    pub mean_sent_bytes_per_second: u64,
    /// Most bytes that any process sent per second while nothing changed.
    pub max_sent_bytes_per_second: u64,
    /// Mean bytes that a process sent because of the ticket.
    pub mean_ticket_bytes: u64,
    /// Most bytes that any process sent because of the ticket.
    pub max_ticket_bytes: u64,
}

/// Publishes a ticket in a settled fleet and measures its way through.
#[must_use]
pub fn measure_convergence(settings: &ConvergenceSettings) -> ConvergenceReport {
    let shape = &settings.shape;
    let mut fleet: SimulatedFleet<HighestWins> =
        SimulatedFleet::new(shape, settings.paths, settings.seed);
    fleet.run_ms(WARM_UP_MS - STEADY_MS);
    let before_steady = fleet.sent_bytes();
    fleet.run_ms(STEADY_MS);
    let before_ticket = fleet.sent_bytes();
    let steady = growth(&before_steady, &before_ticket);
    let number = TicketNumber(u64::from(shape.service_count) + 2);
    let service = ServiceId(1);
    let target = shape.service(service).upstreams[0].target;
    let published_at = fleet.now();
    fleet.publish(shape.leaving(number, service, &[target]));
    let process_count = fleet.nodes().len();
    let object = ObjectKey::Service(service);
    let mut reached = Vec::with_capacity(process_count);
    let mut seen_hops = 0;
    fleet.run_until(published_at.plus_ms(LIMIT_MS), |fleet| {
        let hops = fleet.trace.events();
        for hop in &hops[seen_hops..] {
            if hop.object == object && hop.after.number == number {
                reached.push(hop.at.ms_since(published_at));
            }
        }
        seen_hops = hops.len();
        reached.len() == process_count
    });
    reached.sort_unstable();
    let at_share = |share: f64| {
        let position = (share * process_count as f64).ceil() as usize;
        reached
            .get(position.saturating_sub(1))
            .copied()
            .unwrap_or(LIMIT_MS)
    };
    let spread_ms = fleet.now().ms_since(published_at);
    let sent = growth(&before_ticket, &fleet.sent_bytes());
    let because_of_ticket: Vec<u64> = sent
        .iter()
        .zip(&steady)
        .map(|(sent, steady)| sent.saturating_sub(steady * spread_ms / STEADY_MS))
        .collect();
    let per_second = |bytes: u64| bytes * 1_000 / STEADY_MS;
    ConvergenceReport {
        process_count,
        reached_count: reached.len(),
        median_ms: at_share(0.5),
        p99_ms: at_share(0.99),
        last_ms: at_share(1.0),
        peak_platform_reads_per_second: fleet.platform.peak_reads_per_second(),
        mean_sent_bytes_per_second: per_second(mean(&steady)),
        max_sent_bytes_per_second: per_second(steady.into_iter().max().unwrap_or(0)),
        mean_ticket_bytes: mean(&because_of_ticket),
        max_ticket_bytes: because_of_ticket.into_iter().max().unwrap_or(0),
    }
}

fn growth(before: &[u64], after: &[u64]) -> Vec<u64> {
    let pairs = after.iter().zip(before);
    pairs
        .map(|(after, before)| after.saturating_sub(*before))
        .collect()
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len().max(1) as u64
}
