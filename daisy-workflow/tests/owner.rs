//! The owner against fake workers, without a socket. The world checks at each step that no task
//! runs in two places or after its end, that no worker is over its capacity, and that every order
//! was recorded before it was sent.

mod util;

use daisy_workflow::{JobState, Outcome, StepSpec};
use util::{FakeWorker, Fault, LASTS_MS, World, after, best_effort, job, lasting, step, task};

fn two_workers() -> World {
    World::new(vec![FakeWorker::new("w1", 4), FakeWorker::new("w2", 4)])
}

#[test]
fn a_job_runs_step_by_step_to_its_end() {
    let mut world = two_workers();
    world.submit(1, job(vec![step(6), after(&[0], step(2))]));

    let first = world.run_until(900, |it| it.starts.len() == 6);
    let early = world.starts.iter().any(|(task, ..)| task.step == 1);
    let done = world.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(first && !early && done);
    assert_eq!(world.starts.len(), 8);
}

/// A caller sees a job of twelve one-core tasks on eight cores. The last four start as the first
/// end; were they started at once, a worker would be over its capacity.
#[test]
fn what_does_not_fit_waits() {
    let mut world = two_workers();
    world.submit(1, job(vec![step(12)]));

    world.run_ms(500);
    let first = world.starts.len();
    let done = world.run_until(5_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(first, 8);
    assert!(done);
}

/// A worker carries orders out but its answers are lost. The order is sent again under the same
/// number, which the worker takes once: the task runs once and the job ends.
#[test]
fn a_lost_answer_starts_nothing_twice() {
    let mut world = World::new(vec![FakeWorker::new("w1", 4)]);
    world.worker("w1").fault = Fault::LosesAnswers;
    world.submit(1, job(vec![step(3)]));

    let done = world.run_until(6_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert!(world.starts.iter().all(|(_, run, _)| *run == 1));
}

/// Orders get no answer and are carried out 3 s later. Meanwhile the worker is told again, or
/// told to stop: whatever arrives late finds the run there, ended, or shut out.
#[test]
fn an_order_carried_out_late_changes_nothing() {
    let mut world = two_workers();
    world.worker("w1").fault = Fault::Late(3_000);
    world.submit(1, job(vec![step(8)]));
    world.run_ms(1_000);
    world.worker("w1").fault = Fault::None;

    let done = world.run_until(12_000, |it| it.state(1) == JobState::Completed);
    world.run_ms(4_000);

    assert!(done);
}

/// A worker is cut off and goes on working. Its tasks start elsewhere, but only after its lease
/// has run out for sure: until then they may still be running there.
#[test]
fn tasks_of_a_silent_worker_wait_for_the_end_of_its_lease() {
    let mut world = two_workers();
    world.work = |_| 60_000;
    world.submit(1, job(vec![step(8)]));
    world.run_ms(1_000);
    world.worker("w1").fault = Fault::Cut;
    world.worker("w1").listed = false;
    world.worker("w2").capacity.cpu_milli = 8_000;

    world.run_ms(4_000);
    let early = world.starts.len();
    let moved = world.run_until(6_000, |it| it.starts.len() == 12);

    assert_eq!(early, 8);
    assert!(moved);
    assert_eq!(world.worker("w1").ends.len(), 4);
    assert!(world.worker("w1").ends.iter().all(|it| it.outcome == Outcome::LeaseExpired));
}

/// The owner dies right after it has sent orders. The next one finds their records in the log,
/// asks every worker under a higher epoch, and starts nothing that runs already.
#[test]
fn a_new_owner_starts_nothing_that_runs() {
    let mut world = two_workers();
    world.submit(1, job(vec![step(8)]));
    world.run_until(500, |it| it.starts.len() == 8);

    world.change_owner(false);
    let done = world.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert_eq!(world.starts.len(), 8);
}

/// The owner changes while a worker is cut off from the new one only. What the old owner recorded
/// there must not start elsewhere before every lease that it may have granted is over.
#[test]
fn a_new_owner_waits_for_a_worker_that_it_does_not_reach() {
    let mut world = two_workers();
    world.work = |_| 30_000;
    world.submit(1, job(vec![step(8)]));
    world.run_ms(1_000);
    world.worker("w1").fault = Fault::Cut;
    world.worker("w2").capacity.cpu_milli = 8_000;
    world.change_owner(false);

    world.run_ms(6_000);
    let early = world.starts.len();
    let moved = world.run_until(1_000, |it| it.starts.len() == 12);

    assert_eq!(early, 8);
    assert!(moved);
}

/// A new owner that knows its predecessor to have ended waits for one lease only.
#[test]
fn an_ended_predecessor_shortens_the_wait() {
    let mut world = two_workers();
    world.work = |_| 30_000;
    world.submit(1, job(vec![step(8)]));
    world.run_ms(1_000);
    world.worker("w1").fault = Fault::Cut;
    world.worker("w2").capacity.cpu_milli = 8_000;
    world.change_owner(true);

    let moved = world.run_until(6_500, |it| it.starts.len() == 12);

    assert!(moved);
}

/// The old owner wakes after another took over: the first worker that it calls refuses it.
#[test]
fn an_owner_that_was_replaced_steps_down() {
    let mut world = two_workers();
    world.submit(1, job(vec![step(2)]));
    world.run_ms(300);
    world.worker("w1").fence = 9;

    let stepped_down = world.run_until(3_000, |it| it.stepped_down);

    assert!(stepped_down);
}

/// A worker crashes and is back under its name within a second. It knows nothing of what ran
/// there; its tasks start again at once, as the later start of its incarnation shows.
#[test]
fn a_restarted_worker_gets_its_tasks_again() {
    let mut world = World::new(vec![FakeWorker::new("w1", 4)]);
    world.submit(1, job(vec![step(4)]));
    world.run_ms(500);
    let now = world.now;
    world.worker("w1").restart(now);

    let done = world.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
    assert_eq!(world.starts.len(), 8);
}

/// An order is under way when its worker crashes, and reaches the next incarnation, which has seen
/// neither epochs nor stops. The run is shut out there before the task starts again.
#[test]
fn an_order_that_reaches_the_next_incarnation_runs_nothing_twice() {
    let mut world = two_workers();
    world.worker("w1").fault = Fault::Late(2_000);
    world.submit(1, job(vec![step(8)]));
    world.run_ms(300);
    let now = world.now;
    world.worker("w1").restart(now);

    let done = world.run_until(10_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut world = two_workers();
    world.work = |_| 60_000;
    world.submit(1, job(vec![step(12)]));
    world.run_ms(500);
    world.cancel(1);

    let stopped = world.run_until(600, |it| it.workers.iter().all(|it| it.runs.is_empty()));
    world.run_ms(2_000);

    assert!(stopped);
    assert_eq!(world.starts.len(), 8);
    assert_eq!(world.state(1), JobState::Cancelled);
}

/// A job can never be done. It is given up after as many failures of one task as its queue allows.
#[test]
fn a_job_that_always_fails_is_given_up() {
    let mut world = two_workers();
    world.fails = |_| true;
    world.submit(1, job(vec![step(1)]));

    let failed = world.run_until(10_000, |it| it.state(1) == JobState::Failed);
    world.run_ms(2_000);

    assert!(failed);
    assert_eq!(world.starts.len(), 3);
}

/// One worker fails all that it is given. It is left alone after a few failures, so that tasks do
/// not use up their attempts there.
#[test]
fn a_worker_that_fails_everything_is_left_alone() {
    let mut world = World::new((1..=6).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect());
    world.worker("w1").fault = Fault::Fails;
    for id in 1..=20 {
        world.submit(id, job(vec![step(3)]));
    }

    let done = world.run_until(12_000, |it| (1..=20).all(|id| it.state(id) == JobState::Completed));

    assert!(done);
}

/// Tasks on a worker stand still though it answers. They are stopped there and start elsewhere.
#[test]
fn tasks_that_stand_still_are_moved() {
    let mut world = two_workers();
    world.worker("w1").fault = Fault::Hangs;
    world.submit(1, job(vec![step(4)]));

    let done = world.run_until(9_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
}

/// A worker drains. Nothing new starts there, and a task that would not end in time is moved.
#[test]
fn a_draining_worker_is_left() {
    let mut world = two_workers();
    world.work = |_| 20_000;
    world.submit(1, job(vec![step(4)]));
    world.run_ms(1_000);
    world.worker("w1").ready = false;
    world.run_ms(1_500);
    world.submit(2, job(vec![step(2)]));
    world.run_ms(500);

    assert!(world.worker("w1").runs.is_empty());
    assert_eq!(world.worker("w2").runs.len(), 4);
}

/// Small tasks keep coming while a task that lasts finds no worker with room. A worker is kept
/// for it: without that, each gap would go to a small task and the large one would never start.
#[test]
fn a_task_that_lasts_is_not_starved_by_small_ones() {
    let mut world = two_workers();
    world.work = |task| if task.job.0 == 1 { 600_000 } else { 700 };
    for id in 10..20 {
        world.submit(id, job(vec![step(4)]));
    }
    world.run_ms(300);
    let large = StepSpec {
        need: daisy_model::Resources { cpu_milli: 3_000, ..step(1).need },
        ..lasting(1)
    };
    world.submit(1, job(vec![large]));
    for id in 20..60 {
        world.submit(id, job(vec![step(4)]));
    }

    let started = world.run_until(2_500, |it| !it.places(task(1, 0, 0)).is_empty());

    assert!(started);
}

#[test]
fn spread_is_kept() {
    let mut world = World::new((1..=4).map(|it| FakeWorker::new(&format!("w{it}"), 8)).collect());
    world.work = |_| 60_000;
    world.submit(1, job(vec![StepSpec { max_per_worker: 2, ..step(10) }]));

    world.run_ms(1_000);

    assert!(world.workers.iter().all(|it| it.runs.len() == 2));
}

#[test]
fn a_required_label_is_kept() {
    let mut world = two_workers();
    world.worker("w2").labels.push("fast".to_owned());
    world.work = |_| 60_000;
    world.submit(1, job(vec![StepSpec { required_label: Some("fast".into()), ..step(8) }]));

    world.run_ms(1_000);

    assert!(world.worker("w1").runs.is_empty());
    assert_eq!(world.worker("w2").runs.len(), 4);
}

/// The members of a gang start together or not at all, under one number.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = two_workers();
    world.work = |_| 60_000;
    world.submit(1, job(vec![StepSpec { gang: true, ..step(9) }]));
    world.submit(2, job(vec![StepSpec { gang: true, ..step(5) }]));

    world.run_ms(1_000);

    assert!(world.starts.iter().all(|(task, run, _)| task.job.0 == 2 && *run == 1));
    assert_eq!(world.starts.len(), 5);
}

/// The log takes nothing for 4 s. Leases go on being renewed, so that nothing that runs is lost,
/// and nothing starts whose record is not in the log.
#[test]
fn an_outage_of_the_log_ends_no_work() {
    let mut world = two_workers();
    world.work = |_| 7_000;
    world.submit(1, job(vec![step(4), after(&[0], step(4))]));
    world.run_ms(1_000);
    world.log_up = false;
    world.run_ms(9_000);
    let meanwhile = world.starts.len();
    world.log_up = true;

    let done = world.run_until(9_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(meanwhile, 4);
    assert!(done);
    assert_eq!(world.starts.len(), 8);
}

/// Best-effort tasks count nothing against a worker's capacity: they start beside serving tasks that
/// reserve all of its processors, as these use but half of what they reserve.
#[test]
fn best_effort_tasks_need_no_unreserved_processors() {
    let mut world = World::new(vec![FakeWorker::new("w1", 16)]);
    world.work = |_| LASTS_MS;
    world.submit(1, job(vec![lasting(16)]));
    world.run_ms(1_000);
    world.submit(2, job(vec![best_effort(4, "render")]));

    world.run_ms(1_000);

    assert_eq!(world.worker("w1").runs.len(), 20);
}

/// A task's only copy is on a worker that went silent. Where the step allows copies, another starts
/// at once instead of waiting for the end of the lease.
#[test]
fn a_copy_runs_beside_a_silent_worker() {
    let mut world = two_workers();
    world.work = |_| 20_000;
    world.submit(1, job(vec![StepSpec { speculative: true, ..step(2) }]));
    world.run_ms(500);
    world.worker("w1").fault = Fault::Cut;

    let copied = world.run_until(1_500, |it| it.starts.len() > 2);

    assert!(copied);
}

/// No worker can ever hold the large task that lasts: others that last take too much of each. No
/// worker is kept for it, so that small tasks do not wait beside free processors.
#[test]
fn no_worker_is_kept_for_what_never_fits() {
    let mut world = two_workers();
    world.work = |task| if task.job.0 < 10 { 600_000 } else { 700 };
    let large = |cores: u32| StepSpec {
        need: daisy_model::Resources { cpu_milli: cores * 1_000, ..step(1).need },
        max_per_worker: 1,
        ..lasting(2)
    };
    world.submit(1, job(vec![large(2)]));
    world.run_ms(300);
    world.submit(2, job(vec![large(3)]));
    for id in 10..20 {
        world.submit(id, job(vec![step(3)]));
    }

    let done = world.run_until(10_000, |it| (10..20).all(|id| it.state(id) == JobState::Completed));

    assert!(done);
    assert!(world.places(task(2, 0, 0)).is_empty());
}

/// A worker crashes and starts again; an order that was meant for the one before reaches it and is
/// answered. When the list tells of the new start, the task must not be started elsewhere: it runs,
/// as an answer to an order does not say which incarnation gave it.
#[test]
fn an_order_answered_by_the_next_incarnation_is_not_started_again() {
    let mut world = two_workers();
    world.run_ms(200);
    world.list_lags = true;
    let now = world.now;
    world.worker("w1").restart(now);

    world.submit(1, job(vec![step(1)]));
    let started = world.run_until(40, |it| it.starts.len() == 1);
    world.run_ms(20);
    world.list_lags = false;
    let done = world.run_until(8_000, |it| it.state(1) == JobState::Completed);

    assert!(started && done);
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}

/// An owner's calls for the platform's list hang for two seconds, while orders to workers get through.
/// A worker says meanwhile that it leaves. Nothing is started on what may be leaving; once the list is
/// read again, work goes to the worker that stays.
#[test]
fn nothing_starts_by_a_list_that_is_old() {
    let mut world = two_workers();
    world.run_ms(200);
    world.list_lags = true;
    world.worker("w1").ready = false;
    world.run_ms(2_000);

    world.submit(1, job(vec![step(1)]));
    world.run_ms(300);
    let by_the_old_list = world.starts.len();
    world.list_lags = false;
    let done = world.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert_eq!(by_the_old_list, 0);
    assert!(done);
    assert!(world.starts.iter().all(|(.., worker)| worker == "w2"), "{:?}", world.starts);
}

/// Taken for one that stands still, a run that was held back costs tasks that last their only room.
#[test]
fn a_run_that_goes_on_after_a_hold_is_not_taken_for_stuck() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |task| if task.job.0 == 1 { LASTS_MS } else { 20_000 };
    world.run_ms(200);
    world.submit(1, job(vec![lasting(1)]));
    world.submit(2, job(vec![best_effort(1, "render")]));
    world.run_ms(1_500);
    world.worker("w").tail_ms = 200;
    let held = world.run_until(6_000, |it| it.workers[0].runs.iter().any(|run| run.pace == 0.0));
    world.run_ms(2_500);

    world.cancel(1);
    let goes_on = world.run_until(2_000, |it| it.workers[0].runs.iter().all(|run| run.pace > 0.5));
    world.run_ms(500);
    world.submit(3, job(vec![lasting(1)]));
    world.run_ms(200);

    assert!(held && goes_on, "held {held}, goes on {goes_on}");
    let runs = [task(2, 0, 0), task(3, 0, 0)].map(|it| world.places(it));
    assert_eq!(runs, [vec!["w"], vec!["w"]]);
    assert_eq!(world.starts.len(), 3);
}

/// Two tasks that fail by their own fault would keep a task that lasts off the only worker with room.
#[test]
fn a_suspected_worker_takes_a_task_that_lasts_and_has_no_other_place() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |task| if task.job.0 == 3 { LASTS_MS } else { 100 };
    world.fails = |task| task.job.0 < 3;
    world.run_ms(200);
    world.submit(1, job(vec![step(1)]));
    world.submit(2, job(vec![step(1)]));
    let suspected = world.run_until(1_000, |it| it.owner.summary(it.now).usable == 0);

    world.submit(3, job(vec![lasting(1)]));
    let runs = world.run_until(2_000, |it| !it.places(task(3, 0, 0)).is_empty());

    assert!(suspected && runs, "suspected {suspected}, runs {runs}");
    assert_eq!(world.owner.summary(world.now).usable, 0, "other tasks are kept off");
}

/// A task that lasts would be started again and again on a worker that fails all it starts.
#[test]
fn a_suspected_worker_is_tried_now_and_then() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.worker("w").fault = Fault::Fails;
    world.run_ms(200);

    world.submit(1, job(vec![lasting(1)]));
    world.run_ms(6_000);

    assert!((2..=6).contains(&world.starts.len()), "{} starts", world.starts.len());
}

/// Tasks that last and fail now and then would keep other tasks off sound workers.
#[test]
fn failures_far_apart_make_no_worker_suspected() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |_| LASTS_MS;
    world.run_ms(200);
    world.submit(1, job(vec![lasting(1)]));
    world.run_ms(300);

    for _ in 0..3 {
        world.worker("w").fault = Fault::Fails;
        world.run_ms(10);
        world.worker("w").fault = Fault::None;
        world.run_ms(500);
        assert_eq!(world.owner.summary(world.now).usable, 1);
        world.run_ms(4_500);
    }

    assert_eq!(world.starts.len(), 4);
}
