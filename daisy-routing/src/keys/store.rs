//! Bounded storage of keys with their states.

use std::collections::VecDeque;

use daisy_model::{Instant, SortedMap};

use crate::{
    ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyState, StoredAnswer, TransferredKey, digest,
    keys::KeyLimits,
};

/// Number of sorted vectors over which keys are spread, so that an insertion moves few of them.
const BUCKETS: u64 = 512;

/// The stored state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoredState {
    /// A claim is running.
    Running {
        /// The claim.
        claim: ClaimId,
        /// The kind of the claim.
        kind: ClaimKind,
    },
    /// The request ran and returned this answer.
    Answered(StoredAnswer),
    /// It is not known whether the request ran; a late answer of the claim is still accepted.
    Unknown {
        /// The claim that may have run.
        claim: Option<ClaimId>,
    },
    /// The request has not run here. After the fence of a repeated attempt, a first attempt must not
    /// run any more.
    Fenced {
        /// Whether a repeated attempt has set the fence.
        by_repeat: bool,
    },
}

/// The state of a key and when it expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredKey {
    pub(super) request_digest: u64,
    pub(super) stored_state: StoredState,
    pub(super) expires_at: Instant,
}

impl ClaimKind {
    /// Returns the answer to a granted claim of this kind, for the first query and repetitions of
    /// it.
    pub(super) fn grant_answer(self) -> KeyAnswer {
        match self {
            ClaimKind::First | ClaimKind::Repeated => KeyAnswer::Granted,
            ClaimKind::Conditional | ClaimKind::Unspecified => KeyAnswer::Conditional,
        }
    }
}

impl From<KeyState> for StoredState {
    fn from(state: KeyState) -> StoredState {
        match state {
            KeyState::Running { claim, kind } => StoredState::Running { claim, kind },
            KeyState::Answered(answer) => StoredState::Answered(answer),
            KeyState::Unknown => StoredState::Unknown { claim: None },
            KeyState::Fenced => StoredState::Fenced { by_repeat: true },
        }
    }
}

impl StoredKey {
    /// Creates the entry of a claim that may run until `expires_at`.
    pub(super) fn running(
        request_digest: u64,
        claim: ClaimId,
        kind: ClaimKind,
        expires_at: Instant,
    ) -> StoredKey {
        StoredKey { request_digest, stored_state: StoredState::Running { claim, kind }, expires_at }
    }

    /// Returns the answer to another claim of the key; a fenced key is granted if `may_pass_fence`.
    pub(super) fn claim(&mut self, claimed: StoredKey, may_pass_fence: bool) -> KeyAnswer {
        if self.request_digest != claimed.request_digest {
            return KeyAnswer::Mismatch;
        }
        match (&self.stored_state, &claimed.stored_state) {
            (
                StoredState::Running { claim, kind },
                StoredState::Running { claim: repeated_claim, .. },
            ) if claim == repeated_claim => kind.grant_answer(),
            (StoredState::Running { .. }, _) => KeyAnswer::Running,
            (StoredState::Answered(answer), _) => KeyAnswer::Answered(answer.clone()),
            (StoredState::Fenced { .. }, _) if may_pass_fence => {
                *self = claimed;
                KeyAnswer::Granted
            }
            // A first attempt that was not run set the fence, and its caller sends it again.
            (
                StoredState::Fenced { by_repeat: false },
                StoredState::Running {
                    kind: kind @ (ClaimKind::First | ClaimKind::Conditional),
                    ..
                },
            ) => {
                let answer = kind.grant_answer();
                *self = claimed;
                answer
            }
            _ => KeyAnswer::Unknown,
        }
    }

