//! Contents of frames: heartbeat, dense lists, changes and round-robin items.

use std::cmp::Reverse;

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Item};

use super::page::{Key, Page, item};
use super::{AGE_UNIT, CLOSED, Gossip, Options, Pending, RoundSize};
use crate::store::{self, Store};
use crate::view::{Status, View};

/// Bytes of `Beats` and of `Ages` per frame; longer lists are sent in turns.
///
/// Holds the 420 entries of the largest fleet, and 220 groups with age and load or 440 with age.
const DENSE: usize = 440;

/// Bytes left for round-robin when changes could fill the frame.
const RESERVE: usize = 150;

/// Bytes of a usual frame that the dense lists have to leave: changes, round-robin and headers.
const ROOM: usize = 300;

/// Rounds after which a change that still waits is left to round-robin.
const STALE: u64 = 20;

impl Gossip {
    /// Builds a frame within the budget; `whole` adds the dense lists and round-robin items.
    pub(super) fn build(&mut self, view: &View, store: &Store, now: Instant, whole: bool) -> Frame {
        let mut page = self.page(view);
        page.add(Key::Heartbeat(view.own_incarnation()), view, store, now);
        if whole {
            self.add_beats(&mut page, view, now);
            self.add_ages(&mut page, store, now);
        }
        self.add_changes(&mut page, view, store, now, if whole { RESERVE } else { 0 });
        if whole {
            self.add_rest(&mut page, view, store, now);
        }
        Frame::Gossip { sender: view.own_incarnation(), items: page.items }
    }

    /// The usual shape, unless the dense lists would leave too little of its frames for the rest.
    pub(super) fn fitting_shape(&self, view: &View, store: &Store) -> RoundSize {
        let beats = view.listed().current().len().min(DENSE);
        let ages = (store.listed().current().len() * 2).min(DENSE);
        let Options { usual_size, large_size, .. } = &self.options;
        if beats + ages + ROOM <= usual_size.max_frame_bytes { *usual_size } else { *large_size }
    }

    /// An empty frame under construction.
    pub(super) fn page(&self, view: &View) -> Page {
        let empty = Frame::Gossip { sender: view.own_incarnation(), items: Vec::new() };
        // The count of items takes up to two bytes more than in an empty frame.
        let left = self.shape.max_frame_bytes.saturating_sub(codec::size(&empty) + 2);
        Page { items: Vec::new(), keys: Vec::new(), left }
    }

    fn add_beats(&mut self, page: &mut Page, view: &View, now: Instant) {
        let list = view.listed().current();
        let Some(digest) = view.listed().digest() else {
            return;
        };
        let (first, end, next) = turn(list.len(), self.cursors.beats, DENSE);
        self.cursors.beats = next;
        let beats =
            list[first..end].iter().map(|&(entry, _)| view.short_counter(entry, now)).collect();
        page.push(Item::Beats { digest, first: first as u16, beats });
    }

    fn add_ages(&mut self, page: &mut Page, store: &Store, now: Instant) {
        let list = store.listed().current();
        let Some(digest) = store.listed().digest() else {
            return;
        };
        // Servability must be fresher than load, which also comes with the full summaries.
        let with_loads = list.len() <= DENSE / 2;
        let most = if with_loads { DENSE / 2 } else { DENSE };
        let (first, end, next) = turn(list.len(), self.cursors.ages, most);
        self.cursors.ages = next;
        let summary = |&(group, fence): &(u64, u64)| match store.group(group, fence, now) {
            Some(known) if known.servable => {
                let age = u8::try_from(known.age_ms.div_ceil(AGE_UNIT)).unwrap_or(CLOSED);
                (age, store::scaled_load(&known))
            }
            _ => (CLOSED, 0),
        };
        let (ages, mut loads): (Vec<u8>, Vec<u8>) = list[first..end].iter().map(summary).unzip();
        if !with_loads {
            loads.clear();
        }
        page.push(Item::Ages { digest, first: first as u16, ages, loads });
    }

