//! What an owner tells all VMs, and when.

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{
    Claim, Directory, JobId, JobState, Load, OwnerHeartbeat, PublishedState, Record, ShardId,
    StatePublisher,
};

const OWN: ShardId = ShardId(1);
const ID: JobId = JobId(7);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn heartbeat() -> OwnerHeartbeat {
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
    }
}

fn told(state: JobState, shard: ShardId) -> SortedMap<JobId, PublishedState> {
    SortedMap::from_iter([(ID, PublishedState { state, shard })])
}

fn state(state: JobState) -> Record {
    Record::State(ID, PublishedState { state, shard: OWN })
}

#[test]
fn a_new_owner_shows_at_once_that_it_lives() {
    let mut telling = StatePublisher::new(at(0), OWN, SortedMap::new());

    let due = telling.is_heartbeat_due(at(0));
    let records = telling.try_records(at(0), Some(heartbeat()));

    assert!(due);
    assert_eq!(records, Some(vec![Record::OwnerHeartbeat(Box::new(heartbeat()))]));
    assert!(!telling.is_heartbeat_due(at(399)) && telling.is_heartbeat_due(at(400)));
}

#[test]
fn states_gather_for_a_while() {
    let mut telling = StatePublisher::new(at(0), OWN, SortedMap::new());
    telling.add(ID, JobState::Queued);
    telling.add(ID, JobState::Running);

    let early = telling.try_records(at(10), None);
    let due = telling.try_records(at(30), None);

    assert_eq!((early, due), (None, Some(vec![state(JobState::Running)])));
    assert!(!telling.has_pending_states());
}

#[test]
fn what_all_know_is_not_told_again() {
    let mut telling = StatePublisher::new(at(0), OWN, told(JobState::Running, OWN));

    telling.add(ID, JobState::Queued);
    telling.add(ID, JobState::Running);

    assert!(!telling.has_pending_states());
}

/// A job's own shard has told that it waits, and then handed it here. Unless this shard tells of it,
/// the other one's next owner hands it on once more.
#[test]
fn a_job_that_came_from_another_shard_is_told_of() {
    let mut telling = StatePublisher::new(at(0), OWN, told(JobState::Queued, ShardId(0)));

    telling.add(ID, JobState::Queued);

    assert_eq!(telling.try_records(at(30), None), Some(vec![state(JobState::Queued)]));
}

#[test]
fn a_late_state_does_not_follow_a_newer_one() {
    let mut telling = StatePublisher::new(at(0), OWN, told(JobState::Completed, ShardId(0)));

    telling.add(ID, JobState::Running);

    assert!(!telling.has_pending_states());
}

/// An owner that dies before it tells of a job it has handed on leaves one that nobody knows.
#[test]
fn a_job_that_was_handed_on_and_not_told_of_is_missing() {
    let telling = StatePublisher::new(at(0), OWN, SortedMap::new());
    let mut directory = Directory::default();

    let before = telling.are_all_published(&directory, [ID].into_iter());
    directory.set_state(ID, PublishedState { state: JobState::Queued, shard: ShardId(0) });
    let after = telling.are_all_published(&directory, [ID].into_iter());

    assert_eq!((before, after), (false, true));
}

#[test]
fn a_job_that_this_owner_tells_of_is_not_missing() {
    let mut telling = StatePublisher::new(at(0), OWN, SortedMap::new());
    telling.add(ID, JobState::Queued);

    let waits = telling.are_all_published(&Directory::default(), [ID].into_iter());
    telling.try_records(at(30), None);
    let told = telling.are_all_published(&Directory::default(), [ID].into_iter());

    assert_eq!((waits, told), (true, true));
}
