//! Who holds the data centre's workers, and when to claim them.

use std::{collections::VecDeque, time::Duration};

use daisy_model::{Epoch, Instant, Offset, VmId};

use crate::{Evidence, Options, Peers};

/// The holder of a data centre as the log tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderClaim {
    /// The entry VM.
    pub holder: VmId,
    /// Its fencing token.
    pub epoch: Epoch,
    /// Whether it has given the data centre up.
    pub released: bool,
}

/// What an entry VM does for the workers of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Nothing.
    Idle,
    /// It decides under the epoch.
    Holder(Epoch),
    /// It renews the leases of what runs under the epoch, and starts nothing.
    ///
    /// Taken by a holder that cannot show that it still is one, and by the first live peer
    /// of a dead holder as long as the log takes no claim.
    LeaseRenewer(Epoch),
}

/// Numbered heartbeats whose time of sending is remembered.
const REMEMBERED_BEATS: usize = 64;

/// The state of the holding as one entry VM sees it.
#[derive(Debug, Default)]
pub(crate) struct Tenure {
    pub holder_claim: Option<HolderClaim>,
    /// The newest heartbeat of the holder, and when this process learnt of it.
    pub evidence: Option<Evidence>,
    pub sign: Instant,
    /// The end of the fold when this process first claimed.
    claimed_from: Option<Offset>,
    /// A claim is on its way.
    pub claiming: bool,
    /// No further claim before.
    pub claim_after: Instant,
    /// When the read that last showed the log's end was sent.
    pub log_shown: Option<Instant>,
    sent: VecDeque<(u32, Instant)>,
    peer_shown: Option<Instant>,
}

impl Tenure {
    /// Nothing known; whatever is heard of counts from `now`.
    pub fn new(now: Instant, options: &Options) -> Tenure {
        Tenure { sign: now, claim_after: now + options.settle(), ..Tenure::default() }
    }

    /// How long the holder has given no sign of life.
    pub fn silent_for(&self, now: Instant) -> Duration {
        now.since(self.sign)
    }

    /// The holding, when this process made its claim.
    ///
    /// Guard: a restarted process finds itself named as holder by a claim of its former life.
    /// It knows nothing of the orders given then, so two starts of one task could cross. Only a
    /// claim later than the first one that this process sent counts as its own.
    pub fn own_epoch(&self, options: &Options) -> Option<Epoch> {
        let holder_claim =
            self.holder_claim.filter(|it| !it.released && it.holder == options.vm)?;
        let from = self.claimed_from?;
        (holder_claim.epoch.0 > from.0).then_some(holder_claim.epoch)
    }

    /// Takes the log's word.
    pub fn learn(&mut self, now: Instant, holder_claim: Option<HolderClaim>) {
        if holder_claim == self.holder_claim {
            return;
        }
        self.holder_claim = holder_claim;
        // A new holder has its whole lease from when its claim is read.
        self.sign = now;
        if self.evidence.is_some_and(|it| Some(it.epoch) != holder_claim.map(|it| it.epoch)) {
            self.evidence = None;
        }
    }

    /// Takes evidence of the holder in; older or equal evidence tells nothing.
    pub fn witness(&mut self, now: Instant, evidence: Evidence) {
        if Some(evidence.epoch) != self.holder_claim.map(|it| it.epoch) {
            return;
        }
        if self.evidence.is_none_or(|known| known < evidence) {
            self.evidence = Some(evidence);
            self.sign = now;
        }
    }

    /// Notes when the heartbeats numbered `seq` were sent.
    pub fn sent(&mut self, now: Instant, seq: u32) {
        if self.sent.len() == REMEMBERED_BEATS {
            self.sent.pop_front();
        }
        self.sent.push_back((seq, now));
    }

    /// A peer shows that it has heard the own heartbeat `seq`.
    pub fn echoed(&mut self, seq: u32) {
        let sent = self.sent.iter().find(|(it, _)| *it == seq).map(|(_, at)| *at);
        self.peer_shown = self.peer_shown.max(sent);
    }

    /// Whether an own holding can still be shown at `now`.
    ///
    /// Guard: a holder that was paused, or is cut off from everybody, may have been replaced
    /// without knowing. Its lease runs from when it *sent* what was answered: a read of the
    /// log's end without a newer claim, or a heartbeat that a peer echoed. A pause therefore
    /// uses the lease up, whatever arrives after it.
    pub fn shown(&self, options: &Options, peers: &Peers, now: Instant) -> bool {
        let fresh = |at: Instant| now.since(at) < options.holder_timeout;
        let alone = !peers.iter().any(|(_, peer)| peer.dc == options.dc && peer.listed);
        alone || self.log_shown.is_some_and(fresh) || self.peer_shown.is_some_and(fresh)
    }

    /// Whether the workers are without a holder that shows signs of life.
    pub fn vacant(&self, options: &Options, now: Instant) -> bool {
        match self.holder_claim {
            None => true,
            Some(it) if it.released => true,
            // A claim of a former life of this process.
            Some(it) if it.holder == options.vm => self.own_epoch(options).is_none(),
            Some(_) => now.since(self.sign) >= options.holder_timeout,
        }
    }

    /// When this entry VM, at `rank` among the candidates, claims a vacant holding.
    pub fn claim_at(&self, options: &Options, rank: u32) -> Instant {
        let silent = self.holder_claim.is_some_and(|it| !it.released && it.holder != options.vm);
        let vacant_from = if silent { self.sign + options.holder_timeout } else { self.sign };
        vacant_from.max(self.claim_after) + options.stagger() * rank
    }

    /// A claim goes out.
    pub fn claim(&mut self, next: Offset) {
        self.claiming = true;
        self.claimed_from.get_or_insert(next);
    }
}
