//! Long-running tasks that are transferred to another shard with free capacity.

mod util;

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Event, FoldEffect, IncomingTransfer, JobId, JobSpec, Layout, Ledger, Load, OtherShards,
    OutgoingTransfer, Progress, Record, ShardId, StepSpec, TaskCopy, TaskId,
};
use util::{CORE, FakeWorker, ShardedSimulation, job, long_running_step, task};

const LAYOUT: Layout = Layout { shards: 2 };
const FULL_SHARD: ShardId = ShardId(0);
const SHARD_WITH_CAPACITY: ShardId = ShardId(1);
/// Returns two shards: one worker of 4 cores in the first, one of 8 cores in the second.
fn two_shards() -> ShardedSimulation {
    ShardedSimulation::new(vec![vec![FakeWorker::new("a", 4)], vec![FakeWorker::new("b", 8)]])
}

/// Returns two shards with a job in the first one, which has capacity for one of the job's two
/// tasks.
fn with_a_waiting_task() -> ShardedSimulation {
    let mut sim = two_shards();
    sim.run_ms(100);
    sim.shards[0].submit(job_id().0, large_job());
    sim.run_ms(100);
    assert_eq!(sim.workers_running(task_of_job(0)), ["a"], "the first of its tasks runs");
    sim
}

/// Returns the id of a job of the first shard.
fn job_id() -> JobId {
    (1..)
        .map(JobId)
        .find(|id| LAYOUT.shard_of_job(*id) == FULL_SHARD)
        .expect("some job id belongs to each shard")
}

fn task_of_job(index: u32) -> TaskId {
    task(job_id().0, 0, index)
}

/// Returns a job of two long-running tasks of three cores each.
fn large_job() -> JobSpec {
    let need = Resources { cpu_milli: 3 * CORE, ..long_running_step(1).need };
    job(vec![StepSpec { need, ..long_running_step(2) }])
}

fn task_received(number: u32, runs: u32) -> Record {
    let it = IncomingTransfer {
        number,
        spec: large_job(),
        runs,
        failures: 0,
        checkpoint: String::new(),
    };
    Record::TaskTransferredIn(task_of_job(0), Box::new(it))
}

fn task_transferred(number: u32) -> Record {
    Record::TaskTransferredOut(task_of_job(0), OutgoingTransfer { number, to: ShardId(2) })
}

/// Returns whether the job's first task waits for a start in the shard of this ledger.
fn is_waiting_here(ledger: &Ledger) -> bool {
    let job = ledger.job(job_id()).expect("the job was read");
    job.progress.task(task_of_job(0)).expect("its first task").is_waiting()
}

/// A task of a service that should always run is down: the workers of its job's shard are full for
/// as long as other long-running tasks run, and a job that has begun cannot leave its shard.
/// Another shard has capacity.
#[test]
fn a_task_without_capacity_runs_in_another_shard() {
    let mut sim = with_a_waiting_task();

    sim.run_with_loads_ms(4_500);

    assert_eq!(
        (sim.workers_running(task_of_job(0)), sim.workers_running(task_of_job(1))),
        (vec!["a"], vec!["b"])
    );
}

/// One owner or the other is killed at any moment of the transfer, with all its writes in flight.
/// Before the record of the transfer the task still belongs to the first shard, after it to the
/// second: the task runs in the end, and never on two workers.
#[test]
fn a_transfer_is_completed_when_an_owner_dies() {
    for at in 0..2 {
        for moment in (280..420).chain((500..1_000).step_by(50)) {
            let mut sim = with_a_waiting_task();
            sim.run_with_loads_ms(moment * 10);
            sim.kill_owner(at);

            sim.run_with_loads_ms(9_000);

            let places = sim.workers_running(task_of_job(1));
            assert_eq!(places, ["b"], "owner {at} killed after {} ms", moment * 10);
        }
    }
}

/// Both owners are killed, the second some steps after the first.
#[test]
fn a_transfer_is_completed_when_both_owners_die() {
    for first in (290..350).step_by(3) {
        for later in 0..12 {
            let mut sim = with_a_waiting_task();
            sim.run_with_loads_ms(first * 10);
            sim.kill_owner(0);
            sim.run_with_loads_ms(later * 10);
            sim.kill_owner(1);

            sim.run_with_loads_ms(9_000);

            assert_eq!(
                sim.workers_running(task_of_job(1)),
                ["b"],
                "killed at {first} and {later} later"
            );
        }
    }
}

