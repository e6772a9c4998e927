//! Processes that are paused, and links that are cut.

use std::time::Duration;

use daisy_membership::Role;
use daisy_model::VmId;

use crate::fleet::Fleet;

const LIMIT: Duration = Duration::from_secs(20);

fn settled(per_dc: u32) -> Fleet {
    let mut fleet = Fleet::new(1, per_dc, 5);
    fleet.until(LIMIT, |it| it.all_ready() && it.holders(0).len() == 1).expect("a quiet start");
    fleet.run(Duration::from_secs(2));
    fleet
}

/// The holder's VM is paused for half a minute and wakes. Meanwhile a peer has claimed. The
/// first thing that the old holder does must not be an order to a worker: all it has to show
/// is older than its pause.
#[test]
fn a_paused_holder_does_not_act_when_it_wakes() {
    let mut fleet = settled(3);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.nodes[at].frozen = true;
    fleet.run(Duration::from_secs(30));
    fleet.nodes[at].frozen = false;
    fleet.nodes[at].reaches_log = false;

    fleet.step();
    assert!(!matches!(fleet.nodes[at].membership.role(), Role::Holder(_)));

    fleet.nodes[at].reaches_log = true;
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.nodes[at].membership.role(), Role::Idle);
    assert_eq!(fleet.claims.len(), 2, "{:?}", fleet.claims);
}

/// A peer is paused for ten seconds. When it wakes it has heard nobody for as long, but the
/// silence was its own: a claim then would stop placement for a change-over without need.
#[test]
fn a_paused_peer_does_not_claim_when_it_wakes() {
    // Wherever in the rhythm of heartbeats the pause begins and ends.
    for offset in (0..500).step_by(50) {
        let mut fleet = settled(4);
        let holder = fleet.holders(0)[0];
        let paused = fleet.lowest_but(holder);
        let at = fleet.at(paused);
        // What is sent to it meanwhile is lost, as with a full socket buffer.
        fleet.cuts = (1..=4).map(|vm| (paused, VmId(vm))).collect();
        fleet.run(Duration::from_millis(100));
        fleet.nodes[at].frozen = true;
        fleet.run(Duration::from_millis(10_000 + offset));
        fleet.nodes[at].frozen = false;
        fleet.cuts.clear();

        fleet.run(Duration::from_secs(10));

        assert_eq!(fleet.holders(0), [holder]);
        assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
    }
}

/// The link between the holder and one peer is cut, both reach everybody else. The peer hears
/// of the holder from the others, and does not depose it.
#[test]
fn one_cut_link_is_no_reason_for_a_claim() {
    let mut fleet = settled(4);
    let holder = fleet.holders(0)[0];
    let peer = fleet.lowest_but(holder);
    fleet.cuts.push((holder, peer));

    fleet.run(Duration::from_secs(30));

    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}

/// A holder is cut off from its peers and the log, but not from its workers. It cannot show
/// that it still is the holder: it renews leases and starts nothing, while a peer takes over.
#[test]
fn a_holder_that_is_cut_off_starts_nothing() {
    let mut fleet = settled(3);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.nodes[at].reaches_log = false;
    fleet.cuts = (1..=3).map(|vm| (holder, VmId(vm))).collect();

    fleet.run(Duration::from_secs(6));

    assert!(matches!(fleet.nodes[at].membership.role(), Role::LeaseRenewer(_)));
    let others = fleet.holders(0);
    assert_eq!(others.len(), 1);
    assert_ne!(others, [holder]);
}

/// A data centre is cut off from the log for minutes. Its holder is heard by its peers, so it
/// goes on with what it has checked out, and nothing changes hands.
#[test]
fn a_data_centre_without_the_log_keeps_its_holder() {
    let mut fleet = settled(3);
    let holder = fleet.holders(0)[0];
    fleet.log_up = false;

    fleet.run(Duration::from_secs(120));

    assert_eq!(fleet.holders(0), [holder]);
    fleet.log_up = true;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}
