//! The prefix cache, its events, and export and import of its blocks.
//!
//! The prompt text is `role:content` and a line feed for each message. It is cut into blocks of 64
//! bytes; the last, incomplete block is not cached. A block is named by the FNV-1a hash of the text
//! from the start to the block's end, as 16 hexadecimal digits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};

use super::Options;

/// Bytes of the prompt per block.
pub(super) const BLOCK: usize = 64;

/// Events that are kept for readers.
const EVENTS: usize = 4_096;

/// What an exported block starts with.
const MAGIC: &[u8] = b"marigoldwall-kv ";

struct Event {
    number: u64,
    at: Instant,
    kind: &'static str,
    prefix: u64,
}

pub(super) struct Cache {
    capacity: usize,
    lag: Duration,
    loss: u64,
    /// Names of the blocks, the least recently used one first.
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    issued: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            capacity: options.cache_blocks,
            lag: options.cache_event_delay,
            loss: options.cache_event_loss_period,
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            issued: 0,
        }
    }

    /// Stores the blocks of `text`; returns how many blocks it has and how many were not cached.
    pub(super) fn visit(&mut self, text: &str) -> (usize, usize) {
        let names = names(text);
        let known = names.iter().take_while(|name| self.blocks.contains(name)).count();
        for name in &names {
            self.store(*name);
        }
        (names.len(), names.len() - known)
    }

    /// Drops everything, as when a model is unloaded.
    pub(super) fn clear(&mut self) {
        while let Some(prefix) = self.blocks.pop_front() {
            self.emit("evicted", prefix);
        }
    }

    /// The events from number `from` on that are old enough to be shown.
    pub(super) fn events(&self, from: u64) -> Value {
        let shown = |event: &&Event| event.at.elapsed() >= self.lag;
        let next = self.events.iter().find(|event| !shown(event)).map(|event| event.number);
        let events: Vec<Value> = self
            .events
            .iter()
            .take_while(shown)
            .filter(|event| event.number >= from)
            .map(|event| json!({ "n": event.number, "kind": event.kind, "prefix": format!("{:016x}", event.prefix) }))
            .collect();
        let first = self.events.front().map_or(self.issued, |event| event.number);
        json!({ "first": first, "next": next.unwrap_or(self.issued), "events": events })
    }

    pub(super) fn export(&mut self, prefix: &str) -> Option<Bytes> {
        let named = parse(prefix)?;
        let place = self.blocks.iter().position(|name| *name == named)?;
        let name = self.blocks.remove(place)?;
        self.blocks.push_back(name);
        Some([MAGIC, prefix.as_bytes()].concat().into())
    }

    pub(super) fn import(&mut self, prefix: &str, body: &[u8]) -> bool {
        let valid = body.strip_prefix(MAGIC) == Some(prefix.as_bytes());
        match parse(prefix).filter(|_| valid) {
            Some(name) => {
                self.store(name);
                true
            }
            None => false,
        }
    }

    fn store(&mut self, name: u64) {
        match self.blocks.iter().position(|known| *known == name) {
            Some(place) => {
                self.blocks.remove(place);
            }
            None => self.emit("stored", name),
        }
        self.blocks.push_back(name);
        while self.blocks.len() > self.capacity {
            if let Some(prefix) = self.blocks.pop_front() {
                self.emit("evicted", prefix);
            }
        }
    }

    /// Records an event, unless it is one that is lost; a lost event leaves a gap in the numbers.
    fn emit(&mut self, kind: &'static str, prefix: u64) {
        let number = self.issued;
        self.issued += 1;
        if self.loss == 0 || !self.issued.is_multiple_of(self.loss) {
            self.events.push_back(Event { number, at: Instant::now(), kind, prefix });
        }
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

/// The names of the complete blocks of `text`.
fn names(text: &str) -> Vec<u64> {
    let mut hash = super::chat::FNV_BASIS;
    text.as_bytes()
        .chunks_exact(BLOCK)
        .map(|block| {
            hash = super::chat::fnv(hash, block);
            hash
        })
        .collect()
}

/// The name that is written as `text`, which must be in the one form that events use.
fn parse(text: &str) -> Option<u64> {
    let name = u64::from_str_radix(text, 16).ok()?;
    (format!("{name:016x}") == text).then_some(name)
}
