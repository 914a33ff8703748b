//! Declares and reads the settings of the programs from flags and environment.
//!
//! A program declares each setting as a constant, hands the flags that it was given and its
//! environment to a [`Reader`], reads the settings one after the other and asks for
//! all faults at the end.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod parser;
pub mod reader;
pub mod setting;

pub use reader::{Error, Reader};
pub use setting::Setting;
