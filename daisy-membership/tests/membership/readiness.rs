//! When a fresh entry VM takes callers.

use daisy_membership::{Event, Heartbeat, Membership, Status};
use daisy_model::{DcId, Instant, Offset, VmId};

use crate::fleet::{options, vm};

fn fresh() -> Membership {
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

/// A fresh VM comes up while configurations are published. A caller that reaches it before it
/// has folded the log would be served by an old configuration: the change seems to go back.
#[test]
fn waits_for_the_end_of_the_log() {
    let mut membership = fresh();
    let asked = Instant::from_millis(1_990);
    let end = Event::Log { asked, end: Some(Offset(40)) };

    assert_eq!(status_after(&mut membership, &[end, folded(39)]), Status::Starting);
    assert_eq!(status_after(&mut membership, &[folded(40)]), Status::Ready);
}

/// A fresh VM comes up while its data centre is cut off from the log: it goes on with what its
/// data centre has, and not before it has that.
#[test]
fn cut_off_goes_on_with_what_its_data_centre_has() {
    let mut membership = fresh();

    assert_eq!(status_after(&mut membership, &[folded(3)]), Status::Starting);
    let ahead = [beat(1, 7, Status::Ready), folded(6)];
    assert_eq!(status_after(&mut membership, &ahead), Status::Starting);
    assert_eq!(status_after(&mut membership, &[folded(7)]), Status::Ready);
}

#[test]
fn a_peer_that_is_not_ready_itself_shows_nothing() {
    let mut membership = fresh();

    let events = [beat(1, 0, Status::Starting), folded(0)];

    assert_eq!(status_after(&mut membership, &events), Status::Starting);
}

#[test]
fn without_a_list_of_vms_there_is_no_readiness() {
    let mut membership = Membership::new(Instant::from_millis(0), options(2, 0));
    let end = Event::Log { asked: Instant::from_millis(1_990), end: Some(Offset(0)) };

    assert_eq!(status_after(&mut membership, &[end, Event::Tick]), Status::Starting);
}

#[test]
fn a_late_heartbeat_does_not_take_a_stop_back() {
    let mut membership = fresh();
    let events = [beat(9, 0, Status::Leaving), beat(8, 0, Status::Ready)];

    status_after(&mut membership, &events);

    assert!(membership.peers().get(VmId(1)).expect("heard of").is_leaving());
}
