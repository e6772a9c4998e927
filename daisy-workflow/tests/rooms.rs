//! Tasks that last and wait while there is room for them: in their own shard, or in another one.

mod util;

use daisy_model::{Instant, Resources};
use daisy_workflow::{
    FoldEffect, IncomingTransfer, JobId, JobSpec, Ledger, Record, ShardId, StepSpec, TaskId,
};
use util::{CORE, FakeWorker, Fleet, LASTS_MS, World, best_effort, job, long_running, step, task};

const FIRST: ShardId = ShardId(0);

/// Tasks that last, each of this many cores and MiB.
fn tasks(count: u32, cores: u32, memory_mib: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running(count) }])
}

fn first_task(id: JobId) -> TaskId {
    task(id.0, 0, 0)
}

/// Shards of one worker each, of this many cores, that have not told each other of their loads.
fn shards(cores: &[u32]) -> Fleet {
    let worker = |(at, cores): (usize, &u32)| vec![FakeWorker::new(&format!("w{at}"), *cores)];
    let mut fleet = Fleet::new(cores.iter().enumerate().map(worker).collect());
    fleet.run_ms(1_000);
    fleet
}

/// A job of the second shard, whose workers are full, that was handed whole to the first.
fn job_handed_whole(fleet: &mut Fleet, spec: JobSpec) -> JobId {
    let id = fleet.job_of(ShardId(1));
    fleet.worlds[1].write(Record::Delegated(id, FIRST));
    fleet.worlds[1].write(Record::Submitted(id, spec));
    fleet.run_told(200);
    id
}

/// A task that finds no room where its job was handed to was kept out of the shard that has room.
#[test]
fn a_task_returns_to_the_shard_that_handed_its_job_on() {
    let mut fleet = shards(&[4, 8]);
    let id = job_handed_whole(&mut fleet, tasks(2, 3, 100));

    fleet.run_told(4_500);

    let places = [0, 1].map(|index| fleet.places(task(id.0, 0, index)));
    assert_eq!(places, [vec!["w0"], vec!["w1"]]);
}

/// The same while either owner is killed at any moment of the return.
#[test]
fn a_return_outlives_its_owners() {
    for at in 0..2 {
        for moment in (100..460).step_by(4) {
            let mut fleet = shards(&[4, 8]);
            let id = job_handed_whole(&mut fleet, tasks(2, 3, 100));
            fleet.run_told(moment * 10);
            fleet.kill_owner(at);

            fleet.run_told(9_000);

            let places = [0, 1].map(|index| fleet.places(task(id.0, 0, index)));
            assert_eq!(places, [vec!["w0"], vec!["w1"]], "owner {at} killed after {moment}0 ms");
        }
    }
}

/// A caller cancels a job of which a task has returned to the job's own shard.
#[test]
fn a_cancellation_stops_a_task_that_returned() {
    let mut fleet = shards(&[4, 8]);
    let id = job_handed_whole(&mut fleet, tasks(2, 3, 100));
    fleet.run_told(4_500);
    assert_eq!(fleet.places(task(id.0, 0, 1)), ["w1"], "it has returned");

    fleet.worlds[1].cancel(id.0);
    fleet.run_ms(600);

    let places = [0, 1].map(|index| fleet.places(task(id.0, 0, index)));
    assert_eq!(places, [vec![""; 0], vec![]]);
}

/// Read after a task of it that returned, a job would lose the tasks that were never handed on.
#[test]
fn a_job_that_is_read_after_its_returned_task_is_whole() {
    let id = JobId(1);
    let spec = tasks(2, 1, 100);
    let it = IncomingTransfer {
        hop: 2,
        spec: spec.clone(),
        runs: 3,
        failures: 0,
        checkpoint: String::new(),
    };
    let mut ledger = Ledger::default();
    ledger.fold(Record::TaskTransferredIn(first_task(id), Box::new(it)));

    let fold = ledger.fold(Record::Submitted(id, spec));

    let waits = |index| {
        let job = ledger.job(id).expect("a job that was read");
        job.progress.task(task(id.0, 0, index)).expect("its task").is_waiting()
    };
    assert_eq!((fold, waits(0), waits(1)), (FoldEffect::Submitted(id), true, true));
}

