//! Seeded fault schedules against the owner. The simulation checks its invariants at each step;
//! after all faults have ended, every job completes.

mod util;

use daisy_workflow::{JobSpec, JobState};
use util::{
    FakeWorker, Fault, Simulation, constrained_job, constrained_job_due_later, job,
    long_running_step, step, step_after,
};

const JOBS: u64 = 12;

fn plain_job(rng: &mut fastrand::Rng) -> JobSpec {
    job(match rng.u8(..4) {
        0 => vec![step(rng.u32(1..8)), step_after(&[0], step(rng.u32(1..6)))],
        1 => vec![long_running_step(rng.u32(1..3))],
        _ => vec![step(rng.u32(1..10))],
    })
}

/// A kind of schedule.
#[derive(Clone, Copy)]
struct Schedule {
    next_job: fn(&mut fastrand::Rng) -> JobSpec,
    fault: fn(&mut fastrand::Rng, &mut Simulation),
    /// Whether owners read the simulation's time, so that set times come once they have passed.
    has_wall_clock: bool,
}

/// Runs one schedule: jobs are submitted, workers and the log fail and recover, owners change.
fn run_schedule(seed: u64, schedule: Schedule) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new((0..5).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect());
    for worker in &mut sim.workers[3..] {
        worker.labels = vec!["b".to_owned(), "r2".to_owned()];
    }
    sim.workers.iter_mut().for_each(|it| it.checkpoint_ms = 300);
    if schedule.has_wall_clock {
        sim.wall_ms = |now| now.0 / 1_000;
        sim.change_owner(true);
    }
    for round in 0..JOBS {
        sim.submit(round, (schedule.next_job)(&mut rng));
        (schedule.fault)(&mut rng, &mut sim);
        sim.run_ms(rng.u64(100..1_500));
    }
    for worker in &mut sim.workers {
        worker.fault = Fault::None;
        worker.listed = true;
        worker.ready = true;
    }
    sim.log_up = true;
    sim.list_is_stale = false;
    sim
}

fn fault(rng: &mut fastrand::Rng, sim: &mut Simulation) {
    let now = sim.now;
    let at = rng.usize(..sim.workers.len());
    match rng.u8(..10) {
        0 => sim.workers[at].fault = Fault::Unreachable,
        1 => sim.workers[at].fault = Fault::LosesAnswers,
        2 => sim.workers[at].fault = Fault::DelaysStarts(rng.u64(500..8_000)),
        3 => sim.workers[at].fault = Fault::Hangs,
        4 => sim.workers[at].restart(now),
        5 => sim.log_up = !sim.log_up,
        6 if sim.log_up => sim.change_owner(false),
        7 => sim.workers[at].listed = !sim.workers[at].listed,
        8 => sim.workers[at].ready = !sim.workers[at].ready,
        _ => sim.workers.iter_mut().for_each(|it| it.fault = Fault::None),
    }
}

/// As [`fault`]; besides, workers return as another kind, which the list tells later, and owners
/// start from the log. One worker keeps its kind, so that each step can run somewhere.
fn fault_of_kinds(rng: &mut fastrand::Rng, sim: &mut Simulation) {
    let now = sim.now;
    match rng.u8(..12) {
        0..=2 => {
            let at = rng.usize(1..sim.workers.len());
            sim.list_is_stale = true;
            sim.workers[at].restart(now);
            let is_a = sim.workers[at].labels[0] == "a";
            sim.workers[at].labels[0] = if is_a { "b" } else { "a" }.to_owned();
            sim.run_ms(rng.u64(20..300));
            sim.list_is_stale = false;
        }
        3 | 4 if sim.log_up => sim.change_owner_and_replay(rng.bool(), rng.bool()),
        _ => fault(rng, sim),
    }
}

/// As [`fault_of_kinds`]; besides, calls of any kind are lost or late.
fn fault_of_calls(rng: &mut fastrand::Rng, sim: &mut Simulation) {
    let at = rng.usize(..sim.workers.len());
    match rng.u8(..6) {
        0 => sim.workers[at].fault = Fault::LosesAllAnswers,
        1 => sim.workers[at].fault = Fault::DelaysCalls(rng.u64(500..8_000)),
        _ => fault_of_kinds(rng, sim),
    }
}

/// Changes what is no fault: the sizes of the fleet and of the backlog.
fn no_fault(rng: &mut fastrand::Rng, sim: &mut Simulation) {
    match rng.u8(..4) {
        0 => sim.cancel(rng.u64(..JOBS).min(sim.ledger.jobs().count() as u64 - 1)),
        1 => sim.workers.push(FakeWorker::new(&format!("w{}", sim.workers.len()), 4)),
        _ => {}
    }
}

fn check(seed: u64, schedule: Schedule) {
    let mut sim = run_schedule(seed, schedule);
    let is_long_running = |sim: &Simulation, id: u64| {
        let job = sim.ledger.job(daisy_workflow::JobId(id)).expect("submitted");
        job.spec.steps[0].long_running
    };
    let is_done = |it: &Simulation, id: u64| {
        matches!(it.state(id), JobState::Completed | JobState::Cancelled) || is_long_running(it, id)
    };
    let done = sim.run_until(60_000, |it| (0..JOBS).all(|id| is_done(it, id)));
    assert!(done, "seed {seed}: jobs are not completed");
}

#[test]
fn all_finite_jobs_complete_and_no_task_runs_twice_in_seeded_schedules() {
    for seed in 0..200 {
        check(seed, Schedule { next_job: plain_job, fault, has_wall_clock: false });
    }
}

/// Guards against starts that the constraints of a step do not allow, and jobs that they hold up.
#[test]
fn constrained_jobs_complete_in_seeded_schedules() {
    for seed in 0..200 {
        check(seed, Schedule { next_job: constrained_job, fault, has_wall_clock: false });
    }
}

/// Guards against the same failures where workers return as another kind and owners start from the
/// log.
#[test]
fn constrained_jobs_complete_beside_workers_that_change_their_kind() {
    for seed in 0..200 {
        check(
            seed,
            Schedule { next_job: constrained_job, fault: fault_of_kinds, has_wall_clock: false },
        );
    }
}

/// Guards against the same failures where calls of any kind are lost or late.
#[test]
fn constrained_jobs_complete_beside_lost_and_late_calls() {
    for seed in 0..200 {
        check(
            seed,
            Schedule {
                next_job: constrained_job_due_later,
                fault: fault_of_calls,
                has_wall_clock: true,
            },
        );
    }
}

/// Guards against members of a gang that wait in vain for the others, though nothing has failed.
#[test]
fn no_gang_is_started_in_part_without_a_fault() {
    for seed in 0..200 {
        let sim = run_schedule(
            seed,
            Schedule { next_job: constrained_job_due_later, fault: no_fault, has_wall_clock: true },
        );

        let incomplete = sim.gangs.incomplete.iter();
        let uncancelled: Vec<_> =
            incomplete.filter(|it| sim.state(it.job.0) != JobState::Cancelled).collect();

        assert!(uncancelled.is_empty(), "seed {seed}: {uncancelled:?}");
    }
}
