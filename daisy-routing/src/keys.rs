//! At most once: what an entry VM keeps of the keys whose home it is.
//!
//! In each data centre one live entry VM is a key's home, by rendezvous hashing. It grants a key
//! to one claim and keeps the key, its state and its answer for the retry window. A first attempt
//! needs its home's grant only, as callers number their attempts and send each once. A repeated
//! attempt also needs the word of every other data centre's home that the key has not run there
//! and never will ([`KeyQuery::Fence`]); a home that cannot vouch for its past gives no such word.

use std::time::Duration;

use daisy_model::{DcId, Instant, VmId};

use crate::{
    ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyQuery, Routes, TransferredKey, digest,
    keys::{
        past::{Past, Word},
        store::{Held, Holding, Store},
        view::View,
    },
    weight,
};

mod past;
mod store;
mod view;

/// Keys in one handover message.
const HANDOVER_KEYS: usize = 64;
/// Bytes of answers in one handover message, beyond which it is sent.
const HANDOVER_BYTES: usize = 256 << 10;

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
    window: Duration,
    view: View,
    past: Past,
    store: Store,
    leaving: bool,
}

impl KeyTable {
    /// An empty table of the entry VM `me`, whose process starts `now`.
    pub fn new(me: VmId, limits: KeyLimits, now: Instant) -> KeyTable {
        KeyTable {
            me,
            window: Routes::default().policy.retry_window,
            view: View::default(),
            past: Past::new(now),
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
        self.window = routes.policy.retry_window;
        let joined = self.view.update(now, self.me, routes);
        self.past.members_changed(now, self.me, &self.view, &joined);
        joined.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    /// Lets time pass; to be called several times a second, as silence counts as a freeze.
    pub fn observe_time(&mut self, now: Instant) {
        self.past.observe_time(now);
        self.store.expire(now, self.window);
    }

    /// The home of `key` in the data centre `dc` as this entry VM sees it, the likeliest first.
    pub fn candidate_homes(&self, dc: DcId, key: &KeyId) -> Vec<VmId> {
        self.view.candidate_homes(dc, key)
    }

    /// The own data centre.
    pub fn dc(&self) -> DcId {
        self.view.dc()
    }

    /// The other data centres that have to give their word for a repeated attempt: all that have
    /// entry VMs, or had some within the retry window.
    pub fn other_dcs(&self, now: Instant) -> Vec<DcId> {
        self.view.other_dcs(now, self.window)
    }

    /// Keys kept.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no keys are kept.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// Whether the table vouches for all that happened to its keys in the retry window.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.past.is_complete(now, self.window)
    }

    /// Answers a question or carries out an order of the entry VM `from`, which may be this one.
    pub fn handle(&mut self, now: Instant, from: VmId, query: KeyQuery) -> KeyAnswer {
        self.observe_time(now);
        match query {
            KeyQuery::Handover {
                keys,
                last,
                complete_in_window,
                complete_since_start,
                leaving,
            } => {
                self.take_over(now, keys);
                if last {
                    self.past.handed_over(
                        now,
                        from,
                        Word { complete_in_window, complete_since_start, leaving },
                    );
                    self.view.set_left(from, leaving);
                    self.view.set_shown(from);
                }
                KeyAnswer::Acknowledged
            }
            KeyQuery::Claim { key, request_digest, claim, repeated, claim_timeout } => {
                let kind = self.kind(now, repeated);
                let claimed = Held::running(request_digest, claim, kind, now + claim_timeout);
                self.claim(now, key, claimed, kind)
            }
            KeyQuery::Fence { key, request_digest } => self.fence(now, key, request_digest),
            KeyQuery::Finish { key, claim, end } => self.finish(now, key, claim, end),
        }
    }

    /// Stops being a home; returns what has to be handed over to whom.
    pub fn leave(&mut self, now: Instant) -> Vec<(VmId, KeyQuery)> {
        self.leaving = true;
        self.view.set_left(self.me, true);
        let peers = self.view.peers(self.me);
        peers.into_iter().flat_map(|peer| self.handover_to(now, peer)).collect()
    }

    fn is_home(&self, key: &KeyId) -> bool {
        !self.leaving && self.view.home(key) == Some(self.me)
    }

    /// What a new claim would rest on.
    ///
    /// Guards against a first attempt that was held up on its way, while its repeat fenced the home
    /// before this one and ran elsewhere: the fence died with that home, so that a home which does
    /// not vouch for its past grants first attempts only if the other data centres do too.
    fn kind(&self, now: Instant, repeated: bool) -> ClaimKind {
        if repeated {
            ClaimKind::Repeated
        } else if self.past.is_complete(now, self.window) || self.past.is_cold() {
            ClaimKind::First
        } else {
            ClaimKind::Conditional
        }
    }

    fn claim(&mut self, now: Instant, key: KeyId, claimed: Held, kind: ClaimKind) -> KeyAnswer {
        if !self.is_home(&key) {
            return KeyAnswer::NotHome;
        }
        // Guards against a repeated attempt that runs a second time because this home does not
        // know of the first: it shows after the old home was killed, frozen or cut off. A fence of
        // its own proves no more than its past does: another home may have granted it since.
        let vouches = self.past.is_complete(now, self.window);
        if let Some(held) = self.store.get_mut(&key) {
            return held.claim(claimed, kind == ClaimKind::Repeated && vouches);
        }
        if kind == ClaimKind::Repeated && !vouches {
            return KeyAnswer::Unknown;
        }
        self.note(now, key, claimed, kind.grant())
    }

    fn fence(&mut self, now: Instant, key: KeyId, request_digest: u64) -> KeyAnswer {
        if !self.is_home(&key) {
            return KeyAnswer::NotHome;
        }
        let until = now + self.window;
        let vouches = self.past.is_complete(now, self.window);
        if let Some(held) = self.store.get_mut(&key) {
            return held.fence(request_digest, vouches, until);
        }
        if !vouches {
            return KeyAnswer::Unknown;
        }
        // Guards against a first attempt that was delayed on its way here: it must not run after
        // the repeated one has run elsewhere.
        let fenced = Held { request_digest, holding: Holding::Fenced, until };
        self.note(now, key, fenced, KeyAnswer::Fenced)
    }

    fn note(&mut self, now: Instant, key: KeyId, held: Held, answer: KeyAnswer) -> KeyAnswer {
        if !self.past.is_settled(now) {
            return KeyAnswer::Settling;
        }
        if self.store.try_insert(key, held) { answer } else { KeyAnswer::Full }
    }

    fn finish(&mut self, now: Instant, key: KeyId, claim: ClaimId, end: ClaimEnd) -> KeyAnswer {
        let until = now + self.window;
        if !self.is_home(&key) {
            // Its copy would come back as a claim that runs with the next handover.
            if end == ClaimEnd::NotRun {
                self.store.finish(&key, claim, end, until);
            }
            return KeyAnswer::NotHome;
        }
        // Guards against an answer that is forgotten because it came before the key that the old
        // home hands over: its repeat would be told that nobody knows.
        if self.store.get_mut(&key).is_none() && !self.past.is_settled(now) {
            return KeyAnswer::Settling;
        }
        self.store.finish(&key, claim, end, until);
        KeyAnswer::Acknowledged
    }

    fn take_over(&mut self, now: Instant, keys: Vec<TransferredKey>) {
        for handed in keys {
            let TransferredKey { key, request_digest, state, remaining_retention } = handed;
            let held = Held {
                request_digest,
                holding: Holding::from(state),
                until: now + remaining_retention,
            };
            self.store.merge(key, held);
        }
    }

    /// The keys of which `peer` may take itself for the home, in messages of bounded size, to be
    /// sent one after another; the last tells the peer that nothing is kept back.
    ///
    /// Guards against an order that runs twice because its new home, known here, is not known yet
    /// to `peer`, which takes itself for the home and vouches: a joining entry VM gets all keys for
    /// which it goes before this one, and in a planned stop everybody gets all.
    ///
    /// They are kept here too, for as long as they count: a home that joins later and that this
    /// entry VM hears of later still has to learn of them.
    fn handover_to(&self, now: Instant, peer: VmId) -> Vec<(VmId, KeyQuery)> {
        let mut messages = Vec::new();
        let mut keys = Vec::new();
        let mut bytes = 0;
        for (key, held) in self.store.iter() {
            if !self.leaving && !outranks(key, peer, self.me) {
                continue;
            }
            bytes += held.bytes();
            keys.push(held.handed(key, now));
            if keys.len() >= HANDOVER_KEYS || bytes >= HANDOVER_BYTES {
                messages.push((peer, self.handover(now, std::mem::take(&mut keys), false)));
                bytes = 0;
            }
        }
        messages.push((peer, self.handover(now, keys, true)));
        messages
    }

    fn handover(&self, now: Instant, keys: Vec<TransferredKey>, last: bool) -> KeyQuery {
        let complete_in_window = self.past.is_complete(now, self.window);
        let complete_since_start = self.past.is_fresh();
        KeyQuery::Handover {
            keys,
            last,
            complete_in_window,
            complete_since_start,
            leaving: self.leaving,
        }
    }
}

/// Whether `a` goes before `b` for `key`.
fn outranks(key: &KeyId, a: VmId, b: VmId) -> bool {
    let item = digest(key.key.as_bytes());
    (weight(item, a.0), a) > (weight(item, b.0), b)
}
