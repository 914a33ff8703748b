//! The event recorder of one process: it stamps, numbers and buffers events.

use smol_str::SmolStr;

use crate::clock::{Clock, Stamp};
use crate::event::{Body, Event};
use crate::kind::Kind;
use crate::ring::Ring;

/// Default capacity of each of the two buffers of the ring, in events.
///
/// An event takes at most 1 KB, so both buffers take at most 16 MB of the 64 MB that an entry has
/// for control data.
pub const DEFAULT_CAPACITY: usize = 8_192;

/// Stamps, numbers and buffers the events of one process.
#[derive(Clone, Debug)]
pub struct Recorder {
    reporter: SmolStr,
    clock: Clock,
    ring: Ring,
    /// The `seq` of the newest event; 0 before the first.
    seq: u64,
}

impl Recorder {
    /// Creates the recorder of the entry called `reporter`; `capacity` is that of [`Ring::new`].
    pub fn new<A>(reporter: A, capacity: usize) -> Self
    where
        A: Into<SmolStr>,
    {
        let (reporter, ring) = (reporter.into(), Ring::new(capacity));
        Self { reporter, clock: Clock::default(), ring, seq: 0 }
    }

    /// Records an event at `wall_ms` and returns it, for the caller to log.
    pub fn record(&mut self, wall_ms: u64, body: Body) -> Event {
        self.seq += 1;
        let stamp = self.clock.tick(wall_ms);
        let event = Event { seq: self.seq, stamp, reporter: self.reporter.clone(), body };
        self.ring.push(event.clone());
        event
    }

    /// Issues the stamp of a message that is sent at `wall_ms`.
    pub fn stamp(&mut self, wall_ms: u64) -> Stamp {
        self.clock.tick(wall_ms)
    }

    /// Adopts the stamp of a message from `peer`, so that events recorded later sort after those
    /// that the peer recorded before it sent the message.
    ///
    /// If the peer's clock is too far ahead, the stamp is ignored and a [`Kind::ClockAhead`] event
    /// is recorded and returned.
    pub fn observe(&mut self, wall_ms: u64, peer: &str, remote: Stamp) -> Option<Event> {
        let error = self.clock.observe(wall_ms, remote).err()?;
        Some(self.record(wall_ms, Body::new(Kind::ClockAhead).entry(peer).text(error)))
    }

    /// Returns the buffer of recorded events.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }
}
