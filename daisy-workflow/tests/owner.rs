//! The owner with fake workers, without sockets. The simulation checks at each step that no task
//! runs on two workers or after its end, that no worker is over its capacity, and that every order
//! was recorded before it was sent.

mod util;

use daisy_workflow::{JobState, Outcome, StepSpec};
use util::{
    FakeWorker, Fault, LONG_RUNNING_WORK_MS, Simulation, best_effort, job, long_running_step, step,
    step_after, task,
};

fn two_workers() -> Simulation {
    Simulation::new(vec![FakeWorker::new("w1", 4), FakeWorker::new("w2", 4)])
}

#[test]
fn a_job_runs_step_by_step_to_its_end() {
    let mut sim = two_workers();
    sim.submit(1, job(vec![step(6), step_after(&[0], step(2))]));

    let first_starts = sim.run_until(900, |it| it.starts.len() == 6);
    let early = sim.starts.iter().any(|(task, ..)| task.step == 1);
    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(first_starts && !early && done);
    assert_eq!(sim.starts.len(), 8);
}

/// A job of twelve one-core tasks runs on eight cores. The last four tasks start as the first ones
/// end; were they started at once, a worker would be over its capacity.
#[test]
fn tasks_that_do_not_fit_wait() {
    let mut sim = two_workers();
    sim.submit(1, job(vec![step(12)]));

    sim.run_ms(500);
    let first_starts = sim.starts.len();
    let done = sim.run_until(5_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(first_starts, 8);
    assert!(done);
}

/// A worker carries out orders but its answers are lost. The order is sent again under the same run
/// number, which the worker accepts once: the task runs once and the job ends.
#[test]
fn no_task_is_started_twice_when_answers_are_lost() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.worker("w1").fault = Fault::LosesAnswers;
    sim.submit(1, job(vec![step(3)]));

    let done = sim.run_until(6_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert!(sim.starts.iter().all(|(_, run, _)| *run == 1));
}

/// Orders get no answer and are carried out 3 s later. Meanwhile the order or a stop is sent again:
/// a delayed order finds its run already started, ended, or closed.
#[test]
fn a_delayed_order_does_not_violate_any_invariant() {
    let mut sim = two_workers();
    sim.worker("w1").fault = Fault::DelaysStarts(3_000);
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(1_000);
    sim.worker("w1").fault = Fault::None;

    let done = sim.run_until(12_000, |it| it.state(1) == JobState::Completed);
    sim.run_ms(4_000);

    assert!(done);
}

/// A worker is unreachable and goes on working. Its tasks start elsewhere, but only once its lease
/// must have ended: until then they may still run there.
#[test]
fn tasks_of_an_unreachable_worker_wait_for_the_end_of_its_lease() {
    let mut sim = two_workers();
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(1_000);
    sim.worker("w1").fault = Fault::Unreachable;
    sim.worker("w1").listed = false;
    sim.worker("w2").capacity.cpu_milli = 8_000;

    sim.run_ms(4_000);
    let early = sim.starts.len();
    let moved = sim.run_until(6_000, |it| it.starts.len() == 12);

    assert_eq!(early, 8);
    assert!(moved);
    assert_eq!(sim.worker("w1").ends.len(), 4);
    assert!(sim.worker("w1").ends.iter().all(|it| it.outcome == Outcome::LeaseExpired));
}

/// The owner dies right after it has sent orders. The next one finds their records in the log,
/// queries every worker under a higher epoch, and starts no task that already runs.
#[test]
fn a_new_owner_starts_no_task_that_already_runs() {
    let mut sim = two_workers();
    sim.submit(1, job(vec![step(8)]));
    sim.run_until(500, |it| it.starts.len() == 8);

    sim.change_owner(false);
    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert_eq!(sim.starts.len(), 8);
}

/// The owner changes while a worker is unreachable for the new one only. Tasks that the old owner
/// recorded there must not start elsewhere before every lease that it may have granted has ended.
#[test]
fn a_new_owner_waits_for_a_worker_that_it_does_not_reach() {
    let mut sim = two_workers();
    sim.work_ms = |_| 30_000;
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(1_000);
    sim.worker("w1").fault = Fault::Unreachable;
    sim.worker("w2").capacity.cpu_milli = 8_000;
    sim.change_owner(false);

    sim.run_ms(6_000);
    let early = sim.starts.len();
    let moved = sim.run_until(1_000, |it| it.starts.len() == 12);

    assert_eq!(early, 8);
    assert!(moved);
}

/// A new owner that knows that its predecessor has ended waits for one lease only.
#[test]
fn an_ended_predecessor_shortens_the_wait() {
    let mut sim = two_workers();
    sim.work_ms = |_| 30_000;
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(1_000);
    sim.worker("w1").fault = Fault::Unreachable;
    sim.worker("w2").capacity.cpu_milli = 8_000;
    sim.change_owner(true);

    let moved = sim.run_until(6_500, |it| it.starts.len() == 12);

    assert!(moved);
}

/// The old owner resumes after another took over: the first worker that it calls rejects it.
#[test]
fn a_replaced_owner_steps_down() {
    let mut sim = two_workers();
    sim.submit(1, job(vec![step(2)]));
    sim.run_ms(300);
    sim.worker("w1").fence = 9;

    let stepped_down = sim.run_until(3_000, |it| it.stepped_down);

    assert!(stepped_down);
}

/// A worker crashes and is up again under its name within a second, without any of its runs. Its
/// tasks start again at once, as the later start time of its incarnation shows the restart.
#[test]
fn a_restarted_worker_gets_its_tasks_again() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.submit(1, job(vec![step(4)]));
    sim.run_ms(500);
    let now = sim.now;
    sim.worker("w1").restart(now);

    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert_eq!(sim.starts.len(), 8);
}

