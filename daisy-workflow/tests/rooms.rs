//! Tasks that last and wait while there is room for them: in their own shard, or in another one.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Record, ShardId, StepSpec};
use util::{CORE, FakeWorker, Fleet, job, lasting, task};

const FIRST: ShardId = ShardId(0);

/// Tasks that last, each of this many cores and MiB.
fn tasks(count: u32, cores: u32, memory_mib: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib, accelerators: 0 };
    job(vec![StepSpec { need, ..lasting(count) }])
}

/// Shards of one worker each, of this many cores, that have not told each other of their loads.
fn shards(cores: &[u32]) -> Fleet {
    let worker = |(at, cores): (usize, &u32)| vec![FakeWorker::new(&format!("w{at}"), *cores)];
    let mut fleet = Fleet::new(cores.iter().enumerate().map(worker).collect());
    fleet.run_ms(1_000);
    fleet
}

/// A job of the second shard that was handed whole to the first.
fn job_handed_whole(fleet: &mut Fleet, spec: JobSpec) -> JobId {
    let id = fleet.job_of(ShardId(1));
    fleet.worlds[1].write(Record::Delegated(id, FIRST));
    fleet.worlds[1].write(Record::Submitted(id, spec));
    fleet.run_told(200);
    id
}

/// A job was handed whole to another shard before it began. A task of it finds no room there later,
/// and the only room is in the shard that the job came from.
#[test]
fn a_task_returns_to_the_shard_that_handed_its_job_on() {
    let mut fleet = shards(&[4, 8]);
    let id = job_handed_whole(&mut fleet, tasks(2, 3, 100));

    fleet.run_told(4_500);

    let places = [0, 1].map(|index| fleet.places(task(id.0, 0, index)));
    assert_eq!(places, [vec!["w0"], vec!["w1"]]);
}
