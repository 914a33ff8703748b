//! Exit codes of the tool. Scripts rely on them, so their values are fixed.

use std::fmt;

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The sheet has faults, or the compared sheets differ.
    Findings = 1,
    /// Flags, settings or arguments are invalid, or a file cannot be read.
    Usage = 2,
    /// The base version of the publication is outdated. Nothing was changed.
    Conflict = 3,
    /// No entry could be reached or, for commands that print events, at least one entry could not.
    /// Nothing was changed.
    Unreachable = 4,
    /// The request may have been sent, but its outcome is unknown.
    Unknown = 5,
    /// The entry refused the request. Nothing was changed.
    Refused = 6,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

/// An error that ends the command with a specific exit code.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Result that determines the exit code.
    pub exit: Exit,
    /// Message that is printed to standard error.
    pub text: String,
}

impl Failure {
    /// Creates a failure with a message.
    pub fn new<T>(exit: Exit, text: T) -> Self
    where
        T: Into<String>,
    {
        Self { exit, text: text.into() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Failure {}
