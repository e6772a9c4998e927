//! Long-running tasks that wait although their own shard or another one has capacity.

mod util;

use daisy_model::{Instant, Resources};
use daisy_workflow::{
    FoldEffect, IncomingTransfer, JobId, JobSpec, Ledger, Record, ShardId, StepSpec, TaskId,
};
use util::{
    CORE, FakeWorker, LONG_RUNNING_WORK_MS, ShardedSimulation, Simulation, best_effort, job,
    long_running_step, step, task,
};

const FIRST: ShardId = ShardId(0);

/// Returns a job of long-running tasks with this many cores and MiB each.
fn tasks(count: u32, cores: u32, memory_mib: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running_step(count) }])
}

fn first_task(id: JobId) -> TaskId {
    task(id.0, 0, 0)
}

/// Returns shards of one worker each, with these numbers of cores; their loads are not published
/// yet.
fn shards(cores: &[u32]) -> ShardedSimulation {
    let worker = |(at, cores): (usize, &u32)| vec![FakeWorker::new(&format!("w{at}"), *cores)];
    let mut sim = ShardedSimulation::new(cores.iter().enumerate().map(worker).collect());
    sim.run_ms(1_000);
    sim
}

/// Transfers a job of the second shard, whose workers are full, as a whole to the first shard.
fn job_transferred_whole(sim: &mut ShardedSimulation, spec: JobSpec) -> JobId {
    let id = sim.job_id_of(ShardId(1));
    sim.shards[1].write(Record::Delegated(id, FIRST));
    sim.shards[1].write(Record::Submitted(id, spec));
    sim.run_with_loads_ms(200);
    id
}

/// A task that finds no capacity in the shard its job was transferred to was kept out of the
/// original shard, which has capacity.
#[test]
fn a_task_returns_to_the_shard_that_transferred_its_job() {
    let mut sim = shards(&[4, 8]);
    let id = job_transferred_whole(&mut sim, tasks(2, 3, 100));

    sim.run_with_loads_ms(4_500);

    let places = [0, 1].map(|index| sim.workers_running(task(id.0, 0, index)));
    assert_eq!(places, [vec!["w0"], vec!["w1"]]);
}

/// A task returns also when either owner is killed at any moment of the return.
#[test]
fn a_task_returns_once_when_an_owner_dies() {
    for at in 0..2 {
        for moment in (100..460).step_by(4) {
            let mut sim = shards(&[4, 8]);
            let id = job_transferred_whole(&mut sim, tasks(2, 3, 100));
            sim.run_with_loads_ms(moment * 10);
            sim.kill_owner(at);

            sim.run_with_loads_ms(9_000);

            let places = [0, 1].map(|index| sim.workers_running(task(id.0, 0, index)));
            assert_eq!(places, [vec!["w0"], vec!["w1"]], "owner {at} killed after {moment}0 ms");
        }
    }
}

/// A caller cancels a job of which one task has returned to the job's own shard.
#[test]
fn a_cancellation_stops_a_returned_task() {
    let mut sim = shards(&[4, 8]);
    let id = job_transferred_whole(&mut sim, tasks(2, 3, 100));
    sim.run_with_loads_ms(4_500);
    assert_eq!(sim.workers_running(task(id.0, 0, 1)), ["w1"], "the task has returned");

    sim.shards[1].cancel(id.0);
    sim.run_ms(600);

    let places = [0, 1].map(|index| sim.workers_running(task(id.0, 0, index)));
    assert_eq!(places, [vec![""; 0], vec![]]);
}

