//! Measures the propagation of a ticket through the whole fleet, on virtual time.

use fes_tickets::simulation::ConvergenceSettings;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::measure_convergence;

use super::DesignSize;
use super::Point;
use super::Slope;

/// Divisors of the design size for the simulated fleets; 1 stands for the whole fleet.
const DIVISORS: [u32; 4] = [8, 4, 2, 1];

const LOSS_RATE: f64 = 0.01;
const DUPLICATION_RATE: f64 = 0.001;

pub(super) fn slopes(design: &DesignSize, seed: u64) -> Vec<Slope> {
    let mut in_force = Vec::new();
    let mut reads = Vec::new();
    let mut steady = Vec::new();
    let mut per_ticket = Vec::new();
    for divisor in DIVISORS {
        let part = design.scaled(1.0 / f64::from(divisor));
        let shape = FleetShape::scaled(
            part.entries as u32,
            part.services as u32,
            part.targets as u32,
        );
        let settings = ConvergenceSettings {
            shape,
            paths: RegionPaths::with_loss(LOSS_RATE, DUPLICATION_RATE),
            seed,
        };
        let report = measure_convergence(&settings);
        let size = report.process_count as f64;
        let reached_all = report.reached_count == report.process_count;
        let last_ms = if reached_all {
            report.last_ms as f64
        } else {
            f64::INFINITY
        };
        in_force.push(Point {
            size,
            cost: last_ms,
        });
        reads.push(Point {
            size,
            cost: report.peak_platform_reads_per_second as f64,
        });
        // The simulation counts only sent bytes. On average a process receives as much as it sends,
        // so the mean sent approximates the traffic received.
        let steady_bytes = report.max_sent_bytes_per_second + report.mean_sent_bytes_per_second;
        steady.push(Point {
            size,
            cost: steady_bytes as f64,
        });
        let ticket_bytes = report.max_ticket_bytes + report.mean_ticket_bytes;
        per_ticket.push(Point {
            size,
            cost: ticket_bytes as f64,
        });
    }
    vec![
        Slope::new("ticket_in_force_everywhere", "processes", "ms", in_force),
        Slope::new("platform_reads_peak", "processes", "reads/s", reads),
        Slope::new("ticket_traffic_steady_max", "processes", "bytes/s", steady),
        Slope::new(
            "ticket_traffic_per_change_max",
            "processes",
            "bytes",
            per_ticket,
        ),
    ]
}
