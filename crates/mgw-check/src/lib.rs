//! Checks a configuration before it is sent.
//!
//! The input is what the product's own parsers return: the parts of a gateway's configuration
//! ([`config`]) or a sheet ([`sheet`]). What these parsers refuse is an error. What they accept
//! although it can never match, or contradicts itself, is a warning. [`change`] lists the differences
//! from the version in force. Nothing here does I/O.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod change;
pub mod config;
pub mod effect;
mod fields;
pub mod finding;
pub mod place;
pub mod report;
mod route;
mod service;
pub mod sheet;
mod team;

pub use effect::Effect;
pub use finding::{Finding, Kind, Severity};
pub use place::Place;
pub use report::Report;
