//! VMs that are drained, leave, or are gone.

mod util;

use std::time::Duration;

use daisy_model::{Command, VmId, VmStatus};
use util::{LEASE, World, batch, service, size, task};

#[test]
fn what_may_be_evicted_leaves_a_drained_vm_and_nothing_new_comes() {
    let mut world = World::new(2, size(8, 32));
    world.create(batch("lists", 2, size(2, 2)));
    world.run(Duration::from_secs(3));
    let drained = world.places(task(0, 0))[0];
    let vm = world.vms.iter().find(|it| it.id == drained).unwrap().name.clone();

    world.command(Command::Drain { vm });
    world.run(Duration::from_secs(6));
    world.create(batch("renders", 2, size(1, 1)));
    world.run(Duration::from_secs(3));

    assert_eq!(world.worker(drained.0).running, []);
    assert_eq!(world.running(), 4);
}

/// A rack of VMs is about to be taken away with all replicas of a service on it.
/// Callers would see the service gone, if all its replicas moved at one time.
#[test]
fn replicas_leave_one_at_a_time_and_out_of_the_routes_first() {
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

/// A VM dies with its tasks and leaves the list.
/// A user would see a task in two places, if the VM still ran it under its lease.
#[test]
fn work_of_a_vm_that_is_gone_waits_for_its_lease() {
    let mut world = World::new(2, size(8, 32));
    world.create(batch("lists", 1, size(2, 2)));
    world.run(Duration::from_secs(3));
    let gone = world.places(task(0, 0))[0];
    world.vms.retain(|vm| vm.id != gone);
    world.cut = vec![gone];

    world.run(LEASE);
    let while_leased: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    world.run(Duration::from_secs(10));

    assert_eq!(while_leased, 1);
    let places = world.places(task(0, 0));
    assert_eq!(places.len(), 1);
    assert_ne!(places, [gone]);
}
