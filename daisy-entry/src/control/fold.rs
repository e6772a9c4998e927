//! Folds the records of the log into the state.

use std::sync::Arc;

use bytes::Bytes;
use daisy_ledger::{Applied, Batch, Record, RecordOutcome};
use daisy_membership::{Event, HolderClaim};
use daisy_model::{DcId, Epoch, Instant, Offset};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_wire::WireError;

use crate::{
    boundary::RequestSide,
    control::{Control, input::Page},
};

/// A log entry that failed to decode when it was first read.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct UndecodableEntry {
    offset: Offset,
    bytes: Bytes,
}

/// Whether the fold can continue after an entry.
enum FoldProgress {
    Continue,
    Halt,
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Handles a page of records, and returns the offset from which to read on.
    pub(super) fn handle_page(&mut self, now: Instant, page: Page) -> Offset {
        let Page { sent_at, bounds, records } = page;
        let end = bounds.map(|(_, end)| end);
        if let Some((first, _)) = bounds {
            self.snapshots.set_first_retained(first);
        }
        let next = match self.restore.take() {
            Some(restore) => self.restore_page(now, restore, end, &records),
            None => self.fold_page(now, &records),
        };
        if end.is_some() {
            self.step_membership(now, Event::LogAnswered { sent_at, end });
        }
        next
    }

    fn fold_page(&mut self, now: Instant, records: &[(Offset, Bytes)]) -> Offset {
        let before = self.state.next;
        for (offset, bytes) in records {
            // The same records may arrive both from a peer and from the log.
            if *offset < self.state.next {
                continue;
            }
            if let FoldProgress::Halt = self.fold_entry(now, *offset, bytes) {
                break;
            }
        }
        if self.state.next != before {
            self.after_fold(now);
        }
        self.state.next
    }

    fn fold_entry(&mut self, now: Instant, offset: Offset, bytes: &Bytes) -> FoldProgress {
        let batch = match daisy_wire::log::decode(bytes) {
            Ok(batch) => batch,
            Err(e) => return self.handle_undecodable(offset, bytes, &e),
        };
        let generation = self.state.generation;
        let state = Arc::make_mut(&mut self.state);
        let applied = state.apply(offset, &batch);
        if applied.status == daisy_ledger::EntryStatus::Gap {
            log::warn!("event=log_gap offset={offset} next={}", self.state.next);
            return FoldProgress::Halt;
        }
        self.out.tail.push(offset, bytes.clone());
        self.snapshots.record_folded(now, &self.state, bytes.len());
        if self.state.generation != generation {
            self.config = Some((offset, self.clock.wall_time()));
        }
        self.process_outcomes(now, &batch, applied);
        FoldProgress::Continue
    }

    /// Decides whether to skip an entry that does not decode.
    ///
    /// Guard: an entry corrupted in transit would be skipped here and folded elsewhere, and the
    /// states would differ for good. An entry is skipped only when a second read returns the same
    /// bytes. An entry of a newer version stops the fold instead, because newer processes fold it.
    fn handle_undecodable(&mut self, offset: Offset, bytes: &Bytes, e: &WireError) -> FoldProgress {
        if matches!(e, WireError::Version { .. }) {
            log::error!("event=log_entry_newer offset={offset} cause=\"{e}\"");
            return FoldProgress::Halt;
        }
        let undecodable = UndecodableEntry { offset, bytes: bytes.clone() };
        if self.undecodable.as_ref() != Some(&undecodable) {
            self.undecodable = Some(undecodable);
            return FoldProgress::Halt;
        }
        log::error!("event=log_entry_skipped offset={offset} cause=\"{e}\"");
        Arc::make_mut(&mut self.state).skip(offset);
        self.out.tail.push(offset, bytes.clone());
        self.undecodable = None;
        FoldProgress::Continue
    }

    /// Resolves the waiters of the batch, and reports records of the own data centre's holder to
    /// the membership as evidence that it is alive.
    fn process_outcomes(&mut self, now: Instant, batch: &Batch, applied: Applied) {
        self.append_folded(now, batch.id, &applied.outcomes);
        for (record, outcome) in batch.records.iter().zip(&applied.outcomes) {
            if let (Record::Change(change), RecordOutcome::Refused(refusal)) = (record, outcome) {
                log::info!("event=change_refused who={} cause=\"{refusal}\"", change.who);
            }
            if let Some((dc, epoch)) = epoch_of(record)
                && dc == self.identity.dc
            {
                self.step_membership(now, Event::HolderRecordRead(epoch));
            }
        }
    }

    /// Passes the advanced state to the peers' tail, the membership and the holder.
    pub(super) fn after_fold(&mut self, now: Instant) {
        self.out.tail.publish(self.state.next);
        let holder_claim = self.state.holders.get(&self.identity.dc).map(|it| HolderClaim {
            holder: it.holder,
            epoch: it.epoch,
            released: it.released,
        });
        let event = Event::Folded {
            next: self.state.next,
            generation: self.state.generation.0,
            holder_claim,
        };
        self.step_membership(now, event);
        let state = Arc::clone(&self.state);
        let own = self.identity.dc;
        for (dc, holder_claim) in state.holders.iter().filter(|(dc, _)| **dc != own) {
            self.step_membership(now, Event::RemoteHolder { dc: *dc, holder: holder_claim.holder });
        }
        self.drive_holder(now, daisy_placement::Event::Ledger(&state));
        self.routes_dirty = true;
    }
}

fn epoch_of(record: &Record) -> Option<(DcId, Epoch)> {
    match record {
        Record::Checkout { dc, epoch, .. }
        | Record::Return { dc, epoch, .. }
        | Record::Placed { dc, epoch, .. }
        | Record::Ended { dc, epoch, .. } => Some((*dc, *epoch)),
        _ => None,
    }
}
