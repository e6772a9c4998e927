//! Workers and jobs that fail.

mod util;

use std::time::Duration;

use daisy_placement::WorkerStatus;
use util::{World, batch, size};

fn aside(world: &World) -> usize {
    world.holder.workers().iter().filter(|it| it.status == WorkerStatus::Quarantined).count()
}

/// One worker fails everything that it starts, at once, and so always has room.
/// Users would see most of their starts fail there.
#[test]
fn a_worker_that_fails_everything_is_put_aside_and_tried_again() {
    let mut world = World::new(4, size(8, 32));
    world.worker(2).broken = true;
    for at in 0..6 {
        world.create(batch(&format!("lists-{at}"), 4, size(1, 1)));
    }
    world.run(Duration::from_secs(6));
    let while_broken = (aside(&world), world.running());

    world.worker(2).broken = false;
    world.run(Duration::from_secs(60));
    world.create(batch("renders", 8, size(1, 1)));
    world.run(Duration::from_secs(30));

    assert_eq!(while_broken, (1, 24));
    assert_eq!((aside(&world), world.running()), (0, 32));
    assert!(!world.worker(2).running.is_empty(), "it is used again");
}

/// A job cannot start anywhere.
/// Users would see every worker put aside for its sake, and all work stand still.
#[test]
fn a_job_that_fails_everywhere_puts_no_cluster_aside() {
    let mut world = World::new(12, size(8, 32));
    for id in 1..=12 {
        world.worker(id).broken = true;
    }
    world.create(batch("lists", 60, size(1, 1)));

    world.run(Duration::from_secs(20));

    assert!(aside(&world) <= 1, "{} workers are aside", aside(&world));
    let why = world.why(util::task(0, 0));
    assert!(why.contains("its starts failed") || why.contains("could not start it"), "{why}");
}
