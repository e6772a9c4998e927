//! Whether the log was unreachable.

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

/// The log is unreachable for four seconds. When it returns, no VM has received a heartbeat of any
/// owner for longer than the election timeout. If the nearest large VM claimed all shards then, it
/// would have connections to half of their workers, and all work would be delayed until the next
/// owner change. But the owners still run, and show it with their next heartbeat.
#[test]
fn an_owner_has_time_for_a_heartbeat_after_an_outage_of_the_log() {
    let (mut reachability, mut election) =
        (LogReachability::default(), Election::new(at(0), "b", 2));
    reachability.read_answered(at(1_000));
    election.heartbeat_received(at(1_000));
    reachability.read_failed();
    reachability.read_answered(at(5_000));

    election.heartbeat_received(reachability.recovered_at());
    let after_recovery = election.decision(at(5_010), Some(&owner()), RTT);
    let after_timeout = election.decision(at(6_500), Some(&owner()), RTT);

    assert!(matches!(after_recovery, ElectionDecision::Wait(_)), "{after_recovery:?}");
    assert_eq!(after_timeout, ElectionDecision::Claim);
}

/// A single lost read, and a read that waited long for a record, do not show that the log was
/// unreachable: an owner that has died is replaced as soon as before.
#[test]
fn a_lost_read_is_not_an_outage() {
    let mut reachability = LogReachability::default();
    reachability.read_answered(at(1_000));
    reachability.read_failed();
    reachability.read_answered(at(1_600));
    reachability.read_answered(at(2_900));

    assert_eq!(reachability.recovered_at(), Instant::default());
}

/// A VM that had read nothing while the log was unresponsive treated the owner as lost.
#[test]
fn an_owner_is_treated_as_lost_only_while_the_log_answers() {
    let mut reachability = LogReachability::default();
    reachability.read_answered(at(1_000));

    let right_after = reachability.can_detect_lost_owner(at(1_100), at(0));
    let long_after = reachability.can_detect_lost_owner(at(2_900), at(0));
    let after_a_lost_call = reachability.can_detect_lost_owner(at(1_200), at(1_150));
    reachability.read_answered(at(1_300));
    let answered_again = reachability.can_detect_lost_owner(at(1_310), at(1_150));

    assert!(right_after && !long_after && !after_a_lost_call && answered_again);
}
