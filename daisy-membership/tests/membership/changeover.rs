//! From one holder to the next.

use std::time::Duration;

use daisy_membership::{Event, Role};
use daisy_model::DcId;

use crate::fleet::Fleet;

const LIMIT: Duration = Duration::from_secs(20);
/// The users' goal.
const GOAL: Duration = Duration::from_secs(3);

fn settled(dcs: u16, per_dc: u32) -> Fleet {
    let mut fleet = Fleet::new(dcs, per_dc, 11);
    let wanted = |it: &Fleet| it.all_ready() && (0..dcs).all(|dc| it.holders(dc).len() == 1);
    fleet.until(LIMIT, wanted).expect("a quiet start");
    fleet.run(Duration::from_secs(2));
    fleet
}

#[test]
fn a_quiet_start_claims_once_a_data_centre() {
    let fleet = settled(2, 8);

    assert_eq!(fleet.claims.len(), 2, "{:?}", fleet.claims);
}

/// A whole data centre is started anew, and connections take longer than the settling time:
/// nobody has heard anybody when the first turn comes. Without the list's word all would be
/// first and claim at once.
#[test]
fn processes_that_have_not_heard_one_another_claim_in_turn() {
    let mut fleet = Fleet::new(1, 6, 11);
    fleet.loss = 1_000;
    fleet.run(Duration::from_millis(1_050));
    fleet.loss = 0;

    fleet.until(LIMIT, |it| it.holders(0).len() == 1).expect("a holder");
    fleet.run(Duration::from_secs(5));

    assert_eq!(fleet.claims.len(), 1, "{:?}", fleet.claims);
}

/// The holder's VM dies. Its peers hear nothing more, one claims, and work is placed again:
/// a user sees no start for at most 3 s. The cause is a killed process that releases nothing.
#[test]
fn a_killed_holder_is_replaced_within_the_goal() {
    for per_dc in [2, 8, 16] {
        let mut fleet = settled(1, per_dc);
        let holder = fleet.holders(0)[0];
        let at = fleet.at(holder);
        fleet.nodes[at].alive = false;

        let took = fleet.until(LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

        assert!(took <= GOAL, "{per_dc} entry VMs: {took:?}");
        assert_eq!(fleet.claims.len(), 2, "one claim is enough: {:?}", fleet.claims);
    }
}

/// Holder and first candidate die together with their rack. The next candidate must not wait
/// for the dead one's turn for longer than the goal.
#[test]
fn holder_and_first_candidate_die_together() {
    let mut fleet = settled(1, 8);
    let holder = fleet.holders(0)[0];
    for vm in [holder, fleet.lowest_but(holder)] {
        let at = fleet.at(vm);
        fleet.nodes[at].alive = false;
    }

    let took = fleet.until(LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

    assert!(took <= GOAL, "{took:?}");
}

/// An operator replaces the holder's VM: a planned stop gives the data centre up, and a peer
/// goes on at once instead of waiting for a silence.
#[test]
fn a_planned_stop_hands_over_at_once() {
    let mut fleet = settled(1, 4);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    fleet.event(at, Event::Stop);
    fleet.event(at, Event::Stop);

    let took = fleet.until(LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");

    assert!(took <= Duration::from_millis(700), "{took:?}");
    assert_ne!(fleet.holders(0), [holder]);
    assert_eq!(fleet.nodes[at].membership.role(), Role::Idle);
}

/// All entry VMs of a data centre are lost. Those of the other one see its workers without a
/// holder and must leave them alone: over the link they could not tell a dead data centre
/// from one that is cut off.
#[test]
fn another_data_centre_claims_nothing() {
    let mut fleet = settled(2, 3);
    for node in fleet.nodes.iter_mut().filter(|it| it.membership.options().dc == DcId(1)) {
        node.alive = false;
    }

    fleet.run(Duration::from_secs(30));

    let foreign = fleet.claims.iter().filter(|it| (it.vm.0 > 3) != (it.dc == DcId(1)));
    assert_eq!(foreign.count(), 0, "{:?}", fleet.claims);
    assert_eq!(fleet.claims.len(), 2);
}

/// The log is down and the holder dies. Nobody can claim, but services' leases must not lapse:
/// one peer renews them. When the log is back, a claim follows.
#[test]
fn a_caretaker_renews_while_nobody_can_claim() {
    let mut fleet = settled(1, 3);
    let holder = fleet.holders(0)[0];
    fleet.log_up = false;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.holders(0), [holder], "a log outage alone deposes nobody");
    let at = fleet.at(holder);
    fleet.nodes[at].alive = false;
    fleet.run(Duration::from_secs(10));

    let alive = fleet.nodes.iter().filter(|it| it.alive);
    let caretakers = alive.filter(|it| matches!(it.membership.role(), Role::LeaseRenewer(_)));
    assert_eq!(caretakers.count(), 1);
    assert!(fleet.holders(0).is_empty());

    fleet.log_up = true;
    let took = fleet.until(LIMIT, |it| !it.holders(0).is_empty()).expect("a new holder");
    assert!(took <= GOAL, "{took:?}");
    assert_eq!(fleet.claims.len(), 2);
}

/// A process is killed and started again on the same VM, all within a heartbeat. The log still
/// names its VM as holder, but the new process knows nothing of the orders given before; if it
/// went on under the old epoch, two starts of one task could cross.
#[test]
fn a_restarted_process_needs_a_claim_of_its_own() {
    let mut fleet = settled(1, 2);
    let holder = fleet.holders(0)[0];
    let at = fleet.at(holder);
    let before = fleet.claims.len();
    fleet.nodes[at].alive = false;
    fleet.add(holder.0, 0);

    let acted = |it: &Fleet| it.holders(0).contains(&holder);
    fleet.until(LIMIT, |it| acted(it) || it.claims.len() > before).expect("a claim");

    assert!(fleet.claims.len() > before, "acted under the epoch of its former life");
}
