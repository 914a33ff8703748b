//! Combines the decision crates into one node that performs no I/O.
//!
//! The I/O layer of the process passes what it receives to [`node::Node::handle_input`], calls
//! [`node::Node::tick`] when a deadline is reached, and carries out the [`command::Command`]s that
//! the node returns.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod booking;
pub mod call;
pub mod command;
pub mod input;
pub mod inspect;
pub mod node;
pub mod observe;
pub mod outbox;
pub mod plan;
pub mod poll;
pub mod preview;
pub mod publish;
pub mod replication;
pub mod target;
