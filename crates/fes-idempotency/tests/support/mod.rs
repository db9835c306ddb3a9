//! Checks, the scenario language and the generator of seeded runs.
#![allow(dead_code, reason = "each test target uses a part of the support code")]

pub mod checks;
pub mod history;
pub mod script;
