//! Workers and jobs that fail.

mod util;

use std::time::Duration;

use daisy_placement::WorkerStatus;
use util::{World, batch, size};

fn quarantined(world: &World) -> usize {
    world.holder.workers().iter().filter(|it| it.status == WorkerStatus::Quarantined).count()
}

/// One worker fails at once everything that it starts, and so always has free capacity. Without
/// quarantine most starts would go there and fail.
#[test]
fn a_worker_that_fails_every_start_is_quarantined_and_later_used_again() {
    let mut world = World::new(4, size(8, 32));
    world.worker(2).broken = true;
    for at in 0..6 {
        world.create(batch(&format!("lists-{at}"), 4, size(1, 1)));
    }
    world.run(Duration::from_secs(6));
    let while_broken = (quarantined(&world), world.running());

    world.worker(2).broken = false;
    world.run(Duration::from_secs(60));
    world.create(batch("renders", 8, size(1, 1)));
    world.run(Duration::from_secs(30));

    assert_eq!(while_broken, (1, 24));
    assert_eq!((quarantined(&world), world.running()), (0, 32));
    assert!(!world.worker(2).running.is_empty(), "the repaired worker is used again");
}

/// A job fails on every worker. If each of them were quarantined for it, all work would stop.
#[test]
fn a_job_that_fails_on_every_worker_does_not_quarantine_the_cluster() {
    let mut world = World::new(12, size(8, 32));
    for id in 1..=12 {
        world.worker(id).broken = true;
    }
    world.create(batch("lists", 60, size(1, 1)));

    world.run(Duration::from_secs(20));

    assert!(quarantined(&world) <= 1, "{} workers are quarantined", quarantined(&world));
    let last_reason = world.last_reason(util::task(0, 0));
    assert!(
        last_reason.contains("its starts failed") || last_reason.contains("could not start it"),
        "{last_reason}"
    );
}
