//! Who reads the log across the region link.

use std::time::Duration;

use daisy_membership::RecordSource;
use daisy_model::VmId;

use crate::fleet::{Fleet, Node};

const LIMIT: Duration = Duration::from_secs(20);

fn reads(node: &Node) -> bool {
    node.alive && node.membership.source() == RecordSource::Log
}

fn readers(fleet: &Fleet) -> usize {
    fleet.nodes.iter().filter(|it| reads(it)).count()
}

fn settled() -> Fleet {
    let mut fleet = Fleet::new(1, 6, 3);
    fleet.until(LIMIT, |it| it.all_ready() && it.holders(0).len() == 1).expect("a quiet start");
    fleet.run(Duration::from_secs(3));
    fleet
}

#[test]
fn one_entry_vm_of_a_data_centre_reads_the_log() {
    let mut fleet = settled();

    for _ in 0..200 {
        fleet.step();
        assert_eq!(readers(&fleet), 1);
    }
}

/// The reader is cut off from the log, the others are not. Another one takes the reading over,
/// and the old reader learns what is new from it: a change is in force everywhere within 5 s.
#[test]
fn another_one_reads_when_the_reader_is_cut_off() {
    let mut fleet = settled();
    let reader = fleet.nodes.iter().position(reads).expect("a reader");
    fleet.nodes[reader].reaches_log = false;

    let other = |it: &Fleet| it.nodes.iter().enumerate().any(|(at, it)| at != reader && reads(it));
    let took = fleet.until(LIMIT, other).expect("another reader");

    assert!(took <= Duration::from_secs(5), "{took:?}");
    assert_eq!(fleet.claims.len(), 1, "the holder is still heard");
}

/// The reader dies: the others go to the log themselves until one of them has it, and agree
/// on one reader again.
#[test]
fn a_dead_reader_is_replaced() {
    let mut fleet = settled();
    let reader = fleet.nodes.iter().position(reads).expect("a reader");
    fleet.nodes[reader].alive = false;

    let took = fleet.until(LIMIT, |it| readers(it) >= 1).expect("a reader");
    fleet.run(Duration::from_secs(8));

    assert!(took <= Duration::from_secs(3), "{took:?}");
    assert_eq!(readers(&fleet), 1);
}

#[test]
fn nobody_passes_records_on_to_more_than_two() {
    let mut fleet = Fleet::new(1, 16, 3);
    fleet.until(LIMIT, |it| it.all_ready() && it.holders(0).len() == 1).expect("a quiet start");
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

/// An entry VM in the middle hangs in its reading, but its heartbeats go on. Those below it see
/// peers ahead of them, and must not wait for it: a change is in force everywhere within 5 s.
#[test]
fn a_stuck_parent_is_left() {
    let mut fleet = settled();
    let parent = fleet.nodes.iter().find_map(|it| match it.membership.source() {
        RecordSource::Peer(vm) if !reads(&fleet.nodes[fleet.at(vm)]) => Some(vm),
        _ => None,
    });
    let stuck = fleet.at(parent.expect("a parent below the reader"));
    fleet.nodes[stuck].stuck = true;
    fleet.append();

    let wanted = fleet.nodes[0].next.0 + 1;
    let everywhere = |it: &Fleet| {
        let mut others = it.nodes.iter().enumerate().filter(|(at, _)| *at != stuck);
        others.all(|(_, node)| node.next.0 >= wanted)
    };
    let took = fleet.until(LIMIT, everywhere).expect("in force");

    assert!(took <= Duration::from_secs(5), "{took:?}");
}
