//! A task that lasts and for which a worker is kept, in a shard beside others.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Layout, ShardId, StepSpec, TaskId};
use util::{CORE, FakeWorker, Fleet, LASTS_MS, job, long_running, step, task};

const SHARDS: u16 = 3;
const LAYOUT: Layout = Layout { shards: SHARDS };
/// Ids of quick jobs are below.
const LASTING: u64 = 1_000_000;

fn tasks(count: u32, cores: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running(count) }])
}

/// Four to eight seconds, so that quick tasks end one after the other.
fn work_ms(it: TaskId) -> u64 {
    match it.job.0 < LASTING {
        true => 4_000 + (it.job.0 * 7_919 + u64::from(it.index) * 104_729) % 4_000,
        false => LASTS_MS,
    }
}

/// Shards of eight workers that are full of quick tasks, for a minute.
fn full_of_quick_tasks(shards: u16) -> Fleet {
    let worker = |shard, at| FakeWorker::new(&format!("w{shard}{at}"), 4);
    let workers = |shard| (0..8).map(|at| worker(shard, at)).collect();
    let mut fleet = Fleet::new((0..shards).map(workers).collect());
    fleet.worlds.iter_mut().for_each(|it| it.work = work_ms);
    fleet.run_told(4_000);
    for round in 0..60 {
        for shard in 0..shards {
            let id = u64::from(shard) * 100_000 + round * 100;
            // Of another shard, so that they stay.
            let id = (id..).map(JobId).find(|id| LAYOUT.of_job(*id) != ShardId(shard));
            let id = id.expect("one of many");
            let quick = StepSpec { estimate_ms: 6_000, ..step(8) };
            fleet.worlds[usize::from(shard)].submit(id.0, job(vec![quick]));
        }
        fleet.run_told(100);
    }
    fleet
}

/// How long a task waits that needs a whole worker, in milliseconds.
fn wait_ms(shards: u16) -> u64 {
    let mut fleet = full_of_quick_tasks(shards);
    let layout = Layout { shards };
    let id = (LASTING..).map(JobId).find(|id| layout.of_job(*id) == ShardId(0));
    let id = id.expect("one of many");
    fleet.worlds[0].submit(id.0, tasks(1, 4));
    let mut waited = 0;
    while fleet.places(task(id.0, 0, 0)).is_empty() && waited < 20_000 {
        fleet.run_told(400);
        waited += 400;
    }
    waited
}

/// Handed on before its kept worker is free, it begins to wait anew, and again in the next shard.
#[test]
fn a_task_waits_no_longer_beside_other_shards_than_in_one_alone() {
    let [alone, beside] = [1, SHARDS].map(wait_ms);

    assert!(beside < 2 * alone, "{beside} ms instead of {alone} ms");
}
