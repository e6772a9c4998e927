//! The number of jobs of which no task has begun: a job has begun once a worker has told so.

mod util;

use daisy_workflow::JobState;
use util::{FakeWorker, Fault, Simulation, job, step};

const JOBS: u64 = 6;

/// Returns a worker with `fault` that has been given jobs of one task for a while.
fn with_jobs(fault: Fault) -> Simulation {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 16)]);
    sim.work_ms = |_| 60_000;
    sim.worker("w1").fault = fault;
    (1..=JOBS).for_each(|id| sim.submit(id, job(vec![step(1)])));
    sim.run_ms(3_000);
    sim
}

fn pending(sim: &Simulation) -> u64 {
    sim.owner.pending().iter().map(|(_, count)| u64::from(*count)).sum()
}

/// Returns the newest states that were published since the last call, for jobs that have one.
fn published(sim: &mut Simulation) -> Vec<JobState> {
    let states = sim.owner.take_states();
    (1..=JOBS).filter_map(|id| states.iter().rfind(|it| it.0.0 == id).map(|it| it.1)).collect()
}

/// Guards against counting jobs as begun whose starts were all rejected.
#[test]
fn jobs_whose_starts_are_rejected_have_not_begun() {
    let mut sim = with_jobs(Fault::RejectsStarts);
    let before = (pending(&sim), published(&mut sim));
    let rejected = sim.starts.len();
    sim.worker("w1").fault = Fault::None;
    sim.run_ms(5_000);

    let after = (pending(&sim), published(&mut sim));

    assert!(rejected > 0, "nothing was ordered");
    assert_eq!(before, (JOBS, vec![JobState::Queued; JOBS as usize]));
    assert_eq!(after, (0, vec![JobState::Running; JOBS as usize]));
}

/// Guards against a successor that takes a recorded start for one that was carried out.
#[test]
fn a_successor_counts_jobs_whose_starts_were_rejected() {
    let mut sim = with_jobs(Fault::RejectsStarts);
    sim.change_owner_and_replay(true, true);
    sim.run_ms(3_000);

    assert_eq!(pending(&sim), JOBS);
}

/// Guards against jobs that wait for good in the count, though a worker lists their runs.
#[test]
fn a_successor_learns_from_the_worker_what_has_begun() {
    let mut sim = with_jobs(Fault::LosesAnswers);
    let before = pending(&sim);
    sim.worker("w1").fault = Fault::None;
    sim.change_owner(true);
    sim.run_ms(500);

    assert_eq!(before, 0);
    assert_eq!(pending(&sim), 0);
    assert_eq!(published(&mut sim), vec![JobState::Running; JOBS as usize]);
}
