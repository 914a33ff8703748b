//! Gossip among the entries, with a constant amount of work per round.
//!
//! Each round sends one frame to a few peers. The frame holds, in this order: the own heartbeat;
//! the dense lists, with one byte per entry and one or two bytes per group that the log lists;
//! pending changes, newest first and each in a bounded number of frames; and the remaining items in
//! round-robin order.

mod builder;
mod contents;
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

use self::builder::{ItemKey, current_item};
use crate::store::{self, Store};
use crate::view::{self, View};

/// Number and size of the frames that one round sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundSize {
    /// Number of peers that get the frame of a round.
    pub fanout: usize,
    /// Maximum size of a frame in bytes.
    pub max_frame_bytes: usize,
}

/// Sizes, intervals and limits of the gossip.
#[derive(Clone, Debug)]
pub struct Options {
    /// Peer addresses that are used while no neighbour is live. The own address is skipped.
    pub seeds: Vec<SmolStr>,
    /// Size of a round as long as the dense lists leave enough room in the frames.
    pub usual_size: RoundSize,
    /// Size of a round while the dense lists would fill most of the usual frames.
    pub large_size: RoundSize,
    /// Minimum interval between two extra frames for urgent changes.
    pub min_urgent_interval: Duration,
    /// Maximum number of neighbours, the peers among which rounds choose.
    ///
    /// Bounds the open connections per entry. A graph of this degree spreads items about as fast as
    /// a complete graph.
    pub max_neighbours: usize,
    /// Number of rounds between frames to an entry that is gone, or to a seed address that no live
    /// entry has.
    pub retry_rounds: u64,
    /// Maximum number of pending changes. Beyond it, the oldest of those sent most often are left
    /// to the round-robin order.
    pub max_changes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            // As many bytes as 3 frames of 1,200 bytes. At 420 entries and 75 groups, 0.04% of the
            // group summaries were older than 2 s, compared with 1% for 3 frames of 1,200.
            usual_size: RoundSize { fanout: 4, max_frame_bytes: 900 },
            // At 420 entries and 150 groups, the dense lists left no room for changes in frames of
            // 900 bytes, and changes of phase did not spread at all.
            large_size: RoundSize { fanout: 3, max_frame_bytes: codec::MAX_GOSSIP_SIZE },
            min_urgent_interval: Duration::from_millis(100),
            max_neighbours: 24,
            retry_rounds: 10,
            max_changes: 4_096,
        }
    }
}

/// A frame and the peers to which it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Addresses of the peers, each with the port for peers.
    pub peers: Vec<SmolStr>,
    /// The frame, of at most [`RoundSize::max_frame_bytes`].
    pub frame: Frame,
}

/// A change that is to be sent in further frames.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    /// Ascending over all changes; orders them by age.
    sequence: u64,
    /// Number of frames that have carried the change.
    frames_sent: u32,
    /// Whether the change is a crash or a closed group, which are sent without waiting for a round.
    urgent: bool,
    /// The round in which the change was queued.
    queued_round: u64,
}

/// Positions at which the next frame continues the round-robin order of each kind of item and the
/// dense lists.
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

/// State of the gossip protocol on one entry.
#[derive(Clone, Debug)]
pub struct Gossip {
    options: Options,
    /// Size of the current round.
    round_size: RoundSize,
    random: SmallRng,
    /// Changes that are to be sent in further frames.
    queue: Map<ItemKey, PendingChange>,
    /// Sequence number of the last change that was queued.
    last_sequence: u64,
    /// Counter of the last own report.
    report_counter: u64,
    cursors: Cursors,
    /// Incarnations among which rounds choose their peers.
    neighbours: Vec<u64>,
    /// Neighbours not yet chosen in the current pass over them.
    unchosen: Vec<u64>,
    /// Number of rounds so far.
    rounds: u64,
    /// When the last extra frame for urgent changes was sent.
    last_urgent: Option<Instant>,
    /// Since when entries on the list from the log are unknown.
    unknown_since: Option<Instant>,
    /// Requests for a peer's whole view since `unknown_since`.
    pull_attempts: u32,
    /// The earliest time of the next request for a peer's whole view.
    next_pull_at: Instant,
}

