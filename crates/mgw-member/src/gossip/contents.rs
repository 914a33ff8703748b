//! Contents of frames: heartbeat, dense lists, changes and round-robin items.

use std::cmp::Reverse;

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Item};

use super::builder::{FrameBuilder, ItemKey, current_item};
use super::{AGE_UNIT_MS, Gossip, NOT_SERVABLE, Options, PendingChange, RoundSize};
use crate::store::{self, Store};
use crate::view::{Status, View};

/// Bytes of `Beats` and of `Ages` per frame; longer lists are sent in turns.
///
/// Holds the 420 entries of the largest fleet, and 220 groups with age and load or 440 with age.
const MAX_DENSE_BYTES: usize = 440;

/// Bytes left for round-robin when changes could fill the frame.
const ROUND_ROBIN_RESERVE: usize = 150;

/// Bytes of a usual frame that the dense lists have to leave: changes, round-robin and headers.
const MIN_BYTES_BESIDE_DENSE: usize = 300;

/// Rounds after which a change that still waits is left to round-robin.
const MAX_PENDING_ROUNDS: u64 = 20;

impl Gossip {
    /// Builds a frame within the budget; `whole` adds the dense lists and round-robin items.
    pub(super) fn build_frame(
        &mut self,
        view: &View,
        store: &Store,
        now: Instant,
        whole: bool,
    ) -> Frame {
        let mut page = self.new_frame(view);
        page.add(ItemKey::Heartbeat(view.own_incarnation()), view, store, now);
        if whole {
            self.add_beats(&mut page, view, now);
            self.add_ages(&mut page, store, now);
        }
        self.add_changes(&mut page, view, store, now, if whole { ROUND_ROBIN_RESERVE } else { 0 });
        if whole {
            self.add_round_robin(&mut page, view, store, now);
        }
        Frame::Gossip { sender: view.own_incarnation(), items: page.items }
    }

    /// The usual shape, unless the dense lists would leave too little of its frames for the rest.
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

    /// An empty frame under construction.
    pub(super) fn new_frame(&self, view: &View) -> FrameBuilder {
        let empty = Frame::Gossip { sender: view.own_incarnation(), items: Vec::new() };
        // The count of items takes up to two bytes more than in an empty frame.
        let left = self.round_size.max_frame_bytes.saturating_sub(codec::size(&empty) + 2);
        FrameBuilder { items: Vec::new(), keys: Vec::new(), remaining: left }
    }

    fn add_beats(&mut self, page: &mut FrameBuilder, view: &View, now: Instant) {
        let list = view.listed().current();
        let Some(digest) = view.listed().digest() else {
            return;
        };
        let (first, end, next) = next_slice(list.len(), self.cursors.beats, MAX_DENSE_BYTES);
        self.cursors.beats = next;
        let beats =
            list[first..end].iter().map(|&(entry, _)| view.short_counter(entry, now)).collect();
        page.push(Item::Beats { digest, first: first as u16, beats });
    }

    fn add_ages(&mut self, page: &mut FrameBuilder, store: &Store, now: Instant) {
        let list = store.listed().current();
        let Some(digest) = store.listed().digest() else {
            return;
        };
        // Servability must be fresher than load, which also comes with the full summaries.
        let with_loads = list.len() <= MAX_DENSE_BYTES / 2;
        let most = if with_loads { MAX_DENSE_BYTES / 2 } else { MAX_DENSE_BYTES };
        let (first, end, next) = next_slice(list.len(), self.cursors.ages, most);
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
        page.push(Item::Ages { digest, first: first as u16, ages, loads });
    }

    fn add_changes(
        &mut self,
        page: &mut FrameBuilder,
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
        // Instance states come last: a cold start brings more of them than fit for minutes, and
        // entries and groups must not wait for that.
        order.sort_by_key(|(key, pending)| {
            let class = match key {
                _ if pending.urgent => 0,
                ItemKey::Blame(_) | ItemKey::Heartbeat(_) => 1,
                ItemKey::Group(..) => 2,
                ItemKey::Instance(..) | ItemKey::Usage(..) => 3,
            };
            (class, Reverse(pending.sequence))
        });
        // A burst of instance states, as in a cold start, leaves half of the frame to the rest.
        let half = reserve.max(page.remaining / 2);
        for (key, pending) in order {
            let bulk = matches!(key, ItemKey::Instance(..) | ItemKey::Usage(..));
            match () {
                () if page.remaining <= if bulk { half } else { reserve } => break,
                // The own heartbeat is in every frame.
                () if page.keys.contains(&key) => {}
                () if !page.add(key.clone(), view, store, now) => {
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

    /// Fills the frame in round-robin order: first a share per kind, then what fits.
    fn add_round_robin(
        &mut self,
        page: &mut FrameBuilder,
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
        let whole = page.remaining;
        for (keys, cursor, share) in &mut kinds {
            let floor = page.remaining.saturating_sub(whole * *share / 100);
            page.add_in_turn(keys, cursor, floor, view, store, now);
        }
        for (keys, cursor, _) in &mut kinds {
            page.add_in_turn(keys, cursor, 0, view, store, now);
        }
    }
}

/// The number of frames that carry a change: enough for `fanout` 3 to reach all, and two more for
/// frames that are lost.
fn frames_per_change(entries: usize) -> u32 {
    (entries.max(1) as f64).log(3.0).ceil() as u32 + 2
}

/// The part of a list that is sent in this frame, and the start of the next one.
fn next_slice(size: usize, cursor: usize, most: usize) -> (usize, usize, usize) {
    let first = if cursor < size { cursor } else { 0 };
    let turns = size.div_ceil(most).max(1);
    let end = (first + size.div_ceil(turns)).min(size);
    (first, end, if end < size { end } else { 0 })
}
