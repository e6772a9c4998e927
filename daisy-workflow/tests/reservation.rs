//! A long-running task for which a worker is reserved, in one shard of several.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Layout, ShardId, StepSpec, TaskId};
use util::{
    CORE, FakeWorker, LONG_RUNNING_WORK_MS, ShardedSimulation, job, long_running_step, step, task,
};

const SHARDS: u16 = 3;
const LAYOUT: Layout = Layout { shards: SHARDS };
/// The first id of long-running jobs; short jobs have smaller ids.
const FIRST_LONG_RUNNING_JOB: u64 = 1_000_000;

fn tasks(count: u32, cores: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running_step(count) }])
}

/// Returns work of four to eight seconds for short tasks, so that they end one after the other.
fn work_ms(it: TaskId) -> u64 {
    match it.job.0 < FIRST_LONG_RUNNING_JOB {
        true => 4_000 + (it.job.0 * 7_919 + u64::from(it.index) * 104_729) % 4_000,
        false => LONG_RUNNING_WORK_MS,
    }
}

/// Returns shards of eight workers that are full of short tasks, with enough queued for a minute.
fn full_of_short_tasks(shards: u16) -> ShardedSimulation {
    let worker = |shard, at| FakeWorker::new(&format!("w{shard}{at}"), 4);
    let workers = |shard| (0..8).map(|at| worker(shard, at)).collect();
    let mut sim = ShardedSimulation::new((0..shards).map(workers).collect());
    sim.shards.iter_mut().for_each(|it| it.work_ms = work_ms);
    sim.run_with_loads_ms(4_000);
    for round in 0..60 {
        for shard in 0..shards {
            let id = u64::from(shard) * 100_000 + round * 100;
            // An id of another shard, so that the job is not transferred.
            let id = (id..).map(JobId).find(|id| LAYOUT.shard_of_job(*id) != ShardId(shard));
            let id = id.expect("some job id belongs to each shard");
            let short_step = StepSpec { estimate_ms: 6_000, ..step(8) };
            sim.shards[usize::from(shard)].submit(id.0, job(vec![short_step]));
        }
        sim.run_with_loads_ms(100);
    }
    sim
}

/// Returns how long a task that needs a whole worker waits, in milliseconds.
fn wait_ms(shards: u16) -> u64 {
    let mut sim = full_of_short_tasks(shards);
    let layout = Layout { shards };
    let id =
        (FIRST_LONG_RUNNING_JOB..).map(JobId).find(|id| layout.shard_of_job(*id) == ShardId(0));
    let id = id.expect("some job id belongs to each shard");
    sim.shards[0].submit(id.0, tasks(1, 4));
    let mut waited = 0;
    while sim.workers_running(task(id.0, 0, 0)).is_empty() && waited < 20_000 {
        sim.run_with_loads_ms(400);
        waited += 400;
    }
    waited
}

/// A task that was transferred before its reserved worker was free started its wait again, and once
/// more in the next shard.
#[test]
fn a_task_waits_less_than_twice_as_long_among_several_shards_as_in_one() {
    let [in_one_shard, among_others] = [1, SHARDS].map(wait_ms);

    assert!(among_others < 2 * in_one_shard, "{among_others} ms instead of {in_one_shard} ms");
}
