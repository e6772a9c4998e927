//! Orders that went unanswered and reach a worker after it has started anew.

mod util;

use std::time::Duration;

use daisy_workflow::JobState;
use util::{FakeWorker, Fault, World, job, step};

/// One worker of four cores, which has ended a job of `count` tasks and may get its orders once more.
fn with_late_orders(count: u32) -> World {
    let mut world = World::new(vec![FakeWorker::new("w1", 4)]);
    world.worker("w1").offset = 100_000;
    world.worker("w1").fault = Fault::Late(60_000);
    world.submit(1, job(vec![step(count)]));
    world.run_ms(60);
    world.worker("w1").fault = Fault::None;
    let done = world.run_until(3_000, |it| it.state(1) == JobState::Completed);
    assert!(done && world.worker("w1").late.len() >= count as usize);
    world
}

/// The worker starts anew, and late orders are the first that it carries out.
fn restart_with_late_orders(world: &mut World) {
    let now = world.now;
    world.worker("w1").restart(now);
    world.worker("w1").late.iter_mut().for_each(|it| it.0 = 0);
}

/// New tasks were placed beside late orders that a restarted worker had carried out.
#[test]
fn late_orders_take_room_at_a_restarted_worker_until_they_are_gone() {
    let mut world = with_late_orders(4);
    restart_with_late_orders(&mut world);
    world.submit(2, job(vec![step(4)]));

    let done = world.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// Orders whose records were under way as the worker started anew went out beside late ones.
#[test]
fn an_order_that_fits_no_more_once_it_is_recorded_is_not_sent() {
    let mut world = with_late_orders(4);
    world.log_up = false;
    world.submit(2, job(vec![step(4)]));
    world.run_ms(50);
    restart_with_late_orders(&mut world);
    world.run_ms(100);
    world.log_up = true;

    let done = world.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
}

/// Orders that were recorded after their worker fell silent went to its next incarnation unseen.
#[test]
fn an_order_whose_worker_fell_silent_is_not_sent() {
    let mut world = with_late_orders(4);
    world.log_up = false;
    world.submit(2, job(vec![step(4)]));
    world.run_ms(50);
    world.list_lags = true;
    world.worker("w1").fault = Fault::Cut;
    world.run_ms(600);
    restart_with_late_orders(&mut world);
    world.log_up = true;

    world.run_ms(60);
    let sent = world.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    world.list_lags = false;
    let done = world.run_until(4_000, |it| it.state(2) == JobState::Completed);

    assert_eq!(sent, 0);
    assert!(done);
}

/// The clock in a worker's answer to an order told of its restart before a list did, and was not heeded.
#[test]
fn a_clock_that_went_back_shows_a_restart() {
    let mut world = with_late_orders(2);
    world.hold_wait_max = Duration::from_secs(2);
    world.run_ms(100);
    world.list_lags = true;
    restart_with_late_orders(&mut world);
    world.submit(2, job(vec![step(2)]));
    world.run_ms(100);
    world.submit(3, job(vec![step(2)]));
    world.run_ms(200);
    world.list_lags = false;

    let done = world.run_until(6_000, |it| {
        it.state(2) == JobState::Completed && it.state(3) == JobState::Completed
    });

    assert!(done);
}

/// Until its restart shows, late orders at a restarted worker were joined by as many tasks as it has room for.
#[test]
fn late_orders_take_room_at_a_worker_that_may_have_restarted() {
    let mut world = with_late_orders(2);
    world.hold_wait_max = Duration::from_secs(2);
    world.run_ms(100);
    world.list_lags = true;
    world.run_ms(300);
    restart_with_late_orders(&mut world);
    world.submit(2, job(vec![step(4)]));
    world.run_ms(200);
    let sent = world.starts.iter().filter(|(task, ..)| task.job.0 == 2).count();
    world.list_lags = false;

    let done = world.run_until(6_000, |it| it.state(2) == JobState::Completed);

    assert!(done);
    assert_eq!(sent, 2, "those that fit beside the late ones");
}
