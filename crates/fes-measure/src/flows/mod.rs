//! Simulation of flows through entries and agents during ticket changes, key rotations and crashes.

mod fleet;
mod liveness;
mod packet;
mod plan;
mod process;
mod round_trip;

pub(crate) use fleet::FlowFleet;
pub(crate) use fleet::FlowResult;
