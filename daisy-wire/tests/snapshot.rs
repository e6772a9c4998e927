//! Snapshots: they equal the folded state, and a cold start needs nothing else.

#[path = "../../daisy-ledger/tests/common/mod.rs"]
mod common;

use daisy_ledger::{AppendId, Batch, EntryStatus, State};
use daisy_model::Offset;
use daisy_wire::{
    WireError, log,
    snapshot::{Restore, decode, encode, write},
};
use quickcheck::{Gen, QuickCheck};

use crate::common::{Log, script};

/// Returns a log with the records of a script.
fn scripted(steps: &[script::Step]) -> Log {
    let mut log = Log::with_team();
    for (token, &step) in (1..).zip(steps) {
        let record = script::record(&log.state, step, token);
        log.record(record);
    }
    log
}

fn append_snapshot(log: &mut Log, sender: u64, part_bytes: usize) {
    let records = write(&log.state, part_bytes).expect("encodes");
    for (seq, record) in (1..).zip(records) {
        log.append(Batch { id: AppendId { sender, seq }, records: vec![record] });
    }
}

fn restore(log: &Log, first: usize) -> Restore {
    let mut restore = Restore::new(Offset(first as u64));
    for batch in &log.entries[first..] {
        let bytes = log::encode(batch).expect("encodes");
        restore.push(restore.next(), &bytes).expect("this version");
    }
    restore
}

fn check(property: fn(Vec<script::Step>, Vec<script::Step>) -> bool, seed: u64) {
    QuickCheck::new().rng(Gen::from_size_and_seed(120, seed)).tests(150).quickcheck(property);
}

#[test]
fn a_state_survives_the_round_trip() {
    fn same(steps: Vec<script::Step>, more: Vec<script::Step>) -> bool {
        let mut log = scripted(&[steps, more].concat());
        // An incomplete snapshot of another process is part of the state.
        let parts = write(&log.state, 64).expect("encodes");
        log.append(Batch { id: AppendId { sender: 3, seq: 1 }, records: parts[..1].to_vec() });
        let bytes = encode(&log.state).expect("encodes");
        let state = decode(&bytes).expect("decodes");
        assert_eq!(state, log.state);
        assert_eq!(encode(&state).expect("encodes"), bytes);
        true
    }
    check(same, 31);
}

/// The log has dropped its oldest records. A new VM finds a snapshot that was written while
/// other processes were appending, and folds the records after it. Its state must equal that of a
/// VM that has read the log from the beginning.
#[test]
fn a_cold_start_from_a_snapshot_equals_the_fold_of_the_whole_log() {
    fn same(before: Vec<script::Step>, after: Vec<script::Step>) -> bool {
        let mut log = scripted(&before);
        let first = log.entries.len();
        append_snapshot(&mut log, 50, 700);
        for (token, step) in (1_000..).zip(after) {
            let record = script::record(&log.state, step, token);
            log.record(record);
        }
        append_snapshot(&mut log, 51, 700);
        let state = restore(&log, first).finish().expect("a snapshot");
        assert_eq!(state, log.state);
        true
    }
    check(same, 37);
}

#[test]
fn a_log_that_begins_at_zero_needs_no_snapshot() {
    let log = scripted(&[(2, 0, 0), (12, 0, 0)]);
    assert_eq!(restore(&log, 0).finish(), Ok(log.state));
}

/// The snapshot's records have begun to expire: its first part is no longer in the log, or
/// records between the snapshot and the start of the log are missing. A new VM must report an
/// error, and not start with a partial state.
#[test]
fn a_cold_start_without_a_complete_snapshot_is_an_error() {
    let mut log = scripted(&[(12, 0, 0); 20]);
    let first = log.entries.len();
    append_snapshot(&mut log, 50, 300);

    let no_snapshot = restore(&log, first + 1).finish().expect_err("the first part has expired");
    assert_eq!(
        (no_snapshot.first, no_snapshot.next.0),
        (Offset(first as u64 + 1), log.state.next.0)
    );

    let mut gap = Log::with_team();
    let early = write(&gap.state, 1 << 20).expect("encodes");
    gap.record(common::script::record(&gap.state, (0, 0, 0), 1));
    let expired = gap.entries.len();
    gap.append(Batch { id: AppendId { sender: 50, seq: 1 }, records: early });
    assert!(restore(&gap, expired).finish().is_err());
}

