//! Accounting of the message bodies that requests in flight hold in memory.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the bytes that all holders together may have.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl Budget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default() }
    }

    /// Bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Whether `bytes` more could be reserved now.
    pub fn fits(&self, bytes: usize) -> bool {
        self.used.get().saturating_add(bytes) <= self.limit
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
        if !self.budget.fits(more) {
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
