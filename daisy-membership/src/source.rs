//! Selects where an entry VM reads the records of the log from.
//!
//! One entry VM of a data centre reads the log across the region link and forwards the records
//! to the others, because traffic on that link is charged by the byte.

use std::fmt;

use daisy_model::{Instant, Offset, VmId};

use crate::{Heartbeat, Options, Peers};

/// Where the records of the log are read from.
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

/// The inputs of the selection.
#[derive(Debug)]
pub(crate) struct SourceInputs<'a> {
    pub options: &'a Options,
    pub peers: &'a Peers,
    pub holder: Option<VmId>,
    /// Whether half of the holder's timeout has passed without a heartbeat.
    pub is_holder_overdue: bool,
    pub next: Offset,
    pub log_answers: bool,
}

/// The selected source, and the reasons for which a peer may be excluded as source.
#[derive(Debug)]
pub(crate) struct SourceSelector {
    source: RecordSource,
    /// A peer that made no progress, and until when it is not selected.
    excluded: Option<(VmId, Instant)>,
    /// Since when a live peer has been ahead of this process, and the own offset at that time.
    behind_since: Option<(Instant, Offset)>,
}

impl SourceSelector {
    /// Returns the initial state, which reads from the log.
    pub fn new() -> SourceSelector {
        SourceSelector { source: RecordSource::Log, excluded: None, behind_since: None }
    }

    /// Returns where records are read from.
    pub fn source(&self) -> RecordSource {
        self.source
    }

    /// Excludes a peer for twice the log timeout.
    pub fn exclude(&mut self, now: Instant, options: &Options, peer: VmId) {
        self.excluded = Some((peer, now + options.log_timeout() * 2));
    }

    /// Selects the source again; returns it if it has changed.
    pub fn try_update(&mut self, now: Instant, inputs: &SourceInputs<'_>) -> Option<RecordSource> {
        self.detect_stall(now, inputs);
        let excluded = self.excluded.filter(|(_, until)| now < *until).map(|(vm, _)| vm);
        let source = choose(now, inputs, excluded);
        let changed = source != self.source;
        self.source = source;
        changed.then_some(source)
    }

    /// Excludes the source if it makes no progress.
    ///
    /// Guard: the reads of a parent may block while it still sends heartbeats. All VMs below it in
    /// the tree would then stay behind, and a new configuration would not come into force there. A
    /// VM that makes no progress for the holder timeout while a live peer is ahead changes its
    /// source.
    fn detect_stall(&mut self, now: Instant, inputs: &SourceInputs<'_>) {
        let RecordSource::Peer(parent) = self.source else {
            self.behind_since = None;
            return;
        };
        let mut local = inputs.peers.live_local_peers(inputs.options, now);
        if !local.any(|(_, peer)| peer.last_heartbeat.is_some_and(|last| last.next > inputs.next)) {
            self.behind_since = None;
            return;
        }
        match self.behind_since {
            Some((since, at)) if at == inputs.next => {
                if now.since(since) >= inputs.options.holder_timeout {
                    self.behind_since = None;
                    self.exclude(now, inputs.options, parent);
                }
            }
            _ => self.behind_since = Some((now, inputs.next)),
        }
    }
}

/// The most peers that read from one entry VM.
///
/// If all peers read from the reader, it would send each record seven times in a data centre of
/// eight. With two, no VM sends more than twice what it reads, and the tree of eight is three
/// levels deep.
const MAX_CHILDREN: usize = 2;

/// Selects the source. The holder, or the live peer with the lowest id that reads the log, reads
/// it for all. The others form a tree below it in the order of their ids, and each reads from its
/// parent. While the log does not answer, the most advanced peer is the source.
fn choose(now: Instant, inputs: &SourceInputs<'_>, excluded: Option<VmId>) -> RecordSource {
    let own = inputs.options.vm;
    let candidates: Vec<(VmId, Heartbeat)> = inputs
        .peers
        .live_local_peers(inputs.options, now)
        .filter(|(vm, peer)| !peer.is_leaving() && Some(*vm) != excluded)
        .filter_map(|(vm, peer)| peer.last_heartbeat.map(|last| (vm, last)))
        .collect();
    let own_reading =
        if inputs.log_answers { RecordSource::Log } else { most_advanced(inputs, &candidates) };
    // A VM that may have to claim must read the log directly before the timeout is over.
    if inputs.holder == Some(own) || inputs.is_holder_overdue {
        return own_reading;
    }
    let readers = candidates.iter().filter(|(_, last)| last.reads_log).map(|(vm, _)| *vm);
    let Some(reader) = readers.min_by_key(|vm| (Some(*vm) != inputs.holder, *vm)) else {
        return own_reading;
    };
    if Some(reader) != inputs.holder && own < reader && inputs.log_answers {
        return RecordSource::Log;
    }
    RecordSource::Peer(parent(own, reader, &candidates))
}

/// Returns the parent of `own` in the tree below `reader`.
///
/// All VMs use the same order, the reader first and then by id. A parent therefore always precedes
/// its children, and no cycle can form as long as the VMs agree on the candidates.
fn parent(own: VmId, reader: VmId, candidates: &[(VmId, Heartbeat)]) -> VmId {
    let before = candidates.iter().map(|(vm, _)| *vm).filter(|vm| *vm < own && *vm != reader);
    let mut order = vec![reader];
    order.extend(before);
    order[(order.len() - 1) / MAX_CHILDREN]
}

/// Returns the candidate that is furthest ahead of this process; the log if none is.
fn most_advanced(inputs: &SourceInputs<'_>, candidates: &[(VmId, Heartbeat)]) -> RecordSource {
    let ahead = candidates.iter().filter(|(_, last)| last.next > inputs.next);
    ahead
        .max_by_key(|(_, last)| last.next)
        .map_or(RecordSource::Log, |(vm, _)| RecordSource::Peer(*vm))
}
