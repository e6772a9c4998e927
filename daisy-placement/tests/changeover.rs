//! Replacement of a holder: running tasks go on, and no task is started twice.

mod util;

use std::time::Duration;

use daisy_model::{DcId, Epoch, Incarnation, VmId};
use daisy_placement::{Event, TaskStatus};
use util::{World, batch, size, task};

/// The answer to a start is lost and the worker becomes unreachable. A second start elsewhere
/// would run the task on two workers, so the task stays with its worker until that answers.
#[test]
fn a_task_is_not_started_elsewhere_when_the_answer_to_its_start_is_lost() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    world.lost_answers = vec![VmId(1), VmId(2)];
    world.run(Duration::from_millis(300));
    let location = world.workers_running(task(0, 0))[0];
    world.lost_answers.clear();
    world.unreachable = vec![location];

    world.run(Duration::from_secs(20));
    let while_unreachable = world.workers_running(task(0, 0));
    world.unreachable.clear();
    world.run(Duration::from_secs(5));

    assert_eq!(while_unreachable, [location], "nothing was started elsewhere");
    assert_eq!(world.workers_running(task(0, 0)), [location]);
    let starts: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    assert_eq!(starts, 1);
}

/// The holder fails after it started a task and before it recorded the placement, and the worker
/// is cut off. If the new holder took the missing record for a task that never started, the task
/// would run twice. It is blocked instead, and goes on where it runs.
#[test]
fn a_task_with_an_unrecorded_start_is_blocked_until_its_worker_answers() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    let location = world.run_to_first_start();
    assert_eq!(world.state.task(task(0, 0)).unwrap().incarnation, Incarnation(0));
    world.replace_holder();
    world.unreachable = vec![location];

    world.run(Duration::from_secs(20));
    let blocked = world.holder.checked_out_tasks()[0].status;
    let while_unreachable = world.workers_running(task(0, 0));
    world.unreachable.clear();
    world.run(Duration::from_secs(5));

    assert_eq!(blocked, TaskStatus::Blocked);
    assert_eq!(while_unreachable, [location]);
    assert_eq!(world.workers_running(task(0, 0)), [location]);
    assert_eq!(world.state.task(task(0, 0)).unwrap().vm, Some(location));
}

/// A holder pauses, is replaced, and resumes with calls and records still to make. Two holders
/// could allocate the same capacity, so the old one stops at the first worker that shows the
/// higher epoch.
#[test]
fn a_replaced_holder_stops_at_the_first_higher_epoch() {
    let mut world = World::new(1, size(8, 32));
    world.run(Duration::from_secs(1));
    let mut old = world.replace_holder();
    world.run(Duration::from_secs(1));
    let now = world.now;
    let mut report = world.worker(1).call(now, &util::empty_call(old.epoch()));
    assert_eq!((report.accepted, report.epoch > old.epoch()), (false, true));
    let mut actions = Vec::new();

    report.accepted = true;
    old.step(world.now, Event::Report { vm: VmId(1), report: &report }, &mut actions);
    old.step(world.now + Duration::from_secs(9), Event::Tick, &mut actions);

    assert!(old.is_superseded());
    assert_eq!(actions, []);
}

/// The ledger shows a later claim before any worker does.
#[test]
fn a_holder_stops_when_the_ledger_shows_a_later_claim() {
    let mut world = World::new(1, size(8, 32));
    world.run(Duration::from_secs(1));
    let mut old = world.replace_holder();
    let mut actions = Vec::new();

    old.step(world.now, Event::Ledger(&world.state), &mut actions);

    assert!(old.is_superseded());
    assert!(world.state.holders.get(&DcId(0)).unwrap().epoch > Epoch(1));
}
