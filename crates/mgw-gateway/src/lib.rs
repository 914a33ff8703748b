//! The gateway daemon: sockets, clock and logs around the decisions of `mgw-fleet`.
//!
//! One thread runs everything. The state lies in [`gate::Gate`]; it is borrowed for the length of a
//! decision and never across a wait.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod blame;
pub mod clock;
pub mod connection;
pub mod exchange;
pub mod flight;
pub mod follow;
pub mod forward;
pub mod front;
pub mod gate;
pub mod journal;
pub mod metrics;
pub mod office;
pub mod pool;
pub mod reply;
pub mod run;
pub mod share;
pub mod steer;
pub mod store;
pub mod tick;
