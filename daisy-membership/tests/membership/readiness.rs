//! When an entry VM that has just started accepts callers.

use daisy_membership::{Event, Heartbeat, Membership, Status};
use daisy_model::{DcId, Instant, Offset, VmId};

use crate::fleet::{options, vm};

fn new_membership() -> Membership {
    let mut membership = Membership::new(Instant::from_millis(0), options(2, 0));
    let vms = [vm(1, 0), vm(2, 0)];
    membership.step(Instant::from_millis(10), Event::Vms(&vms), &mut Vec::new());
    membership
}

fn beat(seq: u32, next: u64, status: Status) -> Event<'static> {
    Event::Heartbeat(Heartbeat {
        vm: VmId(1),
        dc: DcId(0),
        seq,
        next: Offset(next),
        generation: 0,
        status,
        reads_log: false,
        evidence: None,
    })
}

fn folded(next: u64) -> Event<'static> {
    Event::Folded { next: Offset(next), generation: 0, holder_claim: None }
}

fn status_after(membership: &mut Membership, events: &[Event<'_>]) -> Status {
    for (step, event) in events.iter().enumerate() {
        let now = Instant::from_millis(2_000 + 50 * step as u64);
        membership.step(now, *event, &mut Vec::new());
    }
    membership.status()
}

/// A new VM starts while configurations are published. If it served callers before it has folded
/// the log, it would use an old configuration, as if the change had been reverted.
#[test]
fn a_new_vm_is_not_ready_before_it_reaches_the_end_of_the_log() {
    let mut membership = new_membership();
    let sent_at = Instant::from_millis(1_990);
    let end = Event::LogAnswered { sent_at, end: Some(Offset(40)) };

    assert_eq!(status_after(&mut membership, &[end, folded(39)]), Status::Starting);
    assert_eq!(status_after(&mut membership, &[folded(40)]), Status::Ready);
}

/// A new VM starts while its data centre cannot reach the log. It becomes ready once it has the
/// records that its ready peers have, and not earlier.
#[test]
fn without_the_log_a_new_vm_is_ready_once_it_has_caught_up_with_its_peers() {
    let mut membership = new_membership();

    assert_eq!(status_after(&mut membership, &[folded(3)]), Status::Starting);
    let ahead = [beat(1, 7, Status::Ready), folded(6)];
    assert_eq!(status_after(&mut membership, &ahead), Status::Starting);
    assert_eq!(status_after(&mut membership, &[folded(7)]), Status::Ready);
}

#[test]
fn a_peer_that_is_not_ready_does_not_make_a_new_vm_ready() {
    let mut membership = new_membership();

    let events = [beat(1, 0, Status::Starting), folded(0)];

    assert_eq!(status_after(&mut membership, &events), Status::Starting);
}

#[test]
fn a_new_vm_is_not_ready_without_a_vm_list() {
    let mut membership = Membership::new(Instant::from_millis(0), options(2, 0));
    let end = Event::LogAnswered { sent_at: Instant::from_millis(1_990), end: Some(Offset(0)) };

    assert_eq!(status_after(&mut membership, &[end, Event::Tick]), Status::Starting);
}

#[test]
fn a_reordered_heartbeat_does_not_cancel_a_planned_stop() {
    let mut membership = new_membership();
    let events = [beat(9, 0, Status::Leaving), beat(8, 0, Status::Ready)];

    status_after(&mut membership, &events);

    assert!(membership.peers().get(VmId(1)).expect("a peer that sent heartbeats").is_leaving());
}
