//! Measures group downtime, stranded accelerators and supporting figures against baselines.
//!
//! Each run drives the product's own node code in virtual time with a fixed seed. Only processor
//! times differ between runs with the same seed.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod bound;
pub mod cost;
pub mod fault;
pub mod load;
pub mod parallel;
pub mod policy;
pub mod report;
pub mod scaling;
pub mod setup;
pub mod trial;
