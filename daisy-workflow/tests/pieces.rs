//! Fleets that are nearly full of tasks that last, and tasks of a second that find no room.

mod util;

use daisy_model::Resources;
use daisy_workflow::{IncomingTransfer, JobState, Layout, Record, ShardId, StepSpec, TaskId};

use util::{CORE, FakeWorker, Fault, LASTS_MS, World, job, long_running, step, task};

/// Jobs with smaller ids last.
const FIRST_QUICK: u64 = 100;

fn work(task: TaskId) -> u64 {
    if task.job.0 < FIRST_QUICK { LASTS_MS } else { 500 }
}

/// Workers with these many cores.
fn world(cores: &[u32]) -> World {
    let worker = |(at, cores): (usize, &u32)| FakeWorker::new(&format!("w{at}"), *cores);
    let mut world = World::new(cores.iter().enumerate().map(worker).collect());
    world.work = work;
    world.run_ms(200);
    world
}

/// A step whose tasks need this many cores.
fn wide(step: StepSpec, cores: u32) -> StepSpec {
    StepSpec { need: Resources { cpu_milli: cores * CORE, ..step.need }, ..step }
}

/// Two workers of six cores, each with two tasks that last and two cores that are free.
fn two_pieces() -> World {
    two_pieces_of(&long_running(1))
}

fn two_pieces_of(step: &StepSpec) -> World {
    let mut world = world(&[6, 6]);
    for id in 0..6 {
        world.submit(id, job(vec![wide(step.clone(), 2)]));
        world.run_ms(100);
    }
    world.cancel(2);
    world.cancel(5);
    world.run_ms(3_500);
    world
}

/// How many times a task was started.
fn starts(world: &World, task: TaskId) -> usize {
    world.starts.iter().filter(|(it, ..)| *it == task).count()
}

/// Free cores in pieces that are too small kept a task from starting for good.
#[test]
fn a_task_that_lasts_moves_for_one_that_needs_both_pieces() {
    let mut world = two_pieces();

    world.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
    let served = world.run_until(3_000, |it| it.state(FIRST_QUICK) == JobState::Completed);
    world.run_ms(1_000);

    assert!(served);
    for id in [0, 1, 3, 4] {
        assert_eq!(world.places(task(id, 0, 0)).len(), 1, "job {id}");
    }
    let started: usize = [0, 1, 3, 4].iter().map(|id| starts(&world, task(*id, 0, 0))).sum();
    assert_eq!(started, 5, "one of four has moved");
}

/// A task that was stopped to move stayed down when the owner died before it had started it elsewhere.
#[test]
fn a_task_that_moves_starts_once_though_its_owner_dies() {
    for after_ms in (0..700).step_by(50) {
        let mut world = two_pieces();
        world.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
        world.run_ms(after_ms);

        world.change_owner(true);
        world.run_ms(6_000);

        for id in [0, 1, 3, 4] {
            assert_eq!(world.places(task(id, 0, 0)).len(), 1, "job {id}, {after_ms} ms");
        }
        assert_eq!(world.state(FIRST_QUICK), JobState::Completed, "{after_ms} ms");
    }
}

/// Each move costs the callers of a task that lasts a second without it.
#[test]
fn nothing_moves_where_all_find_room() {
    let mut world = two_pieces();

    for id in FIRST_QUICK..FIRST_QUICK + 10 {
        world.submit(id, job(vec![wide(step(2), 2)]));
        world.run_ms(700);
    }

    for id in [0, 1, 3, 4] {
        assert_eq!(starts(&world, task(id, 0, 0)), 1, "job {id}");
    }
}

/// A member of a gang would take all others with it, and a step that allows none away would break its word.
#[test]
fn what_may_not_be_away_does_not_move() {
    let gang = StepSpec { gang: true, ..long_running(1) };
    let bound = StepSpec { max_unavailable: Some(0), ..long_running(1) };

    for step in [gang, bound] {
        let mut world = two_pieces_of(&step);
        let before = world.starts.len();
        world.submit(FIRST_QUICK, job(vec![wide(util::step(1), 4)]));
        world.run_ms(3_000);

        assert_eq!(world.starts.len(), before, "{step:?}");
    }
}

/// A move beside a worker that is cut off would take two of a step from its callers at one time.
#[test]
fn nothing_moves_while_another_task_of_its_step_is_away() {
    let mut world = world(&[6, 6, 8]);
    let one_each = |_| StepSpec { max_per_worker: 1, ..wide(long_running(2), 2) };
    for (at, elsewhere) in [(0, "w1"), (1, "w1"), (2, "w0"), (3, "w0")] {
        world.worker(elsewhere).listed = false;
        world.submit(at, job(vec![one_each(at)]));
        world.run_ms(300);
        world.worker(elsewhere).listed = true;
        world.run_ms(100);
    }
    world.run_ms(3_500);
    world.worker("w2").fault = Fault::Cut;
    world.run_ms(500);
    let before = world.starts.len();

    world.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
    world.run_ms(1_500);

    assert_eq!(world.starts.len(), before);
}

/// Tasks that last took all room as it came free, and none was left to those of half a second.
#[test]
fn what_lasts_leaves_room_for_a_second_to_what_can_be_in_time() {
    let mut world = world(&[4, 4]);
    world.submit(0, job(vec![wide(long_running(1), 4)]));
    world.run_ms(300);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    world.submit(FIRST_QUICK, short());
    world.run_ms(200);

    world.submit(1, job(vec![wide(long_running(1), 4)]));
    world.submit(FIRST_QUICK + 1, short());
    let served = world.run_until(1_200, |it| it.state(FIRST_QUICK + 1) == JobState::Completed);
    let lasts = world.run_until(1_800, |it| it.places(task(1, 0, 0)).len() == 1);

    assert!(served);
    assert!(lasts);
}

/// What lasts waited for as long as quick jobs kept coming.
#[test]
fn what_lasts_is_not_put_off_for_longer() {
    let mut world = world(&[4]);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    world.submit(FIRST_QUICK, short());
    world.run_ms(100);

    world.submit(0, job(vec![wide(long_running(1), 4)]));
    for id in FIRST_QUICK + 1..FIRST_QUICK + 9 {
        world.submit(id, short());
        world.run_ms(300);
    }

    assert_eq!(world.places(task(0, 0, 0)).len(), 1);
}

/// A task that was handed on left room to quick jobs in each shard anew.
#[test]
fn what_was_handed_on_has_left_its_room_already() {
    let worker = FakeWorker::new("w0", 4);
    let mut world = World::of_shard(vec![worker], ShardId(0), Layout { shards: 2 });
    world.work = work;
    world.run_ms(200);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    world.submit(FIRST_QUICK, short());
    world.run_ms(100);
    let spec = job(vec![wide(long_running(1), 4)]);
    let handover =
        IncomingTransfer { hop: 1, spec, runs: 0, failures: 0, checkpoint: String::new() };

    world.write(Record::TaskTransferredIn(task(0, 0, 0), Box::new(handover)));
    world.submit(FIRST_QUICK + 1, short());
    let lasts = world.run_until(700, |it| it.places(task(0, 0, 0)).len() == 1);

    assert!(lasts);
}
