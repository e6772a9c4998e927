//! Gangs: the owner counts what happens to a run of a gang once, whoever lists it and whoever owns
//! the shard then.

mod util;

use daisy_workflow::{EndedRun, JobId, JobSpec, JobState, Outcome, StepSpec};
use util::{FakeWorker, Fault, Simulation, job, step, task};

/// Number of runs that the queue allows.
const ATTEMPTS: usize = 3;

fn gang(count: u32) -> JobSpec {
    job(vec![StepSpec { gang: true, ..step(count) }])
}

/// Returns workers of `cores` processors each, named `w1` and so on.
fn workers(count: usize, cores: u32) -> Simulation {
    Simulation::new((1..=count).map(|it| FakeWorker::new(&format!("w{it}"), cores)).collect())
}

/// Returns the numbers of the runs of job 1 that were ordered.
fn runs(sim: &Simulation) -> Vec<u32> {
    let mut runs: Vec<u32> = sim.starts.iter().map(|(_, run, _)| *run).collect();
    runs.sort_unstable();
    runs.dedup();
    runs
}

/// Guards against counting one failed run once for each member that lists its end.
#[test]
fn a_run_whose_members_all_fail_has_failed_once() {
    let mut sim = workers(4, 4);
    sim.worker("w1").fault = Fault::Fails;
    sim.submit(1, gang(4));

    let done = sim.run_until(10_000, |it| it.state(1) != JobState::Running && it.now.0 > 2_000_000);

    assert!(done);
    assert_eq!(sim.state(1), JobState::Completed);
    assert!(sim.starts.iter().any(|it| it.2 == "w1"), "no member was started on the bad worker");
}

/// Guards against starting a gang again after the last failed run that its queue allows.
#[test]
fn a_gang_that_always_fails_is_started_as_often_as_its_queue_allows() {
    let mut sim = workers(4, 1);
    sim.fails = |_| true;
    sim.submit(1, gang(4));

    let failed = sim.run_until(20_000, |it| it.state(1) == JobState::Failed);
    sim.run_ms(5_000);

    assert!(failed);
    assert_eq!(runs(&sim).len(), ATTEMPTS);
}

/// Lets the first run of a gang fail on two workers of one processor, one of which lists its end only
/// to the next owner; returns the simulation at that time.
fn listed_to_two_owners(change_owner: impl Fn(&mut Simulation)) -> Simulation {
    let mut sim = workers(2, 1);
    sim.submit(1, gang(2));
    assert!(sim.run_until(5_000, |it| it.workers.iter().all(|it| it.runs.len() == 1)));
    sim.workers.iter_mut().for_each(|it| it.fault = Fault::Fails);
    sim.idle();
    sim.workers.iter_mut().for_each(|it| it.fault = Fault::None);
    sim.worker("w2").fault = Fault::Unreachable;
    let counted = |it: &Simulation| {
        it.ledger
            .job(JobId(1))
            .is_some_and(|job| job.progress.occurrences[0][0].iter().any(|it| it.failures == 1))
    };
    assert!(sim.run_until(2_000, counted), "the first end is not recorded");
    change_owner(&mut sim);
    sim.worker("w2").fault = Fault::None;
    sim
}

/// Guards against a successor that counts a failed run again which its predecessor has counted.
#[test]
fn a_run_whose_ends_are_listed_to_two_owners_has_failed_once() {
    let by_the_log = |it: &mut Simulation| it.change_owner_and_replay(true, true);
    let lapsed = |it: &mut Simulation| it.change_owner(false);
    let given_up = |it: &mut Simulation| it.change_owner(true);
    for change_owner in [by_the_log as fn(&mut Simulation), lapsed, given_up] {
        let mut sim = listed_to_two_owners(change_owner);
        sim.fails = |_| true;

        let failed = sim.run_until(40_000, |it| it.state(1) == JobState::Failed);

        assert!(failed);
        assert_eq!(runs(&sim).len(), ATTEMPTS);
    }
}

/// Guards against losing the count of a failed run if the owner's last batch is lost.
#[test]
fn a_failed_run_counts_once_though_the_batch_with_its_end_is_lost() {
    for stored in [false, true] {
        let mut sim = workers(2, 1);
        sim.fails = |_| true;
        sim.submit(1, gang(2));
        assert!(sim.run_until(5_000, |it| it.workers.iter().any(|it| !it.ends.is_empty())));
        sim.step();
        sim.kill_owner(stored);
        sim.change_owner(true);

        let failed = sim.run_until(40_000, |it| it.state(1) == JobState::Failed);

        assert!(failed);
        assert_eq!(runs(&sim).len(), ATTEMPTS, "stored: {stored}");
    }
}

/// Guards against a start after the last allowed failure, if one of the failures is listed only after
/// its run was given up and a later one has begun.
#[test]
fn a_failure_that_is_listed_after_a_later_run_has_begun_counts() {
    let mut sim = workers(3, 1);
    sim.fails = |_| true;
    sim.submit(1, gang(1));
    assert!(sim.run_until(5_000, |it| it.workers.iter().any(|it| !it.runs.is_empty())));
    let first = sim.workers_running(task(1, 0, 0))[0].to_owned();
    sim.worker(&first).fault = Fault::Unreachable;
    sim.fails = |_| false;
    sim.work_ms = |_| 60_000;
    let again = sim.run_until(40_000, |it| it.starts.iter().any(|it| it.1 == 2));
    assert!(again, "the run was not given up");
    let run_1 = EndedRun {
        number: sim.worker(&first).last_end_number + 1,
        task: task(1, 0, 0),
        run: 1,
        outcome: Outcome::Failed,
        checkpoint: String::new(),
    };
    let worker = sim.worker(&first);
    worker.last_end_number += 1;
    worker.ends = vec![run_1];
    worker.fault = Fault::None;

    sim.run_ms(3_000);

    let failures = sim.ledger.job(JobId(1)).map(|it| it.progress.occurrences[0][0][0].failures);
    assert_eq!(failures, Some(1));
}

/// Guards against members that continue from different states of their common work.
#[test]
fn all_members_are_started_again_from_one_checkpoint() {
    let mut sim = workers(4, 1);
    sim.workers.iter_mut().for_each(|it| it.checkpoint_ms = 300);
    sim.work_ms = |_| 6_000;
    sim.submit(1, job(vec![StepSpec { gang: true, checkpoints: true, ..step(3) }]));
    sim.run_ms(2_500);
    let now = sim.now;
    let lost = sim.starts[0].2.clone();
    sim.worker(&lost).restart(now);

    let done = sim.run_until(30_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert_eq!(runs(&sim), [1, 2]);
    assert!(sim.gang_checkpoints.iter().any(|((_, run), it)| *run == 2 && !it.is_empty()));
}
