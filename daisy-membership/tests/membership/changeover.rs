//! How one holder replaces another.

use std::time::Duration;

use daisy_membership::{Event, Role};
use daisy_model::{DcId, VmId};

use crate::fleet::{Fleet, vm};

const TIME_LIMIT: Duration = Duration::from_secs(20);
/// The longest time without a holder that users accept.
const MAX_CHANGEOVER_TIME: Duration = Duration::from_secs(3);

fn started_fleet(dcs: u16, per_dc: u32) -> Fleet {
    let mut fleet = Fleet::new(dcs, per_dc, 11);
    let wanted = |it: &Fleet| it.all_ready() && (0..dcs).all(|dc| it.holders(dc).len() == 1);
    fleet.run_until(TIME_LIMIT, wanted).expect("an undisturbed start");
    fleet.run(Duration::from_secs(2));
    fleet
}

#[test]
fn each_data_centre_is_claimed_once_at_an_undisturbed_start() {
    let fleet = started_fleet(2, 8);

    assert_eq!(fleet.claims.len(), 2, "{:?}", fleet.claims);
}

/// A whole data centre is restarted, and connecting takes longer than the discovery time: no
/// process has received a heartbeat when the first claim is due. If listed peers were not counted
/// as alive then, every process would be the first candidate and all would claim.
#[test]
fn processes_that_have_not_received_heartbeats_yet_do_not_all_claim() {
    let mut fleet = Fleet::new(1, 6, 11);
    fleet.loss = 1_000;
    fleet.run(Duration::from_millis(1_050));
    fleet.loss = 0;

    fleet.run_until(TIME_LIMIT, |it| it.holders(0).len() == 1).expect("a holder");
    fleet.run(Duration::from_secs(5));

    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}

/// The process of the holder is killed and releases nothing. Its peers receive no more heartbeats,
/// one of them claims, and work is placed again: no task is started for at most 3 s.
#[test]
fn a_killed_holder_is_replaced_within_three_seconds() {
    for per_dc in [2, 8, 16] {
        let mut fleet = started_fleet(1, per_dc);
        let holder = fleet.holders(0)[0];
        let at = fleet.at(holder);
        fleet.nodes[at].alive = false;

        let took =
            fleet.run_until(TIME_LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

        assert!(took <= MAX_CHANGEOVER_TIME, "{per_dc} entry VMs: {took:?}");
        assert_eq!(
            fleet.claims.len(),
            2,
            "expected exactly one claim after the holder died: {:?}",
            fleet.claims
        );
    }
}

/// The holder and the first candidate die together, with their rack. The next candidate waits for
/// the dead one's claim time first and must still claim within the allowed time.
#[test]
fn the_next_candidate_claims_in_time_when_holder_and_first_candidate_die_together() {
    let mut fleet = started_fleet(1, 8);
    let holder = fleet.holders(0)[0];
    for vm in [holder, fleet.lowest_other(holder)] {
        let at = fleet.at(vm);
        fleet.nodes[at].alive = false;
    }

    let took = fleet.run_until(TIME_LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

    assert!(took <= MAX_CHANGEOVER_TIME, "{took:?}");
}

/// An operator replaces the holder's VM. The planned stop releases the data centre, and a peer
/// claims it at once instead of waiting for the holder timeout.
#[test]
fn a_planned_stop_of_the_holder_is_followed_by_a_claim_at_once() {
    let mut fleet = started_fleet(1, 4);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.event(at, Event::Stop);
    fleet.event(at, Event::Stop);

    let took = fleet.run_until(TIME_LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

    assert!(took <= Duration::from_millis(700), "{took:?}");
    assert_ne!(fleet.holders(0), [holder]);
    assert_eq!(fleet.nodes[at].membership.role(), Role::Idle);
}

/// All entry VMs of a data centre are lost. Those of the other one must not claim its workers:
/// over the link they cannot distinguish a dead data centre from one that is disconnected.
#[test]
fn entry_vms_do_not_claim_another_data_centre() {
    let mut fleet = started_fleet(2, 3);
    for node in fleet.nodes.iter_mut().filter(|it| it.membership.options().dc == DcId(1)) {
        node.alive = false;
    }

    fleet.run(Duration::from_secs(30));

    let foreign = fleet.claims.iter().filter(|it| (it.vm.0 > 3) != (it.dc == DcId(1)));
    assert_eq!(foreign.count(), 0, "{:?}", fleet.claims);
    assert_eq!(fleet.claims.len(), 2);
}

/// The log is down and the holder dies. No VM can claim, but the leases of services must not
/// expire: one peer renews them. Once the log is back, a peer claims.
#[test]
fn one_peer_renews_leases_while_the_log_accepts_no_claim() {
    let mut fleet = started_fleet(1, 3);
    let holder = fleet.holders(0)[0];
    fleet.is_log_up = false;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.holders(0), [holder], "a log outage alone must not change the holder");
    let at = fleet.at(holder);
    fleet.nodes[at].alive = false;
    fleet.run(Duration::from_secs(10));

    let alive = fleet.nodes.iter().filter(|it| it.alive);
    let lease_renewers = alive.filter(|it| matches!(it.membership.role(), Role::LeaseRenewer(_)));
    assert_eq!(lease_renewers.count(), 1);
    assert!(fleet.holders(0).is_empty());

    fleet.is_log_up = true;
    let took = fleet.run_until(TIME_LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");
    assert!(took <= MAX_CHANGEOVER_TIME, "{took:?}");
    assert_eq!(fleet.claims.len(), 2);
}

/// The process of the holder is killed and restarted on the same VM within a heartbeat interval.
/// The log still names the VM as holder, but the new process does not know the orders given
/// before. If it acted under the old epoch, a task could be started twice.
#[test]
fn a_restarted_process_does_not_act_under_the_epoch_of_its_predecessor() {
    let mut fleet = started_fleet(1, 2);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    let before = fleet.claims.len();
    fleet.nodes[at].alive = false;
    fleet.add(holder.0, 0);

    let acted = |it: &Fleet| it.holders(0).contains(&holder);
    fleet.run_until(TIME_LIMIT, |it| acted(it) || it.claims.len() > before).expect("a claim");

    assert!(
        fleet.claims.len() > before,
        "the new process acted under the epoch of its predecessor"
    );
}

/// Guards against a lost peer that is noticed later with each entry VM that was ever replaced.
#[test]
fn replaced_peers_do_not_lengthen_the_timeout() {
    let mut fleet = Fleet::new(1, 2, 3);
    fleet.run(Duration::from_secs(5));
    for replaced in 2..=20 {
        let at = fleet.at(VmId(replaced));
        fleet.nodes[at].alive = false;
        fleet.vms = vec![vm(1, 0), vm(replaced + 1, 0)];
        fleet.add(replaced + 1, 0);
        fleet.run(Duration::from_secs(5));
        let vms = fleet.vms.clone();
        fleet.event(0, Event::Vms(&vms));
    }

    let membership = &fleet.nodes[0].membership;

    let peers = membership.peers().local_count();
    assert_eq!(membership.options().peer_timeout(peers), membership.options().peer_timeout(1));
}
