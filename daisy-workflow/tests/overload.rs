//! More work than the workers hold: who is served in time.

mod util;

use daisy_workflow::{JobState, StepSpec};

use util::{FakeWorker, LASTS_MS, World, best_effort, job, long_running, step};

/// Workers of four cores that share them equally among more runs.
fn sharing_workers(count: usize) -> World {
    let worker = |at| FakeWorker { shares: true, ..FakeWorker::new(&format!("w{at}"), 4) };
    World::new((0..count).map(worker).collect())
}

fn completed(world: &World, jobs: std::ops::Range<u64>) -> usize {
    jobs.filter(|it| world.state(*it) == JobState::Completed).count()
}

/// Ten callers hand in a job each at the same time, twice as much as the workers can do within the
/// objective of 3 s. All tasks are started at once and get a fifth of a core each, so that all ten
/// callers have their results after 5 s, and nobody in time. Of a queue, half are served in time, and
/// the others no later than before.
#[test]
fn a_burst_serves_some_in_time_instead_of_all_late() {
    let mut world = sharing_workers(2);
    world.run_ms(200);

    for id in 0..10 {
        world.submit(id, job(vec![best_effort(4, "render")]));
    }
    world.run_ms(3_000);
    let in_time = completed(&world, 0..10);
    let all = world.run_until(4_000, |it| completed(it, 0..10) == 10);

    assert!(in_time >= 4, "{in_time} jobs were done in time");
    assert!(all);
}

/// Jobs of two steps come one after the other, somewhat more than the workers hold. First steps of
/// new jobs take the room of second steps of old ones: all jobs are begun and none is finished. Jobs
/// that are nearly done go first, so that callers get whole results all the while.
#[test]
fn what_is_nearly_done_goes_before_what_has_just_come() {
    let mut world = sharing_workers(2);
    world.run_ms(200);

    let mut next = 0;
    for _ in 0..10 {
        for _ in 0..2 {
            let second = StepSpec { depends_on: vec![0], ..best_effort(4, "render") };
            world.submit(next, job(vec![best_effort(4, "render"), second]));
            next += 1;
        }
        world.run_ms(1_000);
    }

    // Ten seconds of eight cores are eighty tasks, ten whole jobs.
    let done = completed(&world, 0..next);
    assert!(done >= 8, "{done} jobs of {next} are done");
}

/// A worker without serving tasks is idle while others are full. Best-effort tasks wait where they
/// would only crawl, and go where processors are idle as soon as there are any.
#[test]
fn best_effort_tasks_wait_for_idle_processors() {
    let mut world = sharing_workers(1);
    world.work = |task| if task.job.0 == 1 { 2_000 } else { 500 };
    world.run_ms(200);
    world.submit(1, job(vec![step(4)]));
    world.run_ms(300);

    world.submit(2, job(vec![best_effort(4, "render")]));
    world.run_ms(1_000);
    let beside = world.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    let done = world.run_until(3_000, |it| it.state(2) == JobState::Completed);

    assert_eq!(beside, 0);
    assert!(done);
}

/// A step of best-effort tasks is so large that no worker can ever give one of them all that it asks
/// for. It starts all the same where nothing of its kind runs: waiting would take forever.
#[test]
fn what_can_never_work_at_full_pace_starts_where_it_is_alone() {
    let mut world = sharing_workers(2);
    world.work = |task| if task.job.0 == 1 { LASTS_MS } else { 500 };
    world.run_ms(200);
    world.submit(1, job(vec![long_running(8)]));
    world.run_ms(300);
    let large = best_effort(2, "render");
    let need = daisy_model::Resources { cpu_milli: 3_500, ..large.need };

    world.submit(2, job(vec![StepSpec { need, ..large }]));
    let done = world.run_until(5_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// Late, a wide job that has begun must not wait behind all that comes anew while it is still of use.
#[test]
fn a_wide_job_that_has_begun_is_finished_beside_small_ones() {
    let mut world = World::new((0..2).map(|at| FakeWorker::new(&format!("w{at}"), 4)).collect());
    world.work = |_| 450;
    world.run_ms(200);
    let short = |count| StepSpec { estimate_ms: 450, ..step(count) };

    world.submit(0, job(vec![short(48)]));
    let mut next = 1;
    for _ in 0..55 {
        world.submit(next, job(vec![short(1)]));
        next += 1;
        world.run_ms(100);
    }

    assert_eq!(world.state(0), JobState::Completed);
    let in_time = completed(&world, 1..next);
    assert!(in_time >= 20, "{in_time} small jobs are done");
}
