//! Detects appends that have been folded before.

use daisy_model::{Offset, SortedMap};

use crate::AppendId;

/// The last folded append of each sender, for a limited number of senders.
///
/// A sender has one append outstanding at a time and sends it again under the same id until it
/// is answered, so a sequence number that is not higher than the last one is a repetition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Senders {
    last_appends: SortedMap<u64, (u64, Offset)>,
}

impl Senders {
    /// The most senders remembered; the one whose last append is oldest is removed first.
    ///
    /// With 48 entry VMs and 130 restarts a day (the users' size plan), that covers three weeks:
    /// no process retries an unanswered append for that long.
    pub const MAX_SENDERS: usize = 4_096;

    /// Records the append `id` at `offset`; returns false if it has been folded before.
    pub fn register(&mut self, id: AppendId, offset: Offset) -> bool {
        if let Some((seq, at)) = self.last_appends.get_mut(&id.sender) {
            if id.seq <= *seq {
                return false;
            }
            (*seq, *at) = (id.seq, offset);
            return true;
        }
        if self.last_appends.len() >= Senders::MAX_SENDERS {
            self.remove_oldest();
        }
        self.last_appends.insert(id.sender, (id.seq, offset));
        true
    }

    /// Iterates over the last append of each sender and its offset, sorted by sender.
    pub fn iter(&self) -> impl Iterator<Item = (AppendId, Offset)> {
        self.last_appends.iter().map(|(&sender, &(seq, offset))| (AppendId { sender, seq }, offset))
    }

    fn remove_oldest(&mut self) {
        let oldest =
            self.last_appends.iter().min_by_key(|(_, (_, at))| *at).map(|(&sender, _)| sender);
        if let Some(sender) = oldest {
            self.last_appends.remove(&sender);
        }
    }
}

impl FromIterator<(AppendId, Offset)> for Senders {
    fn from_iter<I: IntoIterator<Item = (AppendId, Offset)>>(iter: I) -> Senders {
        let last_appends = iter.into_iter().map(|(id, at)| (id.sender, (id.seq, at))).collect();
        Senders { last_appends }
    }
}
