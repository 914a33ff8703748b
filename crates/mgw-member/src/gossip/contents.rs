//! Contents of gossip frames: own heartbeat, dense lists, pending changes and round-robin items.

use std::cmp::Reverse;

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Item};

use super::builder::{FrameBuilder, ItemKey, current_item};
use super::{AGE_UNIT_MS, Gossip, NOT_SERVABLE, Options, PendingChange, RoundSize};
use crate::store::{self, Store};
use crate::view::{Status, View};

/// Maximum bytes of `Item::HeartbeatCounters` and of `Item::GroupAges` per frame; longer lists are sent in parts,
/// one part per frame.
///
/// This is enough for the 420 entries of the largest fleet, and for 220 groups with age and load or
/// 440 groups with age only.
const MAX_DENSE_BYTES: usize = 440;

/// Bytes that pending changes leave to round-robin items.
const ROUND_ROBIN_RESERVE: usize = 150;

/// Bytes that the dense lists must leave in a frame of the usual size for changes, round-robin
/// items and headers.
const MIN_BYTES_BESIDE_DENSE: usize = 300;

/// Rounds after which a pending change is left to the round-robin order.
const MAX_PENDING_ROUNDS: u64 = 20;

impl Gossip {
    /// Builds a frame within the size of the current round.
    ///
    /// It holds the own heartbeat and pending changes; with `full`, also the dense lists and
    /// round-robin items.
    pub(super) fn build_frame(
        &mut self,
        view: &View,
        store: &Store,
        now: Instant,
        full: bool,
    ) -> Frame {
        let mut frame = self.new_frame(view);
        frame.add(ItemKey::Heartbeat(view.own_incarnation()), view, store, now);
        if full {
            self.add_beats(&mut frame, view, now);
            self.add_ages(&mut frame, store, now);
        }
        self.add_changes(&mut frame, view, store, now, if full { ROUND_ROBIN_RESERVE } else { 0 });
        if full {
            self.add_round_robin(&mut frame, view, store, now);
        }
        Frame::Gossip { sender: view.own_incarnation(), items: frame.items }
    }

    /// Returns the usual size, or the large one if the dense lists would leave too little of the
    /// usual frames for other items.
    pub(super) fn select_round_size(&self, view: &View, store: &Store) -> RoundSize {
        let beats = view.listed().current().len().min(MAX_DENSE_BYTES);
        let ages = (store.listed().current().len() * 2).min(MAX_DENSE_BYTES);
        let Options { usual_size, large_size, .. } = &self.options;
        if beats + ages + MIN_BYTES_BESIDE_DENSE <= usual_size.max_frame_bytes {
            *usual_size
        } else {
            *large_size
        }
    }

    /// Returns the builder of an empty frame.
    pub(super) fn new_frame(&self, view: &View) -> FrameBuilder {
        let empty = Frame::Gossip { sender: view.own_incarnation(), items: Vec::new() };
        // The encoded number of items takes up to two bytes more than in an empty frame.
        let remaining =
            self.round_size.max_frame_bytes.saturating_sub(codec::encoded_size(&empty) + 2);
        FrameBuilder { items: Vec::new(), keys: Vec::new(), remaining }
    }

    /// Adds the dense list of heartbeat counters, or the part of it whose turn it is.
    fn add_beats(&mut self, frame: &mut FrameBuilder, view: &View, now: Instant) {
        let list = view.listed().current();
        let Some(digest) = view.listed().digest() else {
            return;
        };
        let (first, end, next) = next_slice(list.len(), self.cursors.beats, MAX_DENSE_BYTES);
        self.cursors.beats = next;
        let beats =
            list[first..end].iter().map(|&(entry, _)| view.short_counter(entry, now)).collect();
        frame.push(Item::HeartbeatCounters { digest, first_index: first as u16, counters: beats });
    }

    /// Adds the dense list of group ages and loads, or the part of it whose turn it is.
    fn add_ages(&mut self, frame: &mut FrameBuilder, store: &Store, now: Instant) {
        let list = store.listed().current();
        let Some(digest) = store.listed().digest() else {
            return;
        };
        // If both don't fit, only ages are sent: the age, which tells that a group is servable,
        // must be fresher than the load, which full summaries carry as well.
        let with_loads = list.len() <= MAX_DENSE_BYTES / 2;
        let max_elements = if with_loads { MAX_DENSE_BYTES / 2 } else { MAX_DENSE_BYTES };
        let (first, end, next) = next_slice(list.len(), self.cursors.ages, max_elements);
        self.cursors.ages = next;
        let summary = |&(group, fence): &(u64, u64)| match store.group(group, fence, now) {
            Some(known) if known.servable => {
                let age = u8::try_from(known.age_ms.div_ceil(AGE_UNIT_MS)).unwrap_or(NOT_SERVABLE);
                (age, store::scaled_load(&known))
            }
            _ => (NOT_SERVABLE, 0),
        };
        let (ages, mut loads): (Vec<u8>, Vec<u8>) = list[first..end].iter().map(summary).unzip();
        if !with_loads {
            loads.clear();
        }
        frame.push(Item::GroupAges { digest, first_index: first as u16, ages, loads });
    }