/// An order is in flight when its worker crashes, and reaches the next incarnation, which has
/// received neither epochs nor stops. The run is closed there before the task starts again.
#[test]
fn no_task_runs_twice_when_an_order_reaches_the_next_incarnation() {
    let mut sim = two_workers();
    sim.worker("w1").fault = Fault::DelaysStarts(2_000);
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(300);
    let now = sim.now;
    sim.worker("w1").restart(now);

    let done = sim.run_until(10_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
}

#[test]
fn a_cancelled_job_stops_and_starts_no_more_tasks() {
    let mut sim = two_workers();
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![step(12)]));
    sim.run_ms(500);
    sim.cancel(1);

    let stopped = sim.run_until(600, |it| it.workers.iter().all(|it| it.runs.is_empty()));
    sim.run_ms(2_000);

    assert!(stopped);
    assert_eq!(sim.starts.len(), 8);
    assert_eq!(sim.state(1), JobState::Cancelled);
}

/// A job that can never succeed fails after as many failures of one task as its queue allows.
#[test]
fn a_job_whose_task_always_fails_ends_as_failed() {
    let mut sim = two_workers();
    sim.fails = |_| true;
    sim.submit(1, job(vec![step(1)]));

    let failed = sim.run_until(10_000, |it| it.state(1) == JobState::Failed);
    sim.run_ms(2_000);

    assert!(failed);
    assert_eq!(sim.starts.len(), 3);
}

/// One worker fails all its runs. It is excluded after a few failures, so that tasks do not use up
/// their attempts there.
#[test]
fn a_worker_that_fails_all_runs_is_excluded() {
    let mut sim =
        Simulation::new((1..=6).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect());
    sim.worker("w1").fault = Fault::Fails;
    for id in 1..=20 {
        sim.submit(id, job(vec![step(3)]));
    }

    let done = sim.run_until(12_000, |it| (1..=20).all(|id| it.state(id) == JobState::Completed));

    assert!(done);
}

/// Tasks on a worker make no progress though it answers. They are stopped there and start
/// elsewhere.
#[test]
fn tasks_without_progress_are_moved() {
    let mut sim = two_workers();
    sim.worker("w1").fault = Fault::Hangs;
    sim.submit(1, job(vec![step(4)]));

    let done = sim.run_until(9_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
}

/// A worker drains. No task starts there, and a task that would not end in time is moved.
#[test]
fn tasks_leave_a_draining_worker() {
    let mut sim = two_workers();
    sim.work_ms = |_| 20_000;
    sim.submit(1, job(vec![step(4)]));
    sim.run_ms(1_000);
    sim.worker("w1").ready = false;
    sim.run_ms(1_500);
    sim.submit(2, job(vec![step(2)]));
    sim.run_ms(500);

    assert!(sim.worker("w1").runs.is_empty());
    assert_eq!(sim.worker("w2").runs.len(), 4);
}

/// Small tasks keep arriving while no worker has capacity for a long-running task. A worker is
/// reserved for it: otherwise small tasks would use all capacity that becomes free and the large
/// task would never start.
#[test]
fn a_long_running_task_is_not_starved_by_small_ones() {
    let mut sim = two_workers();
    sim.work_ms = |task| if task.job.0 == 1 { 600_000 } else { 700 };
    for id in 10..20 {
        sim.submit(id, job(vec![step(4)]));
    }
    sim.run_ms(300);
    let large = StepSpec {
        need: daisy_model::Resources { cpu_milli: 3_000, ..step(1).need },
        ..long_running_step(1)
    };
    sim.submit(1, job(vec![large]));
    for id in 20..60 {
        sim.submit(id, job(vec![step(4)]));
    }

    let started = sim.run_until(2_500, |it| !it.workers_running(task(1, 0, 0)).is_empty());

    assert!(started);
}

#[test]
fn the_limit_of_tasks_per_worker_is_respected() {
    let mut sim =
        Simulation::new((1..=4).map(|it| FakeWorker::new(&format!("w{it}"), 8)).collect());
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![StepSpec { max_per_worker: 2, ..step(10) }]));

    sim.run_ms(1_000);

    assert!(sim.workers.iter().all(|it| it.runs.len() == 2));
}