/// A caller cancels a job of which a task runs in another shard: that task is stopped, too.
#[test]
fn a_cancellation_stops_a_task_in_another_shard() {
    let mut sim = with_a_waiting_task();
    sim.run_with_loads_ms(4_500);

    sim.shards[0].cancel(job_id().0);
    sim.run_ms(500);

    assert_eq!(
        (sim.workers_running(task_of_job(0)), sim.workers_running(task_of_job(1))),
        (vec![], vec![])
    );
}

/// The worker of a transferred task is lost. The shard that now has the task starts it again: the
/// first shard's record of earlier runs is out of date.
#[test]
fn a_transferred_task_is_restarted_by_its_new_shard() {
    let mut sim = with_a_waiting_task();
    sim.run_with_loads_ms(4_500);

    let now = sim.shards[1].now;
    sim.shards[1].worker("b").restart(now);
    sim.run_with_loads_ms(3_000);

    assert_eq!(sim.workers_running(task_of_job(1)), ["b"]);
}

/// While no shard has capacity, a task stays in its shard.
#[test]
fn a_task_stays_when_no_other_shard_has_capacity() {
    let mut sim = with_a_waiting_task();
    let full = Load { capacity: 8_000, long_running: 8_000, ..Load::default() };
    let now = sim.shards[0].now;
    sim.shards[0]
        .owner
        .handle_event(now, Event::Loads(SortedMap::from_iter([(SHARD_WITH_CAPACITY, full)])));

    sim.run_ms(4_500);

    let receiving_shards = sim.shards[0].ledger.job(job_id()).map(|it| it.transferred_to());
    assert_eq!(receiving_shards, Some(vec![]));
}

/// Submissions and progress are read concurrently: a shard that received a task and transferred it
/// again must not start it, whichever of the two it reads first.
#[test]
fn the_newest_transfer_decides_in_any_order() {
    let mut records =
        [task_received(1, 4), task_transferred(2), task_received(3, 6), task_transferred(4)];
    for turn in 0..4 {
        records.rotate_left(1);
        let mut ledger = Ledger::default();
        for it in &records {
            ledger.fold(it.clone());
        }

        assert!(!is_waiting_here(&ledger), "turn {turn}");
    }
}

#[test]
fn a_returned_task_waits_here() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(job_id(), large_job()));
    ledger.fold(task_transferred(1));

    let fold = ledger.fold(task_received(2, 6));
    let second_fold = ledger.fold(task_received(2, 6));

    assert_eq!(
        (fold, second_fold),
        (FoldEffect::TaskReceived(task_of_job(0)), FoldEffect::Nothing)
    );
    assert!(is_waiting_here(&ledger));
}

/// A shard has one task of a job and has recorded its progress; then it receives a second task,
/// which another shard has started four times. A new owner reads both, and that progress last. Its
/// next start of the second task must not use the number of an earlier run.
#[test]
fn older_progress_does_not_lower_the_run_number() {
    let mut progress = Progress::new(&large_job());
    progress.occurrences[0][0][1].copies = vec![TaskCopy { run: 1, worker: "w".into() }];
    let mut ledger = Ledger::default();
    ledger.fold(task_received(1, 4));

    ledger.fold(Record::Progress(job_id(), progress));

    let job = ledger.job(job_id()).expect("it was read");
    assert_eq!(job.progress.task(task_of_job(0)).map(|it| it.runs), Some(4));
}

/// Many owners see the same free blocks of a shard. Together they must not send more tasks there
/// than fit if all of them send as many.
#[test]
fn owners_share_the_free_blocks_that_all_of_them_see() {
    let mut load_with_capacity = Load { capacity: 64_000, ..Load::default() };
    let need = large_job().steps[0].need;
    load_with_capacity.set_free_blocks(vec![
        Resources {
            cpu_milli: 6_000,
            memory_mib: 64_000,
            ..need
        };
        6
    ]);
    let full = Load { capacity: 64_000, ..Load::default() };
    let loads = [(ShardId(1), load_with_capacity), (ShardId(2), full), (ShardId(3), full)];
    let mut others = OtherShards::default();
    others.update(SortedMap::from_iter(loads));
    let mut transferred = 0;

    while let Some(to) = others.try_find_capacity(Instant::default(), FULL_SHARD, need) {
        others.add_transfer(
            Instant::default(),
            to,
            daisy_workflow::Demand::of_long_running_task(&large_job().steps[0]),
        );
        transferred += 1;
    }

    assert_eq!(transferred, 4);
}
