//! Which target holds which prompt prefix in its cache, as far as this process can tell.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;

use crate::select::Target;

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The number of buckets, rounded up to a power of two.
    pub buckets: usize,
    /// The number of entries per bucket.
    pub ways: usize,
    /// Entries older than this count as evicted by the engine.
    pub ttl: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { buckets: 8_192, ways: 8, ttl: Duration::from_secs(300) }
    }
}

/// A cache event of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine stored the prefix with this hash.
    Stored(u64),
    /// The engine evicted the prefix with this hash.
    Removed(u64),
    /// The engine emptied its cache, as after a restart.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    target: Key<Target>,
    /// When the target last had the prefix.
    at: Instant,
}

/// A set-associative table of bounded size; a full bucket replaces its oldest entry.
///
/// A sorted vector would move megabytes per request at this size, hence the buckets.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    /// `buckets` times `ways` places; the bucket of a hash is given by its low bits.
    entries: Vec<Option<Entry>>,
    mask: usize,
}

impl Table {
    /// An empty table.
    pub fn new(options: Options) -> Self {
        let buckets = options.buckets.max(1).next_power_of_two();
        let options = Options { ways: options.ways.max(1), ..options };
        Self { options, entries: vec![None; buckets * options.ways], mask: buckets - 1 }
    }

    /// Notes that `target` has the prefix `hash` at `at`, from own routing or an event.
    pub fn store(&mut self, hash: u64, target: Key<Target>, at: Instant) {
        let bucket = self.bucket(hash);
        if let Some(entry) =
            bucket.iter_mut().flatten().find(|entry| (entry.hash, entry.target) == (hash, target))
        {
            entry.at = entry.at.max(at);
            return;
        }
        let victim = bucket.iter_mut().min_by_key(|entry| entry.map(|entry| entry.at));
        if let Some(place) = victim {
            *place = Some(Entry { hash, target, at });
        }
    }

    /// Applies an event that describes the cache at `at`. An event that is older than what is
    /// known, as a late removal of a prefix that was routed there again since, changes nothing.
    pub fn apply(&mut self, target: Key<Target>, event: Event, at: Instant) {
        match event {
            Event::Stored(hash) => self.store(hash, target, at),
            Event::Removed(hash) => {
                for place in self.bucket(hash) {
                    if place.is_some_and(|entry| {
                        (entry.hash, entry.target) == (hash, target) && entry.at <= at
                    }) {
                        *place = None;
                    }
                }
            }
            Event::Cleared => self.forget(target, at),
        }
    }

    /// Forgets what was known of `target` up to `at`. After a gap in its events, removals may be
    /// among the missing ones.
    pub fn forget(&mut self, target: Key<Target>, at: Instant) {
        for place in &mut self.entries {
            if place.is_some_and(|entry| entry.target == target && entry.at <= at) {
                *place = None;
            }
        }
    }

    /// For each target that holds a leading part of the prompt, the number of blocks it holds.
    /// `hashes` are the hashes of the prompt's first block, first two blocks and so on.
    pub fn matching_blocks(&self, hashes: &[u64], now: Instant) -> Vec<(Key<Target>, usize)> {
        let mut found: Vec<(Key<Target>, usize)> = Vec::new();
        for (index, hash) in hashes.iter().enumerate() {
            let start = (*hash as usize & self.mask) * self.options.ways;
            let bucket = &self.entries[start..start + self.options.ways];
            let mut extended = false;
            for entry in bucket.iter().flatten() {
                if entry.hash != *hash || now.since(entry.at) > self.options.ttl {
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
                    // A longer prefix without a shorter one is of no use to the engine.
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
