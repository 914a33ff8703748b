//! Sorted vectors used as maps and sets.

/// Pairs sorted by key without repetition, found by binary search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Map<K, V> {
    /// Strictly ascending by key.
    pairs: Vec<(K, V)>,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self { pairs: Vec::new() }
    }
}

impl<K, V> Map<K, V>
where
    K: Ord,
{
    /// Stores `value` under `key` and returns the value it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.pairs.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(place) => Some(std::mem::replace(&mut self.pairs[place].1, value)),
            Err(place) => {
                self.pairs.insert(place, (key, value));
                None
            }
        }
    }

    /// The value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        let place = self.pairs.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        Some(&self.pairs[place].1)
    }

    /// The value of `key`, for a change.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let place = self.pairs.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        Some(&mut self.pairs[place].1)
    }

    /// The value of `key`, created by `make` when absent.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let place = match self.pairs.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(place) => place,
            Err(place) => {
                self.pairs.insert(place, (key, make()));
                place
            }
        };
        &mut self.pairs[place].1
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let place = self.pairs.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        Some(self.pairs.remove(place).1)
    }

    /// Keeps only the pairs for which `keep` returns true.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.pairs.retain_mut(|(key, value)| keep(key, value));
    }

    /// The number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether the map holds no pair.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// All pairs in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.pairs.iter().map(|(key, value)| (key, value))
    }

    /// All pairs in key order, with values for a change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.pairs.iter_mut().map(|(key, value)| (&*key, value))
    }
}

impl<K, V> FromIterator<(K, V)> for Map<K, V>
where
    K: Ord,
{
    fn from_iter<I>(pairs: I) -> Self
    where
        I: IntoIterator<Item = (K, V)>,
    {
        let mut map = Self::default();
        for (key, value) in pairs {
            map.insert(key, value);
        }
        map
    }
}
