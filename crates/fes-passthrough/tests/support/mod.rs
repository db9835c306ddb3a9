//! A small world on virtual time: clients, routers, entries, agents and targets with the rules of
//! pass-through flows, and a record of what callers and targets see.

#![allow(dead_code, reason = "each test binary uses a part of it")]

pub mod client;
pub mod fixtures;
pub mod script;
pub mod target;
pub mod world;
