//! Starts whose answers are lost or that workers reject.

mod util;

use std::time::Duration;

use daisy_model::VmId;
use util::{World, batch, size, task};

/// A start is delayed on the network. Its repetition arrives first and fails, and the task goes
/// to another worker; then the delayed copy arrives. The first worker never started the
/// incarnation, so without a stop the task would run on both.
#[test]
fn a_delayed_copy_of_a_failed_start_does_not_run_the_task() {
    let mut world = World::new(2, size(8, 32));
    world.run(Duration::from_secs(1));
    world.create(batch("lists", 1, size(4, 8)));
    world.unreachable = vec![VmId(1), VmId(2)];
    world.run(Duration::from_millis(300));
    world.late_calls.retain(|(_, call)| !call.orders.is_empty());
    let first = world.late_calls[0].0;
    world.unreachable.clear();
    world.worker(first.0).broken = true;
    world.run(Duration::from_secs(30));
    world.worker(first.0).broken = false;

    world.deliver_late_calls();

    let workers = world.workers_running(task(0, 0));
    assert_eq!(workers.len(), 1, "runs on {workers:?}");
    assert_ne!(workers, [first]);
}
