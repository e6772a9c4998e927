//! More work than the workers can do: which jobs meet their deadline.

mod util;

use daisy_workflow::{JobState, StepSpec};

use util::{
    FakeWorker, LONG_RUNNING_WORK_MS, Simulation, best_effort, job, long_running_step, step,
};

/// Returns workers of four cores each, which more runs share equally.
fn sharing_workers(count: usize) -> Simulation {
    let worker =
        |at| FakeWorker { shares_processors: true, ..FakeWorker::new(&format!("w{at}"), 4) };
    Simulation::new((0..count).map(worker).collect())
}

fn completed(sim: &Simulation, jobs: std::ops::Range<u64>) -> usize {
    jobs.filter(|it| sim.state(*it) == JobState::Completed).count()
}

/// Ten callers submit a job each at the same time, twice as much as the workers can do within the
/// objective of 3 s. If all tasks started at once, each would get a fifth of a core, and all ten
/// callers would have their results after 5 s, none in time. With a queue, half are served in time
/// and the others no later than before.
#[test]
fn some_jobs_of_a_burst_meet_their_objective() {
    let mut sim = sharing_workers(2);
    sim.run_ms(200);

    for id in 0..10 {
        sim.submit(id, job(vec![best_effort(4, "render")]));
    }
    sim.run_ms(3_000);
    let in_time = completed(&sim, 0..10);
    let all = sim.run_until(4_000, |it| completed(it, 0..10) == 10);

    assert!(in_time >= 4, "{in_time} jobs were done in time");
    assert!(all);
}

/// Jobs of two steps arrive one after the other, somewhat more than the workers can do. If first
/// steps of new jobs took the capacity of second steps of old ones, all jobs would begin and none
/// would finish. Jobs that are nearly done go first, so that complete results come all the time.
#[test]
fn jobs_that_are_nearly_done_go_before_new_jobs() {
    let mut sim = sharing_workers(2);
    sim.run_ms(200);

    let mut next = 0;
    for _ in 0..10 {
        for _ in 0..2 {
            let second = StepSpec { depends_on: vec![0], ..best_effort(4, "render") };
            sim.submit(next, job(vec![best_effort(4, "render"), second]));
            next += 1;
        }
        sim.run_ms(1_000);
    }

    // Ten seconds of eight cores are eighty tasks, ten whole jobs.
    let done = completed(&sim, 0..next);
    assert!(done >= 8, "{done} jobs of {next} are done");
}

/// A worker without serving tasks is idle while others are full. Best-effort tasks wait where they
/// would run very slowly, and start where processors are idle as soon as there are any.
#[test]
fn best_effort_tasks_wait_for_idle_processors() {
    let mut sim = sharing_workers(1);
    sim.work_ms = |task| if task.job.0 == 1 { 2_000 } else { 500 };
    sim.run_ms(200);
    sim.submit(1, job(vec![step(4)]));
    sim.run_ms(300);

    sim.submit(2, job(vec![best_effort(4, "render")]));
    sim.run_ms(1_000);
    let starts_on_full_worker = sim.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    let done = sim.run_until(3_000, |it| it.state(2) == JobState::Completed);

    assert_eq!(starts_on_full_worker, 0);
    assert!(done);
}

/// A step of best-effort tasks is so large that no worker can ever give one of them all the
/// processor time it requests. It starts where no other best-effort task runs: it would wait
/// forever otherwise.
#[test]
fn a_best_effort_task_larger_than_any_free_capacity_starts_where_it_runs_alone() {
    let mut sim = sharing_workers(2);
    sim.work_ms = |task| if task.job.0 == 1 { LONG_RUNNING_WORK_MS } else { 500 };
    sim.run_ms(200);
    sim.submit(1, job(vec![long_running_step(8)]));
    sim.run_ms(300);
    let large = best_effort(2, "render");
    let need = daisy_model::Resources { cpu_milli: 3_500, ..large.need };

    sim.submit(2, job(vec![StepSpec { need, ..large }]));
    let done = sim.run_until(5_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// A wide job that has begun and is past its target must not wait behind all newly arriving jobs
/// while its result is still useful.
#[test]
fn a_wide_job_that_has_begun_completes_beside_small_ones() {
    let mut sim = Simulation::new((0..2).map(|at| FakeWorker::new(&format!("w{at}"), 4)).collect());
    sim.work_ms = |_| 450;
    sim.run_ms(200);
    let short = |count| StepSpec { estimate_ms: 450, ..step(count) };

    sim.submit(0, job(vec![short(48)]));
    let mut next = 1;
    for _ in 0..55 {
        sim.submit(next, job(vec![short(1)]));
        next += 1;
        sim.run_ms(100);
    }

    assert_eq!(sim.state(0), JobState::Completed);
    let in_time = completed(&sim, 1..next);
    assert!(in_time >= 20, "{in_time} small jobs are done");
}

/// A best-effort job runs beside a serving task whose own load rises while it runs. Guards against
/// throttling it for a headroom at which none would start: it would be late, and the serving task
/// meets its target.
#[test]
fn a_running_best_effort_job_keeps_its_pace_while_the_serving_task_is_under_its_target() {
    let mut sim = sharing_workers(1);
    sim.work_ms = |task| if task.job.0 == 0 { LONG_RUNNING_WORK_MS } else { 3_000 };
    sim.submit(0, job(vec![long_running_step(1)]));
    sim.run_ms(3_000);
    sim.submit(1, job(vec![best_effort(1, "render")]));
    sim.run_ms(500);

    for tail_latency_ms in [15, 20, 25, 30, 34, 37] {
        sim.workers[0].tail_latency_ms = tail_latency_ms;
        sim.run_ms(300);
    }
    let in_time = sim.run_until(900, |it| it.state(1) == JobState::Completed);

    assert!(in_time);
}
