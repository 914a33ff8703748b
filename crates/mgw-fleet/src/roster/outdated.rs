//! The error for a server list that is older than the known one.

use std::fmt;

/// A server list, or changes to it, that is older than the known one. It must not be applied, as it
/// would undo newer changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated {
    /// Position in the servers' topic at which the list ends; see [`crate::position`].
    pub end_offset: u64,
    /// Position up to which the list was already known.
    pub known_end: u64,
}

impl fmt::Display for Outdated {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { end_offset, known_end } = self;
        write!(formatter, "the server list ends at {end_offset}, but is known up to {known_end}")
    }
}

impl std::error::Error for Outdated {}
