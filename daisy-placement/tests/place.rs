//! The choice of a worker, and the reasons shown when there is none.

mod util;

use std::time::Duration;

use daisy_model::{Command, JobSpec, Priority, Resources, WorkClass};
use util::{World, batch, quota, service, size, task};

#[test]
fn replicas_of_a_service_spread_over_racks() {
    let mut world = World::new(8, size(16, 64));
    world.create(service("shop", 4, size(2, 4)));

    world.run(Duration::from_secs(3));

    let mut racks: Vec<u16> = (0..4)
        .map(|index| world.workers_running(task(0, index))[0])
        .map(|vm| world.vms.iter().find(|it| it.id == vm).unwrap().rack)
        .collect();
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2, 3]);
}

#[test]
fn tasks_without_accelerators_prefer_workers_without_them() {
    let mut world = World::new(2, size(8, 32));
    world.vms[1].capacity.accelerators = 2;
    world.worker(2).capacity.accelerators = 2;
    world.create(batch("lists", 2, size(2, 4)));
    world.run(Duration::from_secs(3));
    let wanted = Resources { accelerators: 1, ..size(6, 4) };
    world.create(batch("renders", 1, wanted));

    world.run(Duration::from_secs(3));

    assert_eq!(world.worker(1).running.len(), 2);
    assert_eq!(world.worker(2).running.len(), 1);
}

/// An operator creates a job that no VM can ever fit. Without a reason they would wait for ever.
#[test]
fn a_job_that_fits_on_no_worker_is_reported_at_once_with_the_smallest_shortfall() {
    let mut world = World::new(3, size(8, 32));
    let wanted = Resources { accelerators: 1, ..size(8, 8) };
    world.create(batch("renders", 1, wanted));

    world.run(Duration::from_millis(300));

    let last_reason = world.last_reason(task(0, 0));
    assert!(
        last_reason.starts_with("waits: no worker here can ever hold 8000m of processor"),
        "{last_reason}"
    );
    assert!(last_reason.ends_with("nearest miss: w-1 short of 1 accelerator"), "{last_reason}");
}

#[test]
fn the_reason_for_waiting_names_the_missing_resources_of_the_closest_worker() {
    let mut world = World::new(2, size(8, 32));
    world.create(batch("lists", 2, size(5, 8)));
    world.run(Duration::from_secs(2));
    world.create(batch("renders", 1, size(4, 8)));

    world.run(Duration::from_secs(2));

    let last_reason = world.last_reason(task(1, 0));
    assert!(
        last_reason.contains("no worker with 4000m of processor and 8192Mi of memory free"),
        "{last_reason}"
    );
    assert!(last_reason.contains("short of 1000m of processor"), "{last_reason}");
}

#[test]
fn urgent_work_starts_before_older_normal_work() {
    let mut world = World::new(1, size(4, 32));
    world.create(batch("lists", 8, size(4, 4)));
    let spec = batch("costing", 1, size(4, 4));
    world.create(JobSpec { priority: Priority::Urgent, ..spec });

    world.run(Duration::from_secs(2));

    assert_eq!(world.workers_running(task(1, 0)).len(), 1);
}

#[test]
fn a_quota_limits_what_a_team_runs_and_is_given_as_the_reason() {
    let mut world = World::new(4, size(8, 32));
    world.command(quota(size(8, 32)));
    world.create(batch("lists", 4, size(4, 4)));

    world.run(Duration::from_secs(3));

    assert_eq!(world.running(), 2);
    assert_eq!(world.last_reason(task(0, 3)), "waits: its team's quota is used up");
}

#[test]
fn no_task_of_a_paused_class_starts_until_it_is_resumed() {
    let mut world = World::new(2, size(8, 32));
    world.command(Command::Pause(WorkClass::Batch));
    world.create(batch("lists", 2, size(2, 2)));
    world.create(service("shop", 1, size(2, 2)));
    world.run(Duration::from_secs(2));
    let paused = (world.running(), world.last_reason(task(0, 0)));

    world.command(Command::Resume(WorkClass::Batch));
    world.run(Duration::from_secs(2));

    assert_eq!(paused, (1, "waits: operators paused its class of work".into()));
    assert_eq!(world.running(), 3);
}

/// The log is down for long while checked-out tasks wait for capacity. If every start had to be
/// recorded first, no work would start.
#[test]
fn reserved_tasks_start_while_the_log_is_down() {
    let mut world = World::new(1, size(4, 32));
    world.create(batch("lists", 5, size(4, 4)));
    world.run(Duration::from_secs(2));
    world.log_up = false;

    for _ in 0..3 {
        let first = world.worker(1).running[0].task;
        world.worker(1).finish(first, daisy_model::Exit::Done);
        world.run(Duration::from_secs(3));
    }
    let started = world.worker(1).started.len();
    world.log_up = true;
    world.run(Duration::from_secs(3));

    assert_eq!(started, 4);
    assert!(world.worker(1).ended.is_empty(), "exits are recorded once the log is back");
}

/// A job declares too little memory. Once enough of its tasks share a VM, the VM would run out
/// of memory.
#[test]
fn a_size_declared_too_small_is_raised_to_the_measured_use() {
    let mut world = World::new(2, size(8, 8));
    world.create(batch("lists", 1, size(1, 1)));
    world.run(Duration::from_secs(2));
    let used = size(1, 3);
    for id in 1..=2 {
        let worker = world.worker(id);
        let tasks = worker.running.iter().map(|it| it.task);
        worker.usage =
            tasks.map(|task| daisy_model::Usage { task, used, slowdown: 1000 }).collect();
    }
    world.run(Duration::from_secs(20));
    let first = world.workers_running(task(0, 0))[0];
    world.worker(first.0).finish(task(0, 0), daisy_model::Exit::Checkpointed(5));

    world.run(Duration::from_secs(4));

    let place = world.workers_running(task(0, 0))[0];
    let sizes: Vec<_> = world.worker(place.0).running.iter().map(|it| it.size).collect();
    assert_eq!(sizes[0].cpu_milli, 1_000);
    assert_eq!(sizes[0].memory_mib, 3 * 1_024 * 110 / 100);
}

/// Small tasks come and go on every worker, and a large one finds capacity on none. It would
/// wait for as long as small tasks are spread evenly.
#[test]
fn small_tasks_are_packed_while_a_large_task_waits() {
    let mut world = World::new(3, size(8, 32));
    world.create(batch("lists-0", 6, size(1, 1)));
    world.run(Duration::from_secs(3));
    let spread: Vec<usize> = (1..=3).map(|id| world.worker(id).running.len()).collect();
    world.create(batch("renders", 1, size(8, 4)));
    world.run(Duration::from_secs(2));

    for round in 1..=12 {
        let oldest = (0..3).map(|id| 1 + (round + id) % 3).find_map(|id| {
            let worker = world.worker(id);
            worker
                .running
                .iter()
                .map(|it| it.task)
                .find(|it| it.job.0 != 1)
                .map(|task| worker.finish(task, daisy_model::Exit::Done))
        });
        assert!(oldest.is_some());
        world.create(batch(&format!("lists-{round}"), 1, size(1, 1)));
        world.run(Duration::from_secs(4));
    }

    assert_eq!(spread, [2, 2, 2]);
    assert_eq!(world.workers_running(task(1, 0)).len(), 1);
}
