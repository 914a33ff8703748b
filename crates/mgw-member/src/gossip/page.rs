//! Frames under construction.

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Blame, Item};
use smol_str::SmolStr;

use crate::store::Store;
use crate::view::{Status, View};

/// Names an item in the view or the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Key {
    Heartbeat(u64),
    Group(u64, u64),
    Instance(SmolStr, u64),
    Usage(SmolStr, u64),
    Blame(Blame),
}

/// A frame under construction.
pub(super) struct Page {
    pub(super) items: Vec<Item>,
    /// The keys of the items that were added by key.
    pub(super) keys: Vec<Key>,
    /// Bytes that may still be added.
    pub(super) left: usize,
}

impl Page {
    /// Adds an item if it fits.
    pub(super) fn push(&mut self, item: Item) -> bool {
        match self.left.checked_sub(codec::item_size(&item)) {
            Some(left) => {
                self.left = left;
                self.items.push(item);
                true
            }
            None => false,
        }
    }

    /// Adds the item of a key if it is known and fits.
    pub(super) fn add(&mut self, key: Key, view: &View, store: &Store, now: Instant) -> bool {
        let added = item(&key, view, store, now).is_some_and(|item| self.push(item));
        if added {
            self.keys.push(key);
        }
        added
    }

    /// Adds items in turn until one doesn't fit or all were offered, leaving `floor` bytes.
    pub(super) fn fill(
        &mut self,
        keys: &[Key],
        cursor: &mut usize,
        floor: usize,
        view: &View,
        store: &Store,
        now: Instant,
    ) {
        let start = if *cursor < keys.len() { *cursor } else { 0 };
        let turned = keys[start..].iter().chain(&keys[..start]);
        for (count, key) in turned.enumerate() {
            let known = !self.keys.contains(key) && item(key, view, store, now).is_some();
            if known && (self.left <= floor || !self.add(key.clone(), view, store, now)) {
                return;
            }
            *cursor = (start + count + 1) % keys.len();
        }
    }
}

/// The item of a key as it is to be sent now; `None` if it is unknown or no longer relayed.
pub(super) fn item(key: &Key, view: &View, store: &Store, now: Instant) -> Option<Item> {
    match key {
        Key::Heartbeat(incarnation) => match view.status(*incarnation, now) {
            Status::Gone => None,
            Status::Live | Status::Suspect => {
                view.heartbeat(*incarnation, now).map(Item::Heartbeat)
            }
        },
        Key::Group(group, fence) => store.group(*group, *fence, now).map(Item::Group),
        Key::Instance(name, observer) => {
            store.instance_from(name, *observer, now).map(Item::Instance)
        }
        Key::Usage(team, incarnation) => {
            store.relayable_usage(team, *incarnation, now).cloned().map(Item::Usage)
        }
        Key::Blame(blame) => store.is_blame_relayable(*blame, now).then_some(Item::Blame(*blame)),
    }
}
