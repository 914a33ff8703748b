//! Decision logic of the gateway, free of I/O.
//!
//! The functions here take what the platform's store, the servers and the callers report, together
//! with the current time, and return decisions. `mgw-gateway` performs the I/O and carries the
//! decisions out.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod ceiling;
mod codec;
pub mod cold_report;
pub mod config;
pub mod crash_report;
pub mod entry;
pub mod evacuation;
pub mod fan_out;
pub mod feed;
pub mod freshness;
pub mod group;
pub mod members;
pub mod notice;
pub mod peer_load;
pub mod plan;
pub mod position;
pub mod rate;
pub mod rate_report;
pub mod roster;
pub mod shutdown;
pub mod source;
pub mod work;
