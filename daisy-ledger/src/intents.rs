//! The non-idempotent requests that have been announced in the log.

use std::collections::VecDeque;

use daisy_model::{Offset, SortedMap, VmId};

/// The first announcement of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// The offset of its log entry.
    pub offset: Offset,
    /// The position of its record in that entry.
    pub position: u32,
    /// The entry VM that may run the request.
    pub entry: VmId,
}

/// The announced keys, limited in number; the oldest are removed first.
///
/// Keys are evenly distributed digests, so an insertion into one sorted vector of all keys would
/// move half of it on average. With several short vectors an insertion is cheap, and a lookup
/// searches each of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Intents {
    chunks: VecDeque<SortedMap<u128, Intent>>,
}

impl Intents {
    /// The number of keys of one sorted vector.
    const CHUNK_LEN: usize = 1_024;
    /// The minimum number of newest keys that are remembered.
    ///
    /// A key is removed only after this many newer ones. At 200 announced requests a second, the
    /// whole budget of appends, that takes over five minutes; the retry window is two minutes.
    pub const MIN_REMEMBERED: usize = 64 * Intents::CHUNK_LEN;

    /// Returns the first announcement of `key`.
    pub fn get(&self, key: u128) -> Option<&Intent> {
        self.chunks.iter().rev().find_map(|chunk| chunk.get(&key))
    }

    /// Iterates over keys and announcements, oldest vector first.
    pub fn iter(&self) -> impl Iterator<Item = (u128, Intent)> {
        self.chunks.iter().flat_map(|chunk| chunk.iter().map(|(&key, &intent)| (key, intent)))
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(SortedMap::len).sum()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Records an announcement; fails with the earlier one if the key has been announced before.
    ///
    /// A caller that retries through another entry VM must not have its request run twice: of
    /// several announcements of a key, only the first in the order of the log may run.
    pub(crate) fn announce(&mut self, key: u128, intent: Intent) -> Result<(), Intent> {
        if let Some(first) = self.get(key) {
            return Err(*first);
        }
        self.push(key, intent);
        Ok(())
    }

    fn push(&mut self, key: u128, intent: Intent) {
        let full = self.chunks.back().is_none_or(|chunk| chunk.len() >= Intents::CHUNK_LEN);
        if full {
            if self.len() >= Intents::MIN_REMEMBERED + Intents::CHUNK_LEN {
                self.chunks.pop_front();
            }
            self.chunks.push_back(SortedMap::new());
        }
        if let Some(chunk) = self.chunks.back_mut() {
            chunk.insert(key, intent);
        }
    }
}

impl FromIterator<(u128, Intent)> for Intents {
    /// Restores the keys from the items of [`Intents::iter`], in their order.
    fn from_iter<I: IntoIterator<Item = (u128, Intent)>>(iter: I) -> Intents {
        let mut intents = Intents::default();
        for (key, intent) in iter {
            intents.push(key, intent);
        }
        intents
    }
}
