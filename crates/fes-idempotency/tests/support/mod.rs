//! Simulated agents, upstreams, links and clients on virtual time, around the real decisions.
#![allow(dead_code, reason = "each test target uses a part of the support code")]

pub mod agent;
pub mod broken;
pub mod checks;
pub mod history;
pub mod hosting;
pub mod network;
pub mod script;
pub mod upstream;
pub mod world;