    /// Returns the answer to a fence query of another data centre.
    pub(super) fn fence(
        &mut self,
        request_digest: u64,
        repeated: bool,
        is_complete: bool,
        expires_at: Instant,
    ) -> KeyAnswer {
        if self.request_digest != request_digest {
            return KeyAnswer::Mismatch;
        }
        match &mut self.stored_state {
            StoredState::Running { .. } => KeyAnswer::Running,
            StoredState::Answered(answer) => KeyAnswer::Answered(answer.clone()),
            StoredState::Unknown { .. } => KeyAnswer::Unknown,
            StoredState::Fenced { .. } if !is_complete => KeyAnswer::Unknown,
            StoredState::Fenced { by_repeat } => {
                self.expires_at = self.expires_at.max(expires_at);
                if !*by_repeat && !repeated {
                    return KeyAnswer::Fenced;
                }
                *by_repeat |= repeated;
                KeyAnswer::AlreadyFenced
            }
        }
    }

    /// Returns the key in the form in which it is transferred at `now`.
    pub(super) fn to_transferred(&self, key: &KeyId, now: Instant) -> TransferredKey {
        let state = match &self.stored_state {
            StoredState::Running { claim, kind } => {
                KeyState::Running { claim: *claim, kind: *kind }
            }
            StoredState::Answered(answer) => KeyState::Answered(answer.clone()),
            StoredState::Unknown { .. } => KeyState::Unknown,
            StoredState::Fenced { .. } => KeyState::Fenced,
        };
        TransferredKey {
            key: key.clone(),
            request_digest: self.request_digest,
            state,
            remaining_retention: self.expires_at.since(now),
        }
    }

    /// Returns the size of the stored answer body in bytes.
    pub(super) fn bytes(&self) -> usize {
        match &self.stored_state {
            StoredState::Answered(answer) => answer.body.as_ref().map_or(0, |body| body.len()),
            _ => 0,
        }
    }

    /// Returns a rank of how certain the state is; of two states of a key, the one with the higher
    /// rank is used.
    fn certainty(&self) -> u8 {
        match self.stored_state {
            StoredState::Fenced { .. } => 0,
            StoredState::Running { .. } => 1,
            StoredState::Unknown { .. } => 2,
            StoredState::Answered(_) => 3,
        }
    }
}

/// Stored keys by id.
#[derive(Debug)]
pub(super) struct Store {
    limits: KeyLimits,
    buckets: Vec<SortedMap<KeyId, StoredKey>>,
    len: usize,
    bytes: usize,
    /// The times at which keys are to be checked for expiry; at most one entry for each key, so
    /// that it is bounded like the keys.
    expiry_queue: VecDeque<(Instant, KeyId)>,
}

