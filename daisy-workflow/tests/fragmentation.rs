//! Workers that are nearly full of long-running tasks, and short tasks that find no capacity.

mod util;

use daisy_model::Resources;
use daisy_workflow::{IncomingTransfer, JobState, Layout, Record, ShardId, StepSpec, TaskId};

use util::{
    CORE, FakeWorker, Fault, LONG_RUNNING_WORK_MS, Simulation, job, long_running_step, step, task,
};

/// Jobs with smaller ids are long-running.
const FIRST_SHORT_JOB: u64 = 100;

fn work_ms(task: TaskId) -> u64 {
    if task.job.0 < FIRST_SHORT_JOB { LONG_RUNNING_WORK_MS } else { 500 }
}

/// Returns workers with these numbers of cores.
fn simulation_with(cores: &[u32]) -> Simulation {
    let worker = |(at, cores): (usize, &u32)| FakeWorker::new(&format!("w{at}"), *cores);
    let mut sim = Simulation::new(cores.iter().enumerate().map(worker).collect());
    sim.work_ms = work_ms;
    sim.run_ms(200);
    sim
}

/// Returns the step with this number of cores for each task.
fn wide(step: StepSpec, cores: u32) -> StepSpec {
    StepSpec { need: Resources { cpu_milli: cores * CORE, ..step.need }, ..step }
}

/// Returns two workers of six cores, each with two long-running tasks and two free cores.
fn two_fragmented_workers() -> Simulation {
    two_fragmented_workers_with(&long_running_step(1))
}

fn two_fragmented_workers_with(step: &StepSpec) -> Simulation {
    let mut sim = simulation_with(&[6, 6]);
    for id in 0..6 {
        sim.submit(id, job(vec![wide(step.clone(), 2)]));
        sim.run_ms(100);
    }
    sim.cancel(2);
    sim.cancel(5);
    sim.run_ms(3_500);
    sim
}

/// Returns how often a task was started.
fn starts(sim: &Simulation, task: TaskId) -> usize {
    sim.starts.iter().filter(|(it, ..)| *it == task).count()
}

/// Fragmented free cores kept a task from ever starting.
#[test]
fn a_long_running_task_moves_to_free_cores_for_a_larger_task() {
    let mut sim = two_fragmented_workers();

    sim.submit(FIRST_SHORT_JOB, job(vec![wide(step(1), 4)]));
    let completed = sim.run_until(3_000, |it| it.state(FIRST_SHORT_JOB) == JobState::Completed);
    sim.run_ms(1_000);

    assert!(completed);
    for id in [0, 1, 3, 4] {
        assert_eq!(sim.workers_running(task(id, 0, 0)).len(), 1, "job {id}");
    }
    let started: usize = [0, 1, 3, 4].iter().map(|id| starts(&sim, task(*id, 0, 0))).sum();
    assert_eq!(started, 5, "exactly one of the four tasks has moved");
}

/// A task that was stopped in order to move stayed down when the owner died before it had started
/// the task elsewhere.
#[test]
fn a_task_that_moves_is_started_once_when_its_owner_dies() {
    for after_ms in (0..700).step_by(50) {
        let mut sim = two_fragmented_workers();
        sim.submit(FIRST_SHORT_JOB, job(vec![wide(step(1), 4)]));
        sim.run_ms(after_ms);

        sim.change_owner(true);
        sim.run_ms(6_000);

        for id in [0, 1, 3, 4] {
            assert_eq!(sim.workers_running(task(id, 0, 0)).len(), 1, "job {id}, {after_ms} ms");
        }
        assert_eq!(sim.state(FIRST_SHORT_JOB), JobState::Completed, "{after_ms} ms");
    }
}

/// Each move interrupts the service of a long-running task for a second.
#[test]
fn no_task_moves_when_all_tasks_fit() {
    let mut sim = two_fragmented_workers();

    for id in FIRST_SHORT_JOB..FIRST_SHORT_JOB + 10 {
        sim.submit(id, job(vec![wide(step(2), 2)]));
        sim.run_ms(700);
    }

    for id in [0, 1, 3, 4] {
        assert_eq!(starts(&sim, task(id, 0, 0)), 1, "job {id}");
    }
}

