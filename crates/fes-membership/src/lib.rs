//! Heartbeats, liveness, incarnations, clock jumps and process life cycle.

pub mod lifecycle;
