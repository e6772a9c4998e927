//! Eviction for urgent work, and the single resumption of evicted tasks.

mod util;

use std::time::Duration;

use daisy_model::{Incarnation, JobSpec, Priority, Tolerance};
use util::{World, batch, size, task};

fn urgent(text: &str) -> JobSpec {
    JobSpec { priority: Priority::Urgent, ..batch(text, 1, size(4, 4)) }
}

/// An urgent task is created while batch work fills every VM. It must start within 3.5 s.
#[test]
fn urgent_work_starts_within_its_limit_on_a_full_cluster() {
    let mut world = World::new(2, size(4, 16));
    world.create(batch("lists", 2, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_millis(3_500));

    assert_eq!(world.workers_running(task(1, 0)).len(), 1);
    let rejected_starts: usize = world.workers.iter().map(|(_, it)| it.rejected_starts).sum();
    assert_eq!(rejected_starts, 0, "no start was ordered before the victim had ended");
    assert!(
        world.last_reason(task(1, 0)).starts_with("runs on"),
        "{}",
        world.last_reason(task(1, 0))
    );
}

/// A checkpoint takes seconds, during which the victim runs on. A start sent together with the
/// checkpoint order would exceed the VM's capacity.
#[test]
fn the_capacity_of_an_evicted_task_is_used_only_after_it_has_ended() {
    let mut world = World::new(1, size(4, 16));
    world.worker(1).checkpoint_time = Duration::from_secs(2);
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_secs(6));

    assert_eq!(world.worker(1).rejected_starts, 0);
    assert_eq!(world.workers_running(task(1, 0)).len(), 1);
}

/// The evicted task resumes from its checkpoint, once, under the next incarnation.
#[test]
fn an_evicted_task_resumes_once_when_there_is_capacity_again() {
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
fn a_task_that_may_not_be_evicted_keeps_running() {
    let mut world = World::new(1, size(4, 16));
    let tolerance = Tolerance { delay: true, evict: false, refuse: false };
    world.create(JobSpec { tolerance, ..batch("lists", 1, size(4, 4)) });
    world.run(Duration::from_secs(3));
    world.create(urgent("costing"));

    world.run(Duration::from_secs(5));

    assert_eq!(world.workers_running(task(0, 0)).len(), 1);
    assert_eq!(world.workers_running(task(1, 0)), []);
}

/// The holder fails after the worker made the checkpoint and before that is recorded. The task
/// must neither start from its beginning nor resume twice from the checkpoint.
#[test]
fn a_checkpoint_is_resumed_once_when_the_holder_fails_before_recording_it() {
    let mut world = World::new(1, size(4, 16));
    world.create(batch("lists", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    world.worker(1).finish(task(0, 0), daisy_model::Exit::Checkpointed(77));
    world.log_up = false;
    world.run(Duration::from_secs(3));
    assert_eq!(
        world.worker(1).ended.len(),
        1,
        "the exit report is kept until the ledger shows the end"
    );
    world.log_up = true;
    world.replace_holder();

    world.run(Duration::from_secs(5));

    let starts = &world.worker(1).started;
    let checkpoints: Vec<_> = starts.iter().map(|it| it.checkpoint).collect();
    assert_eq!(checkpoints, [None, Some(77)]);
}

/// An operator cancels a job while its task is being evicted, and the task ends meanwhile. The
/// task must not run again, and the worker may forget its exit report.
#[test]
fn a_task_of_a_cancelled_job_is_not_resumed_from_its_checkpoint() {
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
fn a_burst_of_cancellations_stops_all_tasks_and_starts_none() {
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
