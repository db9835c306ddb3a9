//! A fleet of real daemons over loopback, with test doubles of everything around them.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

mod addresses;
mod daemon;
mod fleet;
mod workload;

pub use fleet::Fleet;
pub use workload::Workload;
