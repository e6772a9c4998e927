//! Starts whose answers are lost or whose workers refuse them.

mod util;

use std::time::Duration;

use daisy_model::VmId;
use util::{World, batch, size, task};

/// A start is late on the wire; its repetition arrives first and fails; the task goes to
/// another worker; then the late copy arrives.
/// A user would see the task run on both, since the first worker never started it before.
#[test]
fn a_late_copy_of_a_failed_start_runs_nothing() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    world.cut = vec![VmId(1), VmId(2)];
    world.run(Duration::from_millis(300));
    world.late.retain(|(_, call)| !call.orders.is_empty());
    let first = world.late[0].0;
    world.cut.clear();
    world.worker(first.0).broken = true;
    world.run(Duration::from_secs(30));
    world.worker(first.0).broken = false;

    world.deliver_late();

    let places = world.places(task(0, 0));
    assert_eq!(places.len(), 1, "runs on {places:?}");
    assert_ne!(places, [first]);
}
