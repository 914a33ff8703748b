//! Accounting of the message bodies that requests in flight hold in memory.

use std::cell::Cell;
use std::rc::Rc;

/// Size in bytes up to which a holder may use the part of a budget that is kept for small ones.
const SMALL_BYTES: usize = 64 << 10;

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
