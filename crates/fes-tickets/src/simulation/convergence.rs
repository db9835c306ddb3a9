//! Measures the time until a ticket is in force at all processes.

use fes_protocol::ObjectKey;
use fes_protocol::ServiceId;
use fes_protocol::TicketNumber;

use crate::HighestWins;
use crate::simulation::FleetShape;
use crate::simulation::RegionPaths;
use crate::simulation::SimulatedFleet;

/// Time before the ticket is published, in which the readers start their watches.
const WARM_UP_MS: u64 = 12_000;
/// Last part of the warm-up, in which the traffic without changes is measured.
const STEADY_STATE_MS: u64 = 6_000;
/// Time after the publication at which the measurement stops.
const LIMIT_MS: u64 = 60_000;

/// Settings of a measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct ConvergenceSettings {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Quality of the network paths.
    pub paths: RegionPaths,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Result of a measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConvergenceReport {
    /// Number of processes.
    pub process_count: usize,
    /// Number of processes at which the ticket was in force within the limit of 60 s.
    pub reached_count: usize,
    /// Time from the publication until the ticket was in force at half of the processes, in
    /// milliseconds.
    pub median_ms: u64,
    /// Time until it was in force at 99 % of the processes, in milliseconds.
    pub p99_ms: u64,
    /// Time until it was in force at the last process, in milliseconds.
    pub last_ms: u64,
    /// Maximum number of reads of the platform in one second, waiting watches included.
    pub peak_platform_reads_per_second: u64,
    /// Mean number of bytes that a process sent per second without changes.
    pub mean_sent_bytes_per_second: u64,
    /// Maximum number of bytes that any process sent per second without changes.
    pub max_sent_bytes_per_second: u64,
    /// Mean number of bytes that a process sent because of the ticket.
    pub mean_ticket_bytes: u64,
    /// Maximum number of bytes that any process sent because of the ticket.
    pub max_ticket_bytes: u64,
}

/// Publishes a ticket in a fleet in steady state and measures its propagation.
#[must_use]
pub fn measure_convergence(settings: &ConvergenceSettings) -> ConvergenceReport {
    let shape = &settings.shape;
    let mut fleet: SimulatedFleet<HighestWins> =
        SimulatedFleet::new(shape, settings.paths, settings.seed);
    fleet.run_ms(WARM_UP_MS - STEADY_STATE_MS);
    let before_steady_state = fleet.sent_bytes();
    fleet.run_ms(STEADY_STATE_MS);
    let before_ticket = fleet.sent_bytes();
    let steady_state_bytes = growth(&before_steady_state, &before_ticket);
    let number = TicketNumber(u64::from(shape.service_count) + 2);
    let service = ServiceId(1);
    let target = shape.service(service).upstreams[0].target;
    let published_at = fleet.now();
    fleet.publish(shape.leaving_ticket(number, service, &[target]));
    let process_count = fleet.nodes().len();
    let object = ObjectKey::Service(service);
    let mut reached_after_ms = Vec::with_capacity(process_count);
    let mut seen_events = 0;
    fleet.run_until(published_at.plus_ms(LIMIT_MS), |fleet| {
        let events = fleet.trace.events();
        for event in &events[seen_events..] {
            if event.object == object && event.after.number == number {
                reached_after_ms.push(event.at.ms_since(published_at));
            }
        }
        seen_events = events.len();
        reached_after_ms.len() == process_count
    });
    reached_after_ms.sort_unstable();
    let time_at_share = |share: f64| {
        let position = (share * process_count as f64).ceil() as usize;
        reached_after_ms
            .get(position.saturating_sub(1))
            .copied()
            .unwrap_or(LIMIT_MS)
    };
    let measured_ms = fleet.now().ms_since(published_at);
    let sent = growth(&before_ticket, &fleet.sent_bytes());
    let because_of_ticket: Vec<u64> = sent
        .iter()
        .zip(&steady_state_bytes)
        .map(|(sent, steady_state_bytes)| {
            sent.saturating_sub(steady_state_bytes * measured_ms / STEADY_STATE_MS)
        })
        .collect();
    let per_second = |bytes: u64| bytes * 1_000 / STEADY_STATE_MS;
    ConvergenceReport {
        process_count,
        reached_count: reached_after_ms.len(),
        median_ms: time_at_share(0.5),
        p99_ms: time_at_share(0.99),
        last_ms: time_at_share(1.0),
        peak_platform_reads_per_second: fleet.platform.peak_reads_per_second(),
        mean_sent_bytes_per_second: per_second(mean(&steady_state_bytes)),
        max_sent_bytes_per_second: per_second(steady_state_bytes.into_iter().max().unwrap_or(0)),
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
