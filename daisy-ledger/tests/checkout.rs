//! Claims, checkouts and exits: a task has at most one owner.

mod common;

use daisy_ledger::{AppendId, Batch, Owner, Placement, Record, RecordOutcome, TaskState};
use daisy_model::{Command, DcId, Epoch, Exit, Incarnation, JobKind, JobSpec, VmId, WorkClass};
use quickcheck::{Gen, QuickCheck};

use crate::common::{DC, Log, OTHER_DC, batch_job, cancel, quota, script, service, size, task};

fn log_with_job(tasks: u32) -> Log {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", tasks)));
    log
}

fn owner(log: &Log, index: u32) -> Option<DcId> {
    match log.state.task(task(0, index))?.state {
        TaskState::CheckedOut(Owner { dc, .. }) => Some(dc),
        _ => None,
    }
}

fn state_of(log: &Log, index: u32) -> TaskState {
    log.state.task(task(0, index)).expect("a task").state
}

/// Two data centres request the same task at the same time. The first request in the log gets it;
/// the other gets only the rest, so that no task is started in both.
#[test]
fn a_task_requested_by_two_data_centres_is_granted_to_the_first_in_the_log() {
    let mut log = log_with_job(3);
    let (here, there) = (log.claim(DC, 1), log.claim(OTHER_DC, 2));

    let first = log.checkout(DC, here, &[task(0, 0), task(0, 1)]);
    let second = log.checkout(OTHER_DC, there, &[task(0, 1), task(0, 2)]);

    assert_eq!(first, [task(0, 0), task(0, 1)]);
    assert_eq!(second, [task(0, 2)]);
    assert_eq!(owner(&log, 1), Some(DC));
}

/// A holder is paused, another entry VM claims its data centre, and the old holder resumes and
/// appends its records. None may have an effect, or a task could have two owners.
#[test]
fn records_of_a_stale_epoch_have_no_effect() {
    let mut log = log_with_job(2);
    let old = log.claim(DC, 1);
    log.checkout(DC, old, &[task(0, 0)]);
    let new = log.claim(DC, 2);
    let before = log.state.jobs.clone();
    let placement = Placement { task: task(0, 0), incarnation: Incarnation(1), vm: VmId(9) };

    let outcomes = [
        log.record(Record::Checkout { dc: DC, epoch: old, tasks: vec![task(0, 1)] }),
        log.record(Record::Return { dc: DC, epoch: old, tasks: vec![task(0, 0)] }),
        log.record(Record::Placed { dc: DC, epoch: old, placements: vec![placement] }),
        log.end(DC, old, task(0, 0), 1, Exit::Done),
        log.record(Record::Release { dc: DC, epoch: old }),
    ];

    assert!(new > old);
    assert!(outcomes.iter().all(|it| *it == RecordOutcome::Stale));
    assert_eq!(log.state.jobs, before);
    assert_eq!(log.state.counts.stale, 5);
    assert!(log.state.is_epoch_in_force(DC, new));
}

/// Only a fault could put the claims of two entry VMs into one append. They would have the same
/// epoch, and the workers' fencing could not distinguish them.
#[test]
fn claims_in_one_append_do_not_share_an_epoch() {
    let mut log = Log::new();
    let claim = |holder| Record::Claim { dc: DC, holder: VmId(holder) };
    let id = AppendId { sender: 1, seq: 1 };

    let applied = log.append(Batch { id, records: vec![claim(1), claim(2)] });

    assert_eq!(applied.outcomes, [RecordOutcome::Claimed(Epoch(1)), RecordOutcome::Stale]);
    assert_eq!(log.state.holders.get(&DC).expect("held").holder, VmId(1));
}

