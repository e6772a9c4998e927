//! Whether the log was away.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{Claim, Election, ElectionDecision, LogReachability};

const RTT: Duration = Duration::from_millis(5);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn owner() -> Claim {
    Claim { vm: "a".to_owned(), process: 1, epoch: 4, released: false, predecessors_expired: true }
}

/// The log is away for four seconds. As it comes back, every VM finds that it has heard nothing of any
/// owner for longer than an owner may be silent: the nearest large VM claims all shards, has
/// connections for half of their workers, and all work is late until the next change of owners. But
/// the owners live, and show it with their next sign.
#[test]
fn an_owner_may_sign_once_the_log_is_back() {
    let (mut reach, mut election) = (LogReachability::default(), Election::new(at(0), "b", 2));
    reach.read(at(1_000));
    election.heartbeat_received(at(1_000));
    reach.read_failed();
    reach.read(at(5_000));

    election.heartbeat_received(reach.recovered_at());
    let back = election.decision(at(5_010), Some(&owner()), RTT);
    let later = election.decision(at(6_500), Some(&owner()), RTT);

    assert!(matches!(back, ElectionDecision::Wait(_)), "{back:?}");
    assert_eq!(later, ElectionDecision::Claim);
}

/// A read that was lost alone, and one that waited long for a record, say nothing of the log: an owner
/// that has died is replaced as soon as before.
#[test]
fn a_lost_read_is_no_absence() {
    let mut reach = LogReachability::default();
    reach.read(at(1_000));
    reach.read_failed();
    reach.read(at(1_600));
    reach.read(at(2_900));

    assert_eq!(reach.recovered_at(), Instant::default());
}

/// A VM that had read nothing during a silence of the log took it for one of the owner.
#[test]
fn an_owner_is_silent_only_if_the_log_is_not() {
    let mut reach = LogReachability::default();
    reach.read(at(1_000));

    let right_after = reach.can_detect_lost_owner(at(1_100), at(0));
    let long_after = reach.can_detect_lost_owner(at(2_900), at(0));
    let after_a_lost_call = reach.can_detect_lost_owner(at(1_200), at(1_150));
    reach.read(at(1_300));
    let answered_again = reach.can_detect_lost_owner(at(1_310), at(1_150));

    assert!(right_after && !long_after && !after_a_lost_call && answered_again);
}
