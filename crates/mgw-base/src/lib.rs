//! Building blocks that the other crates share: arenas with typed keys, sorted maps, name tables,
//! time, the timer queue, hashes and an error type that carries the step and the peer.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod arena;
pub mod error;
pub mod hash;
pub mod sorted;
pub mod table;
pub mod time;
pub mod timer;
