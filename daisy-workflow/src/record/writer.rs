//! Encodes an owner's records for the log, within the log's limits.
//!
//! All records of an owner are appended in order, and the next batch waits for the last. A record
//! that the log cannot store must not keep back the others.

use super::{
    EncodedRecord, Record, encode,
    parts::{PART_OVERHEAD, PartCounts},
};
use crate::{InterferenceSums, JobId, Progress, ShardId};

/// Bytes that the log counts for the lengths of a record and of its key.
const LENGTHS_BYTES: usize = 4 + 1;
/// The most bytes that the log counts for a record besides its value.
const KEY_OVERHEAD: usize = LENGTHS_BYTES + 255;

/// The longest records and calls that the log accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLimits {
    /// The most bytes of a record with its key.
    pub record_bytes: usize,
    /// The most bytes of all records of a call.
    pub call_bytes: usize,
}

impl RecordLimits {
    /// Returns whether the log can store a record in one piece.
    pub fn fits(&self, key: &str, value: &[u8]) -> bool {
        let bytes = RecordLimits::stored_bytes(key, value);
        bytes <= self.record_bytes && bytes <= self.call_bytes
    }

    /// Returns the bytes that the log counts for a record.
    pub fn stored_bytes(key: &str, value: &[u8]) -> usize {
        LENGTHS_BYTES + key.len() + value.len()
    }

    /// Returns the length of the longest value that is stored in one piece.
    fn value_max(&self) -> usize {
        let record_bytes = self.record_bytes.min(self.call_bytes);
        record_bytes.saturating_sub(KEY_OVERHEAD + PART_OVERHEAD).max(1)
    }

    /// Returns the length of the longest value of which one call can append all parts.
    fn split_value_max(&self) -> usize {
        let part = self.value_max() + KEY_OVERHEAD + PART_OVERHEAD;
        self.value_max() * (self.call_bytes / part).max(1)
    }

    /// Returns the records of interference sums, as many as are needed for the log to store them;
    /// leaves out sums over so many images that no record can hold them.
    pub fn split_sums(&self, shard: ShardId, sums: &[InterferenceSums]) -> Vec<WrittenRecord> {
        let it = WrittenRecord::whole(&Record::InterferenceSums(shard, sums.to_vec()));
        if it.stored.iter().all(|(key, value)| self.fits(key, value)) {
            return vec![it];
        }
        if sums.len() < 2 {
            return Vec::new();
        }
        let (first, second) = sums.split_at(sums.len() / 2);
        [self.split_sums(shard, first), self.split_sums(shard, second)].concat()
    }

    /// Divides records into calls, in their order.
    pub fn calls(&self, records: Vec<WrittenRecord>) -> Vec<Vec<WrittenRecord>> {
        let mut calls: Vec<Vec<WrittenRecord>> = Vec::new();
        let mut call_bytes = 0;
        for it in records {
            call_bytes += it.bytes();
            match calls.last_mut().filter(|_| call_bytes <= self.call_bytes) {
                Some(call) => call.push(it),
                None => {
                    call_bytes = it.bytes();
                    calls.push(vec![it]);
                }
            }
        }
        calls
    }
}

/// What the log stores for one record, by one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrittenRecord {
    /// The job, if the record is its progress.
    pub job: Option<JobId>,
    /// The record, or its parts and removals of earlier parts.
    pub stored: Vec<EncodedRecord>,
}

impl WrittenRecord {
    /// Returns a record that is stored in one piece.
    pub fn whole(record: &Record) -> WrittenRecord {
        WrittenRecord { job: progress_of(record), stored: vec![encode(record)] }
    }

    /// Returns the record's key.
    pub fn key(&self) -> &str {
        self.stored.first().map_or("", |(key, _)| key)
    }

    /// Returns the bytes that the log counts for the record.
    pub fn bytes(&self) -> usize {
        self.stored.iter().map(|(key, value)| RecordLimits::stored_bytes(key, value)).sum()
    }
}

/// A record that the log cannot store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRecord {
    /// The record's key.
    pub key: String,
    /// The job, if the record is its progress.
    pub job: Option<JobId>,
    /// The length of the record's value.
    pub bytes: usize,
}

/// Encodes an owner's records, and splits those that are too long for the log.
#[derive(Debug, Clone)]
pub struct RecordWriter {
    limits: RecordLimits,
    part_counts: PartCounts,
}

impl RecordWriter {
    /// Returns a writer for a log that stores records in `part_counts` parts.
    pub fn new(limits: RecordLimits, part_counts: PartCounts) -> RecordWriter {
        RecordWriter { limits, part_counts }
    }

    /// Returns the calls that append `records`, and the records that no call can append.
    pub fn write(&mut self, records: &[Record]) -> (Vec<Vec<WrittenRecord>>, Vec<RefusedRecord>) {
        let (value_max, longest) = (self.limits.value_max(), self.limits.split_value_max());
        let (mut written, mut refused) = (Vec::with_capacity(records.len()), Vec::new());
        for record in records {
            let mut encoded = encode(record);
            if let Record::Progress(id, progress) = record
                && encoded.1.len() > longest
            {
                // A job without its checkpoints begins tasks anew; one without its progress would
                // run them twice.
                encoded = encode(&Record::Progress(*id, without_checkpoints(progress)));
            }
            let job = progress_of(record);
            let (key, bytes) = (&encoded.0, encoded.1.len());
            if bytes > longest {
                refused.push(RefusedRecord { key: key.clone(), job, bytes });
                continue;
            }
            written.push(WrittenRecord { job, stored: self.part_counts.split(encoded, value_max) });
        }
        (self.limits.calls(written), refused)
    }
}

fn progress_of(record: &Record) -> Option<JobId> {
    match record {
        Record::Progress(id, _) => Some(*id),
        _ => None,
    }
}

fn without_checkpoints(progress: &Progress) -> Progress {
    let mut progress = progress.clone();
    let tasks = progress.occurrences.iter_mut().flatten().flatten();
    tasks.for_each(|it| it.checkpoint.clear());
    progress
}
