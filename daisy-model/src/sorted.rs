//! A map in a sorted vector.

/// Keys and values in one vector sorted by key, found by binary search.
///
/// Insertion in the middle is linear; maps that grow in key order cost nothing extra.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns an empty map.
    pub fn new() -> SortedMap<K, V> {
        SortedMap { entries: Vec::new() }
    }

    /// Stores `value` at `key` and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.entries[at].1, value)),
            Err(at) => {
                self.entries.insert(at, (key, value));
                None
            }
        }
    }

    /// Returns the value at `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.position(key).ok().map(|at| &self.entries[at].1)
    }

    /// Returns a mutable reference to the value at `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.position(key).ok().map(|at| &mut self.entries[at].1)
    }

    /// Returns the value at `key`, which `default` creates if there is none.
    pub fn get_or_insert_with(&mut self, key: K, default: impl FnOnce() -> V) -> &mut V {
        let at = match self.position(&key) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, (key, default()));
                at
            }
        };
        &mut self.entries[at].1
    }

    /// Removes the value at `key` and returns it.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.position(key).ok().map(|at| self.entries.remove(at).1)
    }

    /// Returns whether there is a value at `key`.
    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Keeps only the entries that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the entries in the order of their keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in the order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the entries whose keys are in `from..to`.
    pub fn range(&self, from: &K, to: &K) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        let start = self.entries.partition_point(|(key, _)| key < from);
        let end = self.entries.partition_point(|(key, _)| key < to).max(start);
        self.entries[start..end].iter().map(|(key, value)| (key, value))
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        // Most keys are inserted in ascending order, so the last entry is compared first.
        match self.entries.last() {
            Some((last, _)) if last < key => Err(self.entries.len()),
            _ => self.entries.binary_search_by(|(probe, _)| probe.cmp(key)),
        }
    }
}

impl<K: Ord, V> Default for SortedMap<K, V> {
    fn default() -> SortedMap<K, V> {
        SortedMap::new()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> SortedMap<K, V> {
        let mut map = SortedMap::new();
        for (key, value) in iter {
            map.insert(key, value);
        }
        map
    }
}
