//! Jobs that have ended: what is kept of them, and what a successor does without the rest.

mod util;

use daisy_workflow::{FoldEffect, JobId, JobState, Ledger, OpenStart, Phase, Progress, Record};
use util::{FakeWorker, RECORD_RETENTION, Simulation, job, step, task};

/// When the jobs of these tests were accepted, in milliseconds since 1970.
const ACCEPTED_MS: u64 = 5_000;

fn submitted(id: u64) -> Record {
    let mut spec = job(vec![step(2)]);
    spec.accepted_ms = ACCEPTED_MS;
    Record::Submitted(JobId(id), spec)
}

fn ended(id: u64, phase: Phase) -> Record {
    let progress = Progress { phase, has_started: true, occurrences: Vec::new() };
    Record::Progress(JobId(id), progress)
}

/// Returns the ledger of a claim that keeps the states alone of jobs accepted before `before_ms`.
fn read(before_ms: u64, records: &[Record]) -> Ledger {
    let mut ledger = Ledger::compacting(before_ms);
    for it in records {
        ledger.fold(it.clone());
    }
    ledger
}

/// Guards against claims whose memory grows with all jobs that ever were.
#[test]
fn only_the_state_is_kept_of_a_job_that_ended_long_ago() {
    let records = [ended(1, Phase::Completed), ended(2, Phase::Failed), submitted(1), submitted(2)];

    let mut ledger = read(ACCEPTED_MS + 1, &records);

    assert_eq!(ledger.jobs().count(), 0);
    assert_eq!(ledger.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(ledger.state(JobId(2)), Some(JobState::Failed));
    // The request was sent again, and cancelled.
    assert_eq!(ledger.fold(submitted(1)), FoldEffect::Ended(JobId(1)));
    ledger.fold(Record::Cancelled(JobId(1)));
    assert_eq!(ledger.state(JobId(1)), Some(JobState::Completed));
}

/// Guards against a successor without the steps of a job whose orders may still be carried out, or
/// that has just ended.
#[test]
fn the_whole_job_is_kept_if_it_was_accepted_lately_or_has_an_open_start() {
    let start = OpenStart { task: task(1, 0, 0), run: 1, resent: false };
    let records = [ended(1, Phase::Completed), submitted(1)];
    let with_start = [Record::OpenStarts(vec![start]), ended(1, Phase::Completed), submitted(1)];

    for ledger in [read(ACCEPTED_MS, &records), read(ACCEPTED_MS + 1, &with_start)] {
        assert_eq!(ledger.job(JobId(1)).map(|it| it.state()), Some(JobState::Completed));
    }
}

/// Guards against a worker that gets more tasks than it has room for, and against a run that goes on
/// for good, where a successor has not kept the steps of the run's job.
#[test]
fn a_run_of_an_ended_job_of_unknown_size_is_stopped_before_its_worker_gets_tasks() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 2)]);
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![step(2)]));
    assert!(sim.run_until(3_000, |it| it.workers[0].runs.len() == 2));
    let records = [ended(1, Phase::Completed), submitted(1)];
    let ledger = read(ACCEPTED_MS + 1, &records);
    sim.replace_owner(ledger);
    sim.work_ms = |_| 500;
    sim.submit(2, job(vec![step(2)]));

    let done = sim.run_until(10_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
    assert!(sim.worker("w1").runs.is_empty());
}

/// Returns a worker that has completed job 1, as long ago as its records are retained.
fn with_an_expired_job() -> Simulation {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 2)]);
    sim.submit(1, job(vec![step(2)]));
    assert!(sim.run_until(5_000, |it| it.state(1) == JobState::Completed));
    sim.run_ms(RECORD_RETENTION.as_millis() as u64 - 1_000);
    assert_eq!(sim.stored_keys(1).len(), 2, "records are retained");
    sim
}

/// Guards against a log that fills with all jobs that ever were.
#[test]
fn the_records_of_a_job_that_ended_long_ago_are_removed() {
    let mut sim = with_an_expired_job();
    sim.cancel(9);

    let removed = sim.run_until(20_000, |it| it.stored_keys(1).is_empty());
    sim.run_ms(RECORD_RETENTION.as_millis() as u64 + 10_000);

    assert!(removed);
    assert_eq!(sim.stored_keys(9), [""; 0], "of a job that was never submitted");
    assert_eq!(sim.removed_states, [JobId(1), JobId(9)]);
}

/// Guards against a job that runs again because its records were removed in part, whichever were when
/// the owner was replaced, and whichever topic its successor reads first.
#[test]
fn a_job_whose_records_are_partly_removed_does_not_run_again() {
    for (steps, progress_first) in (0..8).flat_map(|it| [(it, true), (it, false)]) {
        let mut sim = with_an_expired_job();
        let starts = sim.starts.len();
        assert!(sim.run_until(10_000, |it| it.stored_keys(1).len() < 2));
        (0..steps).for_each(|_| sim.step());
        sim.change_owner_and_replay(true, progress_first);
        sim.run_ms(2_000);

        let removed = sim.run_until(60_000, |it| it.stored_keys(1).is_empty());

        assert!(removed, "after {steps} steps");
        assert_eq!(sim.starts.len(), starts, "after {steps} steps");
    }
}

/// Guards against forgetting a job while a copy of its submission is still to be read.
#[test]
fn a_submission_that_is_read_again_before_its_removal_does_not_run() {
    let mut sim = with_an_expired_job();
    let starts = sim.starts.len();
    sim.delays_removals = true;
    sim.run_ms(8_000);
    let removed = sim.stored_keys(1);
    sim.read_again(submitted(1));

    sim.run_ms(3_000);

    assert_eq!(removed, ["progress-0000000000000001"], "the submission is removed");
    assert_eq!(sim.starts.len(), starts);
}
