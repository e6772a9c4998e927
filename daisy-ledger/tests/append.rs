//! The queue of appends: order, lost answers, limits, budget.

mod common;

use std::time::Duration;

use daisy_ledger::{
    Batch, Record, State,
    append::{Action, Event, Options, Queue},
};
use daisy_model::{Command, DcId, Instant, Offset, VmId};
use quickcheck::{Gen, QuickCheck};

use crate::common::{Log, batch_job, change, script};

const INTERVAL: Duration = Duration::from_millis(100);

fn queue() -> Queue {
    Queue::new(Options { max_records: 4, ..Options::new(9, INTERVAL) })
}

fn record(holder: u32) -> Record {
    Record::Claim { dc: DcId(0), holder: VmId(holder) }
}

fn step(queue: &mut Queue, millis: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    queue.step(Instant::from_millis(millis), event, &mut actions);
    actions
}

fn sent(actions: &[Action]) -> Vec<&Batch> {
    let batches = actions.iter().filter_map(|action| match action {
        Action::Send(batch) => Some(batch),
        _ => None,
    });
    batches.collect()
}

#[test]
fn records_pushed_while_an_append_is_outstanding_share_the_next_one() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    for holder in 1..=5 {
        queue.push(record(holder)).expect("the queue is not full");
    }
    let id = sent(&first)[0].id;
    let early = step(&mut queue, 10, Event::Answered { id, offset: Offset(0) });
    let second = step(&mut queue, 100, Event::Tick);

    assert_eq!(sent(&first)[0].records, [record(0)]);
    assert!(early.is_empty(), "an append was sent before the interval of the budget had passed");
    assert_eq!(sent(&second)[0].records, [record(1), record(2), record(3), record(4)]);
    assert_eq!(queue.backlog(), 5);
}

/// The platform accepts an append and its answer is lost, twice. The queue sends the same records
/// under the same id, waiting longer each time, until the append is folded. Records pushed later
/// are sent after it.
#[test]
fn an_append_with_a_lost_answer_is_repeated_until_it_is_folded() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    queue.push(record(1)).expect("the queue is not full");
    let expired = step(&mut queue, 2_000, Event::Tick);
    let again = step(&mut queue, 2_100, Event::Tick);
    let id = sent(&first)[0].id;
    step(&mut queue, 2_200, Event::Unanswered { id });
    let waits_longer = step(&mut queue, 2_300, Event::Tick);
    let folded = step(&mut queue, 2_310, Event::Folded { id });

    assert!(expired.is_empty());
    assert_eq!(sent(&again), sent(&first));
    assert!(waits_longer.is_empty());
    assert_eq!(folded[0], Action::Done(0..1));
    assert_eq!(sent(&folded)[0].records, [record(1)]);
}

/// The loss of an answer is detected after the append was folded, and no other record waits.
#[test]
fn an_answer_lost_after_the_append_was_folded_leaves_the_log_reachable() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    let id = sent(&first)[0].id;
    step(&mut queue, 10, Event::Folded { id });
    step(&mut queue, 11, Event::Unanswered { id });

    assert!(queue.is_reachable(), "no later append could make the log reachable again");
    assert_eq!(queue.next_step_at(), None);
}

/// An answer is lost before the append is folded. Until it is folded, the outcome is unknown.
#[test]
fn the_log_is_unreachable_from_a_lost_answer_until_the_append_is_folded() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    let id = sent(&first)[0].id;
    let before = queue.is_reachable();
    step(&mut queue, 10, Event::Unanswered { id });
    let open = queue.is_reachable();
    let again = step(&mut queue, 110, Event::Tick);
    let open_still = queue.is_reachable();
    step(&mut queue, 120, Event::Folded { id });

    assert_eq!(sent(&again), sent(&first));
    assert_eq!((before, open, open_still), (true, false, false));
    assert!(queue.is_reachable());
}

#[test]
fn a_busy_log_is_reachable() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    let id = sent(&first)[0].id;
    let early = step(&mut queue, 10, Event::Busy { id });
    let again = step(&mut queue, 110, Event::Tick);

    assert!(queue.is_reachable());
    assert!(early.is_empty());
    assert_eq!(sent(&again), sent(&first));
}

#[test]
fn a_full_queue_returns_the_record() {
    let mut queue = Queue::new(Options { capacity: 2, ..Options::new(9, INTERVAL) });
    queue.push(record(0)).expect("the queue is not full");
    queue.push(record(1)).expect("the queue is not full");
    let full = queue.push(record(2)).expect_err("full");
    assert_eq!((*full.record, full.waiting), (record(2), 2));
}

