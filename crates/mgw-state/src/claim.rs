//! Claims of opaque booking keys: the first claim of a key makes its claimant the only process that
//! executes the booking, until the claim expires after a window of log time.

use std::collections::VecDeque;

use crate::record::Incarnation;

/// Claims that are collected in a small sorted vector before they are merged into the large one.
/// Inserting each claim directly into a sorted vector of 200,000 would move megabytes per claim.
const MAX_BUFFERED_CLAIMS: usize = 1_024;

/// A claim that was granted and has not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Hash of the team, the service and the booking key.
    pub key: u128,
    /// Incarnation of the only entry that may execute the booking.
    pub executor: Incarnation,
    /// Log time at which the claim was granted, in milliseconds.
    pub at_ms: u64,
}

/// Result of a claim, decided at the offset of the record that carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The claimant is the only executor. Also the result when a claimant repeats its claim.
    Granted,
    /// Another incarnation holds an unexpired claim of the key.
    AlreadyClaimed {
        /// The incarnation that holds the claim.
        executor: Incarnation,
    },
    /// The key is unclaimed, but the table already holds the maximum number of active claims.
    LimitReached,
}

/// A claim from a record together with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Hash of the team, the service and the booking key.
    pub key: u128,
    /// The incarnation that asked to become the executor.
    pub claimant: Incarnation,
    /// Whether the claim was granted.
    pub status: Status,
}

impl Decision {
    /// Returns the only executor of the key, or `None` if nobody holds the key.
    pub fn executor(&self) -> Option<Incarnation> {
        match self.status {
            Status::Granted => Some(self.claimant),
            Status::AlreadyClaimed { executor } => Some(executor),
            Status::LimitReached => None,
        }
    }
}

/// The claims that have not expired.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key, keys are unique. Expired claims stay until the next merge.
    merged: Vec<ActiveClaim>,
    /// Sorted by key, keys are unique and not in `merged`. Holds at most [`MAX_BUFFERED_CLAIMS`].
    buffer: Vec<ActiveClaim>,
    /// Number of active claims for each log time at which claims were granted, oldest first.
    active_by_time: VecDeque<(u64, u32)>,
    /// Sum of the counts in `active_by_time`.
    active: usize,
    /// Claims granted at or before this log time have expired. `None` while log time is below the
    /// window, when no claim can have expired.
    expired_until_ms: Option<u64>,
}

impl Table {
    /// Expires the claims that are at least `window_ms` old at log time `now_ms`.
    pub(crate) fn expire(&mut self, now_ms: u64, window_ms: u64) {
        self.expired_until_ms = now_ms.checked_sub(window_ms);
        let Some(until_ms) = self.expired_until_ms else { return };
        while let Some((_, count)) =
            self.active_by_time.front().filter(|(at_ms, _)| *at_ms <= until_ms)
        {
            self.active -= *count as usize;
            self.active_by_time.pop_front();
        }
    }

    /// Grants `claim` unless its key is already claimed or `limit` claims are active.
    ///
    /// `claim.at_ms` must not decrease from call to call, because `active_by_time` is kept in
    /// order.
    pub(crate) fn claim(&mut self, claim: ActiveClaim, limit: usize) -> Status {
        match self.get(claim.key) {
            Some(existing) if existing.executor == claim.executor => return Status::Granted,
            Some(existing) => return Status::AlreadyClaimed { executor: existing.executor },
            None if self.active >= limit => return Status::LimitReached,
            None => {}
        }
        match search(&self.merged, claim.key) {
            Ok(index) => self.merged[index] = claim,
            Err(_) => match search(&self.buffer, claim.key) {
                Ok(index) => self.buffer[index] = claim,
                Err(index) => self.buffer.insert(index, claim),
            },
        }
        self.active += 1;
        match self.active_by_time.back_mut().filter(|(at_ms, _)| *at_ms == claim.at_ms) {
            Some((_, count)) => *count += 1,
            None => self.active_by_time.push_back((claim.at_ms, 1)),
        }
        if self.buffer.len() > MAX_BUFFERED_CLAIMS {
            self.merge_buffer();
        }
        Status::Granted
    }

    /// Returns the active claim of `key`.
    pub fn get(&self, key: u128) -> Option<&ActiveClaim> {
        let claim = match search(&self.merged, key) {
            Ok(index) => &self.merged[index],
            Err(_) => &self.buffer[search(&self.buffer, key).ok()?],
        };
        Some(claim).filter(|claim| self.is_active(claim))
    }

    /// Returns the number of active claims.
    pub fn len(&self) -> usize {
        self.active
    }

    /// Whether no claim is active.
    pub fn is_empty(&self) -> bool {
        self.active == 0
    }

    /// Returns the active claims, ordered by log time and then by key.
    pub(crate) fn list(&self) -> Vec<ActiveClaim> {
        let all = self.merged.iter().chain(&self.buffer);
        let mut list: Vec<ActiveClaim> =
            all.filter(|claim| self.is_active(claim)).copied().collect();
        list.sort_unstable_by_key(|claim| (claim.at_ms, claim.key));
        list
    }

    fn is_active(&self, claim: &ActiveClaim) -> bool {
        self.expired_until_ms.is_none_or(|until_ms| claim.at_ms > until_ms)
    }

    /// Moves the buffered claims into `merged` and drops the expired ones.
    fn merge_buffer(&mut self) {
        let until_ms = self.expired_until_ms;
        let keep = |claim: &ActiveClaim| until_ms.is_none_or(|until_ms| claim.at_ms > until_ms);
        self.merged.retain(keep);
        self.merged.append(&mut self.buffer);
        // The standard stable sort detects the two sorted runs and merges them in linear time.
        self.merged.sort_by_key(|claim| claim.key);
        self.merged.retain(keep);
    }
}

/// Binary search by key; on a miss, `Err` holds the index at which to insert.
fn search(sorted: &[ActiveClaim], key: u128) -> Result<usize, usize> {
    sorted.binary_search_by_key(&key, |claim| claim.key)
}
