//! Exit codes, which scripts rely on.

use std::fmt;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Done = 0,
    /// The sheet has faults, or the compared sheets differ.
    Findings = 1,
    /// Wrong flags, settings or arguments, or a file cannot be read.
    Usage = 2,
    /// The base of the publication is outdated; nothing was changed.
    Conflict = 3,
    /// No entry could be reached, or not every entry that was asked for events; nothing was
    /// changed.
    Unreachable = 4,
    /// The request was sent, but its outcome is not known.
    Unknown = 5,
    /// The entry refused the request; nothing was changed.
    Refused = 6,
}

impl Exit {
    /// The exit code of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

/// An error that ends the command with a certain exit code.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// The message for the operator.
    pub text: String,
}

impl Failure {
    /// A failure with a message.
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
