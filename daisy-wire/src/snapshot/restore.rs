//! The cold start: from what the log still keeps to the state.

use daisy_ledger::{
    Batch, Record, State,
    snapshot::{Collector, Part},
};
use daisy_model::Offset;

use crate::{WireError, log, snapshot};

/// The log's first records have expired and no whole snapshot is left in it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no whole snapshot in the log from offset {first} to {next}")]
pub struct NoSnapshot {
    /// The first offset that was read.
    pub first: Offset,
    /// The offset after the last that was read.
    pub next: Offset,
}

/// Reads the log from its first record on until it has the state.
///
/// While no snapshot is whole, entries are held: those from the snapshot's offset on are folded
/// once it is. If the log drops records while it is read (410), begin anew.
#[derive(Debug)]
pub struct Restore {
    first: Offset,
    next: Offset,
    state: Option<State>,
    held: Vec<(Offset, Option<Batch>)>,
    parts: Collector<Vec<u8>>,
    /// The next entry's bytes, if they did not decode when they were first read.
    suspect: Option<Vec<u8>>,
}

impl Restore {
    /// Begins at `first`, the first offset that the log keeps.
    pub fn new(first: Offset) -> Restore {
        let state = (first == Offset(0)).then(State::default);
        let (held, parts) = (Vec::new(), Collector::default());
        Restore { first, next: first, state, held, parts, suspect: None }
    }

    /// The offset of the next entry to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Takes the next log entry in; entries out of turn are passed over.
    ///
    /// An entry that does not decode is asked for a second time: [`Restore::next`] stays. Bytes
    /// spoilt on their way would be passed over here and folded elsewhere, and this state would
    /// differ from all others for ever; bytes that are equal twice are what the log holds.
    ///
    /// Fails on an entry or a snapshot of a newer version: this build cannot go on.
    pub fn push(&mut self, offset: Offset, bytes: &[u8]) -> Result<(), WireError> {
        if offset != self.next {
            return Ok(());
        }
        let batch = match log::decode(bytes) {
            Ok(batch) => Some(batch),
            Err(error @ WireError::Version { .. }) => return Err(error),
            Err(_) if self.suspect.as_deref() == Some(bytes) => None,
            Err(_) => {
                self.suspect = Some(bytes.to_vec());
                return Ok(());
            }
        };
        self.suspect = None;
        self.next = Offset(offset.0 + 1);
        if let Some(state) = &mut self.state {
            fold(state, offset, batch.as_ref());
            return Ok(());
        }
        let whole = batch.as_ref().and_then(|batch| collect(&mut self.parts, batch));
        self.held.push((offset, batch));
        match whole {
            Some((through, bytes)) if through >= self.first => self.begin(&bytes),
            _ => Ok(()),
        }
    }

    /// The state, once the log has been read to its end.
    pub fn finish(self) -> Result<State, NoSnapshot> {
        self.state.ok_or(NoSnapshot { first: self.first, next: self.next })
    }

    fn begin(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let mut state = match snapshot::decode(bytes) {
            Ok(state) => state,
            Err(error @ WireError::Version { .. }) => return Err(error),
            // A later snapshot may be sound.
            Err(_) => return Ok(()),
        };
        for (offset, batch) in self.held.drain(..) {
            fold(&mut state, offset, batch.as_ref());
        }
        self.state = Some(state);
        Ok(())
    }
}

/// Folds an entry, or passes over it if it is damaged; entries that the state has are ignored.
fn fold(state: &mut State, offset: Offset, batch: Option<&Batch>) {
    match batch {
        Some(batch) => {
            state.apply(offset, batch);
        }
        None => {
            state.skip(offset);
        }
    }
}

/// Takes the parts of `batch` in; gives the bytes of a snapshot that became whole.
fn collect(parts: &mut Collector<Vec<u8>>, batch: &Batch) -> Option<(Offset, Vec<u8>)> {
    let mut whole = None;
    for record in &batch.records {
        let Record::Snapshot { through, part, parts: count, bytes } = record else { continue };
        let sender = batch.id.sender;
        let place = Part { sender, through: *through, part: *part, parts: *count };
        if let Some(chunks) = parts.push(place, bytes.clone()) {
            whole = Some((*through, chunks.concat()));
        }
    }
    whole
}
