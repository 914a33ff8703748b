//! Deterministic simulation of a deployment, driven by scenario scripts.
//!
//! The code of the real nodes runs in virtual time against simulated engines, backend servers, log
//! and platform. A run is determined by its script and seed: nothing here opens a socket or reads a
//! clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod deployment;
pub mod parse;
pub mod run;
pub mod script;
pub mod world;
