//! Jobs that their shard transfers to another one with more free capacity.

mod util;

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{
    Action, Demand, Event, JobId, JobSpec, JobState, Layout, Ledger, Load, OtherShards, Owner,
    OwnershipStart, PlacementRules, Progress, Record, Settings, ShardId, TaskCopy,
};
use std::{sync::Arc, time::Duration};
use util::{CORE, FakeWorker, best_effort, job, long_running_step, step};

const LAYOUT: Layout = Layout { shards: 2 };
const OWN: ShardId = ShardId(0);
const OTHER: ShardId = ShardId(1);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns the ids of jobs that belong to a shard.
fn ids(shard: ShardId) -> impl Iterator<Item = JobId> {
    (1..).map(JobId).filter(move |id| LAYOUT.shard_of_job(*id) == shard)
}

fn id_of(shard: ShardId) -> JobId {
    ids(shard).next().expect("some job id belongs to each shard")
}

fn load(long_running: u64, finite: u64, best_effort: u64) -> Load {
    Load { capacity: 1_000, long_running, finite, best_effort, ..Load::default() }
}

fn owner(ledger: Ledger) -> Owner {
    let settings = Settings {
        lease: Duration::from_secs(5),
        lease_max: Duration::from_secs(10),
        shard: OWN,
        layout: LAYOUT,
        rules: PlacementRules::default(),
        record_retention: util::RECORD_RETENTION,
    };
    let claimed = OwnershipStart {
        claim_sent_at: at(1_000),
        predecessors_ended: true,
        epoch: 1,
        vouched_epoch: None,
    };
    Owner::new(at(1_000), 0, settings, ledger, util::queues(), claimed)
}

/// Adds a worker to the list and answers the owner's first renewals.
fn answer_first_renewals(owner: &mut Owner, worker: &mut FakeWorker, now: Instant) {
    owner.handle_event(now, Event::Workers(vec![worker.listing()]));
    let evacuations = Arc::default();
    owner.handle_event(now, Event::EvacuationsRead { read_at: now, evacuations });
    for action in owner.take_actions(now) {
        let Action::Renew { worker: key, deadline_ms, cursor, .. } = action else { continue };
        let answer = worker.hold(now, 1, deadline_ms, cursor);
        owner.handle_event(now, Event::RenewalAnswered(key, answer.and_then(Result::ok)));
    }
}

/// Returns an owner with one worker of four cores that answers, and with another shard that is
/// empty.
fn owner_of_one_worker(now: Instant) -> Owner {
    let mut owner = owner(Ledger::default());
    let mut worker = FakeWorker::new("w1", 4);
    answer_first_renewals(&mut owner, &mut worker, now);
    let others = SortedMap::from_iter([(OTHER, Load { capacity: 4_000, ..Load::default() })]);
    owner.handle_event(now, Event::Loads(others));
    owner
}

fn forwarded(actions: Vec<Action>) -> Vec<(ShardId, Record)> {
    let forward = |it| match it {
        Action::Forward(shard, record) => Some((shard, record)),
        _ => None,
    };
    actions.into_iter().filter_map(forward).collect()
}

fn submit(owner: &mut Owner, id: JobId, spec: JobSpec) {
    owner.handle_event(at(1_010), Event::Record(Record::Submitted(id, spec)));
}

/// Long-running jobs fill some shards and leave others a third free, as the shard is drawn by the
/// job id. The next job of a full shard waits for as long as they run.
#[test]
fn a_full_shard_transfers_a_job_once_the_decision_is_recorded() {
    let mut owner = owner_of_one_worker(at(1_000));
    let mut own = ids(OWN);
    let (first, second) = (own.next().expect("one"), own.next().expect("another"));
    submit(&mut owner, first, job(vec![long_running_step(1)]));
    submit(&mut owner, second, job(vec![long_running_step(4)]));

    let batch = owner.try_batch(at(1_020)).expect("the decision is to be recorded");
    let before = forwarded(owner.take_actions(at(1_020)));
    owner.handle_event(at(1_030), Event::Appended { log_end: 2 });
    let after = forwarded(owner.take_actions(at(1_030)));

    assert!(batch.records.contains(&Record::Delegated(second, OTHER)), "{:?}", batch.records);
    assert_eq!(before, Vec::new());
    assert_eq!(after, [(OTHER, Record::Submitted(second, job(vec![long_running_step(4)])))]);
}

