//! Jobs and tasks that could be transferred as a whole or in parts, and the free capacity published
//! for them.

mod util;

use daisy_model::Resources;
use daisy_workflow::{IncomingTransfer, JobId, JobSpec, Record, ShardId, StepSpec, TaskId};
use util::{
    CORE, FakeWorker, LONG_RUNNING_WORK_MS, ShardedSimulation, Simulation, job, long_running_step,
    step, task,
};

const FIRST: ShardId = ShardId(0);

/// Returns a job of long-running tasks with this many cores each.
fn tasks(count: u32, cores: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running_step(count) }])
}

/// Returns shards with workers of these numbers of cores, on which all tasks are long-running.
fn shards(cores: &[&[u32]]) -> ShardedSimulation {
    let workers = cores.iter().enumerate().map(|(shard, cores)| {
        let worker = |(at, cores): (usize, &u32)| FakeWorker::new(&format!("w{shard}{at}"), *cores);
        cores.iter().enumerate().map(worker).collect()
    });
    let mut sim = ShardedSimulation::new(workers.collect());
    sim.run_ms(4_000);
    sim
}

fn first_task(id: JobId) -> TaskId {
    task(id.0, 0, 0)
}

/// Two other shards publish capacity at the same time for a job that has waited.
#[test]
fn a_job_transferred_as_a_whole_is_not_also_transferred_in_parts() {
    let mut sim = shards(&[&[2], &[8], &[7]]);
    let id = sim.job_id_of(FIRST);
    sim.shards[0].submit(id.0, tasks(1, 3));
    sim.run_ms(2_000);

    sim.run_with_loads_ms(3_000);

    assert_eq!(sim.workers_running(first_task(id)).len(), 1);
}

/// Shards without workers that have the label publish capacity, and transfer the task to each
/// other.
#[test]
fn a_task_with_a_required_label_returns_to_the_shard_that_has_it() {
    let mut sim = shards(&[&[4], &[16], &[16]]);
    sim.shards[0].workers[0].labels.push("fast".to_owned());
    sim.run_ms(200);
    let [full, id] = two_jobs_of_the_first(&sim);
    sim.shards[0].submit(full.0, tasks(1, 4));
    sim.run_with_loads_ms(300);
    let spec = tasks(1, 2);
    let labelled = StepSpec { required_label: Some("fast".into()), ..spec.steps[0].clone() };
    sim.shards[0].submit(id.0, job(vec![labelled]));
    sim.run_with_loads_ms(5_000);

    sim.shards[0].cancel(full.0);
    sim.run_with_loads_ms(10_000);

    assert_eq!(sim.workers_running(first_task(id)), ["w00"]);
}

/// Free blocks were published in the order of the free share of their workers, so that small empty
/// workers came first.
#[test]
fn capacity_of_a_large_worker_is_published_beside_many_small_ones() {
    let small = [2; 16];
    let second: Vec<u32> = small.into_iter().chain([16]).collect();
    let mut sim = shards(&[&[4], &second]);
    let [full, id] = two_jobs_of_the_first(&sim);
    let other_job = sim.job_id_of(ShardId(1));
    sim.shards[1].submit(other_job.0, tasks(1, 4));
    sim.shards[0].submit(full.0, tasks(1, 4));
    sim.run_ms(300);
    sim.shards[0].submit(id.0, tasks(2, 4));
    sim.shards[0].cancel(full.0);
    sim.run_ms(500);
    assert_eq!(
        sim.workers_running(first_task(id)),
        ["w00"],
        "the first task runs while the second waits"
    );

    sim.run_with_loads_ms(6_000);

    assert_eq!(sim.workers_running(task(id.0, 0, 1)), ["w116"]);
}

/// The one worker with accelerators is published beside many workers without.
#[test]
fn capacity_with_accelerators_is_published_beside_many_workers_without() {
    let mut sim = shards(&[&[4], &[4; 17]]);
    sim.shards[0].workers[0].capacity.accelerators = 1;
    sim.shards[1].workers[3].capacity.accelerators = 1;
    sim.run_ms(200);
    let other_job = sim.job_id_of(ShardId(1));
    let accelerated = |count, cores| {
        let spec = tasks(count, cores);
        let need = Resources { accelerators: 1, ..spec.steps[0].need };
        job(vec![StepSpec { need, ..spec.steps[0].clone() }])
    };
    let need = Resources { accelerators: 0, ..accelerated(1, 1).steps[0].need };
    let small = StepSpec { need, data_rack: Some("near".into()), ..long_running_step(1) };
    sim.shards[1].workers[3].labels.push("near".to_owned());
    sim.run_ms(100);
    sim.shards[1].submit(other_job.0, job(vec![small]));
    let id = sim.job_id_of(FIRST);
    sim.shards[0].submit(id.0, accelerated(2, 1));
    sim.run_ms(500);

    sim.run_with_loads_ms(6_000);

    assert_eq!(sim.workers_running(task(id.0, 0, 1)), ["w13"]);
}

