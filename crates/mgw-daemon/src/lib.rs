//! The entry daemon `marigoldwalld`.
//!
//! The decisions are made by [`mgw_entry::node::Node`], which does no I/O. This crate provides the
//! I/O around it: the HTTP interfaces for callers and operators, the links to other entries,
//! the clients of the platform and of the backend servers, the timer, settings and metrics.
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
