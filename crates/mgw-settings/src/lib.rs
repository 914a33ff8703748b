//! Declaration and reading of program settings from flags and environment variables.
//!
//! A program declares each setting as a constant [`Setting`]. It creates a [`Reader`] with its
//! flags and its environment, reads the settings one after the other and gets the errors of all
//! settings from [`Reader::finish`].
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod parser;
pub mod reader;
pub mod setting;

pub use reader::{Error, Reader};
pub use setting::Setting;