/// Small gangs take each free core of a worker that is reserved for a large task.
#[test]
fn gangs_do_not_use_a_reserved_worker() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms =
        |task| if task.job.0 < 100 { 500 + task.job.0 * 30 } else { LONG_RUNNING_WORK_MS };
    sim.run_ms(200);
    for id in 0..40 {
        sim.submit(id, job(vec![StepSpec { gang: true, ..step(1) }]));
    }
    sim.run_ms(300);

    sim.submit(100, tasks(1, 3));
    let started = sim.run_until(4_000, |it| !it.workers_running(first_task(JobId(100))).is_empty());

    assert!(started, "the task still waits");
}

/// One worker is reserved for each job, however many of its tasks wait.
#[test]
fn tasks_of_one_job_wait_less_than_three_times_as_long_as_those_of_many() {
    let wait_ms = |jobs: u64, each: u32| {
        let mut sim = Simulation::new(workers_of_four_cores());
        sim.work_ms = |it| if it.job.0 < 1_000 { short_work_ms(it) } else { LONG_RUNNING_WORK_MS };
        sim.run_ms(200);
        for id in 0..80 {
            sim.submit(id, job(vec![StepSpec { estimate_ms: 3_000, ..step(20) }]));
            sim.run_ms(40);
        }
        let began = sim.now;
        (0..jobs).for_each(|it| sim.submit(1_000 + it, tasks(each, 3)));
        let all = (0..jobs).flat_map(|it| (0..each).map(move |index| task(1_000 + it, 0, index)));
        let all: Vec<TaskId> = all.collect();
        sim.run_until(30_000, |it| all.iter().all(|task| !it.workers_running(*task).is_empty()));
        sim.now.since(began).as_millis()
    };

    let (one_job, many_jobs) = (wait_ms(1, 4), wait_ms(4, 1));

    assert!(one_job < 3 * many_jobs, "{one_job} ms instead of {many_jobs} ms");
}

/// Each transfer costs two records, and the shards publish capacity on workers that cannot run the
/// task.
#[test]
fn a_task_that_no_shard_can_run_is_transferred_at_most_6_times_in_30_s() {
    let mut sim = shards(&[&[4], &[16], &[16]]);
    let id = sim.job_id_of(FIRST);
    let unsatisfiable =
        StepSpec { required_label: Some("none".into()), ..tasks(1, 2).steps[0].clone() };
    sim.shards[0].submit(id.0, job(vec![unsatisfiable]));

    sim.run_with_loads_ms(30_000);

    let jobs = sim.shards.iter().filter_map(|it| it.ledger.job(id));
    let hops = jobs.flat_map(|it| it.transfers.iter().map(|(_, it)| it.number)).max().unwrap_or(0);
    assert!(hops <= 6, "{hops} hops in 30 s");
}

fn workers_of_four_cores() -> Vec<FakeWorker> {
    (0..24).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect()
}

/// Returns work of three to four seconds, so that short tasks end one after the other.
fn short_work_ms(it: TaskId) -> u64 {
    3_000 + (it.job.0 * 7_919 + u64::from(it.index) * 104_729) % 1_000
}

/// The job of a returned task may be read after the task was started.
#[test]
fn a_returned_task_that_is_read_before_its_job_is_counted_once() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w", 4)]);
    sim.work_ms = |_| LONG_RUNNING_WORK_MS;
    let id = JobId(1);
    let spec = tasks(1, 1);
    let it = IncomingTransfer {
        number: 2,
        spec: spec.clone(),
        runs: 3,
        failures: 0,
        checkpoint: String::new(),
    };
    sim.write(Record::TaskTransferredIn(first_task(id), Box::new(it)));
    sim.run_ms(500);

    sim.submit(id.0, spec);
    sim.run_ms(2_000);

    assert_eq!(sim.owner.summary(sim.now).runs, 1);
}

/// Returns the ids of two jobs of the first shard.
fn two_jobs_of_the_first(sim: &ShardedSimulation) -> [JobId; 2] {
    let layout = daisy_workflow::Layout { shards: sim.shards.len() as u16 };
    let mut ids = (1..).map(JobId).filter(|id| layout.shard_of_job(*id) == FIRST);
    [
        ids.next().expect("some job id belongs to each shard"),
        ids.next().expect("some job id belongs to each shard"),
    ]
}

/// Only the job's own shard, which is busy, has workers with the required label.
#[test]
fn a_job_is_not_transferred_to_a_shard_that_cannot_run_it() {
    let mut sim = shards(&[&[4], &[16]]);
    sim.shards.iter_mut().for_each(|it| it.work_ms = |_| 1_000);
    sim.shards[0].workers[0].labels.push("fast".to_owned());
    sim.run_ms(200);
    let ids = two_jobs_of_the_first(&sim);
    let fast = StepSpec { required_label: Some("fast".into()), ..step(4) };
    sim.run_with_loads_ms(100);
    ids.iter().for_each(|id| sim.shards[0].submit(id.0, job(vec![fast.clone()])));

    sim.run_with_loads_ms(6_000);

    let done = |id: &JobId| sim.shards.iter().any(|it| is_completed(it, *id));
    assert_eq!(ids.map(|id| done(&id)), [true, true]);
}

fn is_completed(sim: &Simulation, id: JobId) -> bool {
    let job = sim.ledger.job(id);
    job.is_some_and(|it| it.state() == daisy_workflow::JobState::Completed)
}
