//! The fold: order of entries, repeated appends, damaged entries.

mod common;

use daisy_ledger::{AppendId, Batch, EntryStatus, Placement, Record, State};
use daisy_model::{
    Command, DcId, Epoch, Exit, ExitReport, Incarnation, JobKind, JobSpec, Offset, PolicyChange,
    Resources, VmId,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::common::{Log, batch_job, change, name, quota, size, task};

fn batch(seq: u64, command: Command) -> Batch {
    let records = vec![Record::Change(change("ana", command))];
    Batch { id: AppendId { sender: 7, seq }, records }
}

/// An operator creates a job. The platform accepts the append, but its answer is lost, so the entry
/// VM sends it again and it is in the log twice. This must neither be refused as a duplicate name
/// nor create a second job.
#[test]
fn an_append_repeated_after_a_lost_answer_is_applied_once() {
    let mut log = Log::with_team();
    let create = batch(1, Command::Create(batch_job("render", 3)));

    let first = log.append(create.clone());
    let second = log.append(create);

    assert_eq!(first.status, EntryStatus::Folded);
    assert_eq!(second.status, EntryStatus::Repeated);
    assert_eq!(log.state.jobs.len(), 1);
    assert_eq!(log.state.counts.refused, 0);
    assert_eq!(log.state.counts.repeated, 1);
}

/// A reader gets overlapping pages of the log from a peer and from the platform, and one page in
/// between is missing. It must neither fold an entry twice nor skip the missing page.
#[test]
fn entries_out_of_order_change_nothing() {
    let mut log = Log::with_team();
    let before = log.state.clone();
    let entry = batch(1, quota("shop", size(1, 1)));

    let past = log.state.apply(Offset(0), &entry);
    let gap = log.state.apply(Offset(5), &entry);

    assert_eq!(past.status, EntryStatus::AlreadyFolded);
    assert_eq!(gap.status, EntryStatus::Gap);
    assert_eq!(log.state, before);
}

/// One log entry is damaged. Every process skips and counts it in the same way, and later entries
/// still take effect.
#[test]
fn a_damaged_entry_is_skipped_and_counted() {
    let mut state = State::default();

    let skipped = state.skip(Offset(0));
    let folded = state.apply(Offset(1), &batch(1, quota("shop", size(1, 1))));

    assert_eq!(skipped, EntryStatus::Folded);
    assert_eq!(folded.status, EntryStatus::Folded);
    assert_eq!(state.counts.corrupt, 1);
    assert_eq!(state.teams.len(), 1);
}

#[derive(Debug, Clone)]
struct ArbitraryRecord(Record);

/// Returns a small, a huge or any number, so that some records match the state and some overflow.
fn number(g: &mut Gen) -> u32 {
    let any = u32::arbitrary(g);
    match any % 4 {
        0 => u32::MAX - any % 3,
        1 => any,
        _ => any % 5,
    }
}

fn arbitrary_size(g: &mut Gen) -> Resources {
    Resources { cpu_milli: number(g), memory_mib: number(g), accelerators: number(g) }
}

fn arbitrary_command(g: &mut Gen) -> Command {
    let (job, kind) = (name("wild"), JobKind::Batch);
    // Few tasks, so that the test is fast, or far too many.
    let tasks = if bool::arbitrary(g) { number(g) % 50 } else { u32::MAX };
    match u8::arbitrary(g) % 4 {
        0 => quota("bakery", arbitrary_size(g)),
        1 => Command::Create(JobSpec { size: arbitrary_size(g), ..batch_job("wild", tasks) }),
        2 => {
            let size = Some(arbitrary_size(g));
            Command::Change { kind, job, tasks: Some(tasks), priority: None, size }
        }
        _ => Command::Publish(PolicyChange { tail: Some(number(g)), ..PolicyChange::default() }),
    }
}

impl Arbitrary for ArbitraryRecord {
    fn arbitrary(g: &mut Gen) -> ArbitraryRecord {
        let dc = DcId(number(g) as u16);
        let epoch = Epoch(u64::from(number(g)));
        let id = task(number(g), number(g));
        let incarnation = Incarnation(number(g));
        let vm = VmId(number(g));
        ArbitraryRecord(match u8::arbitrary(g) % 9 {
            0 => Record::Claim { dc, holder: vm },
            1 => Record::Release { dc, epoch },
            2 => Record::Checkout { dc, epoch, tasks: vec![id; 3] },
            3 => Record::Return { dc, epoch, tasks: vec![id; 2] },
            4 => {
                let placement = Placement { task: id, incarnation, vm };
                Record::Placed { dc, epoch, placements: vec![placement; 2] }
            }
            5 => {
                let ended = ExitReport { task: id, incarnation, exit: Exit::Stopped };
                Record::Ended { dc, epoch, exits: vec![ended; 2] }
            }
            6 => Record::Snapshot {
                through: Offset(u64::MAX),
                part: number(g),
                parts: number(g),
                bytes: Vec::new(),
            },
            _ => Record::Change(change("ana", arbitrary_command(g))),
        })
    }
}

/// Entries that decode can contain any numbers. The fold must handle all of them, and a second
/// fold must give the same state.
#[test]
fn records_with_arbitrary_numbers_never_stop_the_fold() {
    fn folds(records: Vec<ArbitraryRecord>) -> bool {
        let mut log = Log::with_team();
        for ArbitraryRecord(record) in records {
            log.record(record);
        }
        let mut again = State::default();
        for (offset, batch) in log.entries.iter().enumerate() {
            again.apply(Offset(offset as u64), batch);
        }
        again == log.state
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 53)).tests(500);
    check.quickcheck(folds as fn(Vec<ArbitraryRecord>) -> bool);
}
