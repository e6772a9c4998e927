//! Who claims the workers, and when.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{Claim, Election, ElectionDecision};

const RTT: Duration = Duration::from_millis(5);

fn claim(vm: &str, process: u64, released: bool) -> Claim {
    Claim { vm: vm.to_owned(), process, epoch: 4, released, predecessors_expired: true }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn ones_own_claim_makes_the_owner() {
    let mut election = Election::new(at(0), "a", 1);

    let decision = election.decision(at(5_000), Some(&claim("a", 1, false)), RTT);

    assert_eq!(decision, ElectionDecision::Own(4));
}

/// The owner's VM loses power and is back: its new process need not wait for silence.
#[test]
fn an_earlier_process_of_the_vm_is_replaced_at_once() {
    let mut election = Election::new(at(0), "a", 2);

    let decision = election.decision(at(0), Some(&claim("a", 1, false)), RTT);

    assert_eq!(decision, ElectionDecision::Claim);
}

#[test]
fn a_silent_owner_is_replaced_after_a_while() {
    let mut election = Election::new(at(0), "b", 2);
    election.heartbeat_received(at(1_000));
    let other = claim("a", 1, false);

    let early = election.decision(at(2_300), Some(&other), RTT);
    let late = election.decision(at(2_500), Some(&other), RTT);

    assert!(matches!(early, ElectionDecision::Wait(_)));
    assert_eq!(late, ElectionDecision::Claim);
}

/// All see the owner release its workers at the same moment. Those near the platform go first, so
/// that an owner's writes are short.
#[test]
fn the_nearest_claims_first() {
    let mut election = Election::new(at(0), "b", 2);
    election.heartbeat_received(at(1_000));
    let released = claim("a", 1, true);

    let near = election.decision(at(1_050), Some(&released), RTT);
    let far = election.decision(at(1_050), Some(&released), Duration::from_millis(30));

    assert_eq!(near, ElectionDecision::Claim);
    assert!(matches!(far, ElectionDecision::Wait(_)));
}

/// Forty VMs start together, and signs of life are read 0.2 s after they are written. A VM whose turn
/// comes meanwhile must not claim from an owner that has just claimed, also where it reads that
/// owner's sign between its verdict and its claim.
#[test]
fn a_claim_since_the_verdict_is_left_alone_once() {
    let mut election = Election::new(at(0), "b", 2);
    let fresh = claim("a", 1, false);

    let decision = election.decision(at(500), None, RTT);
    let first = election.is_newly_claimed(Some(&fresh));
    let again = election.is_newly_claimed(Some(&fresh));

    assert_eq!(decision, ElectionDecision::Claim);
    assert!(first, "it may be about to show that it lives");
    assert!(!again, "it has died before it could");
}

/// The same VM looks again a moment later, still without a sign of the rival: it waits as long as for
/// an owner that has fallen silent.
#[test]
fn a_rival_without_a_sign_yet_is_given_time() {
    let mut election = Election::new(at(0), "b", 2);
    election.is_newly_claimed(Some(&claim("a", 1, false)));
    election.heartbeat_received(at(1_000));

    let soon = election.decision(at(1_300), None, RTT);
    let late = election.decision(at(2_500), None, RTT);

    assert!(matches!(soon, ElectionDecision::Wait(_)));
    assert_eq!(late, ElectionDecision::Claim);
}

#[test]
fn a_claim_that_was_known_at_the_verdict_is_no_news() {
    let mut election = Election::new(at(0), "b", 2);
    let old = claim("a", 1, false);
    let decision = election.decision(at(2_000), Some(&old), RTT);

    assert_eq!(decision, ElectionDecision::Claim);
    assert!(!election.is_newly_claimed(Some(&old)));
    assert!(!election.is_newly_claimed(None));
}

#[test]
fn an_own_claim_is_no_rival() {
    let mut election = Election::new(at(0), "b", 2);

    assert!(!election.is_newly_claimed(Some(&claim("b", 2, false))));
}

/// An owner whose signs of life were late was replaced in the midst of its writes.
#[test]
fn an_owner_that_writes_is_left_alone_for_a_while() {
    let mut election = Election::new(at(0), "a", 1);
    let owner = claim("b", 2, false);

    let before = election.decision(at(1_500), Some(&owner), RTT);
    let counts = election.owner_wrote(at(1_500));
    let after = election.decision(at(1_600), Some(&owner), RTT);

    assert_eq!(before, ElectionDecision::Claim);
    assert!(counts);
    assert!(matches!(after, ElectionDecision::Wait(_)), "{after:?}");
}

/// Guards against an owner that is never replaced though nothing is heard of its jobs.
#[test]
fn an_owner_of_which_nothing_is_heard_is_replaced_though_it_writes() {
    let mut election = Election::new(at(0), "a", 1);
    let owner = claim("b", 2, false);

    let last = (1..20).map(|it| it * 500).find(|it| !election.owner_wrote(at(*it)));
    let decision = election.decision(at(6_000), Some(&owner), RTT);

    assert_eq!(last, Some(4_500));
    assert_eq!(decision, ElectionDecision::Claim);
}
