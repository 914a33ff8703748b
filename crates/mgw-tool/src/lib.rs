//! Library behind `marigoldwall`, the command-line tool of the operators.
//!
//! The binary passes its arguments, environment and output streams to [`run::run`], which the tests
//! call in the same way.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod check;
pub mod client;
mod events;
pub mod exit;
mod flags;
pub mod history;
mod outcome;
pub mod preview;
pub mod publish;
pub mod run;
pub mod settings;
mod show;
mod table;
pub mod time;

pub use exit::Exit;
