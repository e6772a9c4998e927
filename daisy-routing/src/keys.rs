//! At most once: what an entry VM keeps of the keys whose home it is.
//!
//! In each data centre one live entry VM is a key's home, by rendezvous hashing. It grants a key
//! to one claim and keeps the key, its state and its answer for the retry retry_window. A first attempt
//! needs its home's grant only, as callers number their attempts and send each once. A repeated
//! attempt also needs the word of every other data centre's home that the key has not run there
//! and never will ([`KeyQuery::Fence`]); a home that cannot vouch for its past gives no such word.

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

mod history;
mod membership;
mod store;

/// Keys in one handover message.
const MAX_HANDOVER_KEYS: usize = 64;
/// Bytes of answers in one handover message, beyond which it is sent.
const MAX_HANDOVER_BYTES: usize = 256 << 10;

/// What bounds a [`KeyTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLimits {
    /// Keys kept at one time; beyond it new keys are refused, and none is forgotten early.
    pub keys: usize,
    /// Bytes of answers kept at one time; beyond it only the fact that a key was answered is kept.
    pub bytes: usize,
}

/// The keys of one entry VM.
#[derive(Debug)]
pub struct KeyTable {
    me: VmId,
    retry_window: Duration,
    membership: Membership,
    history: History,
    store: Store,
    leaving: bool,
}

impl KeyTable {
    /// An empty table of the entry VM `me`, whose process starts `now`.
    pub fn new(me: VmId, limits: KeyLimits, now: Instant) -> KeyTable {
        KeyTable {
            me,
            retry_window: Routes::default().policy.retry_window,
            membership: Membership::default(),
            history: History::new(now),
            store: Store::new(limits),
            leaving: false,
        }
    }

    /// Takes in who is there; returns what has to be handed over to whom.
    ///
    /// To be called at each change and about once a second, as what is listed and does not answer
    /// counts as missing only after a while.
    pub fn set_routes(&mut self, now: Instant, routes: &Routes) -> Vec<(VmId, KeyQuery)> {
        self.observe_time(now);
        self.retry_window = routes.policy.retry_window;
        let joined = self.membership.update(now, self.me, routes);
        self.history.update_members(now, self.me, &self.membership, &joined);
        joined.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    /// Lets time pass; to be called several times a second, as silence counts as a freeze.
    pub fn observe_time(&mut self, now: Instant) {
        self.history.observe_time(now);
        self.store.expire(now, self.retry_window);
    }

    /// The home of `key` in the data centre `dc` as this entry VM sees it, the likeliest first.
    pub fn candidate_homes(&self, dc: DcId, key: &KeyId) -> Vec<VmId> {
        self.membership.candidate_homes(dc, key)
    }

    /// The own data centre.
    pub fn dc(&self) -> DcId {
        self.membership.dc()
    }

    /// The other data centres that have to give their word for a repeated attempt: all that have
    /// entry VMs, or had some within the retry retry_window.
    pub fn other_dcs(&self, now: Instant) -> Vec<DcId> {
        self.membership.other_dcs(now, self.retry_window)
    }

    /// Keys kept.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no keys are kept.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// Whether the table is_complete for all that happened to its keys in the retry retry_window.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.history.is_complete(now, self.retry_window)
    }

