//! Dissemination with constant work per round.
//!
//! A round sends one frame to a few peers. The frame holds the own heartbeat, one byte per entry
//! and group on the lists from the log, then changes, newest first and each in a bounded number of
//! frames, then the rest in round-robin order.

mod build;
mod page;
mod peer;

use std::cmp::Reverse;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Item};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use self::page::{Key, item};
use crate::store::{self, Store};
use crate::view::{self, View};

/// What one round sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundSize {
    /// Peers per round.
    pub fanout: usize,
    /// Size of a frame.
    pub max_frame_bytes: usize,
}

/// Bounds of the dissemination.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses that are used when no neighbour is live; the own address is skipped.
    pub seeds: Vec<SmolStr>,
    /// The usual shape of a round.
    pub usual_size: RoundSize,
    /// The shape while the dense lists would fill the usual frames.
    pub large_size: RoundSize,
    /// Least time between two extra frames for urgent changes.
    pub min_urgent_interval: Duration,
    /// Peers among which rounds choose.
    ///
    /// Bounds the open connections per entry: a graph of this degree spreads items about as fast
    /// as a complete one.
    pub max_neighbours: usize,
    /// Rounds between frames to an entry that is gone, or to a seed that no live entry has.
    pub retry_rounds: u64,
    /// The most changes that wait; the oldest are left to round-robin.
    pub max_changes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            // The same bytes as 3 frames of 1,200; at 420 entries and 75 groups the share of group
            // summaries older than 2 s was 0.04% in place of 1%.
            usual_size: RoundSize { fanout: 4, max_frame_bytes: 900 },
            // At 420 entries and 150 groups the dense lists left no room for changes in frames of
            // 900 bytes, and changes of phase did not spread at all.
            large_size: RoundSize { fanout: 3, max_frame_bytes: codec::GOSSIP },
            min_urgent_interval: Duration::from_millis(100),
            max_neighbours: 24,
            retry_rounds: 10,
            max_changes: 4_096,
        }
    }
}

/// A frame and the addresses to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Addresses on the peers port.
    pub peers: Vec<SmolStr>,
    /// The frame; within the budget.
    pub frame: Frame,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    /// Ascending over all changes, so that the newest is found.
    sequence: u64,
    /// Frames that carried it.
    sent: u32,
    /// A crash or a closed group.
    urgent: bool,
    /// The round in which it was queued.
    round: u64,
}

/// Places of the round-robin order.
#[derive(Clone, Copy, Debug, Default)]
struct Cursors {
    heartbeats: usize,
    groups: usize,
    instances: usize,
    usages: usize,
    blames: usize,
    beats: usize,
    ages: usize,
}

/// State of the dissemination.
#[derive(Clone, Debug)]
pub struct Gossip {
    options: Options,
    /// The shape of the current round.
    shape: RoundSize,
    random: SmallRng,
    changes: Map<Key, Pending>,
    /// Number of changes queued so far.
    queued: u64,
    /// Counter of the own reports.
    published: u64,
    cursors: Cursors,
    /// Incarnations among which rounds choose.
    neighbours: Vec<u64>,
    /// Neighbours that this pass over them has yet to choose.
    pass: Vec<u64>,
    rounds: u64,
    /// When the last extra frame was sent.
    extra: Option<Instant>,
    /// Since when listed entries are unknown.
    lacking: Option<Instant>,
    /// Requests for a peer's whole view since then.
    pulls: u32,
    /// When the next request may be made.
    pull_due: Instant,
}

/// Many entries are lacking when more than one in so many listed ones is unknown.
///
/// One byte per entry says nothing of an entry whose heartbeat hasn't arrived in full, and at 420
/// entries the round-robin order brings all heartbeats to a new entry only in minutes. So a peer's
/// whole view is requested.
const LACKING: usize = 20;

/// Time after which a peer's view is requested because many entries are lacking.
const MANY: Duration = Duration::from_secs(2);

/// Time after which a peer's view is requested because any entry is lacking. The heartbeat of a
/// single new entry arrives sooner.
const ANY: Duration = Duration::from_secs(10);

/// Unit of the ages in `Ages`, in ms.
const AGE_UNIT: u32 = 10;

/// Stands for a group that isn't known to be servable in `Ages`.
const CLOSED: u8 = 255;

