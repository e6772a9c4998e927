//! Which entry VM reads the log across the region link.

use std::time::Duration;

use daisy_membership::RecordSource;
use daisy_model::VmId;

use crate::fleet::{Fleet, Node};

const TIME_LIMIT: Duration = Duration::from_secs(20);

fn reads_log(node: &Node) -> bool {
    node.alive && node.membership.source() == RecordSource::Log
}

fn readers(fleet: &Fleet) -> usize {
    fleet.nodes.iter().filter(|it| reads_log(it)).count()
}

fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new(1, 6, 3);
    fleet
        .run_until(TIME_LIMIT, |it| it.all_ready() && it.holders(0).len() == 1)
        .expect("an undisturbed start");
    fleet.run(Duration::from_secs(3));
    fleet
}

#[test]
fn one_entry_vm_of_a_data_centre_reads_the_log() {
    let mut fleet = started_fleet();

    for _ in 0..200 {
        fleet.step();
        assert_eq!(readers(&fleet), 1);
    }
}

/// The reader cannot reach the log, the others can. Another VM must read it instead and forward
/// records to the old reader, so that a change is in force everywhere within 5 s.
#[test]
fn another_entry_vm_reads_when_the_reader_cannot_reach_the_log() {
    let mut fleet = started_fleet();
    let reader = fleet.nodes.iter().position(reads_log).expect("a reader");
    fleet.nodes[reader].can_reach_log = false;

    let other =
        |it: &Fleet| it.nodes.iter().enumerate().any(|(at, it)| at != reader && reads_log(it));
    let took = fleet.run_until(TIME_LIMIT, other).expect("another reader");

    assert!(took <= Duration::from_secs(5), "{took:?}");
    assert_eq!(fleet.claims.len(), 1, "the holder was replaced although its heartbeats arrive");
}

/// The reader dies. The others read the log themselves until they agree on one reader again.
#[test]
fn a_dead_reader_is_replaced() {
    let mut fleet = started_fleet();
    let reader = fleet.nodes.iter().position(reads_log).expect("a reader");
    fleet.nodes[reader].alive = false;

    let took = fleet.run_until(TIME_LIMIT, |it| readers(it) >= 1).expect("a reader");
    fleet.run(Duration::from_secs(8));

    assert!(took <= Duration::from_secs(3), "{took:?}");
    assert_eq!(readers(&fleet), 1);
}

#[test]
fn no_entry_vm_forwards_records_to_more_than_two_peers() {
    let mut fleet = Fleet::new(1, 16, 3);
    fleet
        .run_until(TIME_LIMIT, |it| it.all_ready() && it.holders(0).len() == 1)
        .expect("an undisturbed start");
    fleet.run(Duration::from_secs(5));

    let mut parents: Vec<VmId> = Vec::new();
    for node in &fleet.nodes {
        if let RecordSource::Peer(vm) = node.membership.source() {
            parents.push(vm);
        }
    }

    assert_eq!(parents.len(), 15);
    for vm in &parents {
        assert!(parents.iter().filter(|it| *it == vm).count() <= 2, "{parents:?}");
    }
}

/// The reads of a VM in the middle of the tree hang, but it still sends heartbeats. The VMs below
/// it see that peers are ahead of them and must change their source, so that a change is in force
/// everywhere within 5 s.
#[test]
fn a_parent_whose_reads_hang_is_replaced() {
    let mut fleet = started_fleet();
    let parent = fleet.nodes.iter().find_map(|it| match it.membership.source() {
        RecordSource::Peer(vm) if !reads_log(&fleet.nodes[fleet.at(vm)]) => Some(vm),
        _ => None,
    });
    let is_reading_stuck = fleet.at(parent.expect("a parent below the reader"));
    fleet.nodes[is_reading_stuck].is_reading_stuck = true;
    fleet.append();

    let wanted = fleet.nodes[0].next.0 + 1;
    let everywhere = |it: &Fleet| {
        let mut others = it.nodes.iter().enumerate().filter(|(at, _)| *at != is_reading_stuck);
        others.all(|(_, node)| node.next.0 >= wanted)
    };
    let took = fleet.run_until(TIME_LIMIT, everywhere).expect("all other VMs read the new record");

    assert!(took <= Duration::from_secs(5), "{took:?}");
}
