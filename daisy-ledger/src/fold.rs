//! Folds log entries into the state.

use daisy_model::{Epoch, Generation, Offset, TaskId};

use crate::{
    Batch, Intent, Record, Refusal, State,
    snapshot::{CompleteSnapshot, Part},
};

/// How the fold treated a log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStatus {
    /// Its records were applied, or the entry was skipped because it does not decode.
    Folded,
    /// The same append was folded at an earlier offset.
    Repeated,
    /// The offset is below the next one: the entry at this offset was folded before.
    AlreadyFolded,
    /// The offset is above the next one: entries in between are missing, and nothing was changed.
    Gap,
}

/// The result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The change is in force from the generation on.
    Accepted(Generation),
    /// The change was refused.
    Refused(Refusal),
    /// The claim is in force, under this epoch.
    Claimed(Epoch),
    /// The holder has released the data centre.
    Released,
    /// The tasks that were checked out, sorted by id.
    Granted(Vec<TaskId>),
    /// How many returns, placements or exits took effect.
    TookEffect(usize),
    /// The epoch is not in force; the record had no effect.
    Stale,
    /// The key was not announced before, so the request may run.
    Announced,
    /// The key was announced before; only the request of that announcement may run.
    AlreadyAnnounced(Intent),
    /// A part of a snapshot was recorded.
    SnapshotPartRecorded,
}

/// How a log entry was treated, and the results of its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Whether the entry was folded.
    pub status: EntryStatus,
    /// One outcome for each record; empty if the entry was not folded.
    pub outcomes: Vec<RecordOutcome>,
}

/// The position of a record in the log, and its sender.
#[derive(Debug, Clone, Copy)]
struct RecordLocation {
    offset: Offset,
    position: u32,
    sender: u64,
}

impl State {
    /// Folds the log entry at `offset`.
    ///
    /// The same entries in the same order always give the same state: the result does not depend
    /// on the process, the time or how the entries were fetched.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        if let Some(status) = self.check_order(offset) {
            return Applied { status, outcomes: Vec::new() };
        }
        self.next = Offset(offset.0 + 1);
        // An append whose answer was lost is sent again and may be in the log twice. Applied
        // twice, a change would be made twice and a task be checked out again.
        if !self.senders.register(batch.id, offset) {
            self.counts.repeated += 1;
            return Applied { status: EntryStatus::Repeated, outcomes: Vec::new() };
        }
        let records = batch.records.iter().enumerate();
        let outcomes = records.map(|(position, record)| {
            let location =
                RecordLocation { offset, position: position as u32, sender: batch.id.sender };
            self.apply_record(location, record)
        });
        let outcomes = outcomes.collect();
        Applied { status: EntryStatus::Folded, outcomes }
    }

    /// Skips the log entry at `offset`, which does not decode.
    ///
    /// Every process reads the same bytes and skips them in the same way, so states stay equal.
    pub fn skip(&mut self, offset: Offset) -> EntryStatus {
        if let Some(status) = self.check_order(offset) {
            return status;
        }
        self.next = Offset(offset.0 + 1);
        self.counts.corrupt += 1;
        EntryStatus::Folded
    }

    fn check_order(&self, offset: Offset) -> Option<EntryStatus> {
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => Some(EntryStatus::AlreadyFolded),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(EntryStatus::Gap),
        }
    }

    fn apply_record(&mut self, location: RecordLocation, record: &Record) -> RecordOutcome {
        let RecordLocation { offset, position, sender } = location;
        match record {
            Record::Change(change) => self.change(offset, change),
            Record::Claim { dc, holder } => self.claim(offset, *dc, *holder),
            Record::Release { dc, epoch } => self.release(*dc, *epoch),
            Record::Checkout { dc, epoch, tasks } => self.checkout(*dc, *epoch, tasks),
            Record::Return { dc, epoch, tasks } => self.return_tasks(*dc, *epoch, tasks),
            Record::Placed { dc, epoch, placements } => {
                self.record_placements(*dc, *epoch, placements)
            }
            Record::Ended { dc, epoch, exits } => self.record_exits(*dc, *epoch, exits),
            Record::Intent { key, entry } => {
                let intent = Intent { offset, position, entry: *entry };
                match self.intents.announce(*key, intent) {
                    Ok(()) => RecordOutcome::Announced,
                    Err(first) => RecordOutcome::AlreadyAnnounced(first),
                }
            }
            Record::Snapshot { through, part, parts, .. } => {
                let part = Part { sender, through: *through, part: *part, parts: *parts };
                self.record_snapshot_part(offset, part)
            }
        }
    }

    /// Records a snapshot part, so that every process knows when the next snapshot is due.
    fn record_snapshot_part(&mut self, offset: Offset, part: Part) -> RecordOutcome {
        let whole = self.snapshots.push(part, ()).is_some();
        let newer = self.snapshot.is_none_or(|mark| mark.through < part.through);
        if whole && newer {
            self.snapshot = Some(CompleteSnapshot { through: part.through, last: offset });
        }
        RecordOutcome::SnapshotPartRecorded
    }
}