    /// Answers a question or carries out an order of the entry VM `from`, which may be this one.
    pub fn handle(&mut self, now: Instant, from: VmId, query: KeyQuery) -> KeyAnswer {
        self.observe_time(now);
        match query {
            KeyQuery::Handover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
            } => {
                self.merge_transferred(now, keys);
                if last {
                    self.history.record_handover(
                        now,
                        from,
                        HistorySummary { complete_in_window, only_gap_is_before_start, leaving },
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
            KeyQuery::Fence { key, request_digest } => self.fence(now, key, request_digest),
            KeyQuery::Finish { key, claim, end } => self.finish(now, key, claim, end),
        }
    }

    /// Stops being a home; returns what has to be handed over to whom.
    pub fn leave(&mut self, now: Instant) -> Vec<(VmId, KeyQuery)> {
        self.leaving = true;
        self.membership.set_departed(self.me, true);
        let peers = self.membership.peers(self.me);
        peers.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    fn is_home(&self, key: &KeyId) -> bool {
        !self.leaving && self.membership.home(key) == Some(self.me)
    }

    /// What a new claim would rest on.
    ///
    /// Guards against a first attempt that was held up on its way, while its repeat fenced the home
    /// before this one and ran elsewhere: the fence died with that home, so that a home which does
    /// not vouch for its past grants first attempts only if the other data centres do too.
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
        // Guards against a repeated attempt that runs a second time because this home does not
        // know of the first: it shows after the old home was killed, frozen or cut off. A fence of
        // its own proves no more than its past does: another home may have granted it since.
        let is_complete = self.history.is_complete(now, self.retry_window);
        if let Some(stored) = self.store.get_mut(&key) {
            return stored.claim(claimed, kind == ClaimKind::Repeated && is_complete);
        }
        if kind == ClaimKind::Repeated && !is_complete {
            return KeyAnswer::Unknown;
        }
        self.insert_new(now, key, claimed, kind.grant_answer())
    }

    fn fence(&mut self, now: Instant, key: KeyId, request_digest: u64) -> KeyAnswer {
        if !self.is_home(&key) {
            return KeyAnswer::NotHome;
        }
        let expires_at = now + self.retry_window;
        let is_complete = self.history.is_complete(now, self.retry_window);
        if let Some(stored) = self.store.get_mut(&key) {
            return stored.fence(request_digest, is_complete, expires_at);
        }
        if !is_complete {
            return KeyAnswer::Unknown;
        }
        // Guards against a first attempt that was delayed on its way here: it must not run after
        // the repeated one has run elsewhere.
        let fenced = StoredKey { request_digest, stored_state: StoredState::Fenced, expires_at };
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
            // Its copy would come back as a claim that runs with the next handover.
            if end == ClaimEnd::NotRun {
                self.store.finish(&key, claim, end, expires_at);
            }
            return KeyAnswer::NotHome;
        }
        // Guards against an answer that is forgotten because it came before the key that the old
        // home hands over: its repeat would be told that nobody knows.
        if self.store.get_mut(&key).is_none() && !self.history.is_settled(now) {
            return KeyAnswer::Settling;
        }
        self.store.finish(&key, claim, end, expires_at);
        KeyAnswer::Acknowledged
    }

    fn merge_transferred(&mut self, now: Instant, keys: Vec<TransferredKey>) {
        for handed in keys {
            let TransferredKey { key, request_digest, state, remaining_retention } = handed;
            let stored = StoredKey {
                request_digest,
                stored_state: StoredState::from(state),
                expires_at: now + remaining_retention,
            };
            self.store.merge(key, stored);
        }
    }

    /// The keys of which `peer` may take itself for the home, in messages of bounded size, to be
    /// sent one after another; the last tells the peer that nothing is kept back.
    ///
    /// Guards against an order that runs twice because its new home, known here, is not known yet
    /// to `peer`, which takes itself for the home and is_complete: a joining entry VM gets all keys for
    /// which it goes before this one, and in a planned stop everybody gets all.
    ///
    /// They are kept here too, for as long as they count: a home that joins later and that this
    /// entry VM hears of later still has to learn of them.
    fn handover_to(&self, now: Instant, peer: VmId) -> Vec<(VmId, KeyQuery)> {
        let mut messages = Vec::new();
        let mut keys = Vec::new();
        let mut bytes = 0;
        for (key, stored) in self.store.iter() {
            if !self.leaving && !outranks(key, peer, self.me) {
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
        KeyQuery::Handover {
            keys,
            last,
            complete_in_window,
            only_gap_is_before_start,
            leaving: self.leaving,
        }
    }
}

/// Whether `a` goes before `b` for `key`.
fn outranks(key: &KeyId, a: VmId, b: VmId) -> bool {
    let item = digest(key.key.as_bytes());
    (weight(item, a.0), a) > (weight(item, b.0), b)
}
