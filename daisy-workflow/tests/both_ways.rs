//! Jobs and tasks that could leave their shard in more than one way, and rooms told for them.

mod util;

use daisy_model::Resources;
use daisy_workflow::{IncomingTransfer, JobId, JobSpec, Record, ShardId, StepSpec, TaskId};
use util::{CORE, FakeWorker, Fleet, LASTS_MS, World, job, long_running, step, task};

const FIRST: ShardId = ShardId(0);

/// Tasks that last, each of this many cores.
fn tasks(count: u32, cores: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running(count) }])
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

/// Room in two other shards shows at one time for a job that has waited.
#[test]
fn a_job_that_is_handed_on_whole_is_not_handed_on_in_parts_as_well() {
    let mut fleet = shards(&[&[2], &[8], &[7]]);
    let id = fleet.job_of(FIRST);
    fleet.worlds[0].submit(id.0, tasks(1, 3));
    fleet.run_ms(2_000);

    fleet.run_told(3_000);

    assert_eq!(fleet.places(first_task(id)).len(), 1);
}

/// Shards without workers of the kind that it needs tell of room, and hand it to each other.
#[test]
fn a_task_that_needs_a_label_returns_to_the_shard_that_has_it() {
    let mut fleet = shards(&[&[4], &[16], &[16]]);
    fleet.worlds[0].workers[0].labels.push("fast".to_owned());
    fleet.run_ms(200);
    let [full, id] = two_jobs_of_the_first(&fleet);
    fleet.worlds[0].submit(full.0, tasks(1, 4));
    fleet.run_told(300);
    let spec = tasks(1, 2);
    let labelled = StepSpec { required_label: Some("fast".into()), ..spec.steps[0].clone() };
    fleet.worlds[0].submit(id.0, job(vec![labelled]));
    fleet.run_told(5_000);

    fleet.worlds[0].cancel(full.0);
    fleet.run_told(10_000);

    assert_eq!(fleet.places(first_task(id)), ["w00"]);
}

/// Pieces are told in the order of shares of their workers, so that small empty ones come first.
#[test]
fn room_on_a_large_worker_is_told_beside_many_small_ones() {
    let small = [2; 16];
    let second: Vec<u32> = small.into_iter().chain([16]).collect();
    let mut fleet = shards(&[&[4], &second]);
    let [full, id] = two_jobs_of_the_first(&fleet);
    let beside = fleet.job_of(ShardId(1));
    fleet.worlds[1].submit(beside.0, tasks(1, 4));
    fleet.worlds[0].submit(full.0, tasks(1, 4));
    fleet.run_ms(300);
    fleet.worlds[0].submit(id.0, tasks(2, 4));
    fleet.worlds[0].cancel(full.0);
    fleet.run_ms(500);
    assert_eq!(fleet.places(first_task(id)), ["w00"], "the other of its tasks waits");

    fleet.run_told(6_000);

    assert_eq!(fleet.places(task(id.0, 0, 1)), ["w116"]);
}

/// The same for the one worker that has accelerators.
#[test]
fn room_with_accelerators_is_told_beside_many_workers_without() {
    let mut fleet = shards(&[&[4], &[4; 17]]);
    fleet.worlds[0].workers[0].capacity.accelerators = 1;
    fleet.worlds[1].workers[3].capacity.accelerators = 1;
    fleet.run_ms(200);
    let beside = fleet.job_of(ShardId(1));
    let accelerated = |count, cores| {
        let spec = tasks(count, cores);
        let need = Resources { accelerators: 1, ..spec.steps[0].need };
        job(vec![StepSpec { need, ..spec.steps[0].clone() }])
    };
    let need = Resources { accelerators: 0, ..accelerated(1, 1).steps[0].need };
    let small = StepSpec { need, data_rack: Some("near".into()), ..long_running(1) };
    fleet.worlds[1].workers[3].labels.push("near".to_owned());
    fleet.run_ms(100);
    fleet.worlds[1].submit(beside.0, job(vec![small]));
    let id = fleet.job_of(FIRST);
    fleet.worlds[0].submit(id.0, accelerated(2, 1));
    fleet.run_ms(500);

    fleet.run_told(6_000);

    assert_eq!(fleet.places(task(id.0, 0, 1)), ["w13"]);
}

/// Gangs that are small take each gap on a worker that is kept for a large task.
#[test]
fn gangs_leave_a_worker_that_is_kept() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |task| if task.job.0 < 100 { 500 + task.job.0 * 30 } else { LASTS_MS };
    world.run_ms(200);
    for id in 0..40 {
        world.submit(id, job(vec![StepSpec { gang: true, ..step(1) }]));
    }
    world.run_ms(300);

    world.submit(100, tasks(1, 3));
    let found = world.run_until(4_000, |it| !it.places(first_task(JobId(100))).is_empty());

    assert!(found, "it still waits");
}