#[test]
fn a_required_label_is_respected() {
    let mut sim = two_workers();
    sim.worker("w2").labels.push("fast".to_owned());
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![StepSpec { required_label: Some("fast".into()), ..step(8) }]));

    sim.run_ms(1_000);

    assert!(sim.worker("w1").runs.is_empty());
    assert_eq!(sim.worker("w2").runs.len(), 4);
}

/// The members of a gang start together or not at all, under one run number.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut sim = two_workers();
    sim.work_ms = |_| 60_000;
    sim.submit(1, job(vec![StepSpec { gang: true, ..step(9) }]));
    sim.submit(2, job(vec![StepSpec { gang: true, ..step(5) }]));

    sim.run_ms(1_000);

    assert!(sim.starts.iter().all(|(task, run, _)| task.job.0 == 2 && *run == 1));
    assert_eq!(sim.starts.len(), 5);
}

/// The log accepts no appends for 9 s. Leases are still renewed, so that no running task is lost,
/// and no task starts whose record is not in the log.
#[test]
fn an_outage_of_the_log_ends_no_running_task() {
    let mut sim = two_workers();
    sim.work_ms = |_| 7_000;
    sim.submit(1, job(vec![step(4), step_after(&[0], step(4))]));
    sim.run_ms(1_000);
    sim.log_up = false;
    sim.run_ms(9_000);
    let meanwhile = sim.starts.len();
    sim.log_up = true;

    let done = sim.run_until(9_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(meanwhile, 4);
    assert!(done);
    assert_eq!(sim.starts.len(), 8);
}

/// Best-effort tasks do not count against a worker's capacity: they start beside serving tasks that
/// reserve all of its processors, as these use only half of what they reserve.
#[test]
fn best_effort_tasks_start_beside_reserved_processors() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 16)]);
    sim.work_ms = |_| LONG_RUNNING_WORK_MS;
    sim.submit(1, job(vec![long_running_step(16)]));
    sim.run_ms(1_000);
    sim.submit(2, job(vec![best_effort(4, "render")]));

    sim.run_ms(1_000);

    assert_eq!(sim.worker("w1").runs.len(), 20);
}

/// The only copy of a task is on a worker that became unreachable. Where the step allows
/// speculative copies, another one starts at once instead of after the end of the lease.
#[test]
fn a_speculative_copy_starts_when_a_worker_is_unreachable() {
    let mut sim = two_workers();
    sim.work_ms = |_| 20_000;
    sim.submit(1, job(vec![StepSpec { speculative: true, ..step(2) }]));
    sim.run_ms(500);
    sim.worker("w1").fault = Fault::Unreachable;

    let copied = sim.run_until(1_500, |it| it.starts.len() > 2);

    assert!(copied);
}

/// No worker can ever hold the large long-running task: other long-running tasks use too much of
/// each. No worker is reserved for it, so that small tasks do not wait beside free processors.
#[test]
fn no_worker_is_reserved_for_a_task_that_never_fits() {
    let mut sim = two_workers();
    sim.work_ms = |task| if task.job.0 < 10 { 600_000 } else { 700 };
    let large = |cores: u32| StepSpec {
        need: daisy_model::Resources { cpu_milli: cores * 1_000, ..step(1).need },
        max_per_worker: 1,
        ..long_running_step(2)
    };
    sim.submit(1, job(vec![large(2)]));
    sim.run_ms(300);
    sim.submit(2, job(vec![large(3)]));
    for id in 10..20 {
        sim.submit(id, job(vec![step(3)]));
    }

    let done = sim.run_until(10_000, |it| (10..20).all(|id| it.state(id) == JobState::Completed));

    assert!(done);
    assert!(sim.workers_running(task(2, 0, 0)).is_empty());
}

