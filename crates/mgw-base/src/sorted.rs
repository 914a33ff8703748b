//! A map backed by a sorted vector.

/// A map that stores its pairs in a vector sorted by key and finds them by binary search.
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
    /// Stores `value` under `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.pairs.binary_search_by(|(other, _)| other.cmp(&key)) {
            Ok(index) => Some(std::mem::replace(&mut self.pairs[index].1, value)),
            Err(index) => {
                self.pairs.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.pairs.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
        Some(&self.pairs[index].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.pairs.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
        Some(&mut self.pairs[index].1)
    }

    /// Returns a mutable reference to the value of `key`, after inserting the result of `make` if
    /// the key is absent.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let index = match self.pairs.binary_search_by(|(other, _)| other.cmp(&key)) {
            Ok(index) => index,
            Err(index) => {
                self.pairs.insert(index, (key, make()));
                index
            }
        };
        &mut self.pairs[index].1
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.pairs.binary_search_by(|(other, _)| other.cmp(key)).ok()?;
        Some(self.pairs.remove(index).1)
    }

    /// Keeps only the pairs for which `keep` returns true.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.pairs.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns the number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns true if the map is empty.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Iterates over all pairs in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.pairs.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over all pairs in key order, with mutable references to the values.
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
