//! The newest records of the log, retained for peers that read from this entry VM.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use daisy_model::Offset;
use tokio::sync::watch;

/// The maximum total size of retained records, in bytes; a peer that is further behind gets a
/// snapshot of the state instead.
const MAX_RETAINED_BYTES: usize = 8 << 20;
/// The maximum size of the records in one message, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

#[derive(Debug, Default)]
struct RetainedRecords {
    /// The offset of the first record.
    first: u64,
    records: VecDeque<Bytes>,
    bytes: usize,
}

/// The records for a peer at a given offset.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// There are no records from the offset on yet.
    Nothing,
    /// Consecutive records.
    Records(Vec<Bytes>),
    /// The offset is below the first retained record.
    TooOld,
}

/// The newest records; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Tail {
    retained: Arc<Mutex<RetainedRecords>>,
    next: Arc<watch::Sender<Offset>>,
}

impl Tail {
    /// Creates an empty tail.
    pub fn new() -> Tail {
        Tail { retained: Arc::default(), next: Arc::new(watch::Sender::new(Offset(0))) }
    }

    /// Adds the record at `offset`, which was just folded.
    pub fn push(&self, offset: Offset, bytes: Bytes) {
        let mut retained = self.lock();
        let next = retained.first + retained.records.len() as u64;
        if offset.0 != next {
            // The fold has jumped to a snapshot: the earlier records are no longer contiguous with
            // this one.
            *retained = RetainedRecords { first: offset.0, ..RetainedRecords::default() };
        }
        retained.bytes += bytes.len();
        retained.records.push_back(bytes);
        while retained.bytes > MAX_RETAINED_BYTES {
            let Some(oldest) = retained.records.pop_front() else { break };
            retained.bytes -= oldest.len();
            retained.first += 1;
        }
    }

    /// Notifies readers that the fold has reached `next`.
    pub fn publish(&self, next: Offset) {
        self.next.send_if_modified(|it| std::mem::replace(it, next) != next);
    }

    /// Returns a channel that is notified when the fold advances.
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Returns records starting at `from`.
    pub fn chunk(&self, from: Offset) -> Chunk {
        if *self.next.borrow() <= from {
            return Chunk::Nothing;
        }
        let retained = self.lock();
        let Some(skip) = from.0.checked_sub(retained.first) else { return Chunk::TooOld };
        let mut bytes = 0;
        let fits = |record: &&Bytes| {
            bytes += record.len();
            bytes <= CHUNK_BYTES || bytes == record.len()
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records: Vec<Bytes> =
            retained.records.iter().skip(skip).take_while(fits).cloned().collect();
        match records.is_empty() {
            true => Chunk::TooOld,
            false => Chunk::Records(records),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RetainedRecords> {
        // At worst, a panic in the middle of a push leaves one record too few.
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
