//! When an entry VM that has just started accepts callers.

use daisy_model::{Instant, Offset};

use crate::{Options, Peers, Status};

/// What an entry VM must know before it is ready.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    /// Whether a VM list was received, from the platform or from a peer.
    pub has_vm_list: bool,
    /// The end of the log at its first answer.
    pub log_end: Option<Offset>,
}

impl Readiness {
    /// Returns whether the fold, whose next offset is `next`, has caught up with the data centre.
    ///
    /// Guard: a new VM that accepted callers with an older configuration than its peers would
    /// appear to revert an accepted configuration for those callers. It waits until it has folded
    /// up to the end of the log as of the first answer or, if the log has not answered, up to the
    /// most advanced ready peer.
    pub fn has_caught_up(
        &self,
        options: &Options,
        peers: &Peers,
        now: Instant,
        started_at: Instant,
        next: Offset,
    ) -> bool {
        if !self.has_vm_list || now.since(started_at) < options.discovery_time() {
            return false;
        }
        let newest_ready_offset = peers
            .live_local_peers(options, now)
            .filter_map(|(_, peer)| peer.last_heartbeat)
            .filter(|last| last.status == Status::Ready)
            .map(|last| last.next)
            .max();
        match (self.log_end, newest_ready_offset) {
            (Some(end), _) => next >= end,
            (None, Some(newest_ready_offset)) => next >= newest_ready_offset,
            (None, None) => false,
        }
    }
}
