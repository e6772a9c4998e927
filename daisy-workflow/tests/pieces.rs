//! Fleets that are nearly full of tasks that last, and tasks of a second that find no room.

mod util;

use daisy_model::Resources;
use daisy_workflow::{Handover, JobState, Layout, Record, ShardId, StepSpec, TaskId};

use util::{
    CORE, FakeWorker, Fault, LONG_RUNNING_WORK_MS, Simulation, job, long_running_step, step, task,
};

/// Jobs with smaller ids last.
const FIRST_QUICK: u64 = 100;

fn work(task: TaskId) -> u64 {
    if task.job.0 < FIRST_QUICK { LONG_RUNNING_WORK_MS } else { 500 }
}

/// Workers with these many cores.
fn sim(cores: &[u32]) -> Simulation {
    let worker = |(at, cores): (usize, &u32)| FakeWorker::new(&format!("w{at}"), *cores);
    let mut sim = Simulation::new(cores.iter().enumerate().map(worker).collect());
    sim.work_ms = work;
    sim.run_ms(200);
    sim
}

/// A step whose tasks need this many cores.
fn wide(step: StepSpec, cores: u32) -> StepSpec {
    StepSpec { need: Resources { cpu_milli: cores * CORE, ..step.need }, ..step }
}

/// Two workers of six cores, each with two tasks that last and two cores that are free.
fn two_pieces() -> Simulation {
    two_pieces_of(&long_running_step(1))
}

fn two_pieces_of(step: &StepSpec) -> Simulation {
    let mut sim = sim(&[6, 6]);
    for id in 0..6 {
        sim.submit(id, job(vec![wide(step.clone(), 2)]));
        sim.run_ms(100);
    }
    sim.cancel(2);
    sim.cancel(5);
    sim.run_ms(3_500);
    sim
}

/// How many times a task was started.
fn starts(sim: &Simulation, task: TaskId) -> usize {
    sim.starts.iter().filter(|(it, ..)| *it == task).count()
}

/// Free cores in pieces that are too small kept a task from starting for good.
#[test]
fn a_task_that_lasts_moves_for_one_that_needs_both_pieces() {
    let mut sim = two_pieces();

    sim.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
    let served = sim.run_until(3_000, |it| it.state(FIRST_QUICK) == JobState::Completed);
    sim.run_ms(1_000);

    assert!(served);
    for id in [0, 1, 3, 4] {
        assert_eq!(sim.workers_running(task(id, 0, 0)).len(), 1, "job {id}");
    }
    let started: usize = [0, 1, 3, 4].iter().map(|id| starts(&sim, task(*id, 0, 0))).sum();
    assert_eq!(started, 5, "one of four has moved");
}

/// A task that was stopped to move stayed down when the owner died before it had started it elsewhere.
#[test]
fn a_task_that_moves_starts_once_though_its_owner_dies() {
    for after_ms in (0..700).step_by(50) {
        let mut sim = two_pieces();
        sim.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
        sim.run_ms(after_ms);

        sim.change_owner(true);
        sim.run_ms(6_000);

        for id in [0, 1, 3, 4] {
            assert_eq!(sim.workers_running(task(id, 0, 0)).len(), 1, "job {id}, {after_ms} ms");
        }
        assert_eq!(sim.state(FIRST_QUICK), JobState::Completed, "{after_ms} ms");
    }
}

/// Each move costs the callers of a task that lasts a second without it.
#[test]
fn nothing_moves_where_all_find_room() {
    let mut sim = two_pieces();

    for id in FIRST_QUICK..FIRST_QUICK + 10 {
        sim.submit(id, job(vec![wide(step(2), 2)]));
        sim.run_ms(700);
    }

    for id in [0, 1, 3, 4] {
        assert_eq!(starts(&sim, task(id, 0, 0)), 1, "job {id}");
    }
}

/// A member of a gang would take all others with it, and a step that allows none away would break its word.
#[test]
fn what_may_not_be_away_does_not_move() {
    let gang = StepSpec { gang: true, ..long_running_step(1) };
    let bound = StepSpec { max_unavailable: Some(0), ..long_running_step(1) };

    for step in [gang, bound] {
        let mut sim = two_pieces_of(&step);
        let before = sim.starts.len();
        sim.submit(FIRST_QUICK, job(vec![wide(util::step(1), 4)]));
        sim.run_ms(3_000);

        assert_eq!(sim.starts.len(), before, "{step:?}");
    }
}

/// A move beside a worker that is cut off would take two of a step from its callers at one time.
#[test]
fn nothing_moves_while_another_task_of_its_step_is_away() {
    let mut sim = sim(&[6, 6, 8]);
    let one_each = |_| StepSpec { max_per_worker: 1, ..wide(long_running_step(2), 2) };
    for (at, elsewhere) in [(0, "w1"), (1, "w1"), (2, "w0"), (3, "w0")] {
        sim.worker(elsewhere).listed = false;
        sim.submit(at, job(vec![one_each(at)]));
        sim.run_ms(300);
        sim.worker(elsewhere).listed = true;
        sim.run_ms(100);
    }
    sim.run_ms(3_500);
    sim.worker("w2").fault = Fault::Unreachable;
    sim.run_ms(500);
    let before = sim.starts.len();

    sim.submit(FIRST_QUICK, job(vec![wide(step(1), 4)]));
    sim.run_ms(1_500);

    assert_eq!(sim.starts.len(), before);
}

/// Tasks that last took all room as it came free, and none was left to those of half a second.
#[test]
fn what_lasts_leaves_room_for_a_second_to_what_can_be_in_time() {
    let mut sim = sim(&[4, 4]);
    sim.submit(0, job(vec![wide(long_running_step(1), 4)]));
    sim.run_ms(300);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_QUICK, short());
    sim.run_ms(200);

    sim.submit(1, job(vec![wide(long_running_step(1), 4)]));
    sim.submit(FIRST_QUICK + 1, short());
    let served = sim.run_until(1_200, |it| it.state(FIRST_QUICK + 1) == JobState::Completed);
    let lasts = sim.run_until(1_800, |it| it.workers_running(task(1, 0, 0)).len() == 1);

    assert!(served);
    assert!(lasts);
}

/// What lasts waited for as long as quick jobs kept coming.
#[test]
fn what_lasts_is_not_put_off_for_longer() {
    let mut sim = sim(&[4]);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_QUICK, short());
    sim.run_ms(100);

    sim.submit(0, job(vec![wide(long_running_step(1), 4)]));
    for id in FIRST_QUICK + 1..FIRST_QUICK + 9 {
        sim.submit(id, short());
        sim.run_ms(300);
    }

    assert_eq!(sim.workers_running(task(0, 0, 0)).len(), 1);
}

/// A task that was handed on left room to quick jobs in each shard anew.
#[test]
fn what_was_handed_on_has_left_its_room_already() {
    let worker = FakeWorker::new("w0", 4);
    let mut sim = Simulation::of_shard(vec![worker], ShardId(0), Layout { shards: 2 });
    sim.work_ms = work;
    sim.run_ms(200);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_QUICK, short());
    sim.run_ms(100);
    let spec = job(vec![wide(long_running_step(1), 4)]);
    let handover = Handover { hop: 1, spec, runs: 0, failures: 0, checkpoint: String::new() };

    sim.write(Record::TaskSubmitted(task(0, 0, 0), Box::new(handover)));
    sim.submit(FIRST_QUICK + 1, short());
    let lasts = sim.run_until(700, |it| it.workers_running(task(0, 0, 0)).len() == 1);

    assert!(lasts);
}
