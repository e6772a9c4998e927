//! A holder is replaced: what runs goes on, and nothing is started twice.

mod util;

use std::time::Duration;

use daisy_model::{DcId, Epoch, Incarnation, VmId};
use daisy_placement::{Event, TaskStatus};
use util::{World, batch, size, task};

/// A start's answer is lost and the worker cannot be reached any more.
/// A user would see the task run on two workers, if the second start went elsewhere.
/// The task stays with the worker until it answers, and was started once.
#[test]
fn a_lost_start_answer_keeps_the_task_where_it_may_run() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    world.lost_answers = vec![VmId(1), VmId(2)];
    world.run(Duration::from_millis(300));
    let place = world.places(task(0, 0))[0];
    world.lost_answers.clear();
    world.cut = vec![place];

    world.run(Duration::from_secs(20));
    let while_cut = world.places(task(0, 0));
    world.cut.clear();
    world.run(Duration::from_secs(5));

    assert_eq!(while_cut, [place], "nothing was started elsewhere");
    assert_eq!(world.places(task(0, 0)), [place]);
    let starts: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    assert_eq!(starts, 1);
}

/// The holder dies after it started a task and before it recorded where; the worker is cut off.
/// A user would see the task run twice, if the new holder took the missing record for a
/// task that never started. It is blocked, and runs on where it was.
#[test]
fn an_unrecorded_start_blocks_until_its_worker_answers() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    let place = world.run_to_first_start();
    assert_eq!(world.state.task(task(0, 0)).unwrap().incarnation, Incarnation(0));
    world.replace_holder();
    world.cut = vec![place];

    world.run(Duration::from_secs(20));
    let blocked = world.holder.checked_out_tasks()[0].status;
    let while_cut = world.places(task(0, 0));
    world.cut.clear();
    world.run(Duration::from_secs(5));

    assert_eq!(blocked, TaskStatus::Blocked);
    assert_eq!(while_cut, [place]);
    assert_eq!(world.places(task(0, 0)), [place]);
    assert_eq!(world.state.task(task(0, 0)).unwrap().vm, Some(place));
}

/// A holder freezes, is replaced, and wakes up with calls and records still to make.
/// A user would see two schedulers give the same room away.
/// The first worker that shows the higher epoch ends the old holder.
#[test]
fn a_stale_holder_stops_at_the_first_higher_epoch() {
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
fn a_later_claim_in_the_ledger_ends_the_holder() {
    let mut world = World::new(1, size(8, 32));
    world.run(Duration::from_secs(1));
    let mut old = world.replace_holder();
    let mut actions = Vec::new();

    old.step(world.now, Event::Ledger(&world.state), &mut actions);

    assert!(old.is_superseded());
    assert!(world.state.holders.get(&DcId(0)).unwrap().epoch > Epoch(1));
}
