//! VMs of a region that return to the log at the same moment, over a link that they share.
//!
//! The link sends whole answers in the order of their requests; one that its VM no longer waits for
//! takes the link all the same.

use std::{collections::VecDeque, net::SocketAddr};

use daisy_model::Instant;
use daisy_relay::{Source, SourceSelector};

const TICK_MS: u64 = 10;
const LINK_BYTES_PER_MS: u64 = 150_000_000 / 8 / 1_000;
/// What a VM lacks after nine seconds in a series of configurations, in bytes.
const LACKING_BYTES: u64 = 260_000;
/// How long a VM waits for an answer: the two timeouts take turns.
const TIMEOUTS_MS: [u64; 2] = [900, 350];
const RETRY_PAUSE_MS: u64 = 150;
/// How long a read of another VM of the data centre takes, and how old the records may be.
const LOCAL_READ_MS: u64 = 20;
/// Data centres of the region.
const DATA_CENTRES: usize = 3;
const END_MS: u64 = 60_000;

/// The answers under way, as the bytes left and the VM that asked.
#[derive(Default)]
struct Link(VecDeque<(u64, usize, u64)>);

impl Link {
    fn ask(&mut self, vm: usize, now: u64) {
        self.0.push_back((LACKING_BYTES, vm, now));
    }

    /// Sends for one tick; returns the VMs whose answers have arrived, and when they asked.
    fn send(&mut self) -> Vec<(usize, u64)> {
        let mut budget = LINK_BYTES_PER_MS * TICK_MS;
        let mut arrived = Vec::new();
        while let Some((left, vm, asked_at)) = self.0.front_mut() {
            let sent = budget.min(*left);
            (*left, budget) = (*left - sent, budget - sent);
            if *left > 0 {
                break;
            }
            arrived.push((*vm, *asked_at));
            self.0.pop_front();
        }
        arrived
    }
}

/// A VM's read of the log: when it was sent, or when the next one is due, and the failures so far.
#[derive(Clone, Copy, Default)]
struct LogRead {
    asked_at: Option<u64>,
    due_at: u64,
    failures: usize,
}

impl LogRead {
    /// Sends, or gives up, a read.
    fn advance(&mut self, vm: usize, now: u64, link: &mut Link) {
        match self.asked_at {
            Some(at) if now - at >= TIMEOUTS_MS[self.failures % 2] => {
                *self = LogRead {
                    asked_at: None,
                    due_at: now + RETRY_PAUSE_MS,
                    failures: self.failures + 1,
                };
            }
            None if now >= self.due_at => {
                self.asked_at = Some(now);
                link.ask(vm, now);
            }
            _ => {}
        }
    }
}

/// Returns when all of `vms` know everything, in milliseconds, if each reads the log by itself.
fn time_if_each_reads(vms: usize) -> Option<u64> {
    let mut link = Link::default();
    let mut reads = vec![LogRead::default(); vms];
    let mut has_all = vec![false; vms];
    for now in (0..END_MS).step_by(TICK_MS as usize) {
        for (vm, it) in reads.iter_mut().enumerate().filter(|(vm, _)| !has_all[*vm]) {
            it.advance(vm, now, &mut link);
        }
        for (vm, asked_at) in link.send() {
            has_all[vm] |= reads[vm].asked_at == Some(asked_at);
        }
        if has_all.iter().all(|it| *it) {
            return Some(now);
        }
    }
    None
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (vm >> 8) as u8, vm as u8], 7_720))
}

/// The same if two VMs of each data centre read the log for the others.
fn time_with_readers(vms: usize) -> Option<u64> {
    let reader_of = |vm: usize| [vm % DATA_CENTRES, DATA_CENTRES + vm % DATA_CENTRES];
    let readers = 2 * DATA_CENTRES;
    let mut link = Link::default();
    let mut reads = vec![LogRead::default(); vms];
    let mut has_all = vec![false; vms];
    let mut selectors: Vec<_> = (0..vms)
        .map(|vm| {
            let mut selector = SourceSelector::new(Instant(0), vm as u64);
            selector.set_readers(reader_of(vm).map(address).to_vec(), Vec::new());
            selector
        })
        .collect();
    for now in (0..END_MS).step_by(TICK_MS as usize) {
        for vm in 0..vms {
            if has_all[vm] {
                continue;
            }
            let at = Instant::from_millis(now);
            let source = if vm < readers { Source::Log } else { selectors[vm].select(at) };
            match source {
                Source::Reader(reader) if now % LOCAL_READ_MS == 0 => {
                    let known = (0..readers).find(|it| address(*it) == reader);
                    let is_current = known.is_some_and(|it| has_all[it]);
                    let known_at = if is_current { at } else { Instant(0) };
                    has_all[vm] =
                        selectors[vm].reader_answered(at, reader, Some(known_at)) && is_current;
                }
                Source::Log => reads[vm].advance(vm, now, &mut link),
                Source::Reader(_) | Source::Wait(_) => {}
            }
        }
        for (vm, asked_at) in link.send() {
            has_all[vm] |= reads[vm].asked_at == Some(asked_at);
        }
        if has_all.iter().all(|it| *it) {
            return Some(now);
        }
    }
    None
}

/// Guards against a system that does not come back: the link is full of answers that nobody waits
/// for any more, however long it goes on.
#[test]
fn vms_that_return_at_once_know_everything_within_a_second_at_any_size() {
    const VMS: usize = 100;
    const RETURN_TIME_MAX_MS: u64 = 1_000;

    let alone: Vec<_> = [VMS, 2 * VMS, 4 * VMS].map(time_if_each_reads).into();
    let with_readers: Vec<_> = [VMS, 2 * VMS, 4 * VMS].map(time_with_readers).into();

    assert_eq!(alone[1..], [None, None], "each VM for itself");
    assert!(
        with_readers.iter().all(|it| it.is_some_and(|it| it < RETURN_TIME_MAX_MS)),
        "{with_readers:?}; each VM for itself: {alone:?}"
    );
}
