//! The event record of one process: clock, numbering and buffer.

use smol_str::SmolStr;

use crate::clock::{Clock, Stamp};
use crate::event::{Body, Event};
use crate::kind::Kind;
use crate::ring::Ring;

/// Buffered events per class that an entry keeps by default. An event takes at most 1 KB, so both
/// classes take at most 16 MB of the 64 MB that an entry has for control data.
pub const DEFAULT_CAPACITY: usize = 8_192;

/// Stamps, numbers and buffers the events of one process.
#[derive(Clone, Debug)]
pub struct Recorder {
    reporter: SmolStr,
    clock: Clock,
    ring: Ring,
    /// The `seq` of the newest event.
    seq: u64,
}

impl Recorder {
    /// The record of the entry `reporter`.
    pub fn new<A>(reporter: A, capacity: usize) -> Self
    where
        A: Into<SmolStr>,
    {
        let (reporter, ring) = (reporter.into(), Ring::new(capacity));
        Self { reporter, clock: Clock::default(), ring, seq: 0 }
    }

    /// Records an event at `wall_ms` and returns it, so that the caller can log it.
    pub fn record(&mut self, wall_ms: u64, body: Body) -> Event {
        self.seq += 1;
        let stamp = self.clock.tick(wall_ms);
        let event = Event { seq: self.seq, stamp, reporter: self.reporter.clone(), body };
        self.ring.push(event.clone());
        event
    }

    /// The stamp for a message that is sent at `wall_ms`.
    pub fn stamp(&mut self, wall_ms: u64) -> Stamp {
        self.clock.tick(wall_ms)
    }

    /// Adopts the stamp of a message from `peer`, so that events recorded later sort behind the
    /// events that the peer had recorded when it sent the message.
    ///
    /// Returns the event that was recorded if the peer's clock is too far ahead.
    pub fn observe(&mut self, wall_ms: u64, peer: &str, remote: Stamp) -> Option<Event> {
        let error = self.clock.observe(wall_ms, remote).err()?;
        Some(self.record(wall_ms, Body::new(Kind::ClockAhead).entry(peer).text(error)))
    }

    /// The buffered events.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }
}