/// A worker restarts; an order that was meant for its previous incarnation reaches it and is
/// answered. When the list shows the restart, the task must not be started elsewhere: it runs, as
/// an answer to an order does not say which incarnation gave it.
#[test]
fn an_order_answered_by_the_next_incarnation_is_not_started_again() {
    let mut sim = two_workers();
    sim.run_ms(200);
    sim.list_is_stale = true;
    let now = sim.now;
    sim.worker("w1").restart(now);

    sim.submit(1, job(vec![step(1)]));
    let started = sim.run_until(40, |it| it.starts.len() == 1);
    sim.run_ms(20);
    sim.list_is_stale = false;
    let done = sim.run_until(8_000, |it| it.state(1) == JobState::Completed);

    assert!(started && done);
    assert_eq!(sim.starts.len(), 1, "{:?}", sim.starts);
}

/// An owner's calls for the platform's list hang for two seconds, while orders still reach workers.
/// Meanwhile a worker announces that it leaves. No task is started on a worker that may be leaving;
/// once the list is read again, tasks start on the worker that stays.
#[test]
fn no_task_starts_while_the_list_of_workers_is_stale() {
    let mut sim = two_workers();
    sim.run_ms(200);
    sim.list_is_stale = true;
    sim.worker("w1").ready = false;
    sim.run_ms(2_000);

    sim.submit(1, job(vec![step(1)]));
    sim.run_ms(300);
    let by_the_old_list = sim.starts.len();
    sim.list_is_stale = false;
    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(by_the_old_list, 0);
    assert!(done);
    assert!(sim.starts.iter().all(|(.., worker)| worker == "w2"), "{:?}", sim.starts);
}

/// If a paused run were treated as stuck, long-running tasks would lose the only worker that has
/// capacity for them.
#[test]
fn a_run_that_resumes_after_a_pause_is_not_treated_as_stuck() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms = |task| if task.job.0 == 1 { LONG_RUNNING_WORK_MS } else { 20_000 };
    sim.run_ms(200);
    sim.submit(1, job(vec![long_running_step(1)]));
    sim.submit(2, job(vec![best_effort(1, "render")]));
    sim.run_ms(1_500);
    sim.worker("w").tail_latency_ms = 200;
    let paused = sim.run_until(6_000, |it| it.workers[0].runs.iter().any(|run| run.pace == 0.0));
    sim.run_ms(2_500);

    sim.cancel(1);
    let resumed = sim.run_until(2_000, |it| it.workers[0].runs.iter().all(|run| run.pace > 0.5));
    sim.run_ms(500);
    sim.submit(3, job(vec![long_running_step(1)]));
    sim.run_ms(200);

    assert!(paused && resumed, "paused {paused}, resumed {resumed}");
    let runs = [task(2, 0, 0), task(3, 0, 0)].map(|it| sim.workers_running(it));
    assert_eq!(runs, [vec!["w"], vec!["w"]]);
    assert_eq!(sim.starts.len(), 3);
}

/// Two tasks that fail by their own fault would keep a long-running task off the only worker with
/// capacity.
#[test]
fn a_suspected_worker_runs_a_long_running_task_that_fits_nowhere_else() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms = |task| if task.job.0 == 3 { LONG_RUNNING_WORK_MS } else { 100 };
    sim.fails = |task| task.job.0 < 3;
    sim.run_ms(200);
    sim.submit(1, job(vec![step(1)]));
    sim.submit(2, job(vec![step(1)]));
    let suspected = sim.run_until(1_000, |it| it.owner.summary(it.now).usable == 0);

    sim.submit(3, job(vec![long_running_step(1)]));
    let runs = sim.run_until(2_000, |it| !it.workers_running(task(3, 0, 0)).is_empty());

    assert!(suspected && runs, "suspected {suspected}, runs {runs}");
    assert_eq!(
        sim.owner.summary(sim.now).usable,
        0,
        "other tasks may not use the suspected worker"
    );
}

/// A long-running task would be restarted over and over on a worker that fails all its runs.
#[test]
fn a_suspected_worker_is_retried_at_intervals() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.worker("w").fault = Fault::Fails;
    sim.run_ms(200);

    sim.submit(1, job(vec![long_running_step(1)]));
    sim.run_ms(6_000);

    assert!((2..=6).contains(&sim.starts.len()), "{} starts", sim.starts.len());
}

/// Long-running tasks that fail now and then would keep other tasks off healthy workers.
#[test]
fn failures_far_apart_do_not_make_a_worker_suspected() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms = |_| LONG_RUNNING_WORK_MS;
    sim.run_ms(200);
    sim.submit(1, job(vec![long_running_step(1)]));
    sim.run_ms(300);

    for _ in 0..3 {
        sim.worker("w").fault = Fault::Fails;
        sim.run_ms(10);
        sim.worker("w").fault = Fault::None;
        sim.run_ms(500);
        assert_eq!(sim.owner.summary(sim.now).usable, 1);
        sim.run_ms(4_500);
    }

    assert_eq!(sim.starts.len(), 4);
}
