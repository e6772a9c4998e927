//! Orders that got no answer and reach a worker after its restart.

mod util;

use std::time::Duration;

use daisy_workflow::JobState;
use util::{FakeWorker, Fault, Simulation, job, step};

/// Returns one worker of four cores that has completed a job of `count` tasks and may receive its
/// start orders once more.
fn with_delayed_orders(count: u32) -> Simulation {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.worker("w1").clock_offset_ms = 100_000;
    sim.worker("w1").fault = Fault::DelaysStarts(60_000);
    sim.submit(1, job(vec![step(count)]));
    sim.run_ms(60);
    sim.worker("w1").fault = Fault::None;
    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);
    assert!(done && sim.worker("w1").delayed_orders.len() >= count as usize);
    sim
}

/// Restarts the worker; delayed orders are the first that it carries out.
fn restart_with_delayed_orders(sim: &mut Simulation) {
    let now = sim.now;
    sim.worker("w1").restart(now);
    sim.worker("w1").delayed_orders.iter_mut().for_each(|it| it.0 = 0);
}

/// New tasks were placed on a restarted worker that had also carried out delayed orders.
#[test]
fn delayed_orders_use_capacity_of_a_restarted_worker_until_they_end() {
    let mut sim = with_delayed_orders(4);
    restart_with_delayed_orders(&mut sim);
    sim.submit(2, job(vec![step(4)]));

    let done = sim.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// Orders whose records were in flight during the worker's restart were sent in addition to delayed
/// ones.
#[test]
fn an_order_that_no_longer_fits_once_it_is_recorded_is_not_sent() {
    let mut sim = with_delayed_orders(4);
    sim.log_up = false;
    sim.submit(2, job(vec![step(4)]));
    sim.run_ms(50);
    restart_with_delayed_orders(&mut sim);
    sim.run_ms(100);
    sim.log_up = true;

    let done = sim.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// Orders that were recorded after their worker had become unreachable reached its next
/// incarnation, whose restart the owner had not seen.
#[test]
fn an_order_to_a_worker_that_became_unreachable_is_not_sent() {
    let mut sim = with_delayed_orders(4);
    sim.log_up = false;
    sim.submit(2, job(vec![step(4)]));
    sim.run_ms(50);
    sim.list_is_stale = true;
    sim.worker("w1").fault = Fault::Unreachable;
    sim.run_ms(600);
    restart_with_delayed_orders(&mut sim);
    sim.log_up = true;

    sim.run_ms(60);
    let sent = sim.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    sim.list_is_stale = false;
    let done = sim.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert_eq!(sent, 0);
    assert!(done);
}

/// The clock in a worker's answer to an order showed its restart earlier than the list did, and was
/// ignored.
#[test]
fn a_worker_clock_that_went_back_is_treated_as_a_restart() {
    let mut sim = with_delayed_orders(2);
    sim.hold_wait_max = Duration::from_secs(2);
    sim.run_ms(100);
    sim.list_is_stale = true;
    restart_with_delayed_orders(&mut sim);
    sim.submit(2, job(vec![step(2)]));
    sim.run_ms(100);
    sim.submit(3, job(vec![step(2)]));
    sim.run_ms(200);
    sim.list_is_stale = false;

    let done = sim.run_until(6_000, |it| {
        it.state(2) == JobState::Completed && it.state(3) == JobState::Completed
    });

    assert!(done);
}

/// Until the restart of a worker was known, it received as many tasks as it has capacity for, in
/// addition to delayed orders.
#[test]
fn delayed_orders_use_capacity_of_a_worker_that_may_have_restarted() {
    let mut sim = with_delayed_orders(2);
    sim.hold_wait_max = Duration::from_secs(2);
    sim.run_ms(100);
    sim.list_is_stale = true;
    sim.run_ms(300);
    restart_with_delayed_orders(&mut sim);
    sim.submit(2, job(vec![step(4)]));
    sim.run_ms(200);
    let sent = sim.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    sim.list_is_stale = false;

    let done = sim.run_until(6_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
    assert_eq!(sent, 2, "only tasks that fit beside the delayed orders are started");
}

/// Returns two workers that leave orders unanswered, and the name of the one that was sent the only
/// task of a job.
fn with_unanswered_order() -> (Simulation, String) {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4), FakeWorker::new("w2", 4)]);
    for name in ["w1", "w2"] {
        sim.worker(name).fault = Fault::DelaysStarts(60_000);
    }
    sim.submit(1, job(vec![step(1)]));
    assert!(sim.run_until(100, |it| !it.starts.is_empty()));
    let name = sim.starts[0].2.clone();
    (sim, name)
}

/// Guards against a task that starts seconds after its worker has announced that it drains: an
/// unanswered order was sent again until it was answered.
#[test]
fn an_unanswered_order_is_not_sent_again_to_a_draining_worker() {
    let (mut sim, draining) = with_unanswered_order();
    sim.worker(&draining).ready = false;
    sim.run_ms(20);
    let sent = sim.starts.len();
    sim.worker("w1").fault = Fault::None;
    sim.worker("w2").fault = Fault::None;

    let done = sim.run_until(4_000, |it| it.state(1) == JobState::Completed);

    let sent_there = sim.starts[sent..].iter().filter(|(.., name)| *name == draining).count();
    assert_eq!(sent_there, 0);
    assert!(done);
}

/// Guards against the same where the platform's list could not be read since the order was placed.
#[test]
fn an_unanswered_order_is_not_sent_again_by_an_old_list() {
    let (mut sim, draining) = with_unanswered_order();
    sim.list_is_stale = true;
    sim.worker(&draining).ready = false;
    sim.run_ms(2_500);
    let sent = sim.starts.len();
    sim.worker(&draining).fault = Fault::None;

    sim.run_ms(2_000);

    assert_eq!(sim.starts.len(), sent);
}

/// Guards against the same where the worker announced it while the start was being recorded.
#[test]
fn an_order_to_a_worker_that_drains_once_it_is_recorded_is_not_sent() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.run_ms(100);
    sim.log_up = false;
    sim.submit(1, job(vec![step(1)]));
    sim.run_ms(50);
    sim.worker("w1").ready = false;
    sim.run_ms(50);
    sim.log_up = true;

    sim.run_ms(1_000);

    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
}
