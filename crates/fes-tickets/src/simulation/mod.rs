//! Simulation of a fleet in virtual time, for scenarios, history checks and measurements. Only the
//! network and the platform are simulated; each process runs the production code of
//! [`crate::Distribution`].
//!
//! Here, a fleet consists of all entries and agents. In a ticket, a fleet is the entries of one
//! data centre.

mod convergence;
mod fleet;
mod network_paths;
mod platform;
mod shape;
mod trace;

pub use convergence::ConvergenceReport;
pub use convergence::ConvergenceSettings;
pub use convergence::measure_convergence;
pub use fleet::Participant;
pub use fleet::SimulatedFleet;
pub use network_paths::RegionPaths;
pub use platform::AddressedAnswer;
pub use platform::PlatformState;
pub use platform::SimulatedPlatform;
pub use shape::FleetShape;
pub use trace::Trace;
pub use trace::TraceEvent;
