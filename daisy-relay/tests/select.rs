//! Where a VM reads while readers come and go.

use std::net::SocketAddr;

use daisy_model::Instant;
use daisy_relay::{Source, SourceSelector, is_reader};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_720))
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns the selector of a VM that follows one of two readers; a third VM may become one.
fn follower(seed: u64) -> SourceSelector {
    let mut selector = SourceSelector::new(at(0), seed);
    selector.set_readers(vec![address(1), address(2)], vec![address(3)]);
    let Source::Reader(reader) = selector.select(at(0)) else { panic!("no reader") };
    assert!(selector.reader_answered(at(0), reader, Some(at(0))));
    selector
}

fn reader(selector: &mut SourceSelector, now: Instant) -> SocketAddr {
    match selector.select(now) {
        Source::Reader(reader) => reader,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_vm_without_readers_reads_the_log() {
    let mut selector = SourceSelector::new(at(0), 1);
    selector.set_readers(vec![], vec![]);

    assert_eq!(selector.select(at(1)), Source::Log);
}

/// Guards against a start that waits for a list of readers which the platform does not send.
#[test]
fn a_vm_that_gets_no_list_of_readers_reads_the_log_soon() {
    let mut selector = SourceSelector::new(at(0), 1);

    assert!(matches!(selector.select(at(100)), Source::Wait(_)));
    assert_eq!(selector.select(at(400)), Source::Log);
}

#[test]
fn a_follower_keeps_its_reader_and_followers_are_divided_among_readers() {
    let mut first = [0, 0];
    for seed in 0..200 {
        let mut selector = follower(seed);
        let chosen = reader(&mut selector, at(10));
        selector.set_readers(vec![address(2), address(1)], vec![address(3)]);
        assert_eq!(reader(&mut selector, at(20)), chosen, "seed {seed}");
        first[usize::from(chosen == address(2))] += 1;
    }

    assert!(first.iter().all(|it| *it > 60), "{first:?}");
}

/// Guards against followers of a reader that is paused, cut off or turned away by the log: the
/// other reader serves them, then a VM that follows a reader which they do not know, and at last
/// the log.
#[test]
fn a_follower_whose_readers_fail_finds_another_way() {
    let mut selector = follower(7);
    let mut tried = Vec::new();
    for ms in [10, 20, 30] {
        let chosen = reader(&mut selector, at(ms));
        tried.push(chosen);
        selector.reader_failed(at(ms), chosen);
    }

    let soon = selector.select(at(40));
    let later = selector.select(at(900));

    tried[..2].sort();
    assert_eq!(tried, [address(1), address(2), address(3)]);
    assert!(matches!(soon, Source::Wait(_)), "{soon:?}");
    assert!(matches!(later, Source::Wait(_)), "{later:?}");
    assert!(selector.take_list_due(at(40)));
}

#[test]
fn an_answer_of_old_records_counts_as_a_failure() {
    let mut selector = follower(7);
    let chosen = reader(&mut selector, at(4_000));

    let is_recent = selector.reader_answered(at(4_000), chosen, Some(at(2_000)));

    assert!(!is_recent);
    assert_ne!(reader(&mut selector, at(4_010)), chosen);
}

/// Guards against a VM that reads the log, waits again for readers that are still lost, and so is
/// always behind.
#[test]
fn a_vm_that_reads_the_log_for_want_of_readers_goes_on_until_one_answers() {
    let mut selector = follower(7);
    let mut now = 10;
    while selector.select(at(now)) != Source::Log {
        if let Source::Reader(it) = selector.select(at(now)) {
            selector.reader_failed(at(now), it);
        }
        now += 10;
    }
    let mut waits = 0;
    for ms in (now..now + 20_000).step_by(10) {
        match selector.select(at(ms)) {
            Source::Reader(it) => selector.reader_failed(at(ms), it),
            Source::Wait(_) => waits += 1,
            Source::Log => {}
        }
    }
    assert_eq!(waits, 0);
    assert!(now < 3_600, "{now}");
}

/// The readers of a data centre are lost at once; others are listed after two seconds. Guards
/// against hundreds of VMs that read the log in the same moment, over a link that they share.
#[test]
fn few_vms_read_the_log_while_readers_are_replaced() {
    /// How long the platform takes to give a lost reader's partition to another VM, and a VM to
    /// learn of it.
    const REPLACED_AT: u64 = 2_000;
    const VMS: u64 = 400;
    let mut direct_at_once = [0; 40];
    let mut direct = 0;
    for seed in 0..VMS {
        let mut selector = follower(seed);
        let mut has_read_log = false;
        for ms in (0..4_000).step_by(20) {
            if ms == REPLACED_AT {
                selector.set_readers(vec![address(4), address(5)], vec![]);
            }
            match selector.select(at(ms)) {
                Source::Reader(it) if it == address(4) || it == address(5) => {
                    selector.reader_answered(at(ms), it, Some(at(ms)));
                }
                Source::Reader(it) => selector.reader_failed(at(ms), it),
                Source::Log if !has_read_log => {
                    has_read_log = true;
                    direct += 1;
                    direct_at_once[ms as usize / 100] += 1;
                }
                Source::Log | Source::Wait(_) => {}
            }
        }
    }

    // The patience of VMs is spread evenly over 2.5 s from the first second on.
    assert!(direct < VMS / 2, "{direct}");
    assert!(direct_at_once.iter().all(|it| *it < VMS / 10), "{direct_at_once:?}");
}

#[test]
fn two_members_of_a_group_are_readers() {
    const PARTITIONS: u16 = 24;
    for members in [2, 5, 6, 12, 24, 40] {
        // The platform gives neighbouring partitions to one member, or deals them out in turn.
        let held_in_turn = |member: u16| -> Vec<u16> {
            (0..PARTITIONS).filter(|it| it % members == member).collect()
        };
        let held_in_blocks = |member: u16| -> Vec<u16> {
            let block = PARTITIONS.div_ceil(members);
            (0..PARTITIONS).filter(|it| it / block == member).collect()
        };
        let count = |held: &dyn Fn(u16) -> Vec<u16>| {
            (0..members).filter(|it| is_reader(&held(*it), PARTITIONS)).count()
        };

        assert_eq!((count(&held_in_turn), count(&held_in_blocks)), (2, 2), "{members}");
    }
}
