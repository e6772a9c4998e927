//! Long-running tasks while their owner changes and their worker is unreachable.

mod util;

use daisy_workflow::ShardId;
use util::{
    FakeWorker, Fault, LONG_RUNNING_WORK_MS, ShardedSimulation, Simulation, job, long_running_step,
    task,
};

const TASKS: u32 = 10;

/// Milliseconds without a fault after which a long-running task has to run where there is capacity,
/// as the platform's contract requires.
const MAX_RECOVERY_MS: u64 = 7_000;

/// Returns five workers with capacity for twice the long-running tasks, all of which have run for a
/// while.
fn with_running_tasks() -> Simulation {
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let mut sim = Simulation::new(names.map(|it| FakeWorker::new(it, 4)).into());
    sim.work_ms = |_| LONG_RUNNING_WORK_MS;
    sim.submit(1, job(vec![long_running_step(TASKS)]));
    assert!(sim.run_until(1_000, all_run), "all tasks start on idle workers");
    sim.run_ms(3_000);
    sim
}

fn all_run(sim: &Simulation) -> bool {
    (0..TASKS).all(|it| !sim.workers_running(task(1, 0, it)).is_empty())
}

/// Crashes a worker that runs some of the tasks; it does not come back.
fn lose_a_worker(sim: &mut Simulation) {
    let worker =
        sim.workers.iter_mut().find(|it| !it.runs.is_empty()).expect("a worker runs a task");
    worker.runs.clear();
    worker.listed = false;
    worker.fault = Fault::Unreachable;
}

/// A task was down for 15 s because the new owner waited for leases that the previous one might
/// have renewed.
#[test]
fn a_task_of_a_lost_worker_restarts_elsewhere_within_7_s_of_an_owner_change() {
    let mut sim = with_running_tasks();
    lose_a_worker(&mut sim);

    sim.change_owner(false);
    let all_restarted = sim.run_until(MAX_RECOVERY_MS, all_run);

    assert!(all_restarted, "a long-running task is down after {MAX_RECOVERY_MS} ms");
}

/// Each new owner restarted the wait, however long the previous owners had waited.
#[test]
fn repeated_owner_changes_do_not_extend_the_wait() {
    let mut sim = with_running_tasks();
    lose_a_worker(&mut sim);

    for _ in 0..4 {
        sim.change_owner(false);
        sim.run_ms(3_000);
    }
    let all_restarted = sim.run_until(MAX_RECOVERY_MS - 3_000, all_run);

    assert!(
        all_restarted,
        "a long-running task is down {MAX_RECOVERY_MS} ms after the last change"
    );
}

/// Guards against renewals by an owner that has been replaced by one that reaches most of the
/// workers.
#[test]
fn an_owner_that_reaches_neither_the_log_nor_most_workers_renews_no_lease() {
    let mut sim = with_running_tasks();
    let at = sim.workers.iter().position(|it| !it.runs.is_empty()).expect("a worker runs a task");
    sim.log_up = false;
    for it in (0..5).filter(|it| *it != at).take(3) {
        sim.workers[it].fault = Fault::Unreachable;
    }

    sim.run_ms(6_500);

    assert!(
        sim.workers[at].runs.is_empty(),
        "a lease was renewed while most workers were unreachable"
    );
}

/// Guards against work that is lost in an outage of the log while some workers are unreachable.
#[test]
fn an_owner_without_the_log_keeps_renewing_while_it_reaches_most_workers() {
    let mut sim = with_running_tasks();
    let at = sim.workers.iter().position(|it| !it.runs.is_empty()).expect("a worker runs a task");
    let before = sim.workers[at].tasks();
    sim.log_up = false;
    for it in (0..5).filter(|it| *it != at).take(2) {
        sim.workers[it].fault = Fault::Unreachable;
    }

    sim.run_ms(9_000);

    assert_eq!(sim.workers[at].tasks(), before);
}

/// A task waited for capacity in its shard once more, though it had already been down for longer
/// than that.
#[test]
fn a_task_of_a_lost_worker_is_transferred_within_7_s_of_an_owner_change() {
    let workers =
        |names: &[&str], cores| names.iter().map(|it| FakeWorker::new(it, cores)).collect();
    let mut sim =
        ShardedSimulation::new(vec![workers(&["a", "b", "c"], 4), workers(&["d", "e"], 8)]);
    let id = sim.job_id_of(ShardId(0));
    sim.shards[0].submit(id.0, job(vec![long_running_step(12)]));
    sim.run_ms(8_000);
    assert!(sim.shards[0].workers.iter().all(|it| it.runs.len() == 4), "its shard is full");
    let lost = &mut sim.shards[0].workers[0];
    lost.runs.clear();
    lost.listed = false;
    lost.fault = Fault::Unreachable;
    sim.shards[0].change_owner(false);

    sim.run_with_loads_ms(MAX_RECOVERY_MS);

    assert!((0..12).all(|it| !sim.workers_running(task(id.0, 0, it)).is_empty()));
}
