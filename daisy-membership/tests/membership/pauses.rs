//! Paused processes and cut links.

use std::time::Duration;

use daisy_membership::Role;
use daisy_model::VmId;

use crate::fleet::Fleet;

const TIME_LIMIT: Duration = Duration::from_secs(20);

fn started_fleet(per_dc: u32) -> Fleet {
    let mut fleet = Fleet::new(1, per_dc, 5);
    fleet
        .run_until(TIME_LIMIT, |it| it.all_ready() && it.holders(0).len() == 1)
        .expect("an undisturbed start");
    fleet.run(Duration::from_secs(2));
    fleet
}

/// The holder's VM is paused for half a minute, and a peer claims meanwhile. After the pause the
/// old holder must not send an order to a worker: everything that confirms it as holder is older
/// than the pause.
#[test]
fn a_paused_holder_does_not_act_when_it_wakes() {
    let mut fleet = started_fleet(3);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.nodes[at].is_paused = true;
    fleet.run(Duration::from_secs(30));
    fleet.nodes[at].is_paused = false;
    fleet.nodes[at].can_reach_log = false;

    fleet.step();
    assert!(!matches!(fleet.nodes[at].membership.role(), Role::Holder(_)));

    fleet.nodes[at].can_reach_log = true;
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.nodes[at].membership.role(), Role::Idle);
    assert_eq!(fleet.claims.len(), 2, "{:?}", fleet.claims);
}

/// A peer is paused for ten seconds. After the pause it has received no heartbeat for that time,
/// but because of its own pause. A claim would interrupt placement with a needless changeover.
#[test]
fn a_paused_peer_does_not_claim_when_it_wakes() {
    // The pause begins and ends at any point of the heartbeat interval.
    for offset in (0..500).step_by(50) {
        let mut fleet = started_fleet(4);
        let holder = fleet.holders(0)[0];
        let paused = fleet.lowest_other(holder);
        let at = fleet.at(paused);
        // Heartbeats sent to it meanwhile are lost, as with a full socket buffer.
        fleet.cut_links = (1..=4).map(|vm| (paused, VmId(vm))).collect();
        fleet.run(Duration::from_millis(100));
        fleet.nodes[at].is_paused = true;
        fleet.run(Duration::from_millis(10_000 + offset));
        fleet.nodes[at].is_paused = false;
        fleet.cut_links.clear();

        fleet.run(Duration::from_secs(10));

        assert_eq!(fleet.holders(0), [holder]);
        assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
    }
}

/// The link between the holder and one peer is cut; both reach all other VMs. The peer gets
/// evidence of the holder from the others and must not replace it.
#[test]
fn a_peer_does_not_claim_when_only_its_link_to_the_holder_is_cut() {
    let mut fleet = started_fleet(4);
    let holder = fleet.holders(0)[0];
    let peer = fleet.lowest_other(holder);
    fleet.cut_links.push((holder, peer));

    fleet.run(Duration::from_secs(30));

    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}

/// A holder cannot reach its peers and the log, but still reaches its workers. It cannot confirm
/// that it still is the holder, so it renews leases and starts nothing while a peer claims.
#[test]
fn an_isolated_holder_starts_nothing() {
    let mut fleet = started_fleet(3);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.nodes[at].can_reach_log = false;
    fleet.cut_links = (1..=3).map(|vm| (holder, VmId(vm))).collect();

    fleet.run(Duration::from_secs(6));

    assert!(matches!(fleet.nodes[at].membership.role(), Role::LeaseRenewer(_)));
    let others = fleet.holders(0);
    assert_eq!(others.len(), 1);
    assert_ne!(others, [holder]);
}

/// A data centre cannot reach the log for minutes. The peers receive the holder's heartbeats, so it
/// continues with the tasks that it has checked out, and the holder does not change.
#[test]
fn a_data_centre_without_the_log_keeps_its_holder() {
    let mut fleet = started_fleet(3);
    let holder = fleet.holders(0)[0];
    fleet.is_log_up = false;

    fleet.run(Duration::from_secs(120));

    assert_eq!(fleet.holders(0), [holder]);
    fleet.is_log_up = true;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}

/// Guards against peers that died long ago and are treated as live again after a pause.
#[test]
fn a_pause_does_not_revive_dead_peers() {
    let mut fleet = started_fleet(3);
    let (paused, dead, live) = (VmId(1), VmId(2), VmId(3));
    let dead_at = fleet.at(dead);
    fleet.nodes[dead_at].alive = false;
    fleet.run(Duration::from_secs(10));
    let at = fleet.at(paused);
    fleet.nodes[at].is_paused = true;
    fleet.run(Duration::from_secs(2));
    fleet.nodes[at].is_paused = false;

    fleet.step();

    let membership = &fleet.nodes[at].membership;
    let is_alive = |vm| membership.peers().is_alive(membership.options(), fleet.now, vm);
    assert!(is_alive(live));
    assert!(!is_alive(dead));
}
