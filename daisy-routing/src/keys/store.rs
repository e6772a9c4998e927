//! Keys with their states, bounded.

use std::collections::VecDeque;

use daisy_model::{Instant, SortedMap};

use crate::{
    ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyState, StoredAnswer, TransferredKey, digest,
    keys::KeyLimits,
};

/// Keys are spread over this many sorted vectors, so that an insertion moves few.
const BUCKETS: u64 = 512;

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Holding {
    /// A claim runs.
    Running {
        /// The claim.
        claim: ClaimId,
        /// What it rests on.
        kind: ClaimKind,
    },
    /// It ran.
    Answered(StoredAnswer),
    /// Nobody knows; a late answer of the claim is still taken.
    Unknown {
        /// The claim that may have run.
        claim: Option<ClaimId>,
    },
    /// Not run here; a first attempt must not run any more.
    Fenced,
}

/// A key's state and how long it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Held {
    pub(super) request_digest: u64,
    pub(super) holding: Holding,
    pub(super) until: Instant,
}

impl ClaimKind {
    /// What a claim of this kind is told, also when it asks again.
    pub(super) fn grant(self) -> KeyAnswer {
        match self {
            ClaimKind::First | ClaimKind::Repeated => KeyAnswer::Granted,
            ClaimKind::Conditional | ClaimKind::Unspecified => KeyAnswer::Conditional,
        }
    }
}

impl From<KeyState> for Holding {
    fn from(state: KeyState) -> Holding {
        match state {
            KeyState::Running { claim, kind } => Holding::Running { claim, kind },
            KeyState::Answered(answer) => Holding::Answered(answer),
            KeyState::Unknown => Holding::Unknown { claim: None },
            KeyState::Fenced => Holding::Fenced,
        }
    }
}

impl Held {
    /// A claim that runs until `until` at most.
    pub(super) fn running(
        request_digest: u64,
        claim: ClaimId,
        kind: ClaimKind,
        until: Instant,
    ) -> Held {
        Held { request_digest, holding: Holding::Running { claim, kind }, until }
    }

    /// What another claim is told; a fenced key is granted if `past_fence`.
    pub(super) fn claim(&mut self, claimed: Held, past_fence: bool) -> KeyAnswer {
        if self.request_digest != claimed.request_digest {
            return KeyAnswer::Mismatch;
        }
        match (&self.holding, &claimed.holding) {
            (Holding::Running { claim, kind }, Holding::Running { claim: again, .. })
                if claim == again =>
            {
                kind.grant()
            }
            (Holding::Running { .. }, _) => KeyAnswer::Running,
            (Holding::Answered(answer), _) => KeyAnswer::Answered(answer.clone()),
            (Holding::Fenced, _) if past_fence => {
                *self = claimed;
                KeyAnswer::Granted
            }
            _ => KeyAnswer::Unknown,
        }
    }

    /// What another data centre is told.
    pub(super) fn fence(
        &mut self,
        request_digest: u64,
        vouches: bool,
        until: Instant,
    ) -> KeyAnswer {
        if self.request_digest != request_digest {
            return KeyAnswer::Mismatch;
        }
        match &self.holding {
            Holding::Running { .. } => KeyAnswer::Running,
            Holding::Answered(answer) => KeyAnswer::Answered(answer.clone()),
            Holding::Unknown { .. } => KeyAnswer::Unknown,
            Holding::Fenced if !vouches => KeyAnswer::Unknown,
            Holding::Fenced => {
                self.until = self.until.max(until);
                KeyAnswer::AlreadyFenced
            }
        }
    }

    /// The key as it is handed over at `now`.
    pub(super) fn handed(&self, key: &KeyId, now: Instant) -> TransferredKey {
        let state = match &self.holding {
            Holding::Running { claim, kind } => KeyState::Running { claim: *claim, kind: *kind },
            Holding::Answered(answer) => KeyState::Answered(answer.clone()),
            Holding::Unknown { .. } => KeyState::Unknown,
            Holding::Fenced => KeyState::Fenced,
        };
        TransferredKey {
            key: key.clone(),
            request_digest: self.request_digest,
            state,
            remaining_retention: self.until.since(now),
        }
    }

    /// Bytes of its answer.
    pub(super) fn bytes(&self) -> usize {
        match &self.holding {
            Holding::Answered(answer) => answer.body.as_ref().map_or(0, |body| body.len()),
            _ => 0,
        }
    }

    /// How sure the state is; of two homes' words the surer one counts.
    fn certainty(&self) -> u8 {
        match self.holding {
            Holding::Fenced => 0,
            Holding::Running { .. } => 1,
            Holding::Unknown { .. } => 2,
            Holding::Answered(_) => 3,
        }
    }
}

