//! A fleet of [`crate::Distribution`]s on virtual time, for scenarios, history checks and
//! measurements. Only the network and the platform are simulated; all decisions are the real ones.

mod convergence;
mod fleet;
mod paths;
mod platform;
mod shape;
mod trace;

pub use convergence::ConvergenceReport;
pub use convergence::ConvergenceSettings;
pub use convergence::measure_convergence;
pub use fleet::Participant;
pub use fleet::SimulatedFleet;
pub use paths::RegionPaths;
pub use platform::Answer;
pub use platform::PlatformState;
pub use platform::SimulatedPlatform;
pub use shape::FleetShape;
pub use trace::Trace;
pub use trace::TraceEvent;
