//! Where an entry VM reads the log's records from.
//!
//! One entry VM of a data centre reads the log across the region link and passes the records
//! on, because every byte across that link is paid for.

use std::fmt;

use daisy_model::{Instant, Offset, VmId};

use crate::{Heartbeat, Options, Peers};

/// Where records come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// The platform's log.
    Log,
    /// Another entry VM of the data centre.
    Peer(VmId),
}

impl fmt::Display for RecordSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordSource::Log => f.write_str("log"),
            RecordSource::Peer(vm) => vm.fmt(f),
        }
    }
}

/// What bears on the choice.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub options: &'a Options,
    pub peers: &'a Peers,
    pub holder: Option<VmId>,
    /// Whether the holder's silence begins to look like its death.
    pub holder_silent: bool,
    pub next: Offset,
    pub log_answers: bool,
}

/// Where an entry VM reads, and what speaks against a source.
#[derive(Debug)]
pub(crate) struct Reading {
    source: RecordSource,
    /// A peer that made no progress, and until when it is left aside.
    avoided: Option<(VmId, Instant)>,
    /// Since when a live peer is ahead, and the own offset then.
    behind: Option<(Instant, Offset)>,
}

impl Reading {
    /// From the log, as long as nothing else is known.
    pub fn new() -> Reading {
        Reading { source: RecordSource::Log, avoided: None, behind: None }
    }

    /// Where records are read from.
    pub fn source(&self) -> RecordSource {
        self.source
    }

    /// Leaves a peer aside for a while.
    pub fn avoid(&mut self, now: Instant, options: &Options, peer: VmId) {
        self.avoided = Some((peer, now + options.log_timeout() * 2));
    }

    /// Chooses anew; the source, if it has changed.
    pub fn try_change(&mut self, now: Instant, view: &View<'_>) -> Option<RecordSource> {
        self.notice_stall(now, view);
        let avoided = self.avoided.filter(|(_, until)| now < *until).map(|(vm, _)| vm);
        let source = choose(now, view, avoided);
        let changed = source != self.source;
        self.source = source;
        changed.then_some(source)
    }

    /// Guard: a parent may hang while its heartbeats go on, and everybody below it would stay
    /// behind: a configuration not in force there. Whoever is behind a live peer for the time
    /// of a change-over leaves its source for another.
    fn notice_stall(&mut self, now: Instant, view: &View<'_>) {
        let RecordSource::Peer(parent) = self.source else {
            self.behind = None;
            return;
        };
        let mut near = view.peers.live_local_peers(view.options, now);
        if !near.any(|(_, peer)| peer.last.is_some_and(|last| last.next > view.next)) {
            self.behind = None;
            return;
        }
        match self.behind {
            Some((since, at)) if at == view.next => {
                if now.since(since) >= view.options.holder_timeout {
                    self.behind = None;
                    self.avoid(now, view.options, parent);
                }
            }
            _ => self.behind = Some((now, view.next)),
        }
    }
}

/// Peers that read from one entry VM at most.
///
/// With all of them at the reader, it would send each record seven times in a data centre of
/// eight; with two, nobody sends more than twice what it reads, and eight are three steps deep.
const FAN_OUT: usize = 2;

/// Chooses the source. The holder, or the lowest live peer that reads the log, reads it for
/// all. The others stand in a tree below it, in the order of their numbers, and each reads from
/// its parent. While the log gives no answer, the peer that knows most is read.
fn choose(now: Instant, view: &View<'_>, avoided: Option<VmId>) -> RecordSource {
    let own = view.options.vm;
    let candidates: Vec<(VmId, Heartbeat)> = view
        .peers
        .live_local_peers(view.options, now)
        .filter(|(vm, peer)| !peer.leaving() && Some(*vm) != avoided)
        .filter_map(|(vm, peer)| peer.last.map(|last| (vm, last)))
        .collect();
    let own_reading =
        if view.log_answers { RecordSource::Log } else { most_advanced(view, &candidates) };
    // Whoever may have to claim needs the log at first hand before the timeout is over.
    if view.holder == Some(own) || view.holder_silent {
        return own_reading;
    }
    let readers = candidates.iter().filter(|(_, last)| last.reads_log).map(|(vm, _)| *vm);
    let Some(reader) = readers.min_by_key(|vm| (Some(*vm) != view.holder, *vm)) else {
        return own_reading;
    };
    if Some(reader) != view.holder && own < reader && view.log_answers {
        return RecordSource::Log;
    }
    RecordSource::Peer(parent(own, reader, &candidates))
}

/// The parent of `own` in the tree below `reader`.
///
/// All order the entry VMs alike, reader first and then by number, so that the parent always
/// stands before the child and no circle comes about where views agree.
fn parent(own: VmId, reader: VmId, candidates: &[(VmId, Heartbeat)]) -> VmId {
    let before = candidates.iter().map(|(vm, _)| *vm).filter(|vm| *vm < own && *vm != reader);
    let mut order = vec![reader];
    order.extend(before);
    order[(order.len() - 1) / FAN_OUT]
}

fn most_advanced(view: &View<'_>, candidates: &[(VmId, Heartbeat)]) -> RecordSource {
    let ahead = candidates.iter().filter(|(_, last)| last.next > view.next);
    ahead
        .max_by_key(|(_, last)| last.next)
        .map_or(RecordSource::Log, |(vm, _)| RecordSource::Peer(*vm))
}
