//! Composes the decision crates into one node without input or output.
//!
//! The edges of the process give the node what they receive as [`input::Input`], call its systems
//! through [`node::Node::tick`], and carry out the [`command::Command`]s that it returns.
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
