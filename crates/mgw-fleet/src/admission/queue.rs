//! The requests that wait at this entry for room at the groups of a model.
//!
//! A waiting request has reached no server. The queue is bounded in number and bytes, and each
//! request in time, by [`Claim::waits_until`].

use mgw_base::arena::{Arena, Key};
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::admission::Claim;

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 128;

/// Maximum bytes of the bodies of waiting requests.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// The groups that a request waits for: those of a service that run a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupPool {
    /// Name of the service.
    pub service: SmolStr,
    /// Name of the model.
    pub model: SmolStr,
}

/// A waiting request; `W` identifies or wakes it.
#[derive(Debug)]
pub struct Ticket<W> {
    /// The groups that it waits for.
    pub pool: GroupPool,
    /// What it needs, and how it ranks in the queue.
    pub claim: Claim,
    /// Size of its body.
    pub bytes: usize,
    /// Handle by which the caller of [`Queue::next`] wakes the request.
    pub wake: W,
}

/// Key of a waiting request.
pub type TicketKey<W> = Key<Ticket<W>>;

/// The waiting requests of this entry.
#[derive(Debug)]
pub struct Queue<W> {
    tickets: Arena<Ticket<W>>,
    /// Sum of the bytes of `tickets`.
    bytes: usize,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self { tickets: Arena::default(), bytes: 0 }
    }
}

impl<W> Queue<W> {
    /// Adds a request; `None` if the queue is full.
    pub fn join(&mut self, ticket: Ticket<W>) -> Option<TicketKey<W>> {
        let bytes = self.bytes.saturating_add(ticket.bytes);
        if self.tickets.len() >= MAX_WAITING || bytes > MAX_WAITING_BYTES {
            return None;
        }
        self.bytes = bytes;
        Some(self.tickets.insert(ticket))
    }

    /// Removes a request, because it is sent, refused, or its caller has left.
    pub fn leave(&mut self, key: TicketKey<W>) {
        if let Some(ticket) = self.tickets.remove(key) {
            self.bytes -= ticket.bytes;
        }
    }

    /// Number of requests that wait for `pool` and come before `claim`.
    pub fn ahead(&self, pool: &GroupPool, claim: &Claim, now: Instant) -> usize {
        let rank = claim.rank(now);
        let waiting = self.tickets.iter().filter(|(_, it)| it.pool == *pool);
        waiting.filter(|(_, it)| it.claim.rank(now) < rank).count()
    }

    /// The request that is next for `pool`.
    pub fn next<'a>(
        &'a self,
        pool: &'a GroupPool,
        now: Instant,
    ) -> Option<(TicketKey<W>, &'a Ticket<W>)> {
        let waiting = self.tickets.iter().filter(|(_, it)| it.pool == *pool);
        waiting.min_by_key(|(_, it)| it.claim.rank(now))
    }

    /// The request that is next for each pool.
    pub fn heads(&self, now: Instant) -> Vec<&Ticket<W>> {
        let mut pools: Vec<&GroupPool> = self.tickets.iter().map(|(_, it)| &it.pool).collect();
        pools.sort();
        pools.dedup();
        pools.into_iter().filter_map(|pool| Some(self.next(pool, now)?.1)).collect()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
