//! The entry daemon `marigoldwalld`: the edges around the node.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod booking;
pub mod callers;
pub mod chat;
pub mod config;
pub mod driver;
pub mod error;
pub mod http;
pub mod links;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod run;
pub mod shared;