/// One part of a snapshot is corrupt in the log. A cold start must skip that snapshot and use the
/// next one.
#[test]
fn a_corrupt_snapshot_is_skipped() {
    let mut log = scripted(&[(12, 0, 0); 20]);
    let first = log.entries.len();
    append_snapshot(&mut log, 50, 300);
    let corrupt = first + 1;
    append_snapshot(&mut log, 51, 300);
    let read = |offset: Offset| {
        let mut bytes = log::encode(&log.entries[offset.0 as usize]).expect("encodes");
        if offset.0 as usize == corrupt {
            bytes[12] ^= 1;
        }
        bytes
    };
    // Other processes, which fold the whole log, skip the same corrupt entry.
    let mut state = State::default();
    while state.next < log.state.next {
        let next = state.next;
        match log::decode(&read(next)) {
            Ok(batch) => drop(state.apply(next, &batch)),
            Err(_) => assert_eq!(state.skip(next), EntryStatus::Folded),
        }
    }
    let mut restore = Restore::new(Offset(first as u64));
    while restore.next() < log.state.next {
        let next = restore.next();
        restore.push(next, &read(next)).expect("this version");
    }
    assert_eq!(state.counts.corrupt, 1);
    let restored = restore.finish().expect("the second snapshot");
    // The second snapshot was written by a process that had read the entry before it became
    // corrupt. The counts and the mark of the first snapshot therefore differ, but the jobs are
    // the same.
    assert_eq!((restored.next, &restored.jobs), (state.next, &state.jobs));
}

/// An entry is corrupted in transit to a new VM, but intact in the log. The VM must not skip an
/// entry that all other processes fold: it reads the entry again.
#[test]
fn an_entry_corrupted_in_transit_is_read_again() {
    let log = scripted(&[(12, 0, 0); 5]);
    let mut restore = Restore::new(Offset(0));
    let mut reads = 0;
    while restore.next() < log.state.next {
        let next = restore.next();
        let mut bytes = log::encode(&log.entries[next.0 as usize]).expect("encodes");
        reads += 1;
        if reads % 2 == 0 {
            bytes[11] ^= 1;
        }
        restore.push(next, &bytes).expect("this version");
    }
    assert_eq!(restore.finish(), Ok(log.state));
}

#[test]
fn corruption_of_a_snapshot_is_an_error() {
    let log = scripted(&[(12, 0, 0), (0, 0, 0), (3, 0, 0)]);
    let bytes = encode(&log.state).expect("encodes");
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 4;
        assert!(matches!(decode(&corrupt), Err(WireError::Malformed(_))), "byte {at}");
        assert!(decode(&bytes[..at]).is_err());
    }
}

#[test]
fn arbitrary_bytes_with_a_valid_checksum_never_panic() {
    fn decodes_or_not(version: bool, body: Vec<u8>) -> bool {
        let version = u16::from(version);
        let covered = version.to_le_bytes().into_iter().chain(body.iter().copied());
        let checksum = covered.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        let mut bytes = version.to_le_bytes().to_vec();
        bytes.extend(checksum.to_le_bytes());
        bytes.extend(body);
        let _ = log::decode(&bytes);
        if let Ok(state) = decode(&bytes) {
            let _ = encode(&state);
        }
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(400, 41)).tests(5_000);
    check.quickcheck(decodes_or_not as fn(bool, Vec<u8>) -> bool);
}
