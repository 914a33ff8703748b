//! The replicated state of the entries: the records of the shared `control` log, the rules that
//! decide which of them take effect, the state they build and its snapshots.
//!
//! The crate performs no I/O and reads no clock. Time is the log time at which the log service
//! accepted a record, so replaying the same records always gives the same state.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod claim;
pub mod codec;
pub mod entity;
pub mod outcome;
pub mod reader;
pub mod record;
mod rule;
pub mod snapshot;
pub mod state;
