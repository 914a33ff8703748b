//! The claims of opaque booking keys, kept for a window of log time.

use std::collections::VecDeque;

use crate::record::Incarnation;

/// New claims are merged into the large vector in batches of this size: inserting each of 200,000
/// claims into one sorted vector would move megabytes per claim.
const BATCH: usize = 1_024;

/// A claim in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Hash of team, service and key.
    pub key: u128,
    /// The sole executor.
    pub executor: Incarnation,
    /// Log time of the claim.
    pub at_ms: u64,
}

/// How a claim ended at its offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The claiming incarnation is the sole executor.
    Granted,
    /// Another incarnation claimed the key first.
    AlreadyClaimed {
        /// The sole executor.
        executor: Incarnation,
    },
    /// The claim limit is reached; the key has no executor.
    LimitReached,
}

/// A claim of a record with its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Hash of team, service and key.
    pub key: u128,
    /// The incarnation that the record names.
    pub claimant: Incarnation,
    /// How the claim ended.
    pub status: Status,
}

impl Decision {
    /// The sole executor of the key; `None` if it has none.
    pub fn executor(&self) -> Option<Incarnation> {
        match self.status {
            Status::Granted => Some(self.claimant),
            Status::AlreadyClaimed { executor } => Some(executor),
            Status::LimitReached => None,
        }
    }
}

/// All claims within the window.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key without repetition; may hold expired claims.
    settled: Vec<ActiveClaim>,
    /// Sorted by key without repetition, disjoint from `settled`; at most [`BATCH`] claims.
    recent: Vec<ActiveClaim>,
    /// Log time and number of the claims that are in force, oldest first.
    ages: VecDeque<(u64, u32)>,
    /// Sum of the numbers in `ages`.
    live: usize,
    /// Claims made at or before this log time are expired; `None` while none can be.
    expired_ms: Option<u64>,
}

impl Table {
    /// Drops the claims that are at least `window_ms` old at `now_ms`.
    pub(crate) fn expire(&mut self, now_ms: u64, window_ms: u64) {
        self.expired_ms = now_ms.checked_sub(window_ms);
        let Some(bound) = self.expired_ms else { return };
        while let Some((_, number)) = self.ages.front().filter(|(at_ms, _)| *at_ms <= bound) {
            self.live -= *number as usize;
            self.ages.pop_front();
        }
    }

    /// Makes `claim.executor` the executor of `claim.key` unless the key is claimed or `limit` claims are in force.
    /// `claim.at_ms` must not descend between calls.
    pub(crate) fn claim(&mut self, claim: ActiveClaim, limit: usize) -> Status {
        match self.get(claim.key) {
            Some(held) if held.executor == claim.executor => return Status::Granted,
            Some(held) => return Status::AlreadyClaimed { executor: held.executor },
            None if self.live >= limit => return Status::LimitReached,
            None => {}
        }
        match find(&self.settled, claim.key) {
            Ok(place) => self.settled[place] = claim,
            Err(_) => match find(&self.recent, claim.key) {
                Ok(place) => self.recent[place] = claim,
                Err(place) => self.recent.insert(place, claim),
            },
        }
        self.live += 1;
        match self.ages.back_mut().filter(|(at_ms, _)| *at_ms == claim.at_ms) {
            Some((_, number)) => *number += 1,
            None => self.ages.push_back((claim.at_ms, 1)),
        }
        if self.recent.len() > BATCH {
            self.merge();
        }
        Status::Granted
    }

    /// The claim of `key` that is in force.
    pub fn get(&self, key: u128) -> Option<&ActiveClaim> {
        let held = match find(&self.settled, key) {
            Ok(place) => &self.settled[place],
            Err(_) => &self.recent[find(&self.recent, key).ok()?],
        };
        Some(held).filter(|held| self.in_force(held))
    }

    /// The number of claims in force.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Whether no claim is in force.
    pub fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// The claims in force, by log time and key.
    pub(crate) fn list(&self) -> Vec<ActiveClaim> {
        let all = self.settled.iter().chain(&self.recent);
        let mut list: Vec<ActiveClaim> = all.filter(|held| self.in_force(held)).copied().collect();
        list.sort_unstable_by_key(|held| (held.at_ms, held.key));
        list
    }

    fn in_force(&self, held: &ActiveClaim) -> bool {
        self.expired_ms.is_none_or(|bound| held.at_ms > bound)
    }

    fn merge(&mut self) {
        let bound = self.expired_ms;
        let keep = |held: &ActiveClaim| bound.is_none_or(|bound| held.at_ms > bound);
        self.settled.retain(keep);
        self.settled.append(&mut self.recent);
        // A stable sort merges the two sorted runs in linear time.
        self.settled.sort_by_key(|held| held.key);
        self.settled.retain(keep);
    }
}

fn find(sorted: &[ActiveClaim], key: u128) -> Result<usize, usize> {
    sorted.binary_search_by_key(&key, |held| held.key)
}