/// A task is checkpointed and evicted. Its exit report is recorded, but the holder dies before it
/// acknowledges the report, and the next holder records it again after the task has been resumed.
/// The resumed task must not change, and its work is resumed only once.
#[test]
fn an_eviction_recorded_twice_does_not_resume_the_task_twice() {
    let mut log = log_with_job(1);
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0)]);
    log.end(DC, epoch, task(0, 0), 1, Exit::Checkpointed(77));
    let evicted = *log.state.task(task(0, 0)).expect("a task");
    let next = log.claim(DC, 2);
    log.checkout(DC, next, &[task(0, 0)]);

    let doubled = log.end(DC, next, task(0, 0), 1, Exit::Checkpointed(77));

    assert_eq!(evicted.state, TaskState::Pending);
    assert_eq!((evicted.checkpoint, evicted.next_incarnation()), (Some(77), Incarnation(2)));
    assert_eq!(doubled, RecordOutcome::TookEffect(0));
    assert_eq!(owner(&log, 0), Some(DC));
    log.end(DC, next, task(0, 0), 2, Exit::Done);
    assert_eq!(state_of(&log, 0), TaskState::Ended(Exit::Done));
}

#[test]
fn a_checkpoint_is_spent_by_the_incarnation_that_resumed_it() {
    let mut log = Log::with_team();
    log.change(Command::Create(JobSpec { restartable: true, ..batch_job("render", 1) }));
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0)]);
    log.end(DC, epoch, task(0, 0), 1, Exit::Checkpointed(77));
    log.checkout(DC, epoch, &[task(0, 0)]);

    log.end(DC, epoch, task(0, 0), 2, Exit::LeaseExpired);

    assert_eq!(state_of(&log, 0), TaskState::Pending);
    assert_eq!(log.state.task(task(0, 0)).expect("a task").checkpoint, None);
}

/// Whether a task runs again depends on how it ended and on what was declared. Work that was not
/// declared restartable never runs again after an exit that leaves its outcome unknown.
#[test]
fn whether_a_task_runs_again_depends_on_its_exit_and_declaration() {
    let batch = batch_job("render", 1);
    let restartable = JobSpec { restartable: true, ..batch_job("render", 1) };
    let service = service("render", 1);
    let pending = TaskState::Pending;
    let ended = TaskState::Ended;
    let cases = [
        (Exit::Done, ended(Exit::Done), ended(Exit::Done), pending),
        (Exit::Failed, ended(Exit::Failed), pending, pending),
        (Exit::Checkpointed(1), pending, pending, pending),
        (Exit::Stopped, ended(Exit::Stopped), pending, pending),
        (Exit::LeaseExpired, ended(Exit::LeaseExpired), pending, pending),
        (Exit::Unknown, ended(Exit::Unknown), pending, pending),
    ];
    for (exit, batch_state, restartable_state, service_state) in cases {
        let specs = [&batch, &restartable, &service];
        for (spec, expected) in
            specs.into_iter().zip([batch_state, restartable_state, service_state])
        {
            let mut log = Log::with_team();
            log.change(Command::Create(spec.clone()));
            let epoch = log.claim(DC, 1);
            log.checkout(DC, epoch, &[task(0, 0)]);
            log.end(DC, epoch, task(0, 0), 1, exit);
            assert_eq!(state_of(&log, 0), expected, "{exit:?} of {spec:?}");
        }
    }
}

#[test]
fn a_restartable_task_is_not_run_again_after_three_failures() {
    let mut log = Log::with_team();
    log.change(Command::Create(JobSpec { restartable: true, ..batch_job("render", 1) }));
    let epoch = log.claim(DC, 1);
    for incarnation in 1..=3 {
        log.checkout(DC, epoch, &[task(0, 0)]);
        log.end(DC, epoch, task(0, 0), incarnation, Exit::Failed);
    }
    assert_eq!(state_of(&log, 0), TaskState::Ended(Exit::Failed));
}