/// Many entries count as unknown if more than one in this many on the list from the log is unknown.
///
/// `Item::HeartbeatCounters` says nothing of an entry whose heartbeat hasn't arrived in full, and at 420
/// entries the round-robin order takes minutes to bring all heartbeats to a new entry. So a new
/// entry requests the whole view of a peer.
const MANY_UNKNOWN_DIVISOR: usize = 20;

/// Time after which a peer's whole view is requested because many entries are unknown. Also the
/// interval between the first two requests; the interval doubles after each request, up to 128
/// times this value.
const MANY_UNKNOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a peer's whole view is requested because any entry is unknown. The heartbeat of
/// a single new entry arrives sooner.
const ANY_UNKNOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Unit of the ages in `Item::GroupAges`, in ms.
const AGE_UNIT_MS: u32 = 10;

/// Age in `Item::GroupAges` of a group that isn't known to be servable.
const NOT_SERVABLE: u8 = 255;

impl Gossip {
    /// Creates the state of an entry that has sent nothing yet. `seed` determines the random choice
    /// of peers.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            round_size: options.usual_size,
            options,
            random: SmallRng::seed_from_u64(seed),
            queue: Map::default(),
            last_sequence: 0,
            report_counter: 0,
            cursors: Cursors::default(),
            neighbours: Vec::new(),
            unchosen: Vec::new(),
            rounds: 0,
            last_urgent: None,
            unknown_since: None,
            pull_attempts: 0,
            next_pull_at: Instant::default(),
        }
    }

    /// Merges a report of this entry into the store, and queues it if it is a change. Its observer
    /// or incarnation and its counter are filled in.
    ///
    /// Heartbeats and dense lists are ignored.
    pub fn publish(&mut self, view: &View, store: &mut Store, mut item: Item, now: Instant) {
        self.report_counter += 1;
        let (own, counter) = (view.own_incarnation(), self.report_counter);
        match &mut item {
            Item::Group(group) => (group.observer, group.counter) = (own, counter),
            Item::Instance(instance) => (instance.observer, instance.counter) = (own, counter),
            Item::Usage(usage) => (usage.incarnation, usage.counter) = (own, counter),
            Item::Blame(blame) => (blame.observer, blame.counter) = (own, counter),
            Item::Heartbeat(_) | Item::HeartbeatCounters { .. } | Item::GroupAges { .. } => return,
        }
        self.merge_report(store, &item, now);
    }

    /// Queues the own heartbeat after a change of more than its counter.
    pub fn announce(&mut self, view: &View) {
        self.enqueue(ItemKey::Heartbeat(view.own_incarnation()), false);
    }

    /// Merges the items of a peer's frame, queues the changes among them, and returns those that
    /// changed more than counter, load and age.
    pub fn receive(
        &mut self,
        view: &mut View,
        store: &mut Store,
        items: Vec<Item>,
        now: Instant,
    ) -> Vec<Item> {
        let mut changed = Vec::new();
        for item in items {
            match &item {
                Item::Heartbeat(heartbeat) => {
                    let unlisted = !view.listed().contains((heartbeat.incarnation, 0));
                    let change = view.merge(heartbeat, now);
                    match change {
                        view::Change::Updated => {
                            self.enqueue(ItemKey::Heartbeat(heartbeat.incarnation), false);
                            changed.push(item);
                        }
                        // `Item::HeartbeatCounters` only covers listed entries, so the heartbeat of any other
                        // entry is relayed in full each time.
                        view::Change::Refreshed if unlisted => {
                            self.enqueue(ItemKey::Heartbeat(heartbeat.incarnation), false);
                        }
                        view::Change::Refreshed | view::Change::Ignored => {}
                    }
                }
                Item::HeartbeatCounters { digest, first_index: first, counters: beats } => {
                    let list = view.listed().find(*digest).unwrap_or_default().to_vec();
                    for (&(incarnation, _), &beat) in
                        list.iter().skip(usize::from(*first)).zip(beats)
                    {
                        view.merge_short_counter(incarnation, beat, now);
                    }
                }
                Item::GroupAges { digest, first_index: first, ages, loads } => {
                    let list = store.listed().find(*digest).unwrap_or_default().to_vec();
                    let loads = loads.iter().copied().map(Some).chain(std::iter::repeat(None));
                    let summaries = ages.iter().zip(loads);
                    for (&group, (&age, load)) in
                        list.iter().skip(usize::from(*first)).zip(summaries)
                    {
                        if age != NOT_SERVABLE {
                            store.merge_group_age(group, u32::from(age) * AGE_UNIT_MS, load, now);
                        }
                    }
                }
                Item::Group(_) | Item::Instance(_) | Item::Usage(_) | Item::Blame(_) => {
                    if self.merge_report(store, &item, now) {
                        changed.push(item);
                    }
                }
            }
        }
        changed
    }

    /// Merges the answer to a request for a peer's whole view.
    ///
    /// Works as [`Self::receive`], but queues no changes, because the peer has already relayed
    /// them.
    pub fn receive_pulled(
        &mut self,
        view: &mut View,
        store: &mut Store,
        items: Vec<Item>,
        now: Instant,
    ) -> Vec<Item> {
        let (queue, last_sequence) = (self.queue.clone(), self.last_sequence);
        let changed = self.receive(view, store, items, now);
        (self.queue, self.last_sequence) = (queue, last_sequence);
        changed
    }

    /// Returns the peer to ask for its whole view, if such a request is due: in the first round,
    /// and while entries on the list from the log stay unknown. To be called once per round.
    pub fn pull_peer(&mut self, view: &View, now: Instant) -> Option<SmolStr> {
        let listed = view.listed().current();
        let unknown = listed.iter().filter(|(entry, _)| view.get(*entry).is_none()).count();
        let unknown_for = now.since(*self.unknown_since.get_or_insert(now));
        match self.rounds {
            0 => return None,
            // In the first round, one request brings most of what the peers know.
            1 => {}
            _ if unknown == 0 => {
                (self.unknown_since, self.pull_attempts) = (None, 0);
                return None;
            }
            _ if unknown_for < MANY_UNKNOWN_TIMEOUT
                || (unknown_for < ANY_UNKNOWN_TIMEOUT
                    && unknown * MANY_UNKNOWN_DIVISOR <= listed.len()) =>
            {
                return None;
            }
            _ => {}
        }
        if now < self.next_pull_at {
            return None;
        }
        let peer = self.choose_peers(view, now).into_iter().next()?;
        // A dead entry stays unknown for as long as the log lists it, so the interval between
        // requests grows.
        self.next_pull_at = now + MANY_UNKNOWN_TIMEOUT * (1 << self.pull_attempts.min(7));
        self.pull_attempts += 1;
        Some(peer)
    }

    /// Returns frames with all that this entry knows, as the answer to a request for its whole
    /// view.
    pub fn dump(&self, view: &View, store: &Store, now: Instant) -> Vec<Frame> {
        let heartbeats = view.iter(now).map(|(entry, _)| entry.heartbeat.incarnation);
        let keys = heartbeats
            .map(ItemKey::Heartbeat)
            .chain(store.group_keys().map(|(group, fence)| ItemKey::Group(group, fence)))
            .chain(
                store
                    .instance_keys()
                    .map(|(name, observer)| ItemKey::Instance(name.clone(), observer)),
            )
            .chain(store.usage_keys().map(|(team, entry)| ItemKey::Usage(team.clone(), entry)))
            .chain(store.blames().map(ItemKey::Blame));
        let mut frames = vec![self.new_frame(view)];
        for item in keys.filter_map(|key| current_item(&key, view, store, now)) {
            let fits = frames
                .last()
                .is_some_and(|frame| codec::encoded_item_size(&item) <= frame.remaining);
            if !fits {
                frames.push(self.new_frame(view));
            }
            if let Some(frame) = frames.last_mut() {
                frame.push(item);
            }
        }
        let sender = view.own_incarnation();
        frames.into_iter().map(|frame| Frame::Gossip { sender, items: frame.items }).collect()
    }

    /// Runs one round: raises the own heartbeat counter, drops what expired, and builds the frame.
    ///
    /// Returns `None` if there is no peer to send it to.
    pub fn round(&mut self, view: &mut View, store: &mut Store, now: Instant) -> Option<Outgoing> {
        view.advance_own_counter(now);
        view.expire(now);
        store.expire(now);
        self.rounds += 1;
        self.round_size = self.select_round_size(view, store);
        self.update_neighbours(view, now);
        let peers = self.choose_peers(view, now);
        if peers.is_empty() {
            return None;
        }
        let frame = self.build_frame(view, store, now, true);
        Some(Outgoing { peers, frame })
    }

    /// Returns when an extra frame is due, if an urgent change has not been sent yet.
    pub fn urgent_due(&self) -> Option<Instant> {
        let is_pending =
            self.queue.iter().any(|(_, pending)| pending.urgent && pending.frames_sent == 0);
        let due = self
            .last_urgent
            .map_or(Instant::default(), |last| last + self.options.min_urgent_interval);
        is_pending.then_some(due)
    }

    /// Returns the extra frame for urgent changes, if it is due.
    pub fn urgent_round(&mut self, view: &View, store: &Store, now: Instant) -> Option<Outgoing> {
        self.urgent_due().filter(|due| *due <= now)?;
        let peers = self.choose_peers(view, now);
        if peers.is_empty() {
            return None;
        }
        self.last_urgent = Some(now);
        let frame = self.build_frame(view, store, now, false);
        Some(Outgoing { peers, frame })
    }

    /// Merges a report into the store and queues it if it is a change; returns whether it is.
    fn merge_report(&mut self, store: &mut Store, item: &Item, now: Instant) -> bool {
        let (change, key) = match item {
            Item::Group(group) => {
                (store.merge_group(group, now), ItemKey::Group(group.group, group.fence))
            }
            Item::Instance(instance) => (
                store.merge_instance(instance, now),
                ItemKey::Instance(SmolStr::new(&instance.instance), instance.observer),
            ),
            Item::Usage(usage) => (
                store.merge_usage(usage, now),
                ItemKey::Usage(SmolStr::new(&usage.team), usage.incarnation),
            ),
            Item::Blame(blame) => (store.merge_blame(*blame, now), ItemKey::Blame(*blame)),
            Item::Heartbeat(_) | Item::HeartbeatCounters { .. } | Item::GroupAges { .. } => {
                return false;
            }
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

    /// Queues a change. Beyond [`Options::max_changes`], drops one: first those that are not
    /// urgent, of these the ones sent most often, and of these the oldest.
    fn enqueue(&mut self, key: ItemKey, urgent: bool) {
        self.last_sequence += 1;
        self.queue.insert(
            key,
            PendingChange {
                sequence: self.last_sequence,
                frames_sent: 0,
                urgent,
                queued_round: self.rounds,
            },
        );
        if self.queue.len() > self.options.max_changes {
            let oldest = self
                .queue
                .iter()
                .min_by_key(|(_, pending)| {
                    (pending.urgent, Reverse(pending.frames_sent), pending.sequence)
                })
                .map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.queue.remove(&key);
            }
        }
    }
}
