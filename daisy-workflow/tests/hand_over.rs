//! Tasks that last and are handed to another shard, where there is room.

mod util;

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Copy, Event, FoldEffect, IncomingTransfer, JobId, JobSpec, Layout, Ledger, Load, OtherShards,
    OutgoingTransfer, Progress, Record, ShardId, StepSpec, TaskId,
};
use util::{CORE, FakeWorker, Fleet, job, long_running, task};

const LAYOUT: Layout = Layout { shards: 2 };
const FULL: ShardId = ShardId(0);
const ROOMY: ShardId = ShardId(1);
/// One worker of 4 cores in the first shard, one of 8 in the second.
fn two_shards() -> Fleet {
    Fleet::new(vec![vec![FakeWorker::new("a", 4)], vec![FakeWorker::new("b", 8)]])
}

/// The same, with a job in the first shard that has room for one of its two tasks.
fn with_a_waiting_task() -> Fleet {
    let mut fleet = two_shards();
    fleet.run_ms(100);
    fleet.worlds[0].submit(job_id().0, large_job());
    fleet.run_ms(100);
    assert_eq!(fleet.places(of_job(0)), ["a"], "the first of its tasks runs");
    fleet
}

/// A job of the first shard.
fn job_id() -> JobId {
    (1..).map(JobId).find(|id| LAYOUT.of_job(*id) == FULL).expect("one of many")
}

fn of_job(index: u32) -> TaskId {
    task(job_id().0, 0, index)
}

/// Two tasks that last, of three cores each.
fn large_job() -> JobSpec {
    let need = Resources { cpu_milli: 3 * CORE, ..long_running(1).need };
    job(vec![StepSpec { need, ..long_running(2) }])
}

fn handover(hop: u32, runs: u32) -> Record {
    let it =
        IncomingTransfer { hop, spec: large_job(), runs, failures: 0, checkpoint: String::new() };
    Record::TaskTransferredIn(of_job(0), Box::new(it))
}

fn handed_on(number: u32) -> Record {
    Record::TaskTransferredOut(of_job(0), OutgoingTransfer { number, to: ShardId(2) })
}

/// Whether the job's first task waits for a start in the shard of this ledger.
fn waits_here(ledger: &Ledger) -> bool {
    let job = ledger.job(job_id()).expect("a job that was read");
    job.progress.task(of_job(0)).expect("its first task").is_waiting()
}

/// A watch that should run all the time has a task down: the workers of its job's shard are full for
/// as long as others last, and a job that has begun cannot leave its shard. Another shard has room.
#[test]
fn a_task_without_room_runs_in_another_shard() {
    let mut fleet = with_a_waiting_task();

    fleet.run_told(4_500);

    assert_eq!((fleet.places(of_job(0)), fleet.places(of_job(1))), (vec!["a"], vec!["b"]));
}

/// The same while one owner or the other is killed at any moment of the hand-over, with all that it
/// was writing. Before the record the task still belongs to the first shard, after it to the second:
/// it runs in the end, and at no moment in two places.
#[test]
fn a_hand_over_outlives_its_owners() {
    for at in 0..2 {
        for moment in (280..420).chain((500..1_000).step_by(50)) {
            let mut fleet = with_a_waiting_task();
            fleet.run_told(moment * 10);
            fleet.kill_owner(at);

            fleet.run_told(9_000);

            let places = fleet.places(of_job(1));
            assert_eq!(places, ["b"], "owner {at} killed after {} ms", moment * 10);
        }
    }
}

/// Both owners are killed, one some moments after the other.
#[test]
fn a_hand_over_outlives_both_owners() {
    for first in (290..350).step_by(3) {
        for later in 0..12 {
            let mut fleet = with_a_waiting_task();
            fleet.run_told(first * 10);
            fleet.kill_owner(0);
            fleet.run_told(later * 10);
            fleet.kill_owner(1);

            fleet.run_told(9_000);

            assert_eq!(fleet.places(of_job(1)), ["b"], "killed at {first} and {later} later");
        }
    }
}

