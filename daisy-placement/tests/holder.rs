//! The holder's normal operation: poll, check out, start, record, acknowledge.

mod util;

use std::time::Duration;

use daisy_ledger::TaskState;
use daisy_model::Exit;
use util::{World, batch, size, task};

#[test]
fn created_work_is_started_and_its_placement_is_recorded() {
    let mut world = World::new(3, size(8, 32));
    world.create(batch("lists", 6, size(4, 8)));

    world.run(Duration::from_secs(3));

    assert_eq!(world.running(), 6);
    let recorded = (0..6).all(|index| world.state.task(task(0, index)).unwrap().vm.is_some());
    assert!(recorded, "every placement is in the ledger");
}

#[test]
fn a_waiting_task_starts_when_capacity_becomes_free() {
    let mut world = World::new(2, size(4, 32));
    world.create(batch("lists", 3, size(4, 8)));
    world.run(Duration::from_secs(3));
    assert_eq!(world.running(), 2);
    let first = world.worker(1).running[0].task;

    world.worker(1).finish(first, Exit::Done);
    world.run(Duration::from_secs(5));

    assert_eq!(world.running(), 2);
    assert_eq!(world.state.task(first).unwrap().state, TaskState::Ended(Exit::Done));
    assert!(world.worker(1).ended.is_empty(), "the exit report was acknowledged");
}