impl Gossip {
    /// A dissemination that has sent nothing; `seed` determines its choice of peers.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            shape: options.usual_size,
            options,
            random: SmallRng::seed_from_u64(seed),
            changes: Map::default(),
            queued: 0,
            published: 0,
            cursors: Cursors::default(),
            neighbours: Vec::new(),
            pass: Vec::new(),
            rounds: 0,
            extra: None,
            lacking: None,
            pulls: 0,
            pull_due: Instant::default(),
        }
    }

    /// Merges and queues an own report; observer, incarnation and counter are filled in.
    pub fn publish(&mut self, view: &View, store: &mut Store, mut item: Item, now: Instant) {
        self.published += 1;
        let (own, counter) = (view.own_incarnation(), self.published);
        match &mut item {
            Item::Group(group) => (group.observer, group.counter) = (own, counter),
            Item::Instance(instance) => (instance.observer, instance.counter) = (own, counter),
            Item::Usage(usage) => (usage.incarnation, usage.counter) = (own, counter),
            Item::Blame(blame) => (blame.observer, blame.counter) = (own, counter),
            Item::Heartbeat(_) | Item::Beats { .. } | Item::Ages { .. } => return,
        }
        self.merge(store, &item, now);
    }

    /// Queues the own heartbeat, which changed in more than its counter.
    pub fn announce(&mut self, view: &View) {
        self.enqueue(Key::Heartbeat(view.own_incarnation()), false);
    }

    /// Merges a peer's items and returns those that changed something other than load and age.
    pub fn receive(
        &mut self,
        view: &mut View,
        store: &mut Store,
        items: Vec<Item>,
        now: Instant,
    ) -> Vec<Item> {
        let mut news = Vec::new();
        for item in items {
            match &item {
                Item::Heartbeat(heartbeat) => {
                    let unlisted = !view.listed().contains((heartbeat.incarnation, 0));
                    let change = view.merge(heartbeat, now);
                    match change {
                        view::Change::Updated => {
                            self.enqueue(Key::Heartbeat(heartbeat.incarnation), false);
                            news.push(item);
                        }
                        // `Beats` doesn't cover it, so each heartbeat is passed on in full.
                        view::Change::Refreshed if unlisted => {
                            self.enqueue(Key::Heartbeat(heartbeat.incarnation), false);
                        }
                        view::Change::Refreshed | view::Change::Ignored => {}
                    }
                }
                Item::Beats { digest, first, beats } => {
                    let list = view.listed().find(*digest).unwrap_or_default().to_vec();
                    for (&(incarnation, _), &beat) in
                        list.iter().skip(usize::from(*first)).zip(beats)
                    {
                        view.merge_short_counter(incarnation, beat, now);
                    }
                }
                Item::Ages { digest, first, ages, loads } => {
                    let list = store.listed().find(*digest).unwrap_or_default().to_vec();
                    let loads = loads.iter().copied().map(Some).chain(std::iter::repeat(None));
                    let summaries = ages.iter().zip(loads);
                    for (&group, (&age, load)) in
                        list.iter().skip(usize::from(*first)).zip(summaries)
                    {
                        if age != CLOSED {
                            store.merge_group_age(group, u32::from(age) * AGE_UNIT, load, now);
                        }
                    }
                }
                Item::Group(_) | Item::Instance(_) | Item::Usage(_) | Item::Blame(_) => {
                    if self.merge(store, &item, now) {
                        news.push(item);
                    }
                }
            }
        }
        news
    }

    /// Merges the answer to a request for a peer's whole view: as [`Self::receive`], but nothing
    /// is passed on, because the peer has done so.
    pub fn receive_pulled(
        &mut self,
        view: &mut View,
        store: &mut Store,
        items: Vec<Item>,
        now: Instant,
    ) -> Vec<Item> {
        let (changes, queued) = (self.changes.clone(), self.queued);
        let news = self.receive(view, store, items, now);
        (self.changes, self.queued) = (changes, queued);
        news
    }

    /// The peer to ask for its whole view, if it is time to: at the start, and when entries on the
    /// list from the log stay unknown. To be called once per round.
    pub fn pull_peer(&mut self, view: &View, now: Instant) -> Option<SmolStr> {
        let listed = view.listed().current();
        let unknown = listed.iter().filter(|(entry, _)| view.get(*entry).is_none()).count();
        let lacking = now.since(*self.lacking.get_or_insert(now));
        match self.rounds {
            0 => return None,
            // At the start, one request brings most of what there is to know.
            1 => {}
            _ if unknown == 0 => {
                (self.lacking, self.pulls) = (None, 0);
                return None;
            }
            _ if lacking < MANY || (lacking < ANY && unknown * LACKING <= listed.len()) => {
                return None;
            }
            _ => {}
        }
        if now < self.pull_due {
            return None;
        }
        let peer = self.choose(view, now).into_iter().next()?;
        // Entries that are listed but dead stay unknown until the log says so.
        self.pull_due = now + MANY * (1 << self.pulls.min(7));
        self.pulls += 1;
        Some(peer)
    }

    /// All that this entry knows, as the answer to a request for its whole view.
    pub fn dump(&self, view: &View, store: &Store, now: Instant) -> Vec<Frame> {
        let heartbeats = view.iter(now).map(|(entry, _)| entry.heartbeat.incarnation);
        let keys = heartbeats
            .map(Key::Heartbeat)
            .chain(store.group_keys().map(|(group, fence)| Key::Group(group, fence)))
            .chain(store.instance_keys().map(|(name, by)| Key::Instance(name.clone(), by)))
            .chain(store.usage_keys().map(|(team, entry)| Key::Usage(team.clone(), entry)))
            .chain(store.blames().map(Key::Blame));
        let mut pages = vec![self.page(view)];
        for item in keys.filter_map(|key| item(&key, view, store, now)) {
            let fits = pages.last().is_some_and(|page| codec::item_size(&item) <= page.left);
            if !fits {
                pages.push(self.page(view));
            }
            if let Some(page) = pages.last_mut() {
                page.push(item);
            }
        }
        let sender = view.own_incarnation();
        pages.into_iter().map(|page| Frame::Gossip { sender, items: page.items }).collect()
    }

    /// One round: raises the own heartbeat, drops what expired, and builds the frame.
    ///
    /// `None` if there is nobody to send to.
    pub fn round(&mut self, view: &mut View, store: &mut Store, now: Instant) -> Option<Outgoing> {
        view.advance_own_counter(now);
        view.expire(now);
        store.expire(now);
        self.rounds += 1;
        self.shape = self.fitting_shape(view, store);
        self.renew(view, now);
        let peers = self.choose(view, now);
        if peers.is_empty() {
            return None;
        }
        let frame = self.build(view, store, now, true);
        Some(Outgoing { peers, frame })
    }

    /// When an extra frame for an urgent change is due, if one waits.
    pub fn urgent_due(&self) -> Option<Instant> {
        let waits = self.changes.iter().any(|(_, pending)| pending.urgent && pending.sent == 0);
        let due =
            self.extra.map_or(Instant::default(), |last| last + self.options.min_urgent_interval);
        waits.then_some(due)
    }

    /// The extra frame for urgent changes, if it is due.
    pub fn urgent_round(&mut self, view: &View, store: &Store, now: Instant) -> Option<Outgoing> {
        self.urgent_due().filter(|due| *due <= now)?;
        let peers = self.choose(view, now);
        if peers.is_empty() {
            return None;
        }
        self.extra = Some(now);
        let frame = self.build(view, store, now, false);
        Some(Outgoing { peers, frame })
    }

    /// Merges an item into the store and queues it if it is news; returns whether it is.
    fn merge(&mut self, store: &mut Store, item: &Item, now: Instant) -> bool {
        let (change, key) = match item {
            Item::Group(group) => {
                (store.merge_group(group, now), Key::Group(group.group, group.fence))
            }
            Item::Instance(instance) => (
                store.merge_instance(instance, now),
                Key::Instance(SmolStr::new(&instance.instance), instance.observer),
            ),
            Item::Usage(usage) => (
                store.merge_usage(usage, now),
                Key::Usage(SmolStr::new(&usage.team), usage.incarnation),
            ),
            Item::Blame(blame) => (store.merge_blame(*blame, now), Key::Blame(*blame)),
            Item::Heartbeat(_) | Item::Beats { .. } | Item::Ages { .. } => return false,
        };
        let urgent = change == store::Change::Closed || matches!(item, Item::Blame(_));
        match change {
            store::Change::Closed | store::Change::Updated => {
                self.enqueue(key, urgent);
                true
            }
            store::Change::Refreshed | store::Change::Ignored => false,
        }
    }

    /// Queues a change; beyond the limit, the least urgent, most often sent, oldest one is dropped.
    fn enqueue(&mut self, key: Key, urgent: bool) {
        self.queued += 1;
        self.changes
            .insert(key, Pending { sequence: self.queued, sent: 0, urgent, round: self.rounds });
        if self.changes.len() > self.options.max_changes {
            let oldest = self
                .changes
                .iter()
                .min_by_key(|(_, pending)| {
                    (pending.urgent, Reverse(pending.sent), pending.sequence)
                })
                .map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.changes.remove(&key);
            }
        }
    }
}