/// A holder returns a task that it had started, so that another data centre could start it a
/// second time. The ledger has recorded the placement and leaves the task checked out.
#[test]
fn a_started_task_cannot_be_returned_to_the_queue() {
    let mut log = log_with_job(2);
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0), task(0, 1)]);
    let placement = Placement { task: task(0, 0), incarnation: Incarnation(1), vm: VmId(9) };
    log.record(Record::Placed { dc: DC, epoch, placements: vec![placement] });

    let tasks = vec![task(0, 0), task(0, 1)];
    let outcome = log.record(Record::Return { dc: DC, epoch, tasks });

    assert_eq!(outcome, RecordOutcome::TookEffect(1));
    assert_eq!(owner(&log, 0), Some(DC));
    assert_eq!(state_of(&log, 1), TaskState::Pending);
}

/// A job is cancelled while some of its tasks are checked out. The pending ones end at once; those
/// checked out end with their exit, even if that is a checkpoint, and do not run again.
#[test]
fn tasks_of_a_cancelled_job_do_not_run_again() {
    let mut log = log_with_job(3);
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0), task(0, 1)]);

    log.change(cancel("render"));
    let granted = log.checkout(DC, epoch, &[task(0, 2)]);
    log.end(DC, epoch, task(0, 0), 1, Exit::Checkpointed(5));
    log.record(Record::Return { dc: DC, epoch, tasks: vec![task(0, 1)] });

    assert!(granted.is_empty());
    assert_eq!(state_of(&log, 0), TaskState::Ended(Exit::Checkpointed(5)));
    assert_eq!(state_of(&log, 1), TaskState::Ended(Exit::Stopped));
    assert_eq!(state_of(&log, 2), TaskState::Ended(Exit::Stopped));
    assert!(log.state.jobs.pending().is_empty());
}

/// Two data centres check out tasks of one team at the same time. Together they must stay within
/// its quota, which neither can ensure alone.
#[test]
fn quotas_are_enforced_across_data_centres() {
    let mut log = log_with_job(4);
    log.change(quota("bakery", size(2_000, 100_000)));
    let (here, there) = (log.claim(DC, 1), log.claim(OTHER_DC, 2));

    let first = log.checkout(DC, here, &[task(0, 0)]);
    let second = log.checkout(OTHER_DC, there, &[task(0, 1), task(0, 2)]);
    log.end(DC, here, task(0, 0), 1, Exit::Done);
    let third = log.checkout(OTHER_DC, there, &[task(0, 2)]);

    assert_eq!((first.len(), second.len(), third.len()), (1, 1, 1));
}

/// A task of a service loses its VM and waits for its next start. Batch work of the same team
/// requests its checkout first. The service must still get its share of the quota.
#[test]
fn batch_work_cannot_use_the_quota_that_services_need() {
    let mut log = Log::with_team();
    log.change(quota("bakery", size(4_000, 100_000)));
    log.change(Command::Create(service("shop", 2)));
    log.change(Command::Create(batch_job("render", 4)));
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0), task(0, 1)]);
    log.end(DC, epoch, task(0, 0), 1, Exit::LeaseExpired);

    let all = [0, 1, 2, 3].map(|index| task(1, index));
    let batch = log.checkout(DC, epoch, &all);
    let shop = log.checkout(DC, epoch, &[task(0, 0)]);

    assert_eq!(batch, [task(1, 0), task(1, 1)]);
    assert_eq!(shop, [task(0, 0)]);
}

#[test]
fn paused_work_is_not_checked_out() {
    let mut log = log_with_job(1);
    let epoch = log.claim(DC, 1);
    log.change(Command::Pause(WorkClass::Batch));
    let paused = log.checkout(DC, epoch, &[task(0, 0)]);
    log.change(Command::Resume(WorkClass::Batch));
    let resumed = log.checkout(DC, epoch, &[task(0, 0)]);
    assert_eq!((paused.len(), resumed.len()), (0, 1));
    assert!(!log.state.is_paused(JobKind::Batch, daisy_model::Priority::Low));
}

