//! VMs that are drained, leaving or lost.

mod util;

use std::time::Duration;

use daisy_model::{Command, VmId, VmStatus};
use util::{LEASE, World, batch, service, size, task};

#[test]
fn evictable_tasks_leave_a_drained_vm_and_no_new_task_starts_there() {
    let mut world = World::new(2, size(8, 32));
    world.create(batch("lists", 2, size(2, 2)));
    world.run(Duration::from_secs(3));
    let drained = world.workers_running(task(0, 0))[0];
    let vm = world.vms.iter().find(|it| it.id == drained).unwrap().name.clone();

    world.command(Command::Drain { vm });
    world.run(Duration::from_secs(6));
    world.create(batch("renders", 2, size(1, 1)));
    world.run(Duration::from_secs(3));

    assert_eq!(world.worker(drained.0).running, []);
    assert_eq!(world.running(), 4);
}

/// A rack of VMs with all replicas of a service is about to be taken away. If all replicas moved
/// at the same time, the service would be unavailable.
#[test]
fn the_replicas_of_a_service_leave_their_vms_one_at_a_time() {
    let mut world = World::new(6, size(8, 32));
    for vm in &mut world.vms[3..] {
        vm.status = VmStatus::Leaving;
    }
    world.create(service("shop", 3, size(2, 2)));
    world.run(Duration::from_secs(3));
    for vm in &mut world.vms {
        let is_old = vm.id <= VmId(3);
        vm.status = if is_old { VmStatus::Leaving } else { VmStatus::Live };
    }
    let mut least = 3;

    for _ in 0..600 {
        world.run(Duration::from_millis(100));
        least = least.min(world.running());
    }

    assert_eq!(least, 2, "one replica at a time");
    let left: usize = (1..=3).map(|id| world.worker(id).running.len()).sum();
    assert_eq!((left, world.running()), (0, 3));
}

/// A VM fails with its tasks and leaves the list. It might still run them under its lease, so
/// they are not started elsewhere before the lease and the margin are over.
#[test]
fn a_task_of_a_lost_vm_is_not_started_elsewhere_before_the_lease_is_over() {
    let mut world = World::new(2, size(8, 32));
    world.create(batch("lists", 1, size(2, 2)));
    world.run(Duration::from_secs(3));
    let lost = world.workers_running(task(0, 0))[0];
    world.vms.retain(|vm| vm.id != lost);
    world.unreachable = vec![lost];

    world.run(LEASE);
    let while_leased: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    world.run(Duration::from_secs(10));

    assert_eq!(while_leased, 1);
    let workers = world.workers_running(task(0, 0));
    assert_eq!(workers.len(), 1);
    assert_ne!(workers, [lost]);
}
