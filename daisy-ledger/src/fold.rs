//! The fold of the log into state.

use daisy_model::{Epoch, Generation, Offset, TaskId};

use crate::{
    Batch, Intent, Record, Refusal, State,
    snapshot::{CompleteSnapshot, Part},
};

/// What became of a log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStatus {
    /// Its records were folded.
    Folded,
    /// The same append was folded at an earlier offset.
    Repeated,
    /// The offset is below the next one: this entry was folded before.
    AlreadyFolded,
    /// The offset is above the next one: entries in between are missing, and nothing was done.
    Gap,
}

/// What became of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force from the generation on.
    Accepted(Generation),
    /// The change was refused.
    Refused(Refusal),
    /// The data centre is held under the epoch.
    Claimed(Epoch),
    /// The data centre is given up.
    Released,
    /// The tasks that were checked out, sorted.
    Granted(Vec<TaskId>),
    /// How many returns, placements or exits took effect.
    Took(usize),
    /// The epoch is not in force; the record had no effect.
    Stale,
    /// The request may run: its key was not announced before.
    Announced,
    /// The key was announced before; that announcement alone may run.
    AlreadyAnnounced(Intent),
    /// A part of a snapshot was noted.
    Noted,
}

/// What became of a log entry and its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Whether the entry was folded.
    pub status: EntryStatus,
    /// One outcome for each record; empty if the entry was not folded.
    pub outcomes: Vec<Outcome>,
}

/// Where a record stands, and who appended it.
#[derive(Debug, Clone, Copy)]
struct Place {
    offset: Offset,
    position: u32,
    sender: u64,
}

impl State {
    /// Folds the log entry at `offset`.
    ///
    /// Equal entries in equal order always come to an equal state: nothing here depends on
    /// the process, the time or the way in which entries were fetched.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        if let Some(status) = self.out_of_turn(offset) {
            return Applied { status, outcomes: Vec::new() };
        }
        self.next = Offset(offset.0 + 1);
        // An append whose answer was lost is sent again and may stand in the log twice; taken
        // twice, a change would be made twice and a task checked out anew.
        if !self.senders.note(batch.id, offset) {
            self.counts.repeated += 1;
            return Applied { status: EntryStatus::Repeated, outcomes: Vec::new() };
        }
        let records = batch.records.iter().enumerate();
        let outcomes = records.map(|(position, record)| {
            let place = Place { offset, position: position as u32, sender: batch.id.sender };
            self.apply_record(place, record)
        });
        let outcomes = outcomes.collect();
        Applied { status: EntryStatus::Folded, outcomes }
    }

    /// Passes over the log entry at `offset`, which does not decode.
    ///
    /// Every process meets the same bytes and passes over them alike, so states stay equal.
    pub fn skip(&mut self, offset: Offset) -> EntryStatus {
        if let Some(status) = self.out_of_turn(offset) {
            return status;
        }
        self.next = Offset(offset.0 + 1);
        self.counts.corrupt += 1;
        EntryStatus::Folded
    }

    fn out_of_turn(&self, offset: Offset) -> Option<EntryStatus> {
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => Some(EntryStatus::AlreadyFolded),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(EntryStatus::Gap),
        }
    }

    fn apply_record(&mut self, place: Place, record: &Record) -> Outcome {
        let Place { offset, position, sender } = place;
        match record {
            Record::Change(change) => self.change(offset, change),
            Record::Claim { dc, holder } => self.claim(offset, *dc, *holder),
            Record::Release { dc, epoch } => self.release(*dc, *epoch),
            Record::Checkout { dc, epoch, tasks } => self.checkout(*dc, *epoch, tasks),
            Record::Return { dc, epoch, tasks } => self.give_back(*dc, *epoch, tasks),
            Record::Placed { dc, epoch, placements } => self.placed(*dc, *epoch, placements),
            Record::Ended { dc, epoch, exits } => self.ended(*dc, *epoch, exits),
            Record::Intent { key, entry } => {
                let intent = Intent { offset, position, entry: *entry };
                match self.intents.announce(*key, intent) {
                    Ok(()) => Outcome::Announced,
                    Err(first) => Outcome::AlreadyAnnounced(first),
                }
            }
            Record::Snapshot { through, part, parts, .. } => {
                let part = Part { sender, through: *through, part: *part, parts: *parts };
                self.note_part(offset, part)
            }
        }
    }

    /// Follows snapshots in the log, so that every process knows when the next one is due.
    fn note_part(&mut self, offset: Offset, part: Part) -> Outcome {
        let whole = self.snapshots.push(part, ()).is_some();
        let newer = self.snapshot.is_none_or(|mark| mark.through < part.through);
        if whole && newer {
            self.snapshot = Some(CompleteSnapshot { through: part.through, last: offset });
        }
        Outcome::Noted
    }
}