/// A caller cancels a job of which a task runs in another shard: that task is stopped, too.
#[test]
fn a_cancellation_follows_a_task() {
    let mut fleet = with_a_waiting_task();
    fleet.run_told(4_500);

    fleet.worlds[0].cancel(job_id().0);
    fleet.run_ms(500);

    assert_eq!((fleet.places(of_job(0)), fleet.places(of_job(1))), (vec![], vec![]));
}

/// The worker of a task that was handed on is lost. The shard that has the task starts it anew: what
/// the first shard knows of its earlier runs is no longer true.
#[test]
fn a_task_that_was_handed_on_is_started_anew_where_it_is() {
    let mut fleet = with_a_waiting_task();
    fleet.run_told(4_500);

    let now = fleet.worlds[1].now;
    fleet.worlds[1].worker("b").restart(now);
    fleet.run_told(3_000);

    assert_eq!(fleet.places(of_job(1)), ["b"]);
}

/// While no shard has room, a task stays where it is.
#[test]
fn a_task_stays_where_no_other_shard_has_room() {
    let mut fleet = with_a_waiting_task();
    let full = Load { capacity: 8_000, long_running: 8_000, ..Load::default() };
    let now = fleet.worlds[0].now;
    fleet.worlds[0].owner.step(now, Event::Loads(SortedMap::from_iter([(ROOMY, full)])));

    fleet.run_ms(4_500);

    let handed = fleet.worlds[0].ledger.job(job_id()).map(|it| it.transferred_to());
    assert_eq!(handed, Some(vec![]));
}

/// Submissions and progress are read one beside the other: a shard that was given a task and has
/// handed it on must not start it, whichever of the two it reads first.
#[test]
fn the_newest_hop_decides_in_any_order() {
    let mut records = [handover(1, 4), handed_on(2), handover(3, 6), handed_on(4)];
    for turn in 0..4 {
        records.rotate_left(1);
        let mut ledger = Ledger::default();
        for it in &records {
            ledger.fold(it.clone());
        }

        assert!(!waits_here(&ledger), "turn {turn}");
    }
}

#[test]
fn a_task_that_comes_back_waits_here() {
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(job_id(), large_job()));
    ledger.fold(handed_on(1));

    let fold = ledger.fold(handover(2, 6));
    let again = ledger.fold(handover(2, 6));

    assert_eq!((fold, again), (FoldEffect::Task(of_job(0)), FoldEffect::Nothing));
    assert!(waits_here(&ledger));
}

/// A shard has one task of a job and recorded its progress; then a second one comes, which another
/// shard has started four times. A new owner reads both, and that progress last. Its next start of the
/// second task must not get the number of a run that was before.
#[test]
fn progress_of_before_does_not_take_runs_back() {
    let mut progress = Progress::new(&large_job());
    progress.occurrences[0][0][1].copies = vec![Copy { run: 1, worker: "w".into() }];
    let mut ledger = Ledger::default();
    ledger.fold(handover(1, 4));

    ledger.fold(Record::Progress(job_id(), progress));

    let job = ledger.job(job_id()).expect("it was read");
    assert_eq!(job.progress.task(of_job(0)).map(|it| it.runs), Some(4));
}

/// Many owners see the same free pieces of a shard. None of them may send more tasks there than
/// find room if all others send as many.
#[test]
fn owners_share_the_rooms_that_all_of_them_see() {
    let mut room = Load { capacity: 64_000, ..Load::default() };
    let need = large_job().steps[0].need;
    room.set_free_blocks(vec![Resources { cpu_milli: 6_000, memory_mib: 64_000, ..need }; 6]);
    let full = Load { capacity: 64_000, ..Load::default() };
    let loads = [(ShardId(1), room), (ShardId(2), full), (ShardId(3), full)];
    let mut others = OtherShards::default();
    others.update(SortedMap::from_iter(loads));
    let mut transferred = 0;

    while let Some(to) = others.try_find_capacity(Instant::default(), FULL, need) {
        others.transferred(
            Instant::default(),
            to,
            daisy_workflow::Demand::of_long_running_task(&large_job().steps[0]),
        );
        transferred += 1;
    }

    assert_eq!(transferred, 4);
}
