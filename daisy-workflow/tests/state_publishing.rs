//! What an owner publishes to all VMs, and when.

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{
    Claim, Directory, JobId, JobState, Layout, Load, OwnerHeartbeat, PublishedState, Record,
    RecordKey, ShardId, StatePublisher,
};

const OWN: ShardId = ShardId(1);
const ID: JobId = JobId(7);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn sample_heartbeat() -> OwnerHeartbeat {
    let claim = Claim {
        vm: "a".to_owned(),
        process: 1,
        epoch: 3,
        released: false,
        predecessors_expired: true,
    };
    OwnerHeartbeat {
        shard: OWN,
        claim,
        is_caught_up: true,
        pending: Vec::new(),
        load: Load::default(),
        capacity: Vec::new(),
    }
}

fn published_state(state: JobState, shard: ShardId) -> SortedMap<JobId, PublishedState> {
    SortedMap::from_iter([(ID, PublishedState { state, shard })])
}

fn state_record(state: JobState) -> Record {
    Record::State(ID, PublishedState { state, shard: OWN })
}

#[test]
fn a_new_owner_publishes_a_heartbeat_at_once() {
    let mut publisher = StatePublisher::new(at(0), OWN, SortedMap::new());

    let due = publisher.is_heartbeat_due(at(0));
    let records = publisher.take_due_records(at(0), Some(sample_heartbeat()));

    assert!(due);
    assert_eq!(records, Some(vec![Record::OwnerHeartbeat(Box::new(sample_heartbeat()))]));
    assert!(!publisher.is_heartbeat_due(at(399)) && publisher.is_heartbeat_due(at(400)));
}

#[test]
fn states_are_batched_for_30_ms() {
    let mut publisher = StatePublisher::new(at(0), OWN, SortedMap::new());
    publisher.add(ID, JobState::Queued);
    publisher.add(ID, JobState::Running);

    let early = publisher.take_due_records(at(10), None);
    let due = publisher.take_due_records(at(30), None);

    assert_eq!((early, due), (None, Some(vec![state_record(JobState::Running)])));
    assert!(!publisher.has_pending_states());
}

#[test]
fn a_state_that_is_already_published_is_not_published_again() {
    let mut publisher = StatePublisher::new(at(0), OWN, published_state(JobState::Running, OWN));

    publisher.add(ID, JobState::Queued);
    publisher.add(ID, JobState::Running);

    assert!(!publisher.has_pending_states());
}

/// A job's own shard published that it is queued, and then transferred it here. Unless this shard
/// publishes its state, the next owner of the other shard transfers the job once more.
#[test]
fn the_state_of_a_job_from_another_shard_is_published() {
    let mut publisher =
        StatePublisher::new(at(0), OWN, published_state(JobState::Queued, ShardId(0)));

    publisher.add(ID, JobState::Queued);

    assert_eq!(
        publisher.take_due_records(at(30), None),
        Some(vec![state_record(JobState::Queued)])
    );
}

#[test]
fn an_older_state_is_not_published_after_a_newer_one() {
    let mut publisher =
        StatePublisher::new(at(0), OWN, published_state(JobState::Completed, ShardId(0)));

    publisher.add(ID, JobState::Running);

    assert!(!publisher.has_pending_states());
}

/// An owner that dies before it publishes the state of a transferred job leaves a job that no VM
/// knows.
#[test]
fn a_transferred_job_without_a_published_state_is_missing() {
    let publisher = StatePublisher::new(at(0), OWN, SortedMap::new());
    let mut directory = Directory::default();

    let before = publisher.are_all_published(&directory, [ID].into_iter());
    directory.set_state(ID, PublishedState { state: JobState::Queued, shard: ShardId(0) });
    let after = publisher.are_all_published(&directory, [ID].into_iter());

    assert_eq!((before, after), (false, true));
}

#[test]
fn a_job_that_this_owner_publishes_is_not_missing() {
    let mut publisher = StatePublisher::new(at(0), OWN, SortedMap::new());
    publisher.add(ID, JobState::Queued);

    let while_pending = publisher.are_all_published(&Directory::default(), [ID].into_iter());
    publisher.take_due_records(at(30), None);
    let after_publishing = publisher.are_all_published(&Directory::default(), [ID].into_iter());

    assert_eq!((while_pending, after_publishing), (true, true));
}

/// Guards against VMs that remember the states of all jobs that ever were.
#[test]
fn a_removed_state_is_published_once_and_forgotten() {
    let mut publisher = StatePublisher::new(at(0), OWN, published_state(JobState::Completed, OWN));
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 1 });
    directory.set_state(ID, PublishedState { state: JobState::Completed, shard: OWN });
    let ended_before: Vec<JobId> = directory.ended_jobs(ShardId(0)).collect();

    publisher.remove(ID);
    let records = publisher.take_due_records(at(100), None);
    directory.remove(ID);

    assert_eq!(ended_before, [ID]);
    assert_eq!(records, Some(vec![Record::Removed(RecordKey::State(ID))]));
    assert!(!publisher.has_pending_states());
    assert_eq!(directory.state(ID), None);
}
