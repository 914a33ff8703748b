//! Clients of the platform: one `Service` trait and one HTTP adapter per platform interface.
//!
//! The traits target a single-threaded runtime, so their futures are not required to be `Send`.
//! Adapters are cheap to clone, and clones share one connection pool.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod list;
pub mod log;
pub mod service;
pub mod transport;
pub mod weights;

pub use mgw_report::report;