#[test]
fn a_rejected_append_is_dropped_with_its_tickets() {
    let mut queue = queue();
    queue.push(record(0)).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    queue.push(record(1)).expect("the queue is not full");
    let id = sent(&first)[0].id;
    let actions = step(&mut queue, 200, Event::Rejected { id });
    assert_eq!(actions[0], Action::Dropped(0..1));
    assert_eq!(sent(&actions)[0].records, [record(1)]);
}

#[test]
fn a_record_above_the_size_limit_has_an_append_of_its_own() {
    let mut queue = Queue::new(Options { max_bytes: 1_000, ..Options::new(9, INTERVAL) });
    queue
        .push(Record::Change(change("ana", Command::Create(batch_job("a", 1)))))
        .expect("the queue is not full");
    let bytes = vec![0; 5_000];
    let part = Record::Snapshot { through: Offset(0), part: 0, parts: 1, bytes };
    queue.push(part.clone()).expect("the queue is not full");
    let first = step(&mut queue, 0, Event::Tick);
    let id = sent(&first)[0].id;
    let second = step(&mut queue, 200, Event::Answered { id, offset: Offset(0) });
    assert_eq!(sent(&first)[0].records.len(), 1);
    assert_eq!(sent(&second)[0].records, [part]);
}

/// Returns the log of a platform that loses appends, loses answers after the append took effect,
/// or applies an append late. Each byte of `faults` selects the fault of one append.
fn log_entries(records: &[Record], faults: &[u8]) -> Vec<Batch> {
    let mut log_entries = Vec::new();
    let mut queue = queue();
    for record in records {
        queue.push(record.clone()).expect("the queue is not full");
    }
    let mut faults = faults.iter().copied();
    let mut delayed_batch: Option<Batch> = None;
    let mut millis = 0;
    while queue.backlog() > 0 {
        millis += 50;
        let mut actions = step(&mut queue, millis, Event::Tick);
        while let Some(action) = actions.pop() {
            let Action::Send(batch) = action else { continue };
            let id = batch.id;
            let fault = faults.next().map(|it| it % 5);
            if fault == Some(2) {
                delayed_batch = Some(batch.clone());
            }
            if !matches!(fault, Some(0 | 2)) {
                log_entries.push(batch);
            }
            let event = match fault {
                Some(0..=2) => Event::Unanswered { id },
                Some(3) => Event::Folded { id },
                _ => {
                    log_entries.extend(delayed_batch.take());
                    Event::Answered { id, offset: Offset(0) }
                }
            };
            actions = step(&mut queue, millis, event);
        }
    }
    log_entries
}

/// Returns the content of a state without the offsets of its records.
fn content_without_offsets(state: &State) -> impl PartialEq + std::fmt::Debug {
    let jobs = state.jobs.iter().map(|(id, job)| (id, job.spec.clone(), job.tasks.clone()));
    let jobs: Vec<_> = jobs.collect();
    let teams: Vec<_> = state.teams.iter().map(|(_, team)| team.clone()).collect();
    let audit = state.audit.iter().map(|it| it.change.command.clone());
    let audit: Vec<_> = audit.collect();
    (jobs, teams, state.drained.clone(), state.paused.clone(), audit)
}

/// Whatever the platform loses, repeats or applies late, and however the records are batched, the
/// log folds to the same state as the single records in their order.
#[test]
fn faults_and_batching_do_not_change_the_folded_state() {
    fn same(steps: Vec<script::Step>, faults: Vec<u8>) -> bool {
        // The holder's claims come first, so that epochs do not depend on the batches.
        let mut single_records_log = Log::with_team();
        let claims = [single_records_log.claim(DcId(0), 1), single_records_log.claim(DcId(1), 2)];
        let mut records = Vec::new();
        for (token, (kind, a, b)) in (1..).zip(steps) {
            let step = (if kind % 16 < 2 { 12 } else { kind }, a, b);
            let record = script::record(&single_records_log.state, step, token);
            single_records_log.record(record.clone());
            records.push(record);
        }
        let mut again = Log::with_team();
        assert_eq!(claims, [again.claim(DcId(0), 1), again.claim(DcId(1), 2)]);
        for batch in log_entries(&records, &faults) {
            again.append(batch);
        }
        assert_eq!(
            content_without_offsets(&again.state),
            content_without_offsets(&single_records_log.state)
        );
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(120, 23)).tests(200);
    check.quickcheck(same as fn(Vec<script::Step>, Vec<u8>) -> bool);
}
