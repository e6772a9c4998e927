//! Operators' changes: acceptance, refusal, conflicts and the audit trail.

mod common;

use daisy_ledger::{ChangeOutcome, RecordOutcome, Refusal, State, TaskState};
use daisy_model::{
    Command, Exit, Generation, JobKind, JobSpec, PolicyChange, Priority, Resources, WorkClass,
};

use crate::common::{DC, Log, batch_job, cancel, name, quota, service, size, task};

fn refusal(outcome: RecordOutcome) -> Refusal {
    match outcome {
        RecordOutcome::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn change_tasks(job: &str, tasks: u32) -> Command {
    let (kind, job) = (JobKind::Batch, name(job));
    Command::Change { kind, job, tasks: Some(tasks), priority: None, size: None }
}

/// Operators send changes that cannot be applied. Each gets the reason, the declared state stays
/// unchanged, and the audit trail records the operator, the change and the reason.
#[test]
fn refused_changes_leave_the_state_as_it_was() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 2)));
    let huge = size(u32::MAX, u32::MAX);
    let spec = |tasks, size| Command::Create(JobSpec { size, ..batch_job("big", tasks) });
    let cases = [
        (Command::Create(batch_job("render", 1)), "job render exists already, as number 0"),
        (
            Command::Create(JobSpec { team: name("nobody"), ..batch_job("x", 1) }),
            "team nobody is unknown; create it with a quota first",
        ),
        (spec(0, size(1, 1)), "a job has 1 to 100000 tasks, not 0"),
        (spec(1, size(0, 1)), "a task takes at least 1m of processor and 1Mi of memory"),
        (
            spec(2, huge),
            "2 tasks of cpu 4294967295m memory 4294967295Mi accelerators 0 are more than can be \
             counted",
        ),
        (
            spec(1, size(200_000, 1)),
            "needs cpu 200000m memory 1Mi accelerators 0 at one time; the quota of team bakery is \
             cpu 100000m memory 100000Mi accelerators 0",
        ),
        (Command::Create(service("wide", 101)), "needs cpu 101000m"),
        (
            Command::Change {
                kind: JobKind::Batch,
                job: name("render"),
                tasks: None,
                priority: None,
                size: Some(size(1, 0)),
            },
            "a task takes at least 1m of processor and 1Mi of memory",
        ),
        (cancel("absent"), "job absent is unknown"),
        (
            Command::Cancel { kind: JobKind::Service, job: name("render") },
            "job render is a batch job",
        ),
        (Command::Undrain { vm: name("vm-1") }, "drain of vm vm-1 is not in force"),
        (Command::Resume(WorkClass::Batch), "pause of batch is not in force"),
        (
            Command::Publish(PolicyChange { throttle_above: Some(0), ..PolicyChange::default() }),
            "policy throttle-above: 1 to 1000 thousandths",
        ),
    ];
    for (command, cause) in cases {
        let before = log.state.clone();
        let refusal = refusal(log.change(command)).to_string();

        assert!(refusal.starts_with(cause), "{refusal}");
        let last = log.state.audit.last().expect("audited");
        assert_eq!(last.outcome, ChangeOutcome::Refused(refusal.into()));
        let State { next, audit, senders, counts, .. } = log.state.clone();
        let after = State { next, audit, senders, counts, ..before };
        assert_eq!(log.state, after);
    }
}

/// Two operators have seen generation 2. Ana drains a VM; Rui, who has not seen that, sends
/// an undrain of the same VM. Ana's statement is first in the log, so Rui's is refused, and the
/// refusal names Ana's. Rui's change of another subject is accepted.
#[test]
fn a_conflicting_change_is_refused_and_names_the_earlier_one() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 2)));
    let seen = log.state.generation;
    let drain = Command::Drain { vm: name("vm-1") };

    let won = log.change_if("ana", drain.clone(), seen);
    let lost = log.change_if("rui", Command::Undrain { vm: name("vm-1") }, seen);
    let other = log.change_if("rui", change_tasks("render", 3), seen);

    assert_eq!(won, RecordOutcome::Accepted(Generation(3)));
    let expected = Refusal::Conflict {
        subject: "vm vm-1".into(),
        seen,
        who: name("ana"),
        text: format!("{drain:?}").into(),
        generation: Generation(3),
    };
    assert_eq!(lost, RecordOutcome::Refused(expected));
    assert_eq!(other, RecordOutcome::Accepted(Generation(5)));
}

#[test]
fn a_condition_on_a_future_generation_is_refused() {
    let mut log = Log::with_team();
    let outcome = log.change_if("ana", Command::Pause(WorkClass::Batch), Generation(99));
    let expected = Refusal::GenerationNotReached { seen: Generation(99), newest: Generation(1) };
    assert_eq!(outcome, RecordOutcome::Refused(expected));
}

/// The audit trail is full and its oldest entries are removed. A condition on an older generation
/// must not pass as if nothing had changed since.
#[test]
fn a_condition_older_than_the_bounded_audit_trail_is_refused() {
    let mut log = Log::with_team();
    for _ in 0..State::MAX_AUDIT_ENTRIES {
        log.change(Command::Pause(WorkClass::Batch));
    }

    let outcome = log.change_if("ana", Command::Pause(WorkClass::Batch), Generation(1));

    assert!(log.state.audit.len() <= State::MAX_AUDIT_ENTRIES);
    let oldest = Generation(1_000);
    assert_eq!(
        outcome,
        RecordOutcome::Refused(Refusal::GenerationTooOld { seen: Generation(1), oldest })
    );
}

