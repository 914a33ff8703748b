//! Prefix cache with its events, and export and import of its blocks.
//!
//! The prompt text consists of `role:content` and a line feed for each message. It is split into
//! blocks of 64 bytes; an incomplete last block is not cached. A block is identified by the FNV-1a
//! hash of the text from the start of the prompt to the end of the block, which is written as 16
//! hexadecimal digits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};

use super::Options;

/// Size of a block of the prompt in bytes.
pub(super) const BLOCK_BYTES: usize = 64;

/// Maximum number of retained events; the oldest are dropped first.
const MAX_EVENTS: usize = 4_096;

/// Prefix of an exported block; the block's hash follows.
const EXPORT_MAGIC: &[u8] = b"marigoldwall-kv ";

/// A change of the cache's content.
struct Event {
    number: u64,
    at: Instant,
    kind: &'static str,
    prefix: u64,
}

pub(super) struct Cache {
    /// Maximum number of blocks.
    capacity: usize,
    event_delay: Duration,
    event_loss_period: u64,
    /// Hashes of the cached blocks, the least recently used first.
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    /// Number of the next event.
    next_number: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            capacity: options.cache_blocks,
            event_delay: options.cache_event_delay,
            event_loss_period: options.cache_event_loss_period,
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Inserts the blocks of the prompt `text`.
    ///
    /// Returns its number of blocks, and how many of them follow the longest cached prefix.
    pub(super) fn insert_prompt(&mut self, text: &str) -> (usize, usize) {
        let hashes = block_hashes(text);
        let known = hashes.iter().take_while(|hash| self.blocks.contains(hash)).count();
        for hash in &hashes {
            self.insert(*hash);
        }
        (hashes.len(), hashes.len() - known)
    }

    /// Evicts all blocks, as the engine does when it unloads a model.
    pub(super) fn clear(&mut self) {
        while let Some(prefix) = self.blocks.pop_front() {
            self.record_event("evicted", prefix);
        }
    }

    /// Returns the events from number `from` on that are at least `event_delay` old.
    pub(super) fn events(&self, from: u64) -> Value {
        let is_visible = |event: &&Event| event.at.elapsed() >= self.event_delay;
        let next = self.events.iter().find(|event| !is_visible(event)).map(|event| event.number);
        let events: Vec<Value> = self
            .events
            .iter()
            .take_while(is_visible)
            .filter(|event| event.number >= from)
            .map(|event| json!({ "n": event.number, "kind": event.kind, "prefix": format!("{:016x}", event.prefix) }))
            .collect();
        let first = self.events.front().map_or(self.next_number, |event| event.number);
        json!({ "first": first, "next": next.unwrap_or(self.next_number), "events": events })
    }

    /// Returns the exported form of the block `prefix` if it is cached, and marks it as used.
    pub(super) fn export(&mut self, prefix: &str) -> Option<Bytes> {
        let hash = parse_hash(prefix)?;
        let index = self.blocks.iter().position(|known| *known == hash)?;
        let block = self.blocks.remove(index)?;
        self.blocks.push_back(block);
        Some([EXPORT_MAGIC, prefix.as_bytes()].concat().into())
    }

    /// Inserts the block `prefix`; returns false if `body` is not its exported form.
    pub(super) fn import(&mut self, prefix: &str, body: &[u8]) -> bool {
        let valid = body.strip_prefix(EXPORT_MAGIC) == Some(prefix.as_bytes());
        match parse_hash(prefix).filter(|_| valid) {
            Some(hash) => {
                self.insert(hash);
                true
            }
            None => false,
        }
    }

    /// Inserts a block or marks it as used, and evicts blocks beyond the capacity.
    fn insert(&mut self, hash: u64) {
        match self.blocks.iter().position(|known| *known == hash) {
            Some(index) => {
                self.blocks.remove(index);
            }
            None => self.record_event("stored", hash),
        }
        self.blocks.push_back(hash);
        while self.blocks.len() > self.capacity {
            if let Some(prefix) = self.blocks.pop_front() {
                self.record_event("evicted", prefix);
            }
        }
    }

    /// Records an event, unless it is one that `event_loss_period` loses. A lost event leaves a gap
    /// in the event numbers.
    fn record_event(&mut self, kind: &'static str, prefix: u64) {
        let number = self.next_number;
        self.next_number += 1;
        if self.event_loss_period == 0 || !self.next_number.is_multiple_of(self.event_loss_period) {
            self.events.push_back(Event { number, at: Instant::now(), kind, prefix });
        }
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hashes of the complete blocks of `text`.
fn block_hashes(text: &str) -> Vec<u64> {
    let mut hash = super::chat::FNV_OFFSET_BASIS;
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = super::chat::fnv1a(hash, block);
            hash
        })
        .collect()
}

/// Parses a block hash; accepts only the form used in events, 16 lower-case hexadecimal digits.
fn parse_hash(text: &str) -> Option<u64> {
    let hash = u64::from_str_radix(text, 16).ok()?;
    (format!("{hash:016x}") == text).then_some(hash)
}
