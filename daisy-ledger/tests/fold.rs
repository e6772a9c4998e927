//! The fold: order, repetition, damage.

mod common;

use daisy_ledger::{AppendId, Batch, Record, State, Status};
use daisy_model::{Command, Offset};

use crate::common::{Log, batch_job, change, quota, size};

fn batch(seq: u64, command: Command) -> Batch {
    let records = vec![Record::Change(change("ana", command))];
    Batch { id: AppendId { sender: 7, seq }, records }
}

/// An operator creates a job; the platform takes the append, but its answer is lost. The entry
/// VM sends it again, and the log holds it twice. The operator must not see a refusal for a
/// duplicate name, nor a second job.
#[test]
fn an_append_sent_again_after_a_lost_answer_counts_once() {
    let mut log = Log::with_team();
    let create = batch(1, Command::Create(batch_job("render", 3)));

    let first = log.append(create.clone());
    let second = log.append(create);

    assert_eq!(first.status, Status::Folded);
    assert_eq!(second.status, Status::Repeated);
    assert_eq!(log.state.jobs.len(), 1);
    assert_eq!(log.state.counts.refused, 0);
    assert_eq!(log.state.counts.repeated, 1);
}

/// A reader gets pages of the log from a peer and from the platform, which overlap, and one
/// page is missing in between. It must neither fold twice nor fold past the missing page.
#[test]
fn entries_out_of_turn_change_nothing() {
    let mut log = Log::with_team();
    let before = log.state.clone();
    let entry = batch(1, quota("shop", size(1, 1)));

    let past = log.state.apply(Offset(0), &entry);
    let gap = log.state.apply(Offset(5), &entry);

    assert_eq!(past.status, Status::Past);
    assert_eq!(gap.status, Status::Gap);
    assert_eq!(log.state, before);
}

/// One log entry is damaged. Every process passes over it alike and counts it, and later
/// entries still take effect.
#[test]
fn a_damaged_entry_is_passed_over_and_counted() {
    let mut state = State::default();

    let skipped = state.skip(Offset(0));
    let folded = state.apply(Offset(1), &batch(1, quota("shop", size(1, 1))));

    assert_eq!(skipped, Status::Folded);
    assert_eq!(folded.status, Status::Folded);
    assert_eq!(state.counts.corrupt, 1);
    assert_eq!(state.teams.len(), 1);
}
