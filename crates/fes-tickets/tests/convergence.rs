//! Guards against a ticket that takes more than 7 s to be in force at all processes, against
//! readers that exceed the platform's limit of 2,000 reads per second, and against processes that
//! send more than 3,000 bytes per second.
//!
//! `FES_CONVERGENCE_FULL=1` adds the two largest fleets, up to the full design size.

use fes_tickets::simulation::ConvergenceReport;
use fes_tickets::simulation::ConvergenceSettings;
use fes_tickets::simulation::FleetShape;
use fes_tickets::simulation::RegionPaths;
use fes_tickets::simulation::measure_convergence;

const CHANGES_PER_DAY: u64 = 2_100;
const SECONDS_PER_DAY: u64 = 86_400;
const SEED: u64 = 20_260_731;

fn measure(entry_count: u32, service_count: u32, target_count: u32) -> ConvergenceReport {
    measure_convergence(&ConvergenceSettings {
        shape: FleetShape::scaled(entry_count, service_count, target_count),
        paths: RegionPaths::with_loss(0.01, 0.001),
        seed: SEED,
    })
}

#[test]
fn a_ticket_is_in_force_everywhere_within_seven_seconds() {
    let mut sizes = vec![(10, 12, 80), (40, 60, 400), (100, 150, 1_000)];
    if std::env::var_os("FES_CONVERGENCE_FULL").is_some() {
        sizes.push((400, 600, 4_000));
        sizes.push((790, 1_200, 8_000));
    }
    for (entry_count, service_count, target_count) in sizes {
        let report = measure(entry_count, service_count, target_count);
        println!("seed {SEED}: {report:?}");

        assert_eq!(report.reached_count, report.process_count, "{report:?}");
        assert!(report.last_ms <= 7_000, "{report:?}");
        assert!(report.peak_platform_reads_per_second <= 2_000, "{report:?}");
        let ticket_bytes_per_second = report.max_ticket_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
        let sent_bytes_per_second = report.max_sent_bytes_per_second + ticket_bytes_per_second;
        assert!(sent_bytes_per_second <= 3_000, "{report:?}");
    }
}