/// Keys by id.
#[derive(Debug)]
pub(super) struct Store {
    limits: KeyLimits,
    buckets: Vec<SortedMap<KeyId, Held>>,
    len: usize,
    bytes: usize,
    /// When to look at keys again; at most one entry a key, so bounded as the keys are.
    due: VecDeque<(Instant, KeyId)>,
}

impl Store {
    pub(super) fn new(limits: KeyLimits) -> Store {
        let buckets = (0..BUCKETS).map(|_| SortedMap::new()).collect();
        Store { limits, buckets, len: 0, bytes: 0, due: VecDeque::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn get_mut(&mut self, key: &KeyId) -> Option<&mut Held> {
        self.buckets[bucket(key)].get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&KeyId, &Held)> {
        self.buckets.iter().flat_map(SortedMap::iter)
    }

    /// Keeps a new key, unless as many are kept as may be.
    ///
    /// Guards against memory without bound, and against making room by forgetting: a forgotten key
    /// would run again. What is refused here has not run.
    pub(super) fn try_insert(&mut self, key: KeyId, held: Held) -> bool {
        let room = self.len < self.limits.keys;
        if room {
            self.insert(key, held);
        }
        room
    }

    /// Keeps a handed key beside or in place of what is known of it, also beyond the limit: the
    /// old home has forgotten it by now.
    pub(super) fn merge(&mut self, key: KeyId, mut held: Held) {
        match self.get_mut(&key) {
            Some(known) if known.certainty() >= held.certainty() => {
                known.until = known.until.max(held.until);
            }
            Some(_) => {
                // Only a fence is less sure than a claim, and it must not go when the claim ends.
                if let Holding::Running { kind, .. } = &mut held.holding {
                    *kind = ClaimKind::Unspecified;
                }
                self.replace(&key, held);
            }
            None => self.insert(key, held),
        }
    }

    pub(super) fn remove(&mut self, key: &KeyId) {
        if let Some(held) = self.buckets[bucket(key)].remove(key) {
            self.len -= 1;
            self.bytes -= held.bytes();
        }
    }

    /// Ends a claim.
    pub(super) fn finish(&mut self, key: &KeyId, claim: ClaimId, end: ClaimEnd, until: Instant) {
        let held = self.get_mut(key);
        let request_digest = held.as_ref().map_or(0, |held| held.request_digest);
        let holding = match (held.map(|held| &held.holding), end) {
            (Some(Holding::Running { claim: running, kind }), end) if *running == claim => {
                match end {
                    ClaimEnd::Answered(answer) => Holding::Answered(answer),
                    ClaimEnd::Unknown => Holding::Unknown { claim: Some(claim) },
                    ClaimEnd::NotRun => match kind {
                        ClaimKind::First | ClaimKind::Conditional => return self.remove(key),
                        ClaimKind::Repeated => Holding::Fenced,
                        ClaimKind::Unspecified => Holding::Unknown { claim: None },
                    },
                }
            }
            (Some(Holding::Unknown { claim: Some(known) }), ClaimEnd::Answered(answer))
                if *known == claim =>
            {
                Holding::Answered(answer)
            }
            _ => return,
        };
        self.replace(key, Held { request_digest, holding, until });
    }

    /// Forgets what is kept long enough; a claim that has run too long becomes unknown.
    pub(super) fn expire(&mut self, now: Instant, window: std::time::Duration) {
        while self.due.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.due.pop_front() else { return };
            let Some(held) = self.get_mut(&key) else { continue };
            if held.until > now {
                let until = held.until;
                self.due.push_back((until, key));
                continue;
            }
            match held.holding {
                // Guards against a key that stays granted to an entry VM that was killed: its
                // request may have run, so it is unknown, and it is not granted again.
                Holding::Running { claim, .. } => {
                    held.holding = Holding::Unknown { claim: Some(claim) };
                    held.until = now + window;
                    let until = held.until;
                    self.due.push_back((until, key));
                }
                _ => self.remove(&key),
            }
        }
    }

    fn insert(&mut self, key: KeyId, mut held: Held) {
        self.fit(&mut held);
        self.len += 1;
        self.bytes += held.bytes();
        self.due.push_back((held.until, key.clone()));
        self.buckets[bucket(&key)].insert(key, held);
    }

    fn replace(&mut self, key: &KeyId, mut held: Held) {
        let Some(before) = self.get_mut(key).map(|known| known.bytes()) else { return };
        self.bytes -= before;
        self.fit(&mut held);
        self.bytes += held.bytes();
        if let Some(known) = self.get_mut(key) {
            *known = held;
        }
    }

    /// Drops the body of an answer for which there is no room; that it was answered stays known.
    fn fit(&self, held: &mut Held) {
        if self.bytes + held.bytes() > self.limits.bytes
            && let Holding::Answered(answer) = &mut held.holding
        {
            answer.body = None;
        }
    }
}

fn bucket(key: &KeyId) -> usize {
    (digest(key.key.as_bytes()) % BUCKETS) as usize
}
