//! The gateway daemon: sockets, clock and logs around the decisions of `mgw-fleet`.
//!
//! One thread runs everything. The state lies in [`gateway::Gateway`]; it is borrowed for the length of a
//! decision and never across a wait.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod callers;
pub mod clock;
pub mod connection;
pub mod control;
pub mod crash;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod gateway;
pub mod gossip;
pub mod in_flight;
pub mod journal;
pub mod metrics;
pub mod pool;
pub mod reply;
pub mod run;
pub mod store;
pub mod tick;
pub mod topics;
