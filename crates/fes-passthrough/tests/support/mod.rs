//! Simulation on virtual time of clients, routers, entries, agents and targets that follow the
//! rules of pass-through flows. It records what clients and targets observe.

#![allow(dead_code, reason = "each test binary uses a part of it")]

pub mod actions;
pub mod client;
pub mod entry_fleet;
pub mod fixtures;
pub mod interventions;
pub mod script;
pub mod simulation;
pub mod target;
