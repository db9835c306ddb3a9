//! Measures the traffic of heartbeats and verdicts in a fleet without failures, on virtual time.

use fes_membership::simulation::measure_traffic;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::RegionPaths;

use super::DesignSize;
use super::Point;
use super::Slope;

/// Divisors of the design size for the simulated fleets; 1 stands for the whole fleet.
const DIVISORS: [u32; 4] = [8, 4, 2, 1];

const LOSS_RATE: f64 = 0.01;
const DUPLICATION_RATE: f64 = 0.001;
const DURATION_MS: u64 = 10_000;

pub(super) fn slopes(design: &DesignSize, seed: u64) -> Vec<Slope> {
    let mut agent = Vec::new();
    let mut entry = Vec::new();
    for divisor in DIVISORS {
        let part = design.scaled(1.0 / f64::from(divisor));
        let shape = FleetShape::scaled(
            part.entries as u32,
            part.services as u32,
            part.targets as u32,
        );
        let paths = RegionPaths::with_loss(LOSS_RATE, DUPLICATION_RATE);
        let report = measure_traffic(&shape, paths, DURATION_MS, seed);
        let point = |bytes_per_s: u64| Point {
            size: part.targets,
            cost: bytes_per_s as f64,
        };
        agent.push(point(report.agent_sent_max + report.agent_received_max));
        entry.push(point(report.entry_sent_max + report.entry_received_max));
    }
    vec![
        Slope::new("membership_traffic_agent_max", "targets", "bytes/s", agent),
        Slope::new("membership_traffic_entry_max", "targets", "bytes/s", entry),
    ]
}
