//! Runs every part as a process of its own on the loopback range, for the demo, tests and
//! measurements.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod client;
pub mod fleet;
pub mod process;