    /// Adds pending changes, most important class first and newest first within a class, and leaves
    /// `reserve` bytes of the frame.
    ///
    /// A change leaves the queue once enough frames have carried it, once it is older than
    /// [`MAX_PENDING_ROUNDS`], or once its item is no longer relayed.
    fn add_changes(
        &mut self,
        frame: &mut FrameBuilder,
        view: &View,
        store: &Store,
        now: Instant,
        reserve: usize,
    ) {
        let entries = view.iter(now).filter(|(_, status)| *status != Status::Gone).count();
        let frames = frames_per_change(entries);
        let rounds = self.rounds;
        self.queue.retain(|_, pending| pending.queued_round + MAX_PENDING_ROUNDS > rounds);
        let mut order: Vec<(ItemKey, PendingChange)> =
            self.queue.iter().map(|(key, pending)| (key.clone(), *pending)).collect();
        // Instance states come last: after a cold start, there are more of them than fit into the
        // frames of several minutes, and changes of entries and groups must not wait for them.
        order.sort_by_key(|(key, pending)| {
            let class = match key {
                _ if pending.urgent => 0,
                ItemKey::Blame(_) | ItemKey::Heartbeat(_) => 1,
                ItemKey::Group(..) => 2,
                ItemKey::Instance(..) | ItemKey::Usage(..) => 3,
            };
            (class, Reverse(pending.sequence))
        });
        // A burst of instance states, as after a cold start, must leave half of the remaining bytes
        // to round-robin items.
        let bulk_reserve = reserve.max(frame.remaining / 2);
        for (key, pending) in order {
            let is_bulk = matches!(key, ItemKey::Instance(..) | ItemKey::Usage(..));
            match () {
                () if frame.remaining <= if is_bulk { bulk_reserve } else { reserve } => break,
                // The own heartbeat is in every frame already.
                () if frame.keys.contains(&key) => {}
                () if !frame.add(key.clone(), view, store, now) => {
                    if current_item(&key, view, store, now).is_none() {
                        self.queue.remove(&key);
                    }
                    continue;
                }
                () => {}
            }
            match self.queue.get_mut(&key) {
                Some(_) if pending.frames_sent + 1 >= frames => drop(self.queue.remove(&key)),
                Some(kept) => kept.frames_sent += 1,
                None => {}
            }
        }
    }

    /// Fills the frame with items in round-robin order: first up to a share of the remaining bytes
    /// for each kind, then whatever fits.
    fn add_round_robin(
        &mut self,
        frame: &mut FrameBuilder,
        view: &View,
        store: &Store,
        now: Instant,
    ) {
        let heartbeats: Vec<ItemKey> = view
            .iter(now)
            .filter(|(_, status)| *status != Status::Gone)
            .map(|(entry, _)| ItemKey::Heartbeat(entry.heartbeat.incarnation))
            .collect();
        let groups: Vec<ItemKey> =
            store.group_keys().map(|(group, fence)| ItemKey::Group(group, fence)).collect();
        let instances: Vec<ItemKey> = store
            .instance_keys()
            .map(|(name, observer)| ItemKey::Instance(name.clone(), observer))
            .collect();
        let usages: Vec<ItemKey> =
            store.usage_keys().map(|(team, entry)| ItemKey::Usage(team.clone(), entry)).collect();
        let blames: Vec<ItemKey> = store.blames().map(ItemKey::Blame).collect();
        let cursors = &mut self.cursors;
        let mut kinds = [
            (groups, &mut cursors.groups, 35),
            (usages, &mut cursors.usages, 25),
            (instances, &mut cursors.instances, 20),
            (heartbeats, &mut cursors.heartbeats, 15),
            (blames, &mut cursors.blames, 5),
        ];
        let available = frame.remaining;
        for (keys, cursor, share) in &mut kinds {
            let floor = frame.remaining.saturating_sub(available * *share / 100);
            frame.add_in_turn(keys, cursor, floor, view, store, now);
        }
        for (keys, cursor, _) in &mut kinds {
            frame.add_in_turn(keys, cursor, 0, view, store, now);
        }
    }
}

/// Returns the number of frames that carry a change: enough to reach all entries with a fanout of
/// 3, and two more to make up for lost frames.
fn frames_per_change(entries: usize) -> u32 {
    (entries.max(1) as f64).log(3.0).ceil() as u32 + 2
}

/// Splits a list of `size` elements into the fewest parts of at most `max_elements`, of about equal
/// size. Returns the start and end of the part that begins at `cursor`, and the start of the next
/// one.
fn next_slice(size: usize, cursor: usize, max_elements: usize) -> (usize, usize, usize) {
    let first = if cursor < size { cursor } else { 0 };
    let parts = size.div_ceil(max_elements).max(1);
    let end = (first + size.div_ceil(parts)).min(size);
    (first, end, if end < size { end } else { 0 })
}
