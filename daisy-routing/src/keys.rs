//! At-most-once execution: the keys for which an entry VM is the home.
//!
//! In each data centre, one live entry VM is the home of a key, chosen by rendezvous hashing. It
//! grants the key to one claim and stores the key, its state and its answer for the retry window. A
//! first attempt needs only the grant of its home, because callers number their attempts and send
//! each of them once. A repeated attempt also needs a confirmation from the home in every other
//! data centre that the key has not run there and never will ([`KeyQuery::Fence`]). A home whose
//! own history is incomplete gives no such confirmation.

use std::time::Duration;

use daisy_model::{DcId, Instant, VmId};

use crate::{
    ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyQuery, Routes, TransferredKey, digest,
    keys::{
        history::{History, HistorySummary},
        membership::Membership,
        store::{Store, StoredKey, StoredState},
    },
    weight,
};

pub use self::history::HistoryGap;

mod history;
mod membership;
mod store;

/// Maximum number of keys in one handover message.
const MAX_HANDOVER_KEYS: usize = 64;
/// Size of the answers in a handover message, in bytes, at which the message is sent.
const MAX_HANDOVER_BYTES: usize = 256 << 10;

/// Limits of a [`KeyTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLimits {
    /// Maximum number of stored keys. Beyond it new keys are rejected; no key is removed early.
    pub keys: usize,
    /// Maximum size of the stored answers in bytes. Beyond it only the fact that a key was answered
    /// is stored.
    pub bytes: usize,
}

/// The keys of one entry VM.
#[derive(Debug)]
pub struct KeyTable {
    own_vm: VmId,
    retry_window: Duration,
    membership: Membership,
    history: History,
    store: Store,
    leaving: bool,
}

impl KeyTable {
    /// Creates an empty table for the entry VM `own_vm`, whose process starts at `now`.
    pub fn new(own_vm: VmId, limits: KeyLimits, now: Instant) -> KeyTable {
        KeyTable {
            own_vm,
            retry_window: Routes::default().policy.retry_window,
            membership: Membership::default(),
            history: History::new(now),
            store: Store::new(limits),
            leaving: false,
        }
    }

    /// Applies new routes; returns the handover messages with their recipients.
    ///
    /// Must be called at each change and about once a second, because a listed entry VM that does
    /// not answer is treated as missing only after a while.
    pub fn set_routes(&mut self, now: Instant, routes: &Routes) -> Vec<(VmId, KeyQuery)> {
        self.observe_time(now);
        self.retry_window = routes.policy.retry_window;
        let joined = self.membership.update(now, self.own_vm, routes);
        self.history.update_members(now, self.own_vm, &self.membership, &joined);
        joined.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    /// Advances the time. Must be called several times a second, because a longer pause is treated
    /// as a freeze of the process.
    pub fn observe_time(&mut self, now: Instant) {
        self.history.observe_time(now);
        self.store.expire(now, self.retry_window);
    }

    /// Returns the gaps in this table's history that were recorded since the last call.
    pub fn take_history_gaps(&mut self) -> Vec<HistoryGap> {
        self.history.take_gaps()
    }

    /// Returns the entry VMs of the data centre `dc` that may be the home of `key`, the likeliest
    /// first, by the routes that this entry VM knows.
    pub fn candidate_homes(&self, dc: DcId, key: &KeyId) -> Vec<VmId> {
        self.membership.candidate_homes(dc, key)
    }

    /// Returns the local data centre.
    pub fn dc(&self) -> DcId {
        self.membership.dc()
    }

    /// Returns the other data centres whose confirmation a repeated attempt needs: all that have
    /// entry VMs now or had any within the retry window.
    pub fn other_dcs(&self, now: Instant) -> Vec<DcId> {
        self.membership.other_dcs(now, self.retry_window)
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Returns whether no keys are stored.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// Returns whether the table knows everything that happened to its keys in the retry window.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.history.is_complete(now, self.retry_window)
    }

    /// Handles a query of the entry VM `from`, which may be this one.
    pub fn handle(&mut self, now: Instant, from: VmId, query: KeyQuery) -> KeyAnswer {
        self.observe_time(now);
        match query {
            KeyQuery::Handover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
                time_since_gap,
            } => {
                self.merge_transferred(now, keys);
                if last {
                    self.history.record_handover(
                        now,
                        from,
                        HistorySummary {
                            complete_in_window,
                            only_gap_is_before_start,
                            leaving,
                            time_since_gap,
                        },
                    );
                    self.membership.set_departed(from, leaving);
                    self.membership.add_seen_by_handover(from);
                }
                KeyAnswer::Acknowledged
            }
            KeyQuery::Claim { key, request_digest, claim, repeated, claim_timeout } => {
                let kind = self.claim_kind(now, repeated);
                let claimed = StoredKey::running(request_digest, claim, kind, now + claim_timeout);
                self.claim(now, key, claimed, kind)
            }
            KeyQuery::Fence { key, request_digest, repeated } => {
                self.fence(now, key, request_digest, repeated)
            }
            KeyQuery::Finish { key, claim, end } => self.finish(now, key, claim, end),
        }
    }

