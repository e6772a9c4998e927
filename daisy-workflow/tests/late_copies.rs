//! Copies of a start order that are carried out after another copy.

mod util;

use std::time::Duration;

use daisy_workflow::{EndedRun, JobState, Outcome, StepSpec};
use util::{FakeWorker, Fault, Simulation, job, step, step_after, task};

/// Milliseconds after which no copy of an order is carried out any more, with some margin.
const LAST_COPY_OVER_MS: u64 = 14_500;

/// Returns a worker that has completed the only task of a job by the second copy of its order; the
/// first copy is still under way.
fn with_a_late_first_copy() -> Simulation {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.worker("w1").clock_offset_ms = 100_000;
    sim.worker("w1").fault = Fault::DelaysStarts(60_000);
    sim.submit(1, job(vec![step(1)]));
    sim.run_ms(60);
    sim.worker("w1").fault = Fault::None;
    assert!(sim.run_until(3_000, |it| it.state(1) == JobState::Completed));
    assert!(!sim.worker("w1").delayed_orders.is_empty(), "the first copy is under way");
    sim
}

/// Returns whether the end of the task was acknowledged as done.
fn is_acknowledged(sim: &mut Simulation) -> bool {
    sim.worker("w1").final_ends.iter().any(|(it, _)| *it == task(1, 0, 0))
}

/// Guards against a copy that the next incarnation of a worker carries out before any call, after
/// the task's acknowledged end.
#[test]
fn an_end_is_not_acknowledged_while_a_copy_of_its_order_is_under_way() {
    let mut sim = with_a_late_first_copy();
    sim.run_ms(2_000);
    let acknowledged_before = is_acknowledged(&mut sim);
    let now = sim.now;
    sim.worker("w1").restart(now);
    sim.worker("w1").delayed_orders.iter_mut().for_each(|it| it.0 = 0);

    sim.step();
    let started_again = !sim.workers_running(task(1, 0, 0)).is_empty();

    assert!(started_again, "the next incarnation carries out the first copy");
    assert!(!acknowledged_before);
}

/// Guards against ends that are never acknowledged.
#[test]
fn an_end_is_acknowledged_once_no_copy_of_its_order_can_be_carried_out() {
    let mut sim = with_a_late_first_copy();

    sim.run_ms(LAST_COPY_OVER_MS);

    assert!(is_acknowledged(&mut sim));
}

/// Guards against the same failure where another owner acknowledges the end.
#[test]
fn a_new_owner_does_not_acknowledge_an_end_while_a_copy_of_its_order_is_under_way() {
    let mut sim = with_a_late_first_copy();
    sim.change_owner_and_replay(false, false);

    sim.run_ms(3_000);
    let acknowledged_early = is_acknowledged(&mut sim);
    sim.run_ms(LAST_COPY_OVER_MS);

    assert!(!acknowledged_early);
    assert!(is_acknowledged(&mut sim));
}

/// Guards against ends that wait although nothing can start their task again.
#[test]
fn an_end_is_acknowledged_at_once_if_its_order_was_sent_once() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.worker("w1").fault = Fault::LosesAnswers;
    sim.hold_wait_max = Duration::ZERO;
    sim.submit(1, job(vec![step(1)]));
    assert!(sim.run_until(3_000, |it| it.state(1) == JobState::Completed));

    sim.run_ms(500);

    assert_eq!(sim.starts.len(), 1);
    assert!(is_acknowledged(&mut sim));
}

/// Guards against ends that a new owner holds back although the order was confirmed.
#[test]
fn a_new_owner_acknowledges_the_end_of_a_confirmed_run_at_once() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.submit(1, job(vec![step(1)]));
    assert!(sim.run_until(1_000, |it| !it.workers_running(task(1, 0, 0)).is_empty()));
    sim.run_ms(50);
    sim.change_owner_and_replay(false, false);
    assert!(sim.run_until(3_000, |it| it.state(1) == JobState::Completed));

    sim.run_ms(500);

    assert!(is_acknowledged(&mut sim));
}

/// Guards against a job that fails by a copy of a task which another copy has completed.
#[test]
fn a_copy_that_fails_after_another_has_completed_does_not_count() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 1), FakeWorker::new("w2", 1)]);
    let mut spec = job(vec![StepSpec { speculative: true, ..step(1) }, step_after(&[0], step(1))]);
    spec.terms.max_attempts = 1;
    sim.submit(1, spec);
    assert!(sim.run_until(2_000, |it| !it.workers_running(task(1, 0, 0)).is_empty()));
    let first = sim.workers_running(task(1, 0, 0))[0].to_owned();
    sim.worker(&first).fault = Fault::Unreachable;
    sim.worker(&first).runs.clear();
    let has_ended = |it: &Simulation| it.workers.iter().any(|it| it.last_end_number > 0);
    assert!(sim.run_until(5_000, has_ended), "no second copy");
    sim.run_ms(100);
    let worker = sim.worker(&first);
    worker.last_end_number = 1;
    let checkpoint = String::new();
    let end =
        EndedRun { number: 1, task: task(1, 0, 0), run: 1, outcome: Outcome::Failed, checkpoint };
    worker.ends.push(end);
    worker.fault = Fault::None;

    let completed = sim.run_until(5_000, |it| it.state(1) == JobState::Completed);

    assert!(completed, "the job is {:?}", sim.state(1));
}
