//! An error type that carries the failed step and the peer involved.

use std::fmt;

use smol_str::SmolStr;

/// An error of type `E` with the step that failed and the peer involved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error<E> {
    /// The operation that failed, as a short phrase such as "send frame".
    pub step: &'static str,
    /// Name or address of the peer; empty if none was involved.
    pub peer: SmolStr,
    /// The underlying error.
    pub cause: E,
}

impl<E> Error<E> {
    /// Creates an error of `step` with `peer`.
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
