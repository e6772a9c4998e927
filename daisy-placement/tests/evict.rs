//! Urgent work makes room, and what made room comes back once.

mod util;

use std::time::Duration;

use daisy_model::{Incarnation, JobSpec, Priority, Tolerance};
use util::{World, batch, size, task};

fn urgent(text: &str) -> JobSpec {
    JobSpec { priority: Priority::Urgent, ..batch(text, 1, size(4, 4)) }
}

/// An urgent costing is asked for while batch work fills every VM.
/// The estimator would lose the order; urgent work starts within 3.5 s.
#[test]
fn urgent_work_starts_in_time_on_a_full_cluster() {
    let mut world = World::new(2, size(4, 16));
    world.create(batch("lists", 2, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_millis(3_500));

    assert_eq!(world.places(task(1, 0)).len(), 1);
    let no_room: usize = world.workers.iter().map(|(_, it)| it.no_room).sum();
    assert_eq!(no_room, 0, "nothing was ordered before the victim had gone");
    assert!(world.why(task(1, 0)).starts_with("runs on"), "{}", world.why(task(1, 0)));
}

/// A checkpoint takes seconds, and the victim runs on meanwhile.
/// The VM would be over its size, if the start went out with the order to checkpoint.
#[test]
fn the_room_of_a_victim_is_used_only_when_it_has_gone() {
    let mut world = World::new(1, size(4, 16));
    world.worker(1).checkpoint_time = Duration::from_secs(2);
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_secs(6));

    assert_eq!(world.worker(1).no_room, 0);
    assert_eq!(world.places(task(1, 0)).len(), 1);
}

/// The evicted task is resumed from its checkpoint, once, under the next incarnation.
#[test]
fn evicted_work_resumes_once_when_there_is_room_again() {
    let mut world = World::new(1, size(4, 16));
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));
    world.run(Duration::from_secs(3));

    world.worker(1).finish(task(1, 0), daisy_model::Exit::Done);
    world.run(Duration::from_secs(6));

    let starts: Vec<_> =
        world.worker(1).started.iter().filter(|it| it.task == task(0, 0)).collect();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[1].incarnation, Incarnation(2));
    assert!(starts[1].checkpoint.is_some());
}

#[test]
fn work_that_may_not_be_evicted_stays() {
    let mut world = World::new(1, size(4, 16));
    let tolerance = Tolerance { delay: true, evict: false, refuse: false };
    world.create(JobSpec { tolerance, ..batch("lists", 1, size(4, 4)) });
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_secs(5));

    assert_eq!(world.places(task(0, 0)).len(), 1);
    assert_eq!(world.places(task(1, 0)), []);
}

/// The holder dies after the worker made the checkpoint and before that is recorded.
/// A user would see the work start from its beginning, or twice from the checkpoint.
#[test]
fn a_holder_killed_between_checkpoint_and_resume_loses_nothing() {
    let mut world = World::new(1, size(4, 16));
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.worker(1).finish(task(0, 0), daisy_model::Exit::Checkpointed(77));
    world.log_up = false;
    world.run(Duration::from_secs(3));
    assert_eq!(world.worker(1).ended.len(), 1, "kept until the ledger shows it");
    world.log_up = true;
    world.replace_holder();

    world.run(Duration::from_secs(5));

    let starts = &world.worker(1).started;
    let checkpoints: Vec<_> = starts.iter().map(|it| it.checkpoint).collect();
    assert_eq!(checkpoints, [None, Some(77)]);
}

/// An operator cancels a job while its task is being evicted; the task ends in the middle.
/// Nothing of it may run again, and its worker may forget it.
#[test]
fn a_cancelled_job_does_not_come_back_from_its_checkpoint() {
    let mut world = World::new(1, size(4, 16));
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.worker(1).finish(task(0, 0), daisy_model::Exit::Checkpointed(77));
    let job = util::name("lists");
    world.command(daisy_model::Command::Cancel { kind: daisy_model::JobKind::Batch, job });

    world.run(Duration::from_secs(5));

    assert_eq!(world.running(), 0);
    assert_eq!(world.worker(1).started.len(), 1);
    assert!(world.worker(1).ended.is_empty());
}

/// A thousand tasks are cancelled in one burst, some running, some waiting.
#[test]
fn a_burst_of_cancellations_stops_all_and_starts_nothing() {
    let mut world = World::new(4, size(16, 64));
    for at in 0..100 {
        world.create(batch(&format!("lists-{at}"), 10, size(1, 1)));
    }
    world.run(Duration::from_secs(5));
    assert_eq!(world.running(), 64);
    let started: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    for at in 0..100 {
        let job = util::name(&format!("lists-{at}"));
        world.command(daisy_model::Command::Cancel { kind: daisy_model::JobKind::Batch, job });
    }

    world.run(Duration::from_secs(5));

    assert_eq!(world.running(), 0);
    assert!(world.state.jobs.iter().all(|(_, job)| job.open == 0));
    let after: usize = world.workers.iter().map(|(_, it)| it.started.len()).sum();
    assert_eq!(after, started);
}
