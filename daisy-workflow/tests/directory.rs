//! The jobs and owners that every entry VM knows.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{
    Claim, Directory, JobId, JobState, Layout, Load, OwnerHeartbeat, PublishedState, ShardId,
};

const ID: JobId = JobId(7);

fn published_state(state: JobState) -> PublishedState {
    PublishedState { state, shard: ShardId(0) }
}

fn sample_heartbeat(epoch: u64, released: bool) -> OwnerHeartbeat {
    let claim =
        Claim { vm: "a".to_owned(), process: 1, epoch, released, predecessors_expired: true };
    let load = Load { capacity: epoch, ..Load::default() };
    OwnerHeartbeat {
        shard: ShardId(1),
        claim,
        is_caught_up: true,
        pending: vec![("q".to_owned(), 3)],
        load,
        capacity: Vec::new(),
    }
}

/// A record of a job's earlier state is read after that of its end, as an owner's append was
/// delayed. A caller who has been told that the job is completed must not be told that it runs.
#[test]
fn a_state_never_goes_back_to_an_earlier_one() {
    let mut directory = Directory::default();
    directory.set_state(ID, published_state(JobState::Completed));

    directory.set_state(ID, published_state(JobState::Running));

    assert_eq!(directory.state(ID), Some(published_state(JobState::Completed)));
}

#[test]
fn the_shard_that_runs_a_job_replaces_the_jobs_own_shard() {
    let mut directory = Directory::default();
    directory.set_state(ID, published_state(JobState::Queued));
    let elsewhere = PublishedState { state: JobState::Queued, shard: ShardId(2) };

    directory.set_state(ID, elsewhere);

    assert_eq!(directory.state(ID), Some(elsewhere));
}

/// A VM that has just started reads heartbeats that an owner may have written long before it died.
#[test]
fn a_heartbeat_of_unknown_age_does_not_show_that_the_owner_runs() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 2 });
    let of_shard = |id: &JobId| Layout { shards: 2 }.shard_of_job(*id) == ShardId(1);
    let id = (1..).map(JobId).find(of_shard).expect("some job id belongs to each shard");
    let mut complete = Vec::new();
    for read_at in [1_000, 1_400, 9_000, 9_400] {
        let now = Instant::from_millis(read_at);
        directory.receive_heartbeat(now, sample_heartbeat(5, false));
        directory.mark_caught_up(now);
        complete.push(directory.is_complete(now + Duration::from_millis(100), id));
    }

    assert_eq!(complete, [false, true, false, true], "started, heartbeat, cut off, heartbeat");
}

/// The owner of a shard died a second ago.
#[test]
fn the_directory_is_incomplete_when_an_owner_sends_no_heartbeat() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 1 });
    let latest_heartbeat = OwnerHeartbeat { shard: ShardId(0), ..sample_heartbeat(5, false) };
    for read_at in [1_000, 1_400] {
        directory.receive_heartbeat(Instant::from_millis(read_at), latest_heartbeat.clone());
        directory.mark_caught_up(Instant::from_millis(read_at));
    }

    directory.mark_caught_up(Instant::from_millis(2_400));

    assert!(directory.is_complete(Instant::from_millis(1_500), ID));
    assert!(!directory.is_complete(Instant::from_millis(2_400), ID));
}

/// Two entry VMs record the layout of a new system at the same time. The second record must change
/// nothing: otherwise workers would belong to two shards.
#[test]
fn the_first_layout_is_kept() {
    let mut directory = Directory::default();
    directory.set_layout(Layout { shards: 2 });

    directory.set_layout(Layout { shards: 5 });

    assert_eq!(directory.layout(), Some(Layout { shards: 2 }));
}

#[test]
fn a_heartbeat_of_an_earlier_owner_is_ignored() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), sample_heartbeat(5, false));

    directory.receive_heartbeat(Instant::from_millis(20), sample_heartbeat(4, false));

    let received = directory.owner(ShardId(1)).expect("a heartbeat was received");
    assert_eq!((received.heartbeat.claim.epoch, received.at), (5, Instant::from_millis(10)));
}

#[test]
fn loads_are_those_of_other_current_owners() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), sample_heartbeat(5, false));

    let seen_by_another = directory.loads(ShardId(0)).len();
    let seen_by_itself = directory.loads(ShardId(1)).len();
    directory.receive_heartbeat(Instant::from_millis(20), sample_heartbeat(5, true));
    let released = directory.loads(ShardId(0)).len();

    assert_eq!((seen_by_another, seen_by_itself, released), (1, 0, 0));
}

#[test]
fn jobs_without_a_start_are_counted_by_queue() {
    let mut directory = Directory::default();
    directory.receive_heartbeat(Instant::from_millis(10), sample_heartbeat(5, false));

    assert_eq!((directory.pending("q"), directory.pending("other")), (3, 0));
}

/// Guards against a VM that takes the rejections of weeks, which it reads at its start, for callers
/// that are about to return, and rejects everybody else.
#[test]
fn records_of_the_first_read_may_be_of_any_age() {
    let mut directory = Directory::default();

    let at_start = directory.reads_recent_records();
    directory.mark_caught_up(Instant::from_millis(1_000));
    let caught_up = directory.reads_recent_records();
    directory.restart_reading();
    let after_gap = directory.reads_recent_records();

    assert_eq!((at_start, caught_up, after_gap), (false, true, false));
}
