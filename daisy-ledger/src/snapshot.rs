//! When to write a snapshot, and which parts make a whole one.

use std::time::Duration;

use daisy_model::Offset;

/// A whole snapshot in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// It covers every record below this offset.
    pub through: Offset,
    /// Where its last part stands.
    pub last: Offset,
}

/// A part's place in its snapshot.
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

/// A snapshot of which the first parts have been seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialSnapshot<T> {
    /// The place of the last part seen.
    pub seen: Part,
    /// One item for each part seen.
    pub items: Vec<T>,
}

/// Collects parts of snapshots, which several processes may write at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Collector<T> {
    partial: Vec<PartialSnapshot<T>>,
}

impl<T> Collector<T> {
    /// The most unfinished snapshots; the one begun first is dropped first.
    pub const MAX_UNFINISHED: usize = 4;
    /// The most parts of one snapshot.
    pub const MAX_PARTS: u32 = 4_096;

    /// Takes a part in; gives the items of all parts when it was the last one.
    ///
    /// A sender appends in order, so a part out of order means that the sender gave up:
    /// what it had begun is dropped.
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

    /// Unfinished snapshots.
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

/// When snapshots are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Log entries after which a new one is due, so that a cold start folds a short tail.
    pub entries: u64,
    /// Bytes after which a new one is due.
    pub bytes: u64,
    /// Age at which a new one is due.
    pub age: Duration,
}

impl Options {
    /// Options for a log that keeps records for `retention`.
    ///
    /// The age is a third of it: an outage of the log may take up the rest, and the snapshot
    /// and its tail are still there when it ends.
    pub fn for_retention(retention: Duration) -> Options {
        Options { entries: 500_000, bytes: 64 << 20, age: retention / 3 }
    }
}

/// What has happened since the last whole snapshot was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SinceSnapshot {
    /// Log entries folded.
    pub entries: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Time since this process read the snapshot, or the log's first record if there is none;
    /// the retention, for a process that does not know.
    pub age: Duration,
}

/// Whether a process that is `rank`-th among those that may write a snapshot, from 0, should
/// write one now.
///
/// Each waits an eighth longer than the one before it, so that usually one writes, and another
/// does when that one is gone. Two at one time do no harm: both are whole.
pub fn due(options: &Options, since: &SinceSnapshot, rank: u32) -> bool {
    let waits = u64::from(8 + rank.min(MAX_RANK));
    let entries = options.entries.saturating_mul(waits) / 8;
    let bytes = options.bytes.saturating_mul(waits) / 8;
    let age = options.age * (8 + rank.min(MAX_RANK)) / 8;
    since.entries >= entries || since.bytes >= bytes || since.age >= age
}

/// The last rank that waits longer than the one before: with it, a third of the retention has
/// become five eighths.
const MAX_RANK: u32 = 7;
