//! The pace at which requests are sent that get only the room which others leave: late ones that were
//! refused or held back before, and those of teams above their share.
//!
//! After an overload, many callers come back or wait at once, at all entries, and all entries see
//! the same room. If each of them sent what it has, the groups would have more requests than they
//! can begin in time before the entries learn of each other's, and new requests would be late as
//! well. So each entry sends these at its part of a rate which fills the room that is left no faster
//! than the entries learn of it.

use std::time::Duration;

use mgw_base::time::Instant;

use crate::admission::{Claim, Pace, Room, Timeliness};

/// Time in which the room that is left would be filled if it stayed as it is. Longer than most load
/// reports are old, so that the load does not swing.
const FILL_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests that are sent at once after a pause.
const MAX_CREDIT: f64 = 1.0;

/// Paces these requests of one entry for the same groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// Requests that may be sent as of `at`, at most [`MAX_CREDIT`].
    credit: f64,
    at: Instant,
}

impl Drain {
    /// Updates the pace by the present `room` for requests with this `pace`. `entries` is the number
    /// of entries that send to the groups. Called for each request that is decided on.
    pub fn refill(&mut self, room: &Room, pace: &Pace, entries: usize, now: Instant) {
        let rate = room.free_places(pace) / FILL_TIME.as_secs_f64() / entries.max(1) as f64;
        let added = rate * now.since(self.at).as_secs_f64();
        self.credit = (self.credit + added).min(MAX_CREDIT);
        self.at = self.at.max(now);
    }

    /// Whether the pace allows to send the request at `now`, which then counts.
    pub fn take(&mut self, claim: &Claim, now: Instant) -> bool {
        match is_paced(claim, now) {
            false => true,
            true if self.credit < 1.0 => false,
            true => {
                self.credit -= 1.0;
                true
            }
        }
    }
}

/// Whether a request gets only the room that others leave. One that is late when it first arrives
/// is not paced: its target may be out of reach at any load.
fn is_paced(claim: &Claim, now: Instant) -> bool {
    let was_held = claim.is_returning || claim.is_waiting;
    claim.is_over_share || was_held && claim.timeliness(now) == Timeliness::Late
}