impl Store {
    pub(super) fn new(limits: KeyLimits) -> Store {
        let buckets = (0..BUCKETS).map(|_| SortedMap::new()).collect();
        Store { limits, buckets, len: 0, bytes: 0, expiry_queue: VecDeque::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn get_mut(&mut self, key: &KeyId) -> Option<&mut StoredKey> {
        self.buckets[bucket(key)].get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&KeyId, &StoredKey)> {
        self.buckets.iter().flat_map(SortedMap::iter)
    }

    /// Stores a new key unless the limit of keys is reached; returns whether it was stored.
    ///
    /// Prevents unbounded memory use, and also the removal of keys to free capacity: a removed key
    /// would run again. A request that is rejected here has not run.
    pub(super) fn try_insert(&mut self, key: KeyId, stored: StoredKey) -> bool {
        let has_capacity = self.len < self.limits.keys;
        if has_capacity {
            self.insert(key, stored);
        }
        has_capacity
    }

    /// Merges a transferred key with the stored state, of which the more certain one remains. The
    /// limit of keys does not apply, because the old home may have removed the key by now.
    pub(super) fn merge(&mut self, key: KeyId, mut stored: StoredKey) {
        match self.get_mut(&key) {
            Some(existing) if existing.certainty() >= stored.certainty() => {
                existing.expires_at = existing.expires_at.max(stored.expires_at);
            }
            Some(_) => {
                // Only a fence is less certain than a claim. The fence must remain when the claim
                // ends, so the kind of the claim becomes unspecified.
                if let StoredState::Running { kind, .. } = &mut stored.stored_state {
                    *kind = ClaimKind::Unspecified;
                }
                self.replace(&key, stored);
            }
            None => self.insert(key, stored),
        }
    }

    pub(super) fn remove(&mut self, key: &KeyId) {
        if let Some(stored) = self.buckets[bucket(key)].remove(key) {
            self.len -= 1;
            self.bytes -= stored.bytes();
        }
    }

    /// Ends a claim.
    pub(super) fn finish(
        &mut self,
        key: &KeyId,
        claim: ClaimId,
        end: ClaimEnd,
        expires_at: Instant,
    ) {
        let stored = self.get_mut(key);
        let request_digest = stored.as_ref().map_or(0, |stored| stored.request_digest);
        let stored_state = match (stored.map(|stored| &stored.stored_state), end) {
            (Some(StoredState::Running { claim: running, kind }), end) if *running == claim => {
                match end {
                    ClaimEnd::Answered(answer) => StoredState::Answered(answer),
                    ClaimEnd::Unknown => StoredState::Unknown { claim: Some(claim) },
                    ClaimEnd::NotRun => match kind {
                        ClaimKind::First | ClaimKind::Conditional => return self.remove(key),
                        ClaimKind::Repeated => StoredState::Fenced { by_repeat: true },
                        ClaimKind::Unspecified => StoredState::Unknown { claim: None },
                    },
                }
            }
            (
                Some(StoredState::Unknown { claim: Some(unknown_claim) }),
                ClaimEnd::Answered(answer),
            ) if *unknown_claim == claim => StoredState::Answered(answer),
            _ => return,
        };
        self.replace(key, StoredKey { request_digest, stored_state, expires_at });
    }

    /// Removes expired keys; a claim that has run for too long becomes unknown.
    pub(super) fn expire(&mut self, now: Instant, retry_window: std::time::Duration) {
        while self.expiry_queue.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiry_queue.pop_front() else { return };
            let Some(stored) = self.get_mut(&key) else { continue };
            if stored.expires_at > now {
                let expires_at = stored.expires_at;
                self.expiry_queue.push_back((expires_at, key));
                continue;
            }
            match stored.stored_state {
                // Prevents a key from staying granted to an entry VM that was killed: its request
                // may have run, so the state becomes unknown and the key is not granted again.
                StoredState::Running { claim, .. } => {
                    stored.stored_state = StoredState::Unknown { claim: Some(claim) };
                    stored.expires_at = now + retry_window;
                    let expires_at = stored.expires_at;
                    self.expiry_queue.push_back((expires_at, key));
                }
                _ => self.remove(&key),
            }
        }
    }

    fn insert(&mut self, key: KeyId, mut stored: StoredKey) {
        self.drop_body_if_full(&mut stored);
        self.len += 1;
        self.bytes += stored.bytes();
        self.expiry_queue.push_back((stored.expires_at, key.clone()));
        self.buckets[bucket(&key)].insert(key, stored);
    }

    fn replace(&mut self, key: &KeyId, mut stored: StoredKey) {
        let Some(before) = self.get_mut(key).map(|existing| existing.bytes()) else { return };
        self.bytes -= before;
        self.drop_body_if_full(&mut stored);
        self.bytes += stored.bytes();
        if let Some(existing) = self.get_mut(key) {
            *existing = stored;
        }
    }

    /// Drops the body of an answer that does not fit within the limit; the fact that the key was
    /// answered stays known.
    fn drop_body_if_full(&self, stored: &mut StoredKey) {
        if self.bytes + stored.bytes() > self.limits.bytes
            && let StoredState::Answered(answer) = &mut stored.stored_state
        {
            answer.body = None;
        }
    }
}

fn bucket(key: &KeyId) -> usize {
    (digest(key.key.as_bytes()) % BUCKETS) as usize
}
