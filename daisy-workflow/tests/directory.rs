//! What every entry VM knows of jobs and owners.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{
    Claim, Directory, JobId, JobState, Layout, Load, OwnerHeartbeat, PublishedState, ShardId,
};

const ID: JobId = JobId(7);

fn told(state: JobState) -> PublishedState {
    PublishedState { state, shard: ShardId(0) }
}

fn heartbeat(epoch: u64, released: bool) -> OwnerHeartbeat {
    let claim =
        Claim { vm: "a".to_owned(), process: 1, epoch, released, predecessors_expired: true };
    let load = Load { capacity: epoch, ..Load::default() };
    OwnerHeartbeat {
        shard: ShardId(1),
        claim,
        is_caught_up: true,
        pending: vec![("q".to_owned(), 3)],
        load,
    }
}

/// A record of a job's earlier state is read after one of its end, as an owner's append came late. A
/// caller who has been told that the job is completed must not be told that it runs.
#[test]
fn a_state_never_goes_back() {
    let mut directory = Directory::default();
    directory.set_state(ID, told(JobState::Completed));

    directory.set_state(ID, told(JobState::Running));

    assert_eq!(directory.state(ID), Some(told(JobState::Completed)));
}

#[test]
fn the_shard_that_runs_a_job_replaces_its_own() {
    let mut directory = Directory::default();
    directory.set_state(ID, told(JobState::Queued));
    let elsewhere = PublishedState { state: JobState::Queued, shard: ShardId(2) };

    directory.set_state(ID, elsewhere);

    assert_eq!(directory.state(ID), Some(elsewhere));
}

/// A VM that has just started reads what an owner wrote long before it died.
#[test]
fn a_sign_of_unknown_age_proves_no_life() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 2 });
    let of_shard = |id: &JobId| Layout { shards: 2 }.of_job(*id) == ShardId(1);
    let id = (1..).map(JobId).find(of_shard).expect("one of many");
    let mut complete = Vec::new();
    for read_at in [1_000, 1_400, 9_000, 9_400] {
        let now = Instant::from_millis(read_at);
        directory.receive_heartbeat(now, heartbeat(5, false));
        directory.mark_caught_up(now);
        complete.push(directory.is_complete(now + Duration::from_millis(100), id));
    }

    assert_eq!(complete, [false, true, false, true], "started, signed, cut off, signed");
}

/// The owner of a shard died a second ago.
#[test]
fn a_silent_owner_proves_nothing() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 1 });
    let signs = OwnerHeartbeat { shard: ShardId(0), ..heartbeat(5, false) };
    for read_at in [1_000, 1_400] {
        directory.receive_heartbeat(Instant::from_millis(read_at), signs.clone());
        directory.mark_caught_up(Instant::from_millis(read_at));
    }

    directory.mark_caught_up(Instant::from_millis(2_400));

    assert!(directory.is_complete(Instant::from_millis(1_500), ID));
    assert!(!directory.is_complete(Instant::from_millis(2_400), ID));
}

/// Two entry VMs lay a new system out at once. The second record must change nothing: workers would
/// have two accountants.
#[test]
fn the_first_layout_stands() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 2 });

    directory.set_layout(Layout { shards: 5 });

    assert_eq!(directory.layout(), Some(Layout { shards: 2 }));
}

#[test]
fn a_sign_of_an_earlier_owner_says_nothing() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), heartbeat(5, false));

    directory.receive_heartbeat(Instant::from_millis(20), heartbeat(4, false));

    let heard = directory.owner(ShardId(1)).expect("a sign was heard");
    assert_eq!((heard.heartbeat.claim.epoch, heard.at), (5, Instant::from_millis(10)));
}

#[test]
fn loads_are_those_of_other_owners_that_live() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), heartbeat(5, false));

    let seen_by_another = directory.loads(ShardId(0)).len();
    let seen_by_itself = directory.loads(ShardId(1)).len();
    directory.receive_heartbeat(Instant::from_millis(20), heartbeat(5, true));
    let released = directory.loads(ShardId(0)).len();

    assert_eq!((seen_by_another, seen_by_itself, released), (1, 0, 0));
}

#[test]
fn jobs_without_a_start_are_counted_by_queue() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), heartbeat(5, false));

    assert_eq!((directory.pending("q"), directory.pending("other")), (3, 0));
}