/// A task that went where only processors are free would wait there once more.
#[test]
fn a_task_goes_where_there_is_memory_as_well() {
    let mut fleet = shards(&[2, 16, 4]);
    let large = fleet.job_of(ShardId(1));
    fleet.worlds[1].submit(large.0, tasks(1, 1, 63_950));
    fleet.run_ms(500);
    let id = fleet.job_of(FIRST);
    fleet.worlds[0].submit(id.0, tasks(2, 2, 100));
    fleet.run_ms(200);

    fleet.run_told(3_000);

    let transferred_to = fleet.worlds[0].ledger.job(id).map(|it| it.transferred_to());
    assert_eq!(transferred_to, Some(vec![ShardId(2)]));
    assert_eq!(fleet.places(task(id.0, 0, 1)), ["w2"]);
}

/// Tasks of other shards would come for room that the shard's own are about to take.
#[test]
fn room_that_own_waiting_tasks_will_take_is_not_told() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |task| if task.job.0 == 1 { 1_500 } else { LASTS_MS };
    world.run_ms(200);
    world.submit(1, job(vec![step(4)]));
    world.run_ms(200);
    let before = world.owner.load(world.now);

    world.submit(2, tasks(1, 3, 100));
    world.run_ms(100);
    let after = world.owner.load(world.now);

    let cores = [before, after].map(|it| it.free_blocks[0].cpu_milli / CORE);
    assert_eq!(cores, [4, 1]);
}

/// A task that was handed on again and again would wait beside room that has come free.
#[test]
fn a_task_that_moved_often_takes_new_room_at_once() {
    let mut fleet = shards(&[2, 4]);
    let full = fleet.job_of(FIRST);
    fleet.worlds[0].submit(full.0, tasks(1, 2, 100));
    let full = fleet.job_of(ShardId(1));
    fleet.worlds[1].submit(full.0, tasks(1, 4, 100));
    fleet.run_ms(500);
    let id = JobId(1_000_003);
    let spec = tasks(1, 2, 100);
    let it = IncomingTransfer { hop: 4, spec, runs: 2, failures: 0, checkpoint: String::new() };
    fleet.worlds[0].write(Record::TaskTransferredIn(first_task(id), Box::new(it)));
    fleet.run_told(4_000);
    assert_eq!(fleet.places(first_task(id)), [""; 0], "no shard has room yet");

    fleet.worlds[1].cancel(full.0);
    fleet.run_told(2_500);

    assert_eq!(fleet.places(first_task(id)), ["w1"]);
}

/// Best-effort tasks would keep the memory taken of a worker that is kept for another task.
#[test]
fn best_effort_tasks_leave_memory_on_a_worker_that_is_kept() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |task| if task.job.0 < 100 { 500 + task.job.0 * 30 } else { LASTS_MS };
    world.run_ms(200);
    for id in 0..40 {
        let small = best_effort(1, "render");
        let need = Resources { cpu_milli: CORE, memory_mib: 16_000, accelerators: 0 };
        world.submit(id, job(vec![StepSpec { need, ..small }]));
    }
    world.run_ms(300);

    world.submit(100, tasks(1, 3, 40_000));
    let found = world.run_until(3_000, |it| !it.places(first_task(JobId(100))).is_empty());

    assert!(found, "it still waits after {:?}", world.now.since(Instant::from_millis(1_000)));
}

/// Told in an order that depends on how it is sorted, pieces would differ from call to call, or panic.
#[test]
fn pieces_are_told_with_some_accelerators_first_and_then_by_size() {
    let worker = |at: u32| {
        let mut it = FakeWorker::new(&format!("w{at:02}"), 1 + at % 30);
        it.capacity.accelerators = u32::from(at.is_multiple_of(3));
        it
    };
    let mut world = World::new((0..60).map(worker).collect());
    world.run_ms(300);

    let free_blocks = world.owner.load(world.now).free_blocks;

    let special = free_blocks.iter().take_while(|it| it.accelerators > 0).count();
    assert!(special >= 4, "{special} pieces with accelerators come first");
    let sizes: Vec<u32> = free_blocks[4..].iter().map(|it| it.cpu_milli).collect();
    assert!(sizes.is_sorted_by(|a, b| a >= b), "{sizes:?}");
}
