//! Flows through entries and agents while tickets, keys and processes change.

mod fleet;
mod liveness;
mod packet;
mod plan;
mod process;
mod route;

pub(crate) use fleet::FlowFleet;
pub(crate) use fleet::FlowResult;
