//! The agent daemon as a library.
#![allow(dead_code)]

mod quic;
