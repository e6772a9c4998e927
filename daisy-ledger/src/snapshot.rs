//! When to write a snapshot, and which parts form a complete one.

use std::time::Duration;

use daisy_model::Offset;

/// A complete snapshot in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// It covers every record below this offset.
    pub through: Offset,
    /// The offset of its last part.
    pub last: Offset,
}

/// Identifies a part of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The process that writes the snapshot.
    pub sender: u64,
    /// The snapshot covers every record below this offset.
    pub through: Offset,
    /// The position of the part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
}

/// A snapshot of which only the first parts have been seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialSnapshot<T> {
    /// The last part seen.
    pub seen: Part,
    /// One item for each part seen.
    pub items: Vec<T>,
}

/// Collects the parts of snapshots, which several processes may write at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Collector<T> {
    partial: Vec<PartialSnapshot<T>>,
}

impl<T> Collector<T> {
    /// The most unfinished snapshots; the one that began first is dropped first.
    pub const MAX_UNFINISHED: usize = 4;
    /// The most parts of one snapshot.
    pub const MAX_PARTS: u32 = 4_096;

    /// Adds a part; returns the items of all parts if it was the last one.
    ///
    /// A sender appends its parts in order, so a part out of order means that the sender has
    /// abandoned its earlier snapshot, which is dropped.
    pub fn push(&mut self, part: Part, item: T) -> Option<Vec<T>> {
        let known = self.partial.iter().position(|it| it.seen.sender == part.sender);
        let mut partial = match known {
            Some(at) if follows(&self.partial[at].seen, &part) => self.partial.remove(at),
            other => {
                if let Some(at) = other {
                    self.partial.remove(at);
                }
                if part.part != 0 || part.parts > Self::MAX_PARTS {
                    return None;
                }
                PartialSnapshot { seen: part, items: Vec::new() }
            }
        };
        partial.seen = part;
        partial.items.push(item);
        if part.part + 1 == part.parts {
            return Some(partial.items);
        }
        if self.partial.len() >= Self::MAX_UNFINISHED {
            self.partial.remove(0);
        }
        self.partial.push(partial);
        None
    }

    /// Iterates over the unfinished snapshots.
    pub fn iter(&self) -> impl Iterator<Item = &PartialSnapshot<T>> {
        self.partial.iter()
    }
}

impl<T> Default for Collector<T> {
    fn default() -> Collector<T> {
        Collector { partial: Vec::new() }
    }
}

impl<T> FromIterator<PartialSnapshot<T>> for Collector<T> {
    fn from_iter<I: IntoIterator<Item = PartialSnapshot<T>>>(iter: I) -> Collector<T> {
        Collector { partial: iter.into_iter().collect() }
    }
}

fn follows(seen: &Part, part: &Part) -> bool {
    let same = (seen.sender, seen.through, seen.parts) == (part.sender, part.through, part.parts);
    same && part.part == seen.part + 1
}

/// The limits after which a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of log entries after which a new snapshot is due, so that a process that starts
    /// has few entries to fold after the snapshot.
    pub entries: u64,
    /// The number of bytes after which a new snapshot is due.
    pub bytes: u64,
    /// The age at which a new snapshot is due.
    pub age: Duration,
}

impl Options {
    /// Returns the options for a log that keeps records for `retention`.
    ///
    /// The age is a third of the retention: even if an outage of the log lasts for the rest of it,
    /// the snapshot and the entries after it are still there when the outage ends.
    pub fn for_retention(retention: Duration) -> Options {
        Options { entries: 500_000, bytes: 64 << 20, age: retention / 3 }
    }
}

/// What has happened since the last complete snapshot was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SinceSnapshot {
    /// Log entries folded.
    pub entries: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The time since this process read the snapshot or, if there is none, the first record of the
    /// log; a process that does not know either uses the retention.
    pub age: Duration,
}

/// Returns whether the process at position `rank`, from 0, among those that may write a snapshot
/// should write one now.
///
/// Each process waits an eighth longer than the process of the next lower rank. Usually only the
/// first process writes, and the next one does if the first is lost. Two snapshots at the same time
/// do no harm: both are complete.
pub fn is_due(options: &Options, since: &SinceSnapshot, rank: u32) -> bool {
    let eighths = u64::from(8 + rank.min(MAX_RANK));
    let entries = options.entries.saturating_mul(eighths) / 8;
    let bytes = options.bytes.saturating_mul(eighths) / 8;
    let age = options.age * (8 + rank.min(MAX_RANK)) / 8;
    since.entries >= entries || since.bytes >= bytes || since.age >= age
}

/// The highest rank that waits longer than the rank before it. It waits 15/8 times the limit, so
/// that the age of a third of the retention becomes five eighths of it.
const MAX_RANK: u32 = 7;
