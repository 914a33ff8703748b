//! Parses, validates, compares and writes sheets.
//!
//! A sheet is the CSV file in which operators declare a deployment: its instances, models, teams
//! and services. [`parse()`] turns the text into a [`Sheet`] or a list of [`Fault`]s, [`diff()`]
//! compares two sheets, and [`write()`] produces the canonical text of a sheet.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod column;
pub mod diff;
pub mod key;
pub mod parse;
mod row;
pub mod sheet;
pub mod write;

pub use diff::{Change, diff};
pub use parse::{Fault, parse};
pub use sheet::Sheet;
pub use write::write;
