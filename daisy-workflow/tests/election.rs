//! Which VM claims a shard, and when.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{Claim, Election, ElectionDecision, PredecessorState};

const RTT: Duration = Duration::from_millis(5);

fn claim(vm: &str, process: u64, released: bool) -> Claim {
    Claim { vm: vm.to_owned(), process, epoch: 4, released, predecessors_expired: true }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn the_process_that_claimed_is_the_owner() {
    let mut election = Election::new(at(0), "a", 1);

    let decision = election.decision(at(5_000), Some(&claim("a", 1, false)), RTT);

    assert_eq!(decision, ElectionDecision::Own(4));
}

/// The owner's VM loses power and restarts: its new process need not wait for the election timeout.
#[test]
fn an_earlier_process_of_the_vm_is_replaced_at_once() {
    let mut election = Election::new(at(0), "a", 2);

    let decision = election.decision(at(0), Some(&claim("a", 1, false)), RTT);

    assert_eq!(decision, ElectionDecision::Claim);
}

#[test]
fn an_owner_without_heartbeats_is_replaced_after_the_election_timeout() {
    let mut election = Election::new(at(0), "b", 2);
    election.heartbeat_received(at(1_000));
    let other = claim("a", 1, false);

    let early = election.decision(at(2_300), Some(&other), RTT);
    let after_timeout = election.decision(at(2_500), Some(&other), RTT);

    assert!(matches!(early, ElectionDecision::Wait(_)));
    assert_eq!(after_timeout, ElectionDecision::Claim);
}

/// All VMs see at the same moment that the owner released its shard. Those nearest to the platform
/// claim first, so that an owner's writes have low latency.
#[test]
fn the_nearest_vm_claims_first() {
    let mut election = Election::new(at(0), "b", 2);
    election.heartbeat_received(at(1_000));
    let released = claim("a", 1, true);

    let near = election.decision(at(1_050), Some(&released), RTT);
    let far = election.decision(at(1_050), Some(&released), Duration::from_millis(30));

    assert_eq!(near, ElectionDecision::Claim);
    assert!(matches!(far, ElectionDecision::Wait(_)));
}

/// Forty VMs start together, and heartbeats are read 0.2 s after they are written. A VM whose turn
/// comes meanwhile must not claim from an owner that has just claimed, also where it reads that
/// owner's heartbeat between its verdict and its claim.
#[test]
fn a_claim_since_the_verdict_is_respected_once() {
    let mut election = Election::new(at(0), "b", 2);
    let new_claim = claim("a", 1, false);

    let decision = election.decision(at(500), None, RTT);
    let first_check = election.is_newly_claimed(Some(&new_claim));
    let second_check = election.is_newly_claimed(Some(&new_claim));

    assert_eq!(decision, ElectionDecision::Claim);
    assert!(first_check, "the new owner may be about to send its first heartbeat");
    assert!(!second_check, "the new owner died before its first heartbeat");
}

/// The same VM checks again a moment later, still without a heartbeat of its rival: it waits as
/// long as for an owner whose heartbeats stopped.
#[test]
fn a_rival_without_a_first_heartbeat_is_given_time() {
    let mut election = Election::new(at(0), "b", 2);
    election.is_newly_claimed(Some(&claim("a", 1, false)));
    election.heartbeat_received(at(1_000));

    let soon = election.decision(at(1_300), None, RTT);
    let after_timeout = election.decision(at(2_500), None, RTT);

    assert!(matches!(soon, ElectionDecision::Wait(_)));
    assert_eq!(after_timeout, ElectionDecision::Claim);
}

#[test]
fn a_claim_that_was_known_at_the_verdict_is_not_new() {
    let mut election = Election::new(at(0), "b", 2);
    let old = claim("a", 1, false);
    let decision = election.decision(at(2_000), Some(&old), RTT);

    assert_eq!(decision, ElectionDecision::Claim);
    assert!(!election.is_newly_claimed(Some(&old)));
    assert!(!election.is_newly_claimed(None));
}

#[test]
fn an_own_claim_is_not_a_rival() {
    let mut election = Election::new(at(0), "b", 2);

    assert!(!election.is_newly_claimed(Some(&claim("b", 2, false))));
}

/// An owner whose heartbeats were delayed was replaced while it was writing.
#[test]
fn an_owner_that_writes_is_not_replaced_for_a_while() {
    let mut election = Election::new(at(0), "a", 1);
    let owner = claim("b", 2, false);

    let before = election.decision(at(1_500), Some(&owner), RTT);
    let is_extended = election.owner_wrote(at(1_500));
    let after = election.decision(at(1_600), Some(&owner), RTT);

    assert_eq!(before, ElectionDecision::Claim);
    assert!(is_extended);
    assert!(matches!(after, ElectionDecision::Wait(_)), "{after:?}");
}

/// Guards against an owner that is never replaced although no heartbeat of it arrives.
#[test]
fn an_owner_without_heartbeats_is_replaced_although_it_writes() {
    let mut election = Election::new(at(0), "a", 1);
    let owner = claim("b", 2, false);

    let last = (1..20).map(|it| it * 500).find(|it| !election.owner_wrote(at(*it)));
    let decision = election.decision(at(6_000), Some(&owner), RTT);

    assert_eq!(last, Some(4_500));
    assert_eq!(decision, ElectionDecision::Claim);
}

/// Guards against an owner that starts tasks elsewhere while an earlier one still renews leases, and
/// against a line that gives another reason than the decision had.
#[test]
fn earlier_owners_have_ended_only_if_the_last_one_has_and_so_have_those_before_it() {
    let of = |vm: &str, released, predecessors_expired| Claim {
        predecessors_expired,
        ..claim(vm, 1, released)
    };
    let cases = [
        (None, PredecessorState::NoneBefore, true),
        (Some(of("b", true, true)), PredecessorState::Released, true),
        (Some(of("a", false, true)), PredecessorState::SameVm, true),
        (Some(of("a", true, true)), PredecessorState::Released, true),
        (Some(of("b", true, false)), PredecessorState::EarlierMayRun, false),
        (Some(of("a", false, false)), PredecessorState::EarlierMayRun, false),
        (Some(of("b", false, true)), PredecessorState::LastMayRun, false),
        (Some(of("b", false, false)), PredecessorState::LastMayRun, false),
        (Some(Claim::unreadable(3)), PredecessorState::LastMayRun, false),
    ];

    for (last, expected, have_ended) in cases {
        let state = PredecessorState::new(last.as_ref(), "a");

        assert_eq!((state, state.have_ended()), (expected, have_ended), "{last:?}");
    }
}