    /// Stops acting as a home for a planned stop; returns the handover messages with their
    /// recipients.
    pub fn start_handover(&mut self, now: Instant) -> Vec<(VmId, KeyQuery)> {
        self.leaving = true;
        self.membership.set_departed(self.own_vm, true);
        let peers = self.membership.peers(self.own_vm);
        peers.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    fn is_home(&self, key: &KeyId) -> bool {
        !self.leaving && self.membership.home(key) == Some(self.own_vm)
    }

    /// Returns the kind of a new claim.
    ///
    /// Prevents a delayed first attempt from running after its repeat fenced the previous home and
    /// ran elsewhere: the fence was lost with that home, so a home whose history is incomplete
    /// grants first attempts only if the other data centres agree.
    fn claim_kind(&self, now: Instant, repeated: bool) -> ClaimKind {
        if repeated {
            ClaimKind::Repeated
        } else if self.history.is_complete(now, self.retry_window) || self.history.is_cold_start() {
            ClaimKind::First
        } else {
            ClaimKind::Conditional
        }
    }

    fn claim(
        &mut self,
        now: Instant,
        key: KeyId,
        claimed: StoredKey,
        kind: ClaimKind,
    ) -> KeyAnswer {
        if !self.is_home(&key) {
            return KeyAnswer::NotHome;
        }
        // Prevents a repeated attempt from running a second time because this home does not know of
        // the first attempt, which happens after the old home was killed, frozen or cut off. With
        // an incomplete history, a fence at this home proves nothing either: another home may have
        // granted the key since.
        let is_complete = self.history.is_complete(now, self.retry_window);
        if let Some(stored) = self.store.get_mut(&key) {
            return stored.claim(claimed, kind == ClaimKind::Repeated && is_complete);
        }
        if kind == ClaimKind::Repeated && !is_complete {
            return KeyAnswer::Unknown;
        }
        self.insert_new(now, key, claimed, kind.grant_answer())
    }

    fn fence(
        &mut self,
        now: Instant,
        key: KeyId,
        request_digest: u64,
        repeated: bool,
    ) -> KeyAnswer {
        if !self.is_home(&key) {
            return KeyAnswer::NotHome;
        }
        let expires_at = now + self.retry_window;
        let is_complete = self.history.is_complete(now, self.retry_window);
        if let Some(stored) = self.store.get_mut(&key) {
            return stored.fence(request_digest, repeated, is_complete, expires_at);
        }
        if !is_complete {
            return KeyAnswer::Unknown;
        }
        // Prevents a delayed first attempt from running here after the repeated attempt has run
        // elsewhere.
        let stored_state = StoredState::Fenced { by_repeat: repeated };
        let fenced = StoredKey { request_digest, stored_state, expires_at };
        self.insert_new(now, key, fenced, KeyAnswer::Fenced)
    }

    fn insert_new(
        &mut self,
        now: Instant,
        key: KeyId,
        stored: StoredKey,
        answer: KeyAnswer,
    ) -> KeyAnswer {
        if !self.history.is_settled(now) {
            return KeyAnswer::Settling;
        }
        if self.store.try_insert(key, stored) { answer } else { KeyAnswer::Full }
    }

    fn finish(&mut self, now: Instant, key: KeyId, claim: ClaimId, end: ClaimEnd) -> KeyAnswer {
        let expires_at = now + self.retry_window;
        if !self.is_home(&key) {
            // Otherwise the copy at this entry VM would reappear as a running claim with the next
            // handover.
            if end == ClaimEnd::NotRun {
                self.store.finish(&key, claim, end, expires_at);
            }
            return KeyAnswer::NotHome;
        }
        // Prevents the loss of an answer that arrives before the key that the old home transfers:
        // its repeat would be told that the outcome is unknown.
        if self.store.get_mut(&key).is_none() && !self.history.is_settled(now) {
            return KeyAnswer::Settling;
        }
        self.store.finish(&key, claim, end, expires_at);
        KeyAnswer::Acknowledged
    }

    fn merge_transferred(&mut self, now: Instant, keys: Vec<TransferredKey>) {
        for transferred in keys {
            let TransferredKey { key, request_digest, state, remaining_retention } = transferred;
            let stored = StoredKey {
                request_digest,
                stored_state: StoredState::from(state),
                expires_at: now + remaining_retention,
            };
            self.store.merge(key, stored);
        }
    }

    /// Returns the keys of which `peer` may consider itself the home, in messages of bounded size
    /// that must be sent one after another. The last message marks the handover as complete.
    ///
    /// Prevents a request from running twice. `peer` may not know yet that a third entry VM is the
    /// home of a key; it then considers itself the home and treats its own history as complete. A
    /// joining entry VM therefore gets all keys for which it precedes this one, and in a planned
    /// stop every peer gets all keys.
    ///
    /// The keys also stay stored here until they expire, because a home that joins later must still
    /// receive them.
    fn handover_to(&self, now: Instant, peer: VmId) -> Vec<(VmId, KeyQuery)> {
        let mut messages = Vec::new();
        let mut keys = Vec::new();
        let mut bytes = 0;
        for (key, stored) in self.store.iter() {
            if !self.leaving && !outranks(key, peer, self.own_vm) {
                continue;
            }
            bytes += stored.bytes();
            keys.push(stored.to_transferred(key, now));
            if keys.len() >= MAX_HANDOVER_KEYS || bytes >= MAX_HANDOVER_BYTES {
                messages.push((peer, self.handover_message(now, std::mem::take(&mut keys), false)));
                bytes = 0;
            }
        }
        messages.push((peer, self.handover_message(now, keys, true)));
        messages
    }

    fn handover_message(&self, now: Instant, keys: Vec<TransferredKey>, last: bool) -> KeyQuery {
        let complete_in_window = self.history.is_complete(now, self.retry_window);
        let only_gap_is_before_start = self.history.only_gap_is_before_start();
        let has_gap = self.leaving && !complete_in_window;
        let time_since_gap = if has_gap { self.history.time_since_gap(now) } else { None };
        KeyQuery::Handover {
            keys,
            last,
            complete_in_window,
            only_gap_is_before_start,
            leaving: self.leaving,
            time_since_gap,
        }
    }
}

/// Returns whether `a` precedes `b` as the home of `key`.
fn outranks(key: &KeyId, a: VmId, b: VmId) -> bool {
    let item = digest(key.key.as_bytes());
    (weight(item, a.0), a) > (weight(item, b.0), b)
}
