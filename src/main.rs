//! Thin binary; see the crates for the program.

fn main() {}