/// A job is transferred, and the other shard has no owner for seconds. Callers who query the job
/// meanwhile must not be told that it does not exist: its own shard publishes that it is queued.
#[test]
fn the_state_of_a_transferred_job_is_published_at_once() {
    let mut owner = owner_of_one_worker(at(1_000));
    let mut own = ids(OWN);
    let (local, transferred) = (own.next().expect("one"), own.next().expect("another"));
    submit(&mut owner, local, job(vec![long_running_step(1)]));

    submit(&mut owner, transferred, job(vec![long_running_step(4)]));

    let batch = owner.try_batch(at(1_020)).expect("the decision is to be recorded");
    assert!(batch.records.contains(&Record::Delegated(transferred, OTHER)), "{:?}", batch.records);
    assert_eq!(owner.take_states(), [(local, JobState::Queued), (transferred, JobState::Queued)]);
}

#[test]
fn the_next_owner_lists_transferred_jobs_whose_state_it_does_not_publish() {
    let mut own = ids(OWN);
    let (local, transferred) = (own.next().expect("one"), own.next().expect("another"));
    let mut ledger = Ledger::default();
    for id in [local, transferred] {
        ledger.fold(Record::Submitted(id, job(vec![step(2)])));
    }
    ledger.fold(Record::Delegated(transferred, OTHER));

    let mut owner = owner(ledger);

    assert_eq!(owner.take_states(), [(local, JobState::Queued)]);
    assert_eq!(owner.delegated_away().collect::<Vec<_>>(), [transferred]);
}

/// A shard has just changed its owner, and the new owner has not read the list of workers yet. It
/// must not transfer all waiting jobs as if it had no capacity.
#[test]
fn a_new_owner_transfers_no_job_until_it_knows_its_workers() {
    let mut owner = owner(Ledger::default());
    let others = SortedMap::from_iter([(OTHER, Load { capacity: 4_000, ..Load::default() })]);
    owner.handle_event(at(1_000), Event::Loads(others));

    submit(&mut owner, id_of(OWN), job(vec![step(1)]));
    owner.handle_event(at(1_500), Event::Tick);

    assert_eq!(owner.try_batch(at(1_510)), None);
}

/// The owner dies between the record of its decision and the write to the other shard. The next
/// owner makes the write; it does not run the job itself.
#[test]
fn the_next_owner_completes_a_recorded_transfer() {
    let id = id_of(OWN);
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(id, job(vec![step(2)])));
    ledger.fold(Record::Cancelled(id));
    ledger.fold(Record::Delegated(id, OTHER));

    let mut owner = owner(ledger);
    let forwarded = forwarded(owner.take_actions(at(1_010)));

    let expected =
        [(OTHER, Record::Submitted(id, job(vec![step(2)]))), (OTHER, Record::Cancelled(id))];
    assert_eq!(forwarded, expected);
    assert_eq!(owner.take_states(), Vec::new());
}

/// A new owner reads submissions, then progress; in between a job was submitted and transferred.
/// The owner reads the job last. If it treated the job as new, the job would run here and in the
/// other shard.
#[test]
fn a_job_that_is_read_after_its_transfer_is_not_run() {
    let id = id_of(OWN);
    let mut ledger = Ledger::default();
    ledger.fold(Record::Delegated(id, OTHER));
    let mut owner = owner(ledger);
    let mut worker = FakeWorker::new("w1", 4);
    answer_first_renewals(&mut owner, &mut worker, at(1_000));

    submit(&mut owner, id, job(vec![step(2)]));
    let actions = owner.take_actions(at(1_020));

    assert_eq!(owner.try_batch(at(1_020)), None);
    assert_eq!(forwarded(actions), [(OTHER, Record::Submitted(id, job(vec![step(2)])))]);
}

/// A job that had begun is read after its progress: its runs are not started a second time.
#[test]
fn a_job_that_is_read_after_its_progress_is_not_started_again() {
    let id = id_of(OWN);
    let spec = job(vec![step(1)]);
    let mut progress = Progress::new(&spec);
    progress.has_started = true;
    progress.occurrences[0][0][0].runs = 1;
    progress.occurrences[0][0][0].copies = vec![TaskCopy { run: 1, worker: "w1".into() }];
    let mut ledger = Ledger::default();
    ledger.fold(Record::Progress(id, progress));
    let mut owner = owner(ledger);
    let mut worker = FakeWorker::new("w1", 4);
    answer_first_renewals(&mut owner, &mut worker, at(1_000));

    submit(&mut owner, id, spec);
    owner.take_actions(at(1_020));

    assert_eq!(owner.try_batch(at(1_020)), None);
}

/// A caller cancels a job that was transferred: the submissions of the job's own shard hold the
/// cancellation, and the shard that runs the job has to receive it.
#[test]
fn a_cancellation_is_forwarded_to_the_shard_of_its_job() {
    let id = id_of(OWN);
    let mut ledger = Ledger::default();
    ledger.fold(Record::Submitted(id, job(vec![step(2)])));
    ledger.fold(Record::Delegated(id, OTHER));
    let mut owner = owner(ledger);
    owner.take_actions(at(1_010));

    owner.handle_event(at(1_020), Event::Record(Record::Cancelled(id)));

    assert_eq!(forwarded(owner.take_actions(at(1_020))), [(OTHER, Record::Cancelled(id))]);
    assert_eq!(owner.take_states(), [(id, JobState::Cancelled)]);
}

