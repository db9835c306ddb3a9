//! A fleet of daemon processes on loopback addresses, with test doubles of its environment.
#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

mod addresses;
mod daemon;
mod fleet;
mod workload;

pub use fleet::Fleet;
pub use workload::Workload;
