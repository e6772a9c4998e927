//! Which non-idempotent requests have been announced in the log.

use std::collections::VecDeque;

use daisy_model::{Offset, SortedMap, VmId};

/// The first announcement of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// Where it stands in the log.
    pub offset: Offset,
    /// The position of its record in that entry.
    pub position: u32,
    /// The entry VM that may run the request.
    pub entry: VmId,
}

/// Announced keys to a bound, oldest forgotten first.
///
/// Keys are digests, spread evenly, so one sorted vector of all of them would be moved by half
/// at each insertion. Several short ones cost a search in each of them instead.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Intents {
    runs: VecDeque<SortedMap<u128, Intent>>,
}

impl Intents {
    /// Keys of one sorted vector.
    const RUN: usize = 1_024;
    /// The fewest keys remembered once so many have been announced.
    ///
    /// A key is forgotten after this many newer ones. At 200 announced requests a second, the
    /// whole budget of appends, that is over five minutes; the retry window is two.
    pub const MIN_REMEMBERED: usize = 64 * Intents::RUN;

    /// The first announcement of `key`.
    pub fn get(&self, key: u128) -> Option<&Intent> {
        self.runs.iter().rev().find_map(|run| run.get(&key))
    }

    /// Keys and announcements, oldest run first.
    pub fn iter(&self) -> impl Iterator<Item = (u128, Intent)> {
        self.runs.iter().flat_map(|run| run.iter().map(|(&key, &intent)| (key, intent)))
    }

    /// The number of keys remembered.
    pub fn len(&self) -> usize {
        self.runs.iter().map(SortedMap::len).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Notes an announcement; gives the earlier one if the key has been announced before.
    ///
    /// A caller who retries through another entry VM must not have an order run twice: of
    /// several announcements of a key only the first in the log's order may run.
    pub(crate) fn announce(&mut self, key: u128, intent: Intent) -> Result<(), Intent> {
        if let Some(first) = self.get(key) {
            return Err(*first);
        }
        self.push(key, intent);
        Ok(())
    }

    fn push(&mut self, key: u128, intent: Intent) {
        let full = self.runs.back().is_none_or(|run| run.len() >= Intents::RUN);
        if full {
            if self.len() >= Intents::MIN_REMEMBERED + Intents::RUN {
                self.runs.pop_front();
            }
            self.runs.push_back(SortedMap::new());
        }
        if let Some(run) = self.runs.back_mut() {
            run.insert(key, intent);
        }
    }
}

impl FromIterator<(u128, Intent)> for Intents {
    /// Puts together what [`Intents::iter`] gave.
    fn from_iter<I: IntoIterator<Item = (u128, Intent)>>(iter: I) -> Intents {
        let mut intents = Intents::default();
        for (key, intent) in iter {
            intents.push(key, intent);
        }
        intents
    }
}
