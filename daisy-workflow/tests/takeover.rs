//! Tasks that last while their owner changes and their worker is out of reach.

mod util;

use daisy_workflow::ShardId;
use util::{FakeWorker, Fault, Fleet, LASTS_MS, World, job, long_running, task};

const TASKS: u32 = 10;

/// Milliseconds without a disturbance after which a task that lasts has to be at work where there is
/// room, as the platform's contract has it.
const CALM_MS: u64 = 7_000;

/// Five workers with room for twice the tasks that last, all of which have been at work for a while.
fn at_work() -> World {
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let mut world = World::new(names.map(|it| FakeWorker::new(it, 4)).into());
    world.work = |_| LASTS_MS;
    world.submit(1, job(vec![long_running(TASKS)]));
    assert!(world.run_until(1_000, all_run), "no room in an empty fleet");
    world.run_ms(3_000);
    world
}

fn all_run(world: &World) -> bool {
    (0..TASKS).all(|it| !world.places(task(1, 0, it)).is_empty())
}

/// A worker with some of the tasks crashes and does not come back.
fn lose_a_worker(world: &mut World) {
    let worker = world.workers.iter_mut().find(|it| !it.runs.is_empty()).expect("one at work");
    worker.runs.clear();
    worker.listed = false;
    worker.fault = Fault::Cut;
}

/// A task was down for 15 s as the new owner allowed for renewals by the one before.
#[test]
fn a_task_of_a_lost_worker_starts_elsewhere_soon_after_a_change_of_owner() {
    let mut world = at_work();
    lose_a_worker(&mut world);

    world.change_owner(false);
    let again = world.run_until(CALM_MS, all_run);

    assert!(again, "a task that lasts is down after {CALM_MS} ms");
}

/// Each owner that followed another waited anew, however long the ones before had waited.
#[test]
fn owners_that_follow_each_other_add_no_wait() {
    let mut world = at_work();
    lose_a_worker(&mut world);

    for _ in 0..4 {
        world.change_owner(false);
        world.run_ms(3_000);
    }
    let again = world.run_until(CALM_MS - 3_000, all_run);

    assert!(again, "a task that lasts is down {CALM_MS} ms after the last change");
}

/// Guards against renewals by an owner that has been replaced by one with most of the workers.
#[test]
fn an_owner_without_the_log_and_most_workers_renews_nothing() {
    let mut world = at_work();
    let at = world.workers.iter().position(|it| !it.runs.is_empty()).expect("one at work");
    world.log_up = false;
    for it in (0..5).filter(|it| *it != at).take(3) {
        world.workers[it].fault = Fault::Cut;
    }

    world.run_ms(6_500);

    assert!(world.workers[at].runs.is_empty(), "renewed after most workers were gone");
}

/// Guards against work that is lost in an outage of the log as some workers are out of reach.
#[test]
fn an_owner_without_the_log_goes_on_with_most_of_its_workers() {
    let mut world = at_work();
    let at = world.workers.iter().position(|it| !it.runs.is_empty()).expect("one at work");
    let before = world.workers[at].tasks();
    world.log_up = false;
    for it in (0..5).filter(|it| *it != at).take(2) {
        world.workers[it].fault = Fault::Cut;
    }

    world.run_ms(9_000);

    assert_eq!(world.workers[at].tasks(), before);
}

/// A task waited for room in its shard once more, after it had been away for longer than that.
#[test]
fn a_task_of_a_lost_worker_is_handed_on_soon_after_a_change_of_owner() {
    let workers =
        |names: &[&str], cores| names.iter().map(|it| FakeWorker::new(it, cores)).collect();
    let mut fleet = Fleet::new(vec![workers(&["a", "b", "c"], 4), workers(&["d", "e"], 8)]);
    let id = fleet.job_of(ShardId(0));
    fleet.worlds[0].submit(id.0, job(vec![long_running(12)]));
    fleet.run_ms(8_000);
    assert!(fleet.worlds[0].workers.iter().all(|it| it.runs.len() == 4), "its shard is full");
    let lost = &mut fleet.worlds[0].workers[0];
    lost.runs.clear();
    lost.listed = false;
    lost.fault = Fault::Cut;
    fleet.worlds[0].change_owner(false);

    fleet.run_told(CALM_MS);

    assert!((0..12).all(|it| !fleet.places(task(id.0, 0, it)).is_empty()));
}
