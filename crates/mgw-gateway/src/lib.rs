//! The gateway daemon: does the I/O, and leaves decisions such as placement, planning and the
//! choice of a data source to `mgw-fleet`.
//!
//! Each gateway process is called an *entry*. It proxies the requests of callers to backend servers
//! and learns the configuration, the servers and the other entries from the platform's store,
//! either by reading it or by following another entry that does. One entry at a time is the
//! *planner*, which forms groups of model engines.
//!
//! All tasks run on one thread; only the writer of the event log has its own. The state is in
//! [`gateway::Gateway`]. It is borrowed only for a synchronous step, never across an `await`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod admission;
pub mod blame;
pub mod callers;
pub mod clock;
pub mod connection;
pub mod control;
pub mod crash;
pub mod evacuations;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod gateway;
pub mod gossip;
pub mod in_flight;
pub mod journal;
pub mod limit;
pub mod memory;
pub mod metrics;
pub mod notice;
pub mod plain_work;
pub mod pool;
pub mod reload;
pub mod reply;
pub mod run;
pub mod servers;
pub mod startup;
pub mod store;
pub mod tick;
pub mod topics;
pub mod verify;
pub mod work;
