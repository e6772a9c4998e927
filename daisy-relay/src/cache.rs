//! The records of a topic that a reader keeps for its followers.

use std::{collections::VecDeque, time::Duration};

use daisy_model::{Instant, SortedMap};

use crate::StoredRecord;

/// The most bytes of records in the order of their offsets that are kept: a minute of the states of
/// a fleet of a thousand VMs. A follower that is further behind gets a snapshot.
const TAIL_BYTES_MAX: usize = 4 << 20;
/// The bytes that a record takes besides its key and value, about.
const RECORD_OVERHEAD: usize = 64;

/// What a reader answers to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The records, in the order of their offsets; those of a snapshot in the order of their keys.
    pub records: Vec<StoredRecord>,
    /// Whether the records are the newest of each key instead of those from the requested offset
    /// on.
    pub is_snapshot: bool,
    /// The offset at which the next read continues.
    pub next: u64,
    /// The time since the log had no records from `next` on; `None` if the reader has such records
    /// or does not know.
    pub age: Option<Duration>,
}

/// The records of one topic that were read from the log.
///
/// It holds the newest record of each key, and the last records in the order of their offsets.
#[derive(Debug, Default)]
pub struct RecordCache {
    newest: SortedMap<String, StoredRecord>,
    tail: VecDeque<StoredRecord>,
    tail_bytes: usize,
    /// The offset from which `tail` holds all records.
    tail_from: u64,
    /// The offset after the last record; `None` until the newest records have been read.
    end: Option<u64>,
    /// When the log last had no records from `end` on.
    at_end_at: Option<Instant>,
}

impl RecordCache {
    /// Replaces everything by the newest record of each key; further records follow from `next` on.
    pub fn restart(&mut self, records: &[StoredRecord], next: u64) {
        *self = RecordCache { tail_from: next, end: Some(next), ..RecordCache::default() };
        for it in records.iter().filter(|it| !it.value.is_empty()) {
            self.newest.insert(it.key.clone(), it.clone());
        }
    }

    /// Adds the records from `from` up to `next`. If they do not follow those that the cache holds,
    /// it becomes empty: followers must not miss a record.
    pub fn extend(&mut self, records: &[StoredRecord], from: u64, next: u64) {
        if self.end != Some(from) {
            *self = RecordCache::default();
            return;
        }
        for it in records {
            self.push(it);
        }
        self.end = Some(next);
    }

    /// Records that the log had no records after those added by `now`.
    pub fn reached_end(&mut self, now: Instant) {
        self.at_end_at = Some(now);
    }

    /// Returns the offset after the last record; `None` while the cache is empty.
    pub fn end(&self) -> Option<u64> {
        self.end
    }

    /// Returns the records from `from` on, at most about `max_bytes`, or a snapshot if `from` is
    /// `None` or earlier than what the cache holds. Returns `None` while the cache is empty.
    pub fn read(&self, now: Instant, from: Option<u64>, max_bytes: usize) -> Option<Batch> {
        self.read_matching(now, from, max_bytes, |_| true)
    }

    /// As [`read`](RecordCache::read), without the records whose keys do not match.
    pub fn read_matching(
        &self,
        now: Instant,
        from: Option<u64>,
        max_bytes: usize,
        matches: impl Fn(&str) -> bool,
    ) -> Option<Batch> {
        let end = self.end?;
        let Some(from) = from.filter(|it| *it >= self.tail_from) else {
            let records = self.newest.iter().filter(|(key, _)| matches(key));
            let records = records.map(|(_, it)| it.clone()).collect();
            return Some(Batch { records, is_snapshot: true, next: end, age: self.age(now) });
        };
        let first = self.tail.partition_point(|it| it.offset < from);
        let mut bytes = 0;
        let mut records = Vec::new();
        let mut next = end.max(from);
        let mut is_whole = true;
        for it in self.tail.range(first..).filter(|it| matches(&it.key)) {
            if bytes > 0 && bytes + size(it) > max_bytes {
                (next, is_whole) = (it.offset, false);
                break;
            }
            bytes += size(it);
            records.push(it.clone());
        }
        // A follower may have read further than this reader, from another one or from the log.
        let age = if is_whole && from <= end { self.age(now) } else { None };
        Some(Batch { records, is_snapshot: false, next, age })
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.at_end_at.map(|it| now.since(it))
    }

    fn push(&mut self, record: &StoredRecord) {
        match record.value.is_empty() {
            true => self.newest.remove(&record.key),
            false => self.newest.insert(record.key.clone(), record.clone()),
        };
        self.tail_bytes += size(record);
        self.tail.push_back(record.clone());
        while self.tail_bytes > TAIL_BYTES_MAX
            && let Some(it) = self.tail.pop_front()
        {
            self.tail_bytes -= size(&it);
            self.tail_from = it.offset + 1;
        }
    }
}

fn size(record: &StoredRecord) -> usize {
    record.key.len() + record.value.len() + RECORD_OVERHEAD
}