/// A request with one key is sent through two entry VMs, which both announce it. Only the first
/// announcement in the log may run it, and the second learns which one that is. An announcement
/// that is sent again after a lost answer has the same append id and is not folded again.
#[test]
fn only_the_first_intent_of_a_key_may_run() {
    let mut log = Log::new();
    let intent = |entry| Record::Intent { key: 7, entry: VmId(entry) };

    let won = log.record(intent(1));
    let lost = log.record(intent(2));

    assert_eq!(won, RecordOutcome::Announced);
    let RecordOutcome::AlreadyAnnounced(first) = lost else { panic!("{lost:?}") };
    assert_eq!((first.entry, first.offset.0, first.position), (VmId(1), 0, 0));
}

#[test]
fn the_number_of_intents_is_limited() {
    let mut log = Log::new();
    let min_remembered = daisy_ledger::Intents::MIN_REMEMBERED as u128;
    for key in 0..min_remembered + 5_000 {
        log.record(Record::Intent { key: key.wrapping_mul(0x9e37_79b9_7f4a_7c15), entry: VmId(1) });
    }
    let intents = &log.state.intents;
    assert!(
        intents.len() >= min_remembered as usize && intents.len() < min_remembered as usize + 2_048
    );
    assert!(intents.get(0).is_none());
}

/// Claims, checkouts, returns, evictions, exits and cancellations of two data centres in any order,
/// with stale epochs and repeated reports. At every step a task has at most one owner, changes its
/// owner only after it was ended or returned, a checkpoint is resumed by one incarnation only, and
/// the quotas in use and the queue match the tasks.
#[test]
fn a_task_has_one_owner_under_any_order_of_events() {
    fn one_owner_at_every_step(steps: Vec<script::Step>) -> bool {
        let mut log = Log::with_team();
        let mut resumed: Vec<(u64, Incarnation)> = Vec::new();
        for (token, step) in (1..).zip(steps) {
            let before = log.state.jobs.clone();
            let record = script::record(&log.state, step, token);
            log.record(record);
            for (id, job) in log.state.jobs.iter() {
                let unlike = before.get(id).is_none_or(|it| {
                    *job != daisy_ledger::Job { modified_before: job.modified_before, ..it.clone() }
                });
                assert_eq!(
                    job.modified_before == log.state.next,
                    unlike,
                    "modified_before must be updated exactly when the job changes"
                );
                for (index, task) in job.tasks.iter().enumerate() {
                    let id = common::task(id.0, index as u32);
                    check_task(before.task(id), task, &mut resumed);
                    let queued = log.state.jobs.pending().binary_search(&id).is_ok();
                    assert_eq!(queued, task.state == TaskState::Pending);
                }
                let open = job.tasks.iter().filter(|it| !matches!(it.state, TaskState::Ended(_)));
                assert_eq!(open.count(), job.open as usize);
            }
            let team = log.state.teams.iter().next().expect("a team").1;
            assert_eq!(team.used, script::out_size(&log.state, |_| true));
            let services = |job: &daisy_ledger::Job| job.spec.kind == JobKind::Service;
            assert_eq!(team.used_by_services, script::out_size(&log.state, services));
        }
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(300, 17)).tests(300);
    check.quickcheck(one_owner_at_every_step as fn(Vec<script::Step>) -> bool);
}

fn check_task(
    before: Option<&daisy_ledger::Task>,
    after: &daisy_ledger::Task,
    resumed: &mut Vec<(u64, Incarnation)>,
) {
    let Some(before) = before else { return };
    if let (TaskState::CheckedOut(was), TaskState::CheckedOut(is)) = (before.state, after.state) {
        assert_eq!(was, is, "the owner changed without a return or an exit");
    }
    if let (TaskState::Ended(_), TaskState::CheckedOut(_)) = (before.state, after.state) {
        panic!("an ended task was checked out");
    }
    assert!(after.ended >= before.ended, "the number of the last ended incarnation decreased");
    if let (TaskState::CheckedOut(_), Some(token)) = (after.state, after.checkpoint) {
        let by = after.next_incarnation();
        match resumed.iter().find(|(it, _)| *it == token) {
            Some((_, first)) => assert_eq!(*first, by, "a checkpoint was resumed twice"),
            None => resumed.push((token, by)),
        }
    }
}