/// One worker is kept for each job, however many of its tasks wait.
#[test]
fn tasks_of_one_job_wait_no_longer_than_those_of_many() {
    let wait_ms = |jobs: u64, each: u32| {
        let mut world = World::new(workers_of_four_cores());
        world.work = |it| if it.job.0 < 1_000 { quick_ms(it) } else { LASTS_MS };
        world.run_ms(200);
        for id in 0..80 {
            world.submit(id, job(vec![StepSpec { estimate_ms: 3_000, ..step(20) }]));
            world.run_ms(40);
        }
        let began = world.now;
        (0..jobs).for_each(|it| world.submit(1_000 + it, tasks(each, 3)));
        let all = (0..jobs).flat_map(|it| (0..each).map(move |index| task(1_000 + it, 0, index)));
        let all: Vec<TaskId> = all.collect();
        world.run_until(30_000, |it| all.iter().all(|task| !it.places(*task).is_empty()));
        world.now.since(began).as_millis()
    };

    let (one_job, many_jobs) = (wait_ms(1, 4), wait_ms(4, 1));

    assert!(one_job < 3 * many_jobs, "{one_job} ms instead of {many_jobs} ms");
}

/// Each move costs two records, and the shards tell of room on workers of other kinds.
#[test]
fn a_task_that_no_shard_can_run_seldom_moves() {
    let mut fleet = shards(&[&[4], &[16], &[16]]);
    let id = fleet.job_of(FIRST);
    let nowhere = StepSpec { required_label: Some("none".into()), ..tasks(1, 2).steps[0].clone() };
    fleet.worlds[0].submit(id.0, job(vec![nowhere]));

    fleet.run_told(30_000);

    let jobs = fleet.worlds.iter().filter_map(|it| it.ledger.job(id));
    let hops = jobs.flat_map(|it| it.transfers.iter().map(|(_, it)| it.hop)).max().unwrap_or(0);
    assert!(hops <= 6, "{hops} hops in 30 s");
}

fn workers_of_four_cores() -> Vec<FakeWorker> {
    (0..24).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect()
}

/// Three to four seconds, so that quick tasks end one after the other.
fn quick_ms(it: TaskId) -> u64 {
    3_000 + (it.job.0 * 7_919 + u64::from(it.index) * 104_729) % 1_000
}

/// Its job may be read once the task has been started.
#[test]
fn a_returned_task_that_is_read_before_its_job_counts_once() {
    let mut world = World::new(vec![FakeWorker::new("w", 4)]);
    world.work = |_| LASTS_MS;
    let id = JobId(1);
    let spec = tasks(1, 1);
    let it = IncomingTransfer {
        hop: 2,
        spec: spec.clone(),
        runs: 3,
        failures: 0,
        checkpoint: String::new(),
    };
    world.write(Record::TaskTransferredIn(first_task(id), Box::new(it)));
    world.run_ms(500);

    world.submit(id.0, spec);
    world.run_ms(2_000);

    assert_eq!(world.owner.summary(world.now).runs, 1);
}

/// Two jobs of the first shard.
fn two_jobs_of_the_first(fleet: &Fleet) -> [JobId; 2] {
    let layout = daisy_workflow::Layout { shards: fleet.worlds.len() as u16 };
    let mut ids = (1..).map(JobId).filter(|id| layout.of_job(*id) == FIRST);
    [ids.next().expect("one of many"), ids.next().expect("one of many")]
}

/// Only its own shard, which is busy, has workers of the kind that it needs.
#[test]
fn a_job_is_not_handed_to_a_shard_that_cannot_run_it() {
    let mut fleet = shards(&[&[4], &[16]]);
    fleet.worlds.iter_mut().for_each(|it| it.work = |_| 1_000);
    fleet.worlds[0].workers[0].labels.push("fast".to_owned());
    fleet.run_ms(200);
    let ids = two_jobs_of_the_first(&fleet);
    let fast = StepSpec { required_label: Some("fast".into()), ..step(4) };
    fleet.run_told(100);
    ids.iter().for_each(|id| fleet.worlds[0].submit(id.0, job(vec![fast.clone()])));

    fleet.run_told(6_000);

    let done = |id: &JobId| fleet.worlds.iter().any(|it| is_completed(it, *id));
    assert_eq!(ids.map(|id| done(&id)), [true, true]);
}

fn is_completed(world: &World, id: JobId) -> bool {
    let job = world.ledger.job(id);
    job.is_some_and(|it| it.state() == daisy_workflow::JobState::Completed)
}
