//! Measures group downtime, stranded accelerators and supporting figures against baselines.
//!
//! All runs are of real nodes in virtual time with fixed seeds. Only processor times differ from
//! one run to the next.
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