/// To move a member of a gang, all other members would have to stop; a step with `max_unavailable`
/// 0 allows no task to be down.
#[test]
fn tasks_of_gangs_and_of_steps_without_allowed_downtime_do_not_move() {
    let gang = StepSpec { gang: true, ..long_running_step(1) };
    let bound = StepSpec { max_unavailable: Some(0), ..long_running_step(1) };

    for step in [gang, bound] {
        let mut sim = two_fragmented_workers_with(&step);
        let before = sim.starts.len();
        sim.submit(FIRST_SHORT_JOB, job(vec![wide(util::step(1), 4)]));
        sim.run_ms(3_000);

        assert_eq!(sim.starts.len(), before, "{step:?}");
    }
}

/// A move while another worker is unreachable would take down two tasks of a step at the same time.
#[test]
fn no_task_moves_while_another_task_of_its_step_is_down() {
    let mut sim = simulation_with(&[6, 6, 8]);
    let one_per_worker = |_| StepSpec { max_per_worker: 1, ..wide(long_running_step(2), 2) };
    for (at, elsewhere) in [(0, "w1"), (1, "w1"), (2, "w0"), (3, "w0")] {
        sim.worker(elsewhere).listed = false;
        sim.submit(at, job(vec![one_per_worker(at)]));
        sim.run_ms(300);
        sim.worker(elsewhere).listed = true;
        sim.run_ms(100);
    }
    sim.run_ms(3_500);
    sim.worker("w2").fault = Fault::Unreachable;
    sim.run_ms(500);
    let before = sim.starts.len();

    sim.submit(FIRST_SHORT_JOB, job(vec![wide(step(1), 4)]));
    sim.run_ms(1_500);

    assert_eq!(sim.starts.len(), before);
}

/// Long-running tasks took all capacity as it became free, and left none to tasks of half a second.
#[test]
fn a_long_running_task_leaves_capacity_for_a_second_to_a_task_that_can_meet_its_deadline() {
    let mut sim = simulation_with(&[4, 4]);
    sim.submit(0, job(vec![wide(long_running_step(1), 4)]));
    sim.run_ms(300);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_SHORT_JOB, short());
    sim.run_ms(200);

    sim.submit(1, job(vec![wide(long_running_step(1), 4)]));
    sim.submit(FIRST_SHORT_JOB + 1, short());
    let completed = sim.run_until(1_200, |it| it.state(FIRST_SHORT_JOB + 1) == JobState::Completed);
    let long_running_started =
        sim.run_until(1_800, |it| it.workers_running(task(1, 0, 0)).len() == 1);

    assert!(completed);
    assert!(long_running_started);
}

/// A long-running task was delayed for as long as short jobs kept arriving.
#[test]
fn a_long_running_task_is_not_delayed_for_longer_by_short_jobs() {
    let mut sim = simulation_with(&[4]);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_SHORT_JOB, short());
    sim.run_ms(100);

    sim.submit(0, job(vec![wide(long_running_step(1), 4)]));
    for id in FIRST_SHORT_JOB + 1..FIRST_SHORT_JOB + 9 {
        sim.submit(id, short());
        sim.run_ms(300);
    }

    assert_eq!(sim.workers_running(task(0, 0, 0)).len(), 1);
}

/// A transferred task yielded capacity to short jobs once more in each shard.
#[test]
fn a_transferred_long_running_task_does_not_wait_for_short_jobs_again() {
    let worker = FakeWorker::new("w0", 4);
    let mut sim = Simulation::of_shard(vec![worker], ShardId(0), Layout { shards: 2 });
    sim.work_ms = work_ms;
    sim.run_ms(200);
    let short = || job(vec![StepSpec { estimate_ms: 500, ..wide(step(1), 4) }]);
    sim.submit(FIRST_SHORT_JOB, short());
    sim.run_ms(100);
    let spec = job(vec![wide(long_running_step(1), 4)]);
    let handover =
        IncomingTransfer { number: 1, spec, runs: 0, failures: 0, checkpoint: String::new() };

    sim.write(Record::TaskTransferredIn(task(0, 0, 0), Box::new(handover)));
    sim.submit(FIRST_SHORT_JOB + 1, short());
    let long_running_started =
        sim.run_until(700, |it| it.workers_running(task(0, 0, 0)).len() == 1);

    assert!(long_running_started);
}
