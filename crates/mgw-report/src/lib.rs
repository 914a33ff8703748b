//! The JSON documents that the platform and the backend servers exchange with the entries.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod report;
