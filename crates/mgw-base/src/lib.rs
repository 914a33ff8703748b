//! Typed keys, arenas, name tables, time, the timer service, hashes and errors with step and peer.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod arena;
pub mod error;
pub mod hash;
pub mod sorted;
pub mod table;
pub mod time;
pub mod timer;
