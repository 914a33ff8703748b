//! Named entities: an arena with a sorted index of names.

use smol_str::SmolStr;

use crate::arena::{Arena, Key};

/// Entities that are found by name or by key and iterated in name order.
#[derive(Clone, Debug)]
pub struct Table<T> {
    entities: Arena<T>,
    /// Strictly ascending by name; every key refers to an existing entity.
    names: Vec<(SmolStr, Key<T>)>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self { entities: Arena::default(), names: Vec::new() }
    }
}

impl<T> Table<T> {
    /// Stores `entity` under `name` and returns its key.
    ///
    /// An entity already stored under `name` is replaced; its key then refers to the new entity.
    pub fn insert(&mut self, name: SmolStr, entity: T) -> Key<T> {
        match self.names.binary_search_by(|(other, _)| other.cmp(&name)) {
            Ok(index) => {
                let key = self.names[index].1;
                if let Some(slot) = self.entities.get_mut(key) {
                    *slot = entity;
                }
                key
            }
            Err(index) => {
                let key = self.entities.insert(entity);
                self.names.insert(index, (name, key));
                key
            }
        }
    }

    /// Returns the key of the entity called `name`.
    pub fn find(&self, name: &str) -> Option<Key<T>> {
        let index = self.names.binary_search_by(|(other, _)| other.as_str().cmp(name)).ok()?;
        Some(self.names[index].1)
    }

    /// Returns the entity called `name`.
    pub fn by_name(&self, name: &str) -> Option<&T> {
        self.find(name).and_then(|key| self.entities.get(key))
    }

    /// Returns a mutable reference to the entity called `name`.
    pub fn by_name_mut(&mut self, name: &str) -> Option<&mut T> {
        self.find(name).and_then(|key| self.entities.get_mut(key))
    }

    /// Returns the entity of `key`, or `None` if it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        self.entities.get(key)
    }

    /// Returns a mutable reference to the entity of `key`, or `None` if it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        self.entities.get_mut(key)
    }

    /// Removes and returns the entity called `name`.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let index = self.names.binary_search_by(|(other, _)| other.as_str().cmp(name)).ok()?;
        let (_, key) = self.names.remove(index);
        self.entities.remove(key)
    }

    /// Returns the number of entities.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns true if the table holds no entity.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Iterates over all entities in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &T)> {
        self.names.iter().filter_map(|(name, key)| Some((name, self.entities.get(*key)?)))
    }

    /// Iterates over all names with their keys, in name order.
    pub fn keys(&self) -> impl Iterator<Item = (&SmolStr, Key<T>)> {
        self.names.iter().map(|(name, key)| (name, *key))
    }
}
