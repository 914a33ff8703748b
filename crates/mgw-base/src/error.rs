//! Errors that name the step and the peer at which they arose.

use std::fmt;

use smol_str::SmolStr;

/// An error of type `E` with the step that failed and the peer that was involved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error<E> {
    /// What was being done, as a short phrase.
    pub step: &'static str,
    /// The other party's name or address; empty if no other party was involved.
    pub peer: SmolStr,
    /// What went wrong.
    pub cause: E,
}

impl<E> Error<E> {
    /// An error at `step` with `peer`.
    pub fn new<P>(step: &'static str, peer: P, cause: E) -> Self
    where
        P: Into<SmolStr>,
    {
        Self { step, peer: peer.into(), cause }
    }
}

impl<E> fmt::Display for Error<E>
where
    E: fmt::Display,
{
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.peer.as_str() {
            "" => write!(formatter, "{}: {}", self.step, self.cause),
            peer => write!(formatter, "{} with {}: {}", self.step, peer, self.cause),
        }
    }
}

impl<E> std::error::Error for Error<E>
where
    E: std::error::Error + 'static,
{
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.cause)
    }
}
