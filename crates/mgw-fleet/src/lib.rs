//! Decisions of the gateway, without input or output.
//!
//! The edges hand in what the platform's store, the servers and the callers say, with the time, and
//! carry out what the functions here decide.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod balance;
pub mod config;
pub mod entry;
pub mod feed;
pub mod freshness;
pub mod group;
pub mod peer_load;
pub mod plan;
pub mod roster;
pub mod shutdown;
pub mod source;
