//! Table of the prompt prefixes that each target is believed to hold in its KV cache.
//!
//! It is filled from the requests that this process routed and from the cache events of engines.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;

use crate::select::Target;

/// Size and entry lifetime of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of buckets, rounded up to a power of two.
    pub buckets: usize,
    /// Number of entries per bucket; 0 is treated as 1.
    pub ways: usize,
    /// An entry older than this is treated as evicted by the engine.
    pub ttl: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { buckets: 8_192, ways: 8, ttl: Duration::from_secs(300) }
    }
}

/// A KV cache event that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine stored the prefix with this hash.
    Stored(u64),
    /// The engine evicted the prefix with this hash.
    Removed(u64),
    /// The engine cleared its cache, for example by a restart.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    target: Key<Target>,
    /// Latest time at which the target is known to have held the prefix.
    last_seen: Instant,
}

/// A set-associative table of bounded size. A full bucket replaces its oldest entry.
///
/// Inserting into a sorted vector of this size would move megabytes per request, so the table is
/// divided into buckets.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    /// `buckets * ways` slots. The low bits of a hash, selected by `mask`, give its bucket.
    entries: Vec<Option<Entry>>,
    mask: usize,
}

impl Table {
    /// Creates an empty table.
    pub fn new(options: Options) -> Self {
        let buckets = options.buckets.max(1).next_power_of_two();
        let options = Options { ways: options.ways.max(1), ..options };
        Self { options, entries: vec![None; buckets * options.ways], mask: buckets - 1 }
    }

    /// Records that `target` held the prefix `hash` at `last_seen`, because a request with it was
    /// sent there or a cache event said so.
    pub fn store(&mut self, hash: u64, target: Key<Target>, last_seen: Instant) {
        let bucket = self.bucket(hash);
        if let Some(entry) =
            bucket.iter_mut().flatten().find(|entry| (entry.hash, entry.target) == (hash, target))
        {
            entry.last_seen = entry.last_seen.max(last_seen);
            return;
        }
        let oldest = bucket.iter_mut().min_by_key(|entry| entry.map(|entry| entry.last_seen));
        if let Some(slot) = oldest {
            *slot = Some(Entry { hash, target, last_seen });
        }
    }

    /// Applies a cache event of `target`; `at` is the time of the cache state that it describes.
    ///
    /// A removal does not affect an entry that is newer than the event: the prefix may have been
    /// routed to the target again since.
    pub fn apply(&mut self, target: Key<Target>, event: Event, at: Instant) {
        match event {
            Event::Stored(hash) => self.store(hash, target, at),
            Event::Removed(hash) => {
                for slot in self.bucket(hash) {
                    if slot.is_some_and(|entry| {
                        (entry.hash, entry.target) == (hash, target) && entry.last_seen <= at
                    }) {
                        *slot = None;
                    }
                }
            }
            Event::Cleared => self.forget(target, at),
        }
    }

    /// Removes all entries of `target` that are not newer than `at`. Called after a gap in the
    /// target's events, as removals may be among the missing ones.
    pub fn forget(&mut self, target: Key<Target>, at: Instant) {
        for slot in &mut self.entries {
            if slot.is_some_and(|entry| entry.target == target && entry.last_seen <= at) {
                *slot = None;
            }
        }
    }

    /// Returns, for each target that holds a leading part of the prompt, the number of blocks it
    /// holds. `hashes` are the hashes of the prompt's first block, first two blocks and so on.
    pub fn matching_blocks(&self, hashes: &[u64], now: Instant) -> Vec<(Key<Target>, usize)> {
        let mut found: Vec<(Key<Target>, usize)> = Vec::new();
        for (index, hash) in hashes.iter().enumerate() {
            let start = (*hash as usize & self.mask) * self.options.ways;
            let bucket = &self.entries[start..start + self.options.ways];
            let mut extended = false;
            for entry in bucket.iter().flatten() {
                if entry.hash != *hash || now.since(entry.last_seen) > self.options.ttl {
                    continue;
                }
                match found.iter_mut().find(|(target, _)| *target == entry.target) {
                    Some((_, blocks)) if *blocks == index => {
                        *blocks += 1;
                        extended = true;
                    }
                    None if index == 0 => {
                        found.push((entry.target, 1));
                        extended = true;
                    }
                    // The engine can only reuse a prefix if it also holds every shorter one.
                    _ => {}
                }
            }
            if !extended {
                break;
            }
        }
        found
    }

    fn bucket(&mut self, hash: u64) -> &mut [Option<Entry>] {
        let start = (hash as usize & self.mask) * self.options.ways;
        &mut self.entries[start..start + self.options.ways]
    }
}