/// Two full shards must not transfer a job back and forth: a job is transferred as a whole only
/// once.
#[test]
fn a_job_of_another_shard_is_not_transferred_again() {
    let mut owner = owner_of_one_worker(at(1_000));
    let id = id_of(OTHER);
    submit(&mut owner, id, job(vec![long_running_step(8)]));

    let batch = owner.try_batch(at(1_020));

    let delegated_away = |it: &Record| matches!(it, Record::Delegated(..));
    assert!(!batch.is_some_and(|it| it.records.iter().any(delegated_away)));
}

#[test]
fn a_job_that_has_begun_is_not_transferred() {
    let mut owner = owner_of_one_worker(at(1_000));
    let id = id_of(OWN);
    submit(&mut owner, id, job(vec![step(1)]));
    owner.take_actions(at(1_020));
    let full = Load { capacity: 4_000, ..Load::default() };
    owner.handle_event(at(1_500), Event::Loads(SortedMap::from_iter([(OTHER, full)])));
    owner.handle_event(at(1_500), Event::Tick);

    let batch = owner.try_batch(at(1_520)).expect("a start is to be recorded");

    let is_of_job = |it: &&Record| !matches!(it, Record::Witnesses(_) | Record::OpenStarts(_));
    let of_jobs = batch.records.iter().filter(is_of_job);
    let of_jobs: Vec<&Record> = of_jobs.collect();
    assert!(matches!(of_jobs[..], [Record::Progress(..)]), "{:?}", batch.records);
}

#[test]
fn a_shard_with_capacity_transfers_no_job() {
    let mut others = OtherShards::default();
    others.update(SortedMap::from_iter([(OTHER, load(0, 0, 0))]));

    for (own, spec) in [
        (load(250, 0, 0), long_running_step(1)),
        (load(500, 250, 0), step(1)),
        (load(500, 200, 200), best_effort(1, "a")),
    ] {
        let demand = Demand::of(&job(vec![spec]));
        assert_eq!(others.try_find_better_shard(at(0), own, demand), None);
    }
}

/// Loads are published every 0.4 s. A burst that arrives in between must not all go to the shard
/// that was emptiest at the last update.
#[test]
fn a_transfer_counts_before_the_next_load_is_published() {
    let mut others = OtherShards::default();
    let shards = [(OTHER, load(0, 0, 0)), (ShardId(2), load(100, 0, 0))];
    others.update(SortedMap::from_iter(shards));
    let demand = Demand::of(&job(vec![long_running_step(1)]));
    let own = Load {
        capacity: 20 * u64::from(CORE),
        long_running: 15 * u64::from(CORE),
        ..load(0, 0, 0)
    };
    let empty = Load { capacity: 20 * u64::from(CORE), ..load(0, 0, 0) };
    others.update(SortedMap::from_iter([(OTHER, empty), (ShardId(2), empty)]));
    let mut taken = [0; 3];

    for _ in 0..10 {
        let to = others.try_find_better_shard(at(0), own, demand).expect("others are empty");
        others.add_transfer(at(0), to, demand);
        taken[usize::from(to.0)] += 1;
    }

    assert_eq!(taken, [0, 5, 5]);
}

/// Many long-running jobs arrive at four shards at once. Each owner sees the same loads, half a
/// second old, and transfers the jobs it cannot hold to the emptiest shard. If all chose the same
/// one, tasks would wait there indefinitely, as jobs that have begun stay, while other shards have
/// capacity. The jobs are to fill both shards equally.
#[test]
fn many_owners_do_not_overload_the_emptiest_shard() {
    let cores = |it: u64| it * u64::from(CORE);
    let load = |long_running| Load {
        capacity: cores(1_000),
        long_running: cores(long_running),
        ..load(0, 0, 0)
    };
    let (emptiest, empty) = (ShardId(8), ShardId(9));
    let demand = Demand::of(&job(vec![long_running_step(10)]));
    let mut taken = [cores(100), cores(200)];

    for owner in 0..4 {
        let full = (0..4).filter(|it| *it != owner).map(|it| (ShardId(it), load(950)));
        let mut view = OtherShards::default();
        view.update(full.chain([(emptiest, load(100)), (empty, load(200))]).collect());
        for _ in 0..25 {
            let to = view
                .try_find_better_shard(at(0), load(900), demand)
                .expect("two shards have capacity");
            view.add_transfer(at(0), to, demand);
            taken[usize::from(to == empty)] += cores(10);
        }
    }

    // 1,000 cores are transferred: each shard then has some 650 of its 1,000 in use.
    assert!(taken.iter().all(|it| *it < cores(750)), "{taken:?}");
}
