//! Where an entry VM reads the log's records from.
//!
//! One entry VM of a data centre reads the log across the region link and passes the records
//! on, because every byte across that link is paid for.

use daisy_model::{Instant, Offset, VmId};

use crate::{Options, Peers};

/// Where records come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another entry VM of the data centre.
    Peer(VmId),
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
    /// A peer that made no progress, and until when it is left aside.
    pub avoided: Option<(VmId, Instant)>,
}

/// Chooses the source: the holder or the lowest live peer that reads the log, else the log,
/// and while that gives no answer the peer that knows most.
pub(crate) fn choose(now: Instant, view: &View<'_>) -> Source {
    let own = view.options.vm;
    let avoided = |vm: VmId| view.avoided.is_some_and(|(it, until)| it == vm && now < until);
    let candidates = || {
        view.peers
            .live_near(view.options, now)
            .filter(|(vm, peer)| !peer.leaving() && !avoided(*vm))
            .filter_map(|(vm, peer)| peer.last.map(|last| (vm, last)))
    };
    // Whoever may have to claim needs the log at first hand before the timeout is over.
    if view.holder == Some(own) || view.holder_silent {
        return if view.log_answers { Source::Log } else { most_advanced(view, candidates()) };
    }
    let reader = candidates()
        .filter(|(_, last)| last.reads_log)
        .map(|(vm, _)| vm)
        .min_by_key(|vm| (Some(*vm) != view.holder, *vm));
    match reader {
        Some(vm) if Some(vm) == view.holder || vm < own => Source::Peer(vm),
        _ if view.log_answers => Source::Log,
        Some(vm) => Source::Peer(vm),
        None => most_advanced(view, candidates()),
    }
}

fn most_advanced(
    view: &View<'_>,
    candidates: impl Iterator<Item = (VmId, crate::Heartbeat)>,
) -> Source {
    candidates
        .filter(|(_, last)| last.next > view.next)
        .max_by_key(|(_, last)| last.next)
        .map_or(Source::Log, |(vm, _)| Source::Peer(vm))
}
