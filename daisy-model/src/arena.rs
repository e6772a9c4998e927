//! Append-only storage addressed by small `Copy` keys.

use std::marker::PhantomData;

use crate::Key;

/// Elements with keys in the order of their creation; elements are never removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arena<K, T> {
    items: Vec<T>,
    key: PhantomData<K>,
}

impl<K: Key, T> Arena<K, T> {
    /// Returns an empty arena.
    pub fn new() -> Arena<K, T> {
        Arena { items: Vec::new(), key: PhantomData }
    }

    /// Stores `item` and returns its key.
    pub fn alloc(&mut self, item: T) -> K {
        let key = K::from_index(self.items.len());
        self.items.push(item);
        key
    }

    /// Returns the element at `key`.
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())
    }

    /// Returns a mutable reference to the element at `key`.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of elements.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no elements.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and elements in the order of creation.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items.iter().enumerate().map(|(index, item)| (K::from_index(index), item))
    }

    /// Iterates over keys and mutable elements in the order of creation.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.items.iter_mut().enumerate().map(|(index, item)| (K::from_index(index), item))
    }
}

impl<K: Key, T> Default for Arena<K, T> {
    fn default() -> Arena<K, T> {
        Arena::new()
    }
}