/// Thousands of jobs are created and cancelled after a VM was drained. The audit trail still shows
/// who drained it, and a conflicting statement about it is still detected.
#[test]
fn changes_of_jobs_do_not_displace_other_changes_from_the_audit_trail() {
    let mut log = Log::with_team();
    log.change(Command::Drain { vm: name("vm-1") });
    for _ in 0..State::MAX_AUDIT_ENTRIES {
        log.change(Command::Create(batch_job("render", 1)));
        log.change(cancel("render"));
    }

    let undrain = Command::Undrain { vm: name("vm-1") };
    let outcome = log.change_if("rui", undrain, Generation(1));
    let create = Command::Create(batch_job("other", 1));
    let job = log.change_if("rui", create, Generation(1));

    assert!(matches!(log.state.audit[1].change.command, Command::Drain { .. }));
    assert!(matches!(outcome, RecordOutcome::Refused(Refusal::Conflict { .. })));
    assert!(matches!(job, RecordOutcome::Refused(Refusal::GenerationTooOld { .. })));
}

#[test]
fn publishing_a_policy_leaves_unnamed_parts_unchanged() {
    let mut log = Log::new();
    log.change(Command::Publish(PolicyChange { tail: Some(700), ..PolicyChange::default() }));
    log.change(Command::Publish(PolicyChange { evictions: Some(9), ..PolicyChange::default() }));

    let (generation, policy) = &log.state.policy;

    assert_eq!(*generation, Generation(2));
    assert_eq!((policy.objective.tail, policy.objective.evictions), (700, 9));
}

#[test]
fn changing_the_number_of_tasks_ends_pending_tasks_and_adds_new_ones() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 3)));
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 2)]);

    log.change(change_tasks("render", 1));
    let fewer: Vec<TaskState> = states(&log);
    log.end(DC, epoch, task(0, 2), 1, Exit::Checkpointed(5));
    log.change(change_tasks("render", 4));

    assert!(matches!(
        fewer[..],
        [TaskState::Pending, TaskState::Ended(_), TaskState::CheckedOut(_)]
    ));
    let ended = TaskState::Ended(Exit::Checkpointed(5));
    assert_eq!(states(&log), [TaskState::Pending, TaskState::Pending, ended, TaskState::Pending]);
    assert_eq!(log.state.jobs.pending(), [task(0, 0), task(0, 1), task(0, 3)]);
}

fn states(log: &Log) -> Vec<TaskState> {
    let job = log.state.jobs.get(daisy_model::JobId(0)).expect("a job");
    job.tasks.iter().map(|task| task.state).collect()
}

#[test]
fn a_name_can_be_reused_once_its_job_has_ended() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 1)));
    log.change(cancel("render"));

    let again = log.change(Command::Create(batch_job("render", 1)));

    assert!(matches!(again, RecordOutcome::Accepted(_)));
    let (id, _) = log.state.jobs.by_name(&name("render")).expect("a job");
    assert_eq!(id, daisy_model::JobId(1));
}

#[test]
fn a_new_size_applies_to_later_checkouts_only() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 2)));
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0)]);
    log.change(Command::Change {
        kind: JobKind::Batch,
        job: name("render"),
        tasks: None,
        priority: Some(Priority::Urgent),
        size: Some(size(3_000, 1_024)),
    });
    log.checkout(DC, epoch, &[task(0, 1)]);

    let sizes = [0, 1].map(|index| log.state.task(task(0, index)).expect("a task").size.cpu_milli);

    assert_eq!(sizes, [1_000, 3_000]);
    let used = log.state.team(&name("bakery")).expect("a team").1.used;
    assert_eq!(used, Resources { cpu_milli: 4_000, memory_mib: 2_048, accelerators: 0 });
}

/// Thousands of jobs a day are created and finish for months. The ledger must not grow without
/// limit, and a job that still waits must be kept.
#[test]
fn the_oldest_finished_jobs_are_removed() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("first", 1)));
    for _ in 0..daisy_ledger::Jobs::MAX_FINISHED_JOBS + 10 {
        log.change(Command::Create(batch_job("render", 1)));
        log.change(cancel("render"));
    }

    let jobs = &log.state.jobs;

    assert_eq!(jobs.len(), daisy_ledger::Jobs::MAX_FINISHED_JOBS + 1);
    assert!(jobs.by_name(&name("first")).is_some());
    assert!(jobs.is_compacted(task(5, 0)));
    assert!(!jobs.is_compacted(task(0, 0)));
}

#[test]
fn a_quota_below_current_use_prevents_new_checkouts_only() {
    let mut log = Log::with_team();
    log.change(Command::Create(batch_job("render", 3)));
    let epoch = log.claim(DC, 1);
    log.checkout(DC, epoch, &[task(0, 0), task(0, 1)]);
    log.change(quota("bakery", size(1_000, 1_024)));

    let granted = log.checkout(DC, epoch, &[task(0, 2)]);

    assert!(granted.is_empty());
    assert!(matches!(states(&log)[0], TaskState::CheckedOut(_)));
}
