//! Jobs and tasks that could leave their shard in more than one way, and rooms told for them.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, ShardId, StepSpec, TaskId};
use util::{CORE, FakeWorker, Fleet, job, lasting, task};

const FIRST: ShardId = ShardId(0);

/// Tasks that last, each of this many cores.
fn tasks(count: u32, cores: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 };
    job(vec![StepSpec { need, ..lasting(count) }])
}

/// Shards with workers of these cores, on which all tasks last.
fn shards(cores: &[&[u32]]) -> Fleet {
    let workers = cores.iter().enumerate().map(|(shard, cores)| {
        let worker = |(at, cores): (usize, &u32)| FakeWorker::new(&format!("w{shard}{at}"), *cores);
        cores.iter().enumerate().map(worker).collect()
    });
    let mut fleet = Fleet::new(workers.collect());
    fleet.run_ms(4_000);
    fleet
}

fn first_task(id: JobId) -> TaskId {
    task(id.0, 0, 0)
}

/// Room in two other shards shows at one time for a job that has waited: it is handed on whole, and
/// in the same moment its task is handed on alone, to the other of the two.
#[test]
fn a_job_that_is_handed_on_whole_is_not_handed_on_in_parts_as_well() {
    let mut fleet = shards(&[&[2], &[8], &[7]]);
    let id = fleet.job_of(FIRST);
    fleet.worlds[0].submit(id.0, tasks(1, 3));
    fleet.run_ms(2_000);

    fleet.run_told(3_000);

    assert_eq!(fleet.places(first_task(id)).len(), 1);
}
