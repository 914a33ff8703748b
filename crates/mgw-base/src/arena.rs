//! A generational arena whose entities are addressed by small `Copy` keys.

use std::fmt;
use std::marker::PhantomData;

/// Addresses a `T` in an [`Arena`]; stays invalid after the `T` is removed, even if its slot is
/// reused.
pub struct Key<T> {
    index: u32,
    /// Equal to the slot's generation while the entity exists; removal increments that of the slot.
    generation: u32,
    entity: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// The index of the slot. Slots are reused, so a vector indexed by it stays as short as the
    /// largest number of entities that existed at once.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.index, self.generation) == (other.index, other.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}v{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    entity: Option<T>,
}

/// Owns entities of one type; the slot of a removed entity is reused under a new generation.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    /// Indices of the slots without an entity.
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Stores `entity` and returns its key.
    pub fn insert(&mut self, entity: T) -> Key<T> {
        match self.free.pop() {
            Some(index) => {
                let slot = &mut self.slots[index as usize];
                slot.entity = Some(entity);
                Key { index, generation: slot.generation, entity: PhantomData }
            }
            None => {
                let index = self.slots.len() as u32;
                self.slots.push(Slot { generation: 0, entity: Some(entity) });
                Key { index, generation: 0, entity: PhantomData }
            }
        }
    }

    /// Returns the entity of `key`, or `None` if it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        match self.slots.get(key.index()) {
            Some(slot) if slot.generation == key.generation => slot.entity.as_ref(),
            _ => None,
        }
    }

    /// Returns a mutable reference to the entity of `key`, or `None` if it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        match self.slots.get_mut(key.index()) {
            Some(slot) if slot.generation == key.generation => slot.entity.as_mut(),
            _ => None,
        }
    }

    /// Removes and returns the entity of `key`, or returns `None` if it was removed before.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        match self.slots.get_mut(key.index()) {
            Some(slot) if slot.generation == key.generation && slot.entity.is_some() => {
                slot.generation = slot.generation.wrapping_add(1);
                self.free.push(key.index);
                slot.entity.take()
            }
            _ => None,
        }
    }

    /// Returns the number of entities.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns true if the arena holds no entity.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over all entities with their keys in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation, entity: PhantomData };
            slot.entity.as_ref().map(|entity| (key, entity))
        })
    }
}
