//! When snapshots are due, and which parts form a complete one.

mod common;

use std::time::Duration;

use daisy_ledger::{
    AppendId, Batch, Record,
    snapshot::{Collector, CompleteSnapshot, Options, Part, SinceSnapshot, is_due},
};
use daisy_model::Offset;

use crate::common::Log;

const RETENTION: Duration = Duration::from_secs(3_600);

fn part(sender: u64, through: u64, part: u32, parts: u32) -> Part {
    Part { sender, through: Offset(through), part, parts }
}

fn since(entries: u64, bytes: u64, age: u64) -> SinceSnapshot {
    SinceSnapshot { entries, bytes, age: Duration::from_secs(age) }
}

#[test]
fn a_snapshot_is_due_by_entries_bytes_or_age_well_within_the_retention() {
    let options = Options::for_retention(RETENTION);
    assert!(!is_due(&options, &since(1_000, 1_000, 1_199), 0));
    assert!(is_due(&options, &since(0, 0, 1_200), 0));
    assert!(is_due(&options, &since(500_000, 0, 0), 0));
    assert!(is_due(&options, &since(0, 64 << 20, 0), 0));
}

#[test]
fn higher_ranks_wait_longer_up_to_a_limit() {
    let options = Options::for_retention(RETENTION);
    assert!(!is_due(&options, &since(0, 0, 1_200), 1));
    assert!(is_due(&options, &since(0, 0, 1_350), 1));
    assert!(is_due(&options, &since(0, 0, 2_250), 1_000));
}

/// Two processes write snapshots at the same time, so that their parts are interleaved, and a third
/// process omits a part of its own. The complete snapshots are found and the third is dropped.
#[test]
fn interleaved_parts_of_several_writers_are_separated() {
    let mut collector = Collector::default();
    let pushed = [
        collector.push(part(1, 10, 0, 2), 'a'),
        collector.push(part(3, 11, 0, 3), 'x'),
        collector.push(part(2, 12, 0, 2), 'c'),
        collector.push(part(1, 10, 1, 2), 'b'),
        collector.push(part(2, 12, 1, 2), 'd'),
        collector.push(part(3, 11, 2, 3), 'z'),
    ];
    let whole: Vec<Vec<char>> = pushed.into_iter().flatten().collect();
    assert_eq!(whole, [vec!['a', 'b'], vec!['c', 'd']]);
    assert_eq!(collector.iter().count(), 0);
}

#[test]
fn the_number_of_unfinished_snapshots_is_limited() {
    let mut collector = Collector::default();
    for sender in 0..100 {
        collector.push(part(sender, 1, 0, 2), ());
    }
    assert_eq!(collector.iter().count(), Collector::<()>::MAX_UNFINISHED);
    assert_eq!(collector.push(part(500, 1, 0, u32::MAX), ()), None);
    assert_eq!(collector.iter().filter(|it| it.seen.sender == 500).count(), 0);
}

#[test]
fn the_fold_records_the_newest_complete_snapshot() {
    let mut log = Log::with_team();
    for part in 0..2 {
        let record =
            Record::Snapshot { through: Offset(1), part, parts: 2, bytes: vec![part as u8] };
        let id = AppendId { sender: 5, seq: u64::from(part) + 1 };
        log.append(Batch { id, records: vec![record] });
    }
    assert_eq!(log.state.snapshot, Some(CompleteSnapshot { through: Offset(1), last: Offset(2) }));
}
