//! Accounting of the message bodies that requests in flight hold in memory.

use std::cell::Cell;
use std::rc::Rc;

/// Size in bytes up to which a holder may use the part of a budget that is kept for small ones.
const SMALL_BYTES: usize = 64 << 10;

/// Memory that the tables, buffers and code of a process need, whatever the bodies.
const OWN_BYTES: usize = 56_000_000;

/// Maximum bytes of request bodies and of response bodies of a process whose memory allows it.
const MAX_REQUEST_BYTES: usize = 64 << 20;
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Least part of the memory limit that bodies may have, as a divisor.
const MIN_BODY_DIVISOR: usize = 8;

/// Part of the request bodies that is kept for small ones, as a divisor.
const SMALL_REQUEST_DIVISOR: usize = 4;

/// Part of the response bodies that is kept for small ones in a process with little memory, as a
/// divisor.
const SMALL_RESPONSE_DIVISOR: usize = 2;

/// Size in bytes up to which a response needs no reservation in a process with little memory.
const LITTLE_FREE_BYTES: usize = 8 << 10;

/// What a process may hold for its callers and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all request bodies; a body that would exceed it is refused.
    pub requests: usize,
    /// Bytes of these that are kept for small bodies.
    pub small_requests: usize,
    /// Bytes of all reserved response bodies; a response that would exceed it fails.
    pub responses: usize,
    /// Bytes of these that are kept for small bodies.
    pub small_responses: usize,
    /// Size in bytes up to which a response body, or the incomplete event of a stream, needs no
    /// reservation, so that responses without end at other requests do not make it fail.
    pub free_response: usize,
}

impl Limits {
    /// The limits of a process that is killed above `limit_mb` MB, if that is known: bodies get half
    /// of what the process does not need itself, up to a maximum.
    pub fn new(limit_mb: Option<u32>) -> Self {
        let most = MAX_REQUEST_BYTES + MAX_RESPONSE_BYTES;
        let total = limit_mb.map_or(most, |limit_mb| {
            let limit = limit_mb as usize * 1_000_000;
            let share = limit.saturating_sub(OWN_BYTES) / 2;
            share.max(limit / MIN_BODY_DIVISOR).min(most)
        });
        let requests = total / 3 * 2;
        let is_little = total < most;
        Self {
            requests,
            small_requests: requests / SMALL_REQUEST_DIVISOR,
            responses: total / 3,
            small_responses: if is_little { total / 3 / SMALL_RESPONSE_DIVISOR } else { 0 },
            free_response: if is_little { LITTLE_FREE_BYTES } else { SMALL_BYTES },
        }
    }
}

/// A limit on the bytes that all holders together may have.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    /// Bytes of the limit that are kept for holders of up to [`SMALL_BYTES`], so that a few large
    /// ones do not keep out all others.
    small_share: usize,
    used: Rc<Cell<usize>>,
}

impl Budget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, small_share: 0, used: Rc::default() }
    }

    /// Keeps `bytes` of the limit for small holders.
    pub fn with_small_share(self, bytes: usize) -> Self {
        Self { small_share: bytes, ..self }
    }

    /// Bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Whether a new holder could reserve `bytes` now.
    pub fn fits(&self, bytes: usize) -> bool {
        self.allows(bytes, bytes)
    }

    /// Whether a holder could reserve `more` bytes now, of which it would have `total` then.
    fn allows(&self, more: usize, total: usize) -> bool {
        let limit = match total {
            ..=SMALL_BYTES => self.limit,
            _ => self.limit.saturating_sub(self.small_share),
        };
        self.used.get().saturating_add(more) <= limit
    }

    /// Creates a reservation of no bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes reserved in a [`Budget`], which are returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to `bytes`.
    ///
    /// # Errors
    ///
    /// The budget does not allow it; the reservation is unchanged.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && !self.budget.allows(more, bytes) {
            return Err(Exhausted);
        }
        self.budget.used.set(self.budget.used.get() + more);
        self.bytes += more;
        Ok(())
    }

    /// Sets the reservation to the bytes that are held beyond `free`, up to which none are needed.
    ///
    /// # Errors
    ///
    /// The budget does not allow it; the reservation is unchanged.
    pub fn hold(&mut self, bytes: usize, free: usize) -> Result<(), Exhausted> {
        let wanted = if bytes > free { bytes } else { 0 };
        if wanted < self.bytes {
            self.budget.used.set(self.budget.used.get() - (self.bytes - wanted));
            self.bytes = wanted;
        }
        self.grow_to(wanted)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

/// The budget has too few bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;
