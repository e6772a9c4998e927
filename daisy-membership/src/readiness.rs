//! When a fresh entry VM takes callers.

use daisy_model::{Instant, Offset};

use crate::{Options, Peers, Status};

/// What a fresh entry VM has learnt so far.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    /// Whether a VM list came, from the platform or a peer.
    pub listed: bool,
    /// The log's end when it first answered.
    pub log_end: Option<Offset>,
}

impl Readiness {
    /// Whether `next` is as far as what the data centre has.
    ///
    /// Guard: a fresh VM that took callers with an older configuration than its peers would
    /// make an accepted configuration go back for those callers. It waits for the log's end
    /// as of its first answer, and for the furthest ready peer that it hears.
    pub fn reached(
        &self,
        options: &Options,
        peers: &Peers,
        now: Instant,
        started: Instant,
        next: Offset,
    ) -> bool {
        if !self.listed || now.since(started) < options.settle() {
            return false;
        }
        let known = peers
            .live_local_peers(options, now)
            .filter_map(|(_, peer)| peer.last)
            .filter(|last| last.status == Status::Ready)
            .map(|last| last.next)
            .max();
        match (self.log_end, known) {
            (Some(end), _) => next >= end,
            (None, Some(known)) => next >= known,
            (None, None) => false,
        }
    }
}
