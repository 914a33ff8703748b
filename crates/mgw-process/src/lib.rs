//! Runs a whole deployment as child processes on loopback addresses, for the demo, the process
//! tests and the latency measurement.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod client;
pub mod fleet;
pub mod process;
