//! Cold start: rebuilds the state from the records that the log still has.

use daisy_ledger::{
    Batch, Record, State,
    snapshot::{Collector, Part},
};
use daisy_model::Offset;

use crate::{WireError, log, snapshot};

/// The log's first records have expired, and it has no complete snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no complete snapshot in the log from offset {first} to {next}")]
pub struct NoSnapshot {
    /// The first offset that was read.
    pub first: Offset,
    /// The offset after the last one that was read.
    pub next: Offset,
}

/// Rebuilds the state from the log, which is read from its first record on.
///
/// Entries are buffered until a snapshot is complete; those from the snapshot's offset on are
/// then folded into its state. If the log drops records during the read (status 410), the
/// caller must start again with a new `Restore`.
#[derive(Debug)]
pub struct Restore {
    first: Offset,
    next: Offset,
    state: Option<State>,
    buffered: Vec<(Offset, Option<Batch>)>,
    parts: Collector<Vec<u8>>,
    /// The bytes of the next entry, if they could not be decoded when first read.
    undecodable: Option<Vec<u8>>,
}

impl Restore {
    /// Starts at `first`, the first offset that the log still has.
    pub fn new(first: Offset) -> Restore {
        let state = (first == Offset(0)).then(State::default);
        let (buffered, parts) = (Vec::new(), Collector::default());
        Restore { first, next: first, state, buffered, parts, undecodable: None }
    }

    /// Returns the offset of the next entry to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Adds the next log entry; entries at other offsets than [`Restore::next`] are ignored.
    ///
    /// An entry that cannot be decoded is requested a second time: [`Restore::next`] does not
    /// advance. If the bytes were corrupted in transit and skipped here, other processes would
    /// fold the entry, and this state would differ from theirs permanently. If the bytes are the
    /// same the second time, the entry is corrupt in the log itself, and it is skipped.
    ///
    /// # Errors
    ///
    /// If an entry or a snapshot has a newer version: this build cannot continue.
    pub fn push(&mut self, offset: Offset, bytes: &[u8]) -> Result<(), WireError> {
        if offset != self.next {
            return Ok(());
        }
        let batch = match log::decode(bytes) {
            Ok(batch) => Some(batch),
            Err(error @ WireError::Version { .. }) => return Err(error),
            Err(_) if self.undecodable.as_deref() == Some(bytes) => None,
            Err(_) => {
                self.undecodable = Some(bytes.to_vec());
                return Ok(());
            }
        };
        self.undecodable = None;
        self.next = Offset(offset.0 + 1);
        if let Some(state) = &mut self.state {
            fold(state, offset, batch.as_ref());
            return Ok(());
        }
        let complete = batch.as_ref().and_then(|batch| collect_parts(&mut self.parts, batch));
        self.buffered.push((offset, batch));
        match complete {
            Some((through, bytes)) if through >= self.first => self.start_from_snapshot(&bytes),
            _ => Ok(()),
        }
    }

    /// Returns the state, once the log has been read to its end.
    pub fn finish(self) -> Result<State, NoSnapshot> {
        self.state.ok_or(NoSnapshot { first: self.first, next: self.next })
    }

    fn start_from_snapshot(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let mut state = match snapshot::decode(bytes) {
            Ok(state) => state,
            Err(error @ WireError::Version { .. }) => return Err(error),
            // A later snapshot may be intact.
            Err(_) => return Ok(()),
        };
        for (offset, batch) in self.buffered.drain(..) {
            fold(&mut state, offset, batch.as_ref());
        }
        self.state = Some(state);
        Ok(())
    }
}

/// Folds an entry into the state, or skips it if it is corrupt (`None`). Entries that the state
/// already includes are ignored.
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

/// Adds the snapshot parts of `batch`. Returns the offset and the bytes of a snapshot that these
/// complete.
fn collect_parts(parts: &mut Collector<Vec<u8>>, batch: &Batch) -> Option<(Offset, Vec<u8>)> {
    let mut complete = None;
    for record in &batch.records {
        let Record::Snapshot { through, part, parts: count, bytes } = record else { continue };
        let sender = batch.id.sender;
        let part_id = Part { sender, through: *through, part: *part, parts: *count };
        if let Some(chunks) = parts.push(part_id, bytes.clone()) {
            complete = Some((*through, chunks.concat()));
        }
    }
    complete
}
