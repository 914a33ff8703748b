//! The frames that entries exchange: their types, binary encoding, version and size limits.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod codec;
pub mod frame;