/// When a job is read after one of its tasks that returned, it would lose the tasks that were never
/// transferred.
#[test]
fn a_job_that_is_read_after_its_returned_task_is_complete() {
    let id = JobId(1);
    let spec = tasks(2, 1, 100);
    let it = IncomingTransfer {
        number: 2,
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

/// A task that is transferred to a shard with free processors but no free memory would wait there
/// once more.
#[test]
fn a_task_is_transferred_to_a_shard_with_free_memory() {
    let mut sim = shards(&[2, 16, 4]);
    let large = sim.job_id_of(ShardId(1));
    sim.shards[1].submit(large.0, tasks(1, 1, 63_950));
    sim.run_ms(500);
    let id = sim.job_id_of(FIRST);
    sim.shards[0].submit(id.0, tasks(2, 2, 100));
    sim.run_ms(200);

    sim.run_with_loads_ms(3_000);

    let transferred_to = sim.shards[0].ledger.job(id).map(|it| it.transferred_to());
    assert_eq!(transferred_to, Some(vec![ShardId(2)]));
    assert_eq!(sim.workers_running(task(id.0, 0, 1)), ["w2"]);
}

/// Tasks of other shards would be transferred here for capacity that the shard's own tasks are
/// about to use.
#[test]
fn capacity_that_own_waiting_tasks_need_is_not_published() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms = |task| if task.job.0 == 1 { 1_500 } else { LONG_RUNNING_WORK_MS };
    sim.run_ms(200);
    sim.submit(1, job(vec![step(4)]));
    sim.run_ms(200);
    let before = sim.owner.load(sim.now);

    sim.submit(2, tasks(1, 3, 100));
    sim.run_ms(100);
    let after = sim.owner.load(sim.now);

    let cores = [before, after].map(|it| it.free_blocks[0].cpu_milli / CORE);
    assert_eq!(cores, [4, 1]);
}

/// A task that was transferred repeatedly would wait beside capacity that has become free.
#[test]
fn a_task_with_many_transfers_uses_new_capacity_within_2500_ms() {
    let mut sim = shards(&[2, 4]);
    let full = sim.job_id_of(FIRST);
    sim.shards[0].submit(full.0, tasks(1, 2, 100));
    let full = sim.job_id_of(ShardId(1));
    sim.shards[1].submit(full.0, tasks(1, 4, 100));
    sim.run_ms(500);
    let id = JobId(1_000_003);
    let spec = tasks(1, 2, 100);
    let it = IncomingTransfer { number: 4, spec, runs: 2, failures: 0, checkpoint: String::new() };
    sim.shards[0].write(Record::TaskTransferredIn(first_task(id), Box::new(it)));
    sim.run_with_loads_ms(4_000);
    assert_eq!(sim.workers_running(first_task(id)), [""; 0], "no shard has capacity yet");

    sim.shards[1].cancel(full.0);
    sim.run_with_loads_ms(2_500);

    assert_eq!(sim.workers_running(first_task(id)), ["w1"]);
}

/// Best-effort tasks would keep using the memory of a worker that is reserved for another task.
#[test]
fn best_effort_tasks_leave_memory_on_a_reserved_worker() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms =
        |task| if task.job.0 < 100 { 500 + task.job.0 * 30 } else { LONG_RUNNING_WORK_MS };
    sim.run_ms(200);
    for id in 0..40 {
        let small = best_effort(1, "render");
        let need = Resources { cpu_milli: CORE, memory_mib: 16_000, accelerators: 0 };
        sim.submit(id, job(vec![StepSpec { need, ..small }]));
    }
    sim.run_ms(300);

    sim.submit(100, tasks(1, 3, 40_000));
    let started = sim.run_until(3_000, |it| !it.workers_running(first_task(JobId(100))).is_empty());

    assert!(started, "the task still waits after {:?}", sim.now.since(Instant::from_millis(1_000)));
}

/// If the order of published free blocks depended on the sort, they would differ from call to call,
/// or the sort would panic.
#[test]
fn free_blocks_are_published_with_some_accelerators_first_and_then_by_size() {
    let worker = |at: u32| {
        let mut it = FakeWorker::new(&format!("w{at:02}"), 1 + at % 30);
        it.capacity.accelerators = u32::from(at.is_multiple_of(3));
        it
    };
    let mut sim = Simulation::new((0..60).map(worker).collect());
    sim.run_ms(300);

    let free_blocks = sim.owner.load(sim.now).free_blocks;

    let with_accelerators = free_blocks.iter().take_while(|it| it.accelerators > 0).count();
    assert!(with_accelerators >= 4, "{with_accelerators} free blocks with accelerators come first");
    let sizes: Vec<u32> = free_blocks[4..].iter().map(|it| it.cpu_milli).collect();
    assert!(sizes.is_sorted_by(|a, b| a >= b), "{sizes:?}");
}
