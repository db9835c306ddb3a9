//! Runs all capacity measurements.

use super::CapacityReport;
use super::DesignSize;
use super::control_messages;
use super::convergence;
use super::datagram;
use super::idempotency;
use super::membership;
use super::pass_through;
use super::routing;
use super::tickets;

/// Measures all slopes on this machine and derives the budget at the required size.
///
/// Times and memory differ between runs; message sizes and the results on virtual time depend on
/// `seed` only.
#[must_use]
pub fn run_capacity(seed: u64) -> CapacityReport {
    let design = DesignSize::required();
    let mut slopes = routing::slopes(&design);
    slopes.extend(pass_through::slopes(&design));
    slopes.extend(datagram::slopes());
    slopes.extend(tickets::slopes(&design));
    slopes.extend(control_messages::slopes());
    slopes.extend(idempotency::slopes());
    slopes.extend(membership::slopes(&design, seed));
    slopes.extend(convergence::slopes(&design, seed));
    CapacityReport::new(design, slopes)
}
