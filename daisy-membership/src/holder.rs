//! Which entry VM is the holder of the data centre, and when to claim the data centre.

use std::{collections::VecDeque, time::Duration};

use daisy_model::{Epoch, Instant, Offset, VmId};

use crate::{HolderEvidence, Options, Peers};

/// The newest claim of a data centre in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderClaim {
    /// The entry VM that made the claim.
    pub holder: VmId,
    /// The fencing token of the claim.
    pub epoch: Epoch,
    /// Whether the claim was released.
    pub released: bool,
}

/// The role of an entry VM towards the workers of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Sends nothing to the workers.
    Idle,
    /// Places and stops tasks under this epoch.
    Holder(Epoch),
    /// Renews the leases of running tasks under this epoch, and starts nothing.
    ///
    /// A holder takes this role while it cannot confirm that it still is the holder. The first live
    /// candidate takes it when the holder has timed out and the log does not answer, so that no
    /// claim can be made.
    LeaseRenewer(Epoch),
}

/// The most heartbeats whose send time is remembered.
const MAX_REMEMBERED_HEARTBEATS: usize = 64;

/// What one entry VM knows of the holder of its data centre.
#[derive(Debug, Default)]
pub(crate) struct HolderState {
    pub holder_claim: Option<HolderClaim>,
    /// The newest known heartbeat of the holder.
    pub evidence: Option<HolderEvidence>,
    /// When this process last learned that the holder was alive.
    pub holder_seen_at: Instant,
    /// The offset of the next record to fold when this process first claimed.
    first_claim_offset: Option<Offset>,
    /// Whether a claim is being appended.
    pub is_claiming: bool,
    /// No further claim is made before this time.
    pub claim_after: Instant,
    /// When the latest read was sent by which this process was at the end of the log.
    pub confirmed_by_log_at: Option<Instant>,
    /// The sequence numbers of recent heartbeats of this process, and when they were sent.
    sent_heartbeats: VecDeque<(u32, Instant)>,
    confirmed_by_peer_at: Option<Instant>,
}

impl HolderState {
    /// Returns the state of a process that knows of no holder; timeouts start at `now`.
    pub fn new(now: Instant, options: &Options) -> HolderState {
        HolderState {
            holder_seen_at: now,
            claim_after: now + options.discovery_time(),
            ..HolderState::default()
        }
    }

    /// Returns how long ago the holder was last known to be alive.
    pub fn time_since_holder_seen(&self, now: Instant) -> Duration {
        now.since(self.holder_seen_at)
    }

    /// Returns the epoch of the current claim if this process made it.
    ///
    /// Guard: after a restart on the same VM, the log still names the VM as holder, by a claim of
    /// the previous process. The new process does not know the orders given under that claim, so
    /// a task could be started twice. Only a claim that lies after the offset at which this process
    /// first claimed is treated as its own.
    pub fn own_epoch(&self, options: &Options) -> Option<Epoch> {
        let holder_claim =
            self.holder_claim.filter(|it| !it.released && it.holder == options.vm)?;
        let first_claim = self.first_claim_offset?;
        (holder_claim.epoch.0 > first_claim.0).then_some(holder_claim.epoch)
    }

    /// Records the newest claim in the log.
    pub fn update_claim(&mut self, now: Instant, holder_claim: Option<HolderClaim>) {
        if holder_claim == self.holder_claim {
            return;
        }
        self.holder_claim = holder_claim;
        // The timeout of a new holder starts when its claim is read.
        self.holder_seen_at = now;
        if self.evidence.is_some_and(|it| Some(it.epoch) != holder_claim.map(|it| it.epoch)) {
            self.evidence = None;
        }
    }

    /// Records evidence that the holder is alive; evidence that is not newer is ignored.
    pub fn record_evidence(&mut self, now: Instant, evidence: HolderEvidence) {
        if Some(evidence.epoch) != self.holder_claim.map(|it| it.epoch) {
            return;
        }
        if self.evidence.is_none_or(|known| known < evidence) {
            self.evidence = Some(evidence);
            self.holder_seen_at = now;
        }
    }

    /// Records that the heartbeats numbered `seq` were sent at `now`.
    pub fn record_sent(&mut self, now: Instant, seq: u32) {
        if self.sent_heartbeats.len() == MAX_REMEMBERED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((seq, now));
    }

    /// Records that a peer has received this process's heartbeat `seq`.
    pub fn record_echo(&mut self, seq: u32) {
        let sent = self.sent_heartbeats.iter().find(|(it, _)| *it == seq).map(|(_, at)| *at);
        self.confirmed_by_peer_at = self.confirmed_by_peer_at.max(sent);
    }

    /// Returns whether this process, as holder, can confirm at `now` that it still is the holder.
    ///
    /// Guard: a holder that was paused, or is disconnected from all peers and the log, may have
    /// been replaced without knowing. Its lease runs from the time at which it *sent* what was
    /// answered: a read that reached the end of the log and found no newer claim, or a heartbeat
    /// that a peer echoed. The lease thus expires during a pause, whatever arrives after it.
    pub fn is_confirmed(&self, options: &Options, peers: &Peers, now: Instant) -> bool {
        let is_current = |at: Instant| now.since(at) < options.holder_timeout;
        let has_no_peers = !peers.iter().any(|(_, peer)| peer.dc == options.dc && peer.listed);
        has_no_peers
            || self.confirmed_by_log_at.is_some_and(is_current)
            || self.confirmed_by_peer_at.is_some_and(is_current)
    }

    /// Returns whether the data centre has no holder that is known to be alive.
    pub fn is_vacant(&self, options: &Options, now: Instant) -> bool {
        match self.holder_claim {
            None => true,
            Some(it) if it.released => true,
            // A claim that a previous process of this VM made.
            Some(it) if it.holder == options.vm => self.own_epoch(options).is_none(),
            Some(_) => now.since(self.holder_seen_at) >= options.holder_timeout,
        }
    }

    /// Returns when this entry VM, at position `rank` among the candidates, may claim a vacant
    /// data centre.
    pub fn claim_time(&self, options: &Options, rank: u32) -> Instant {
        let is_vacant_by_timeout =
            self.holder_claim.is_some_and(|it| !it.released && it.holder != options.vm);
        let vacant_from = if is_vacant_by_timeout {
            self.holder_seen_at + options.holder_timeout
        } else {
            self.holder_seen_at
        };
        vacant_from.max(self.claim_after) + options.claim_stagger() * rank
    }

    /// Records that a claim is sent while `next` is the offset of the next record to fold.
    pub fn claim(&mut self, next: Offset) {
        self.is_claiming = true;
        self.first_claim_offset.get_or_insert(next);
    }
}
