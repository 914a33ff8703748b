//! Numbered events, their bounded buffer and the merged timeline of many processes.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod event;
pub mod kind;
pub mod recorder;
pub mod ring;
pub mod timeline;

pub use event::{Body, Event};
pub use kind::{Field, Kind, Severity};
pub use recorder::Recorder;
