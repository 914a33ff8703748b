//! A hybrid logical clock: its stamps follow the wall clock, and the stamp of an effect is always
//! greater than that of its cause, even if the wall clocks of the hosts differ.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Largest lead of a peer's stamp over this process's wall clock, in ms.
///
/// An adopted stamp moves this clock forward permanently. Without a limit, one host whose clock is
/// set to another day would move the stamps of all entries. Synchronized hosts differ by seconds.
pub const MAX_AHEAD_MS: u64 = 3_600_000;

/// A stamp of a hybrid logical clock, ordered by `wall_ms`, then by `logical`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since 1970-01-01 UTC: the latest time of the own wall clock and of all adopted
    /// stamps.
    pub wall_ms: u64,
    /// Orders stamps with the same `wall_ms`.
    pub logical: u32,
}

/// A stamp was not adopted, because it is more than [`MAX_AHEAD_MS`] ahead of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error {
    /// Lead of the stamp over this process's wall clock, in ms.
    pub ahead_ms: u64,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the peer's clock is {} ms ahead, more than the allowed {MAX_AHEAD_MS} ms",
            self.ahead_ms
        )
    }
}

impl std::error::Error for Error {}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// The greatest stamp that was issued or adopted; every stamp issued later is greater.
    last: Stamp,
}

impl Clock {
    /// Issues the stamp of an event that is recorded, or a message that is sent, at `wall_ms`.
    ///
    /// It is greater than all stamps issued or adopted before, even if the wall clock was set back.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, logical: 0 }
        } else {
            match self.last.logical.checked_add(1) {
                Some(logical) => Stamp { logical, ..self.last },
                None => Stamp { wall_ms: self.last.wall_ms.saturating_add(1), logical: 0 },
            }
        };
        self.last
    }

    /// Adopts the stamp of a message received at `wall_ms`, so that every later stamp of this
    /// process is greater.
    ///
    /// # Errors
    ///
    /// The stamp is too far ahead and is ignored; the caller may still handle the message.
    pub fn observe(&mut self, wall_ms: u64, remote: Stamp) -> Result<(), Error> {
        let ahead_ms = remote.wall_ms.saturating_sub(wall_ms);
        if ahead_ms > MAX_AHEAD_MS {
            return Err(Error { ahead_ms });
        }
        self.last = self.last.max(remote);
        Ok(())
    }
}
