//! Which appends have been folded already.

use daisy_model::{Offset, SortedMap};

use crate::AppendId;

/// The last append folded of each sender, to a bound.
///
/// A sender has one append outstanding at a time and sends it again under the same id
/// until it is answered, so a lower or equal number is a repetition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Senders {
    last: SortedMap<u64, (u64, Offset)>,
}

impl Senders {
    /// The most senders remembered; the one silent for longest is forgotten first.
    ///
    /// With 48 entry VMs and 130 restarts a day (the users' size plan) this is three weeks:
    /// no process waits that long with an unanswered append.
    pub const MAX_SENDERS: usize = 4_096;

    /// Notes `id` at `offset`; false if that append has been folded before.
    pub fn note(&mut self, id: AppendId, offset: Offset) -> bool {
        if let Some((seq, at)) = self.last.get_mut(&id.sender) {
            if id.seq <= *seq {
                return false;
            }
            (*seq, *at) = (id.seq, offset);
            return true;
        }
        if self.last.len() >= Senders::MAX_SENDERS {
            self.forget_oldest();
        }
        self.last.insert(id.sender, (id.seq, offset));
        true
    }

    /// Senders with their last append and where it stands, sorted by sender.
    pub fn iter(&self) -> impl Iterator<Item = (AppendId, Offset)> {
        self.last.iter().map(|(&sender, &(seq, offset))| (AppendId { sender, seq }, offset))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.last.iter().min_by_key(|(_, (_, at))| *at).map(|(&sender, _)| sender);
        if let Some(sender) = oldest {
            self.last.remove(&sender);
        }
    }
}

impl FromIterator<(AppendId, Offset)> for Senders {
    fn from_iter<I: IntoIterator<Item = (AppendId, Offset)>>(iter: I) -> Senders {
        let last = iter.into_iter().map(|(id, at)| (id.sender, (id.seq, at))).collect();
        Senders { last }
    }
}
