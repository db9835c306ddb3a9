//! Checks, the interpreter of scenario files and the generator of histories.
#![allow(dead_code, reason = "each test target uses a part of the support code")]

pub mod checks;
pub mod history;
pub mod script;
