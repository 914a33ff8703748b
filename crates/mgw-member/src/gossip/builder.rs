//! Builder of gossip frames within a byte limit.

use mgw_base::time::Instant;
use mgw_wire::codec;
use mgw_wire::frame::{Blame, Item};
use smol_str::SmolStr;

use crate::store::Store;
use crate::view::{Status, View};

/// Key of an item in the view or the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ItemKey {
    /// Entry incarnation.
    Heartbeat(u64),
    /// Group id and fencing token.
    Group(u64, u64),
    /// Instance name and observer.
    Instance(SmolStr, u64),
    /// Team name and entry incarnation.
    Usage(SmolStr, u64),
    /// The crash itself.
    Blame(Blame),
}

/// The items of a frame under construction.
pub(super) struct FrameBuilder {
    pub(super) items: Vec<Item>,
    /// Keys of the items that were added by [`Self::add`].
    pub(super) keys: Vec<ItemKey>,
    /// Number of bytes that may still be added.
    pub(super) remaining: usize,
}

impl FrameBuilder {
    /// Adds an item if it fits; returns whether it did.
    pub(super) fn push(&mut self, item: Item) -> bool {
        match self.remaining.checked_sub(codec::encoded_item_size(&item)) {
            Some(remaining) => {
                self.remaining = remaining;
                self.items.push(item);
                true
            }
            None => false,
        }
    }

    /// Adds the item of a key if it may be relayed and fits; returns whether it was added.
    pub(super) fn add(&mut self, key: ItemKey, view: &View, store: &Store, now: Instant) -> bool {
        let added = current_item(&key, view, store, now).is_some_and(|item| self.push(item));
        if added {
            self.keys.push(key);
        }
        added
    }

    /// Adds items in the order of `keys`, beginning at `cursor`, until one doesn't fit, `floor` or
    /// fewer bytes remain, or all keys were tried. Moves `cursor` to the key that comes next.
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
        let rotated = keys[start..].iter().chain(&keys[..start]);
        for (count, key) in rotated.enumerate() {
            let is_due = !self.keys.contains(key) && current_item(key, view, store, now).is_some();
            if is_due && (self.remaining <= floor || !self.add(key.clone(), view, store, now)) {
                return;
            }
            *cursor = (start + count + 1) % keys.len();
        }
    }
}

/// Returns the item of a key with its present age or uptime; `None` if the item is unknown or no
/// longer relayed.
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
