//! Frames under construction.

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Blame, Item};
use smol_str::SmolStr;

use crate::store::Store;
use crate::view::{Status, View};

/// Names an item in the view or the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ItemKey {
    Heartbeat(u64),
    Group(u64, u64),
    Instance(SmolStr, u64),
    Usage(SmolStr, u64),
    Blame(Blame),
}

/// A frame under construction.
pub(super) struct FrameBuilder {
    pub(super) items: Vec<Item>,
    /// The keys of the items that were added by key.
    pub(super) keys: Vec<ItemKey>,
    /// Bytes that may still be added.
    pub(super) remaining: usize,
}

impl FrameBuilder {
    /// Adds an item if it fits.
    pub(super) fn push(&mut self, item: Item) -> bool {
        match self.remaining.checked_sub(codec::item_size(&item)) {
            Some(left) => {
                self.remaining = left;
                self.items.push(item);
                true
            }
            None => false,
        }
    }

    /// Adds the item of a key if it is known and fits.
    pub(super) fn add(&mut self, key: ItemKey, view: &View, store: &Store, now: Instant) -> bool {
        let added = current_item(&key, view, store, now).is_some_and(|item| self.push(item));
        if added {
            self.keys.push(key);
        }
        added
    }

    /// Adds items in turn until one doesn't fit or all were offered, leaving `floor` bytes.
    pub(super) fn add_in_turn(
        &mut self,
        keys: &[ItemKey],
        cursor: &mut usize,
        floor: usize,
        view: &View,
        store: &Store,
        now: Instant,
    ) {
        let start = if *cursor < keys.len() { *cursor } else { 0 };
        let turned = keys[start..].iter().chain(&keys[..start]);
        for (count, key) in turned.enumerate() {
            let known = !self.keys.contains(key) && current_item(key, view, store, now).is_some();
            if known && (self.remaining <= floor || !self.add(key.clone(), view, store, now)) {
                return;
            }
            *cursor = (start + count + 1) % keys.len();
        }
    }
}

/// The item of a key as it is to be sent now; `None` if it is unknown or no longer relayed.
pub(super) fn current_item(
    key: &ItemKey,
    view: &View,
    store: &Store,
    now: Instant,
) -> Option<Item> {
    match key {
        ItemKey::Heartbeat(incarnation) => match view.status(*incarnation, now) {
            Status::Gone => None,
            Status::Live | Status::Suspect => {
                view.heartbeat(*incarnation, now).map(Item::Heartbeat)
            }
        },
        ItemKey::Group(group, fence) => store.group(*group, *fence, now).map(Item::Group),
        ItemKey::Instance(name, observer) => {
            store.instance_from(name, *observer, now).map(Item::Instance)
        }
        ItemKey::Usage(team, incarnation) => {
            store.relayable_usage(team, *incarnation, now).cloned().map(Item::Usage)
        }
        ItemKey::Blame(blame) => {
            store.is_blame_relayable(*blame, now).then_some(Item::Blame(*blame))
        }
    }
}
