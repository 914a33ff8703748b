//! Planning of model groups, orders to model engines, and the readiness check of groups.
//!
//! A group is a set of instances that serve one replica of a model together. This crate does
//! no I/O: it computes records and orders from the replayed state of the log, the observations of
//! this process and the current time. The caller appends the records and sends the orders.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod order;
pub mod planner;
pub mod readiness;
pub mod view;

mod layout;