    fn add_changes(
        &mut self,
        page: &mut Page,
        view: &View,
        store: &Store,
        now: Instant,
        reserve: usize,
    ) {
        let entries = view.iter(now).filter(|(_, status)| *status != Status::Gone).count();
        let frames = frames(entries);
        let rounds = self.rounds;
        self.changes.retain(|_, pending| pending.round + STALE > rounds);
        let mut order: Vec<(Key, Pending)> =
            self.changes.iter().map(|(key, pending)| (key.clone(), *pending)).collect();
        // Instance states come last: a cold start brings more of them than fit for minutes, and
        // entries and groups must not wait for that.
        order.sort_by_key(|(key, pending)| {
            let class = match key {
                _ if pending.urgent => 0,
                Key::Blame(_) | Key::Heartbeat(_) => 1,
                Key::Group(..) => 2,
                Key::Instance(..) | Key::Usage(..) => 3,
            };
            (class, Reverse(pending.sequence))
        });
        // A burst of instance states, as in a cold start, leaves half of the frame to the rest.
        let half = reserve.max(page.left / 2);
        for (key, pending) in order {
            let bulk = matches!(key, Key::Instance(..) | Key::Usage(..));
            match () {
                () if page.left <= if bulk { half } else { reserve } => break,
                // The own heartbeat is in every frame.
                () if page.keys.contains(&key) => {}
                () if !page.add(key.clone(), view, store, now) => {
                    if item(&key, view, store, now).is_none() {
                        self.changes.remove(&key);
                    }
                    continue;
                }
                () => {}
            }
            match self.changes.get_mut(&key) {
                Some(_) if pending.sent + 1 >= frames => drop(self.changes.remove(&key)),
                Some(kept) => kept.sent += 1,
                None => {}
            }
        }
    }

    /// Fills the frame in round-robin order: first a share per kind, then what fits.
    fn add_rest(&mut self, page: &mut Page, view: &View, store: &Store, now: Instant) {
        let heartbeats: Vec<Key> = view
            .iter(now)
            .filter(|(_, status)| *status != Status::Gone)
            .map(|(entry, _)| Key::Heartbeat(entry.heartbeat.incarnation))
            .collect();
        let groups: Vec<Key> =
            store.group_keys().map(|(group, fence)| Key::Group(group, fence)).collect();
        let instances: Vec<Key> = store
            .instance_keys()
            .map(|(name, observer)| Key::Instance(name.clone(), observer))
            .collect();
        let usages: Vec<Key> =
            store.usage_keys().map(|(team, entry)| Key::Usage(team.clone(), entry)).collect();
        let blames: Vec<Key> = store.blames().map(Key::Blame).collect();
        let cursors = &mut self.cursors;
        let mut kinds = [
            (groups, &mut cursors.groups, 35),
            (usages, &mut cursors.usages, 25),
            (instances, &mut cursors.instances, 20),
            (heartbeats, &mut cursors.heartbeats, 15),
            (blames, &mut cursors.blames, 5),
        ];
        let whole = page.left;
        for (keys, cursor, share) in &mut kinds {
            let floor = page.left.saturating_sub(whole * *share / 100);
            page.fill(keys, cursor, floor, view, store, now);
        }
        for (keys, cursor, _) in &mut kinds {
            page.fill(keys, cursor, 0, view, store, now);
        }
    }
}

/// The number of frames that carry a change: enough for `fanout` 3 to reach all, and two more for
/// frames that are lost.
fn frames(entries: usize) -> u32 {
    (entries.max(1) as f64).log(3.0).ceil() as u32 + 2
}

/// The part of a list that is sent in this frame, and the start of the next one.
fn turn(size: usize, cursor: usize, most: usize) -> (usize, usize, usize) {
    let first = if cursor < size { cursor } else { 0 };
    let turns = size.div_ceil(most).max(1);
    let end = (first + size.div_ceil(turns)).min(size);
    (first, end, if end < size { end } else { 0 })
}
