//! Wire types of the key protocol of `daisy-routing`.

use std::time::Duration;

use bincode::{Decode, Encode};
use daisy_model::Name;
use daisy_routing::{
    ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyQuery, KeyState, StoredAnswer,
    TransferredKey,
};

use crate::WireError;

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_LEN: usize = 64;

/// See [`KeyId`].
#[derive(Debug, Encode, Decode)]
pub struct KeyIdWire {
    service: String,
    key: String,
}

/// See [`StoredAnswer`].
#[derive(Debug, Encode, Decode)]
pub struct StoredAnswerWire {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Option<Vec<u8>>,
}

/// See [`ClaimEnd`].
#[derive(Debug, Encode, Decode)]
pub enum ClaimEndWire {
    /// See [`ClaimEnd::Answered`].
    Answered(StoredAnswerWire),
    /// See [`ClaimEnd::NotRun`].
    NotRun,
    /// See [`ClaimEnd::Unknown`].
    Unknown,
}

/// See [`ClaimKind`].
#[derive(Debug, Encode, Decode)]
pub enum ClaimKindWire {
    /// See [`ClaimKind::First`].
    First,
    /// See [`ClaimKind::Conditional`].
    Conditional,
    /// See [`ClaimKind::Repeated`].
    Repeated,
    /// See [`ClaimKind::Unspecified`].
    Unspecified,
}

/// See [`KeyState`].
#[derive(Debug, Encode, Decode)]
pub enum KeyStateWire {
    /// [`KeyState::Running`] as older entry VMs encode it: a claim without its kind.
    Running(u64),
    /// See [`KeyState::Answered`].
    Answered(StoredAnswerWire),
    /// See [`KeyState::Unknown`].
    Unknown,
    /// See [`KeyState::Fenced`].
    Fenced,
    /// See [`KeyState::Running`]: the claim and its kind.
    Claimed(u64, ClaimKindWire),
}

/// See [`TransferredKey`].
#[derive(Debug, Encode, Decode)]
pub struct TransferredKeyWire {
    key: KeyIdWire,
    request_digest: u64,
    state: KeyStateWire,
    remaining_retention_ms: u64,
}

/// See [`KeyQuery`].
#[derive(Debug, Encode, Decode)]
pub enum KeyQueryWire {
    /// See [`KeyQuery::Claim`].
    Claim {
        /// The key.
        key: KeyIdWire,
        /// A digest of the request's method and path.
        request_digest: u64,
        /// The id of the requested claim.
        claim: u64,
        /// Whether the caller has sent the request before.
        repeated: bool,
        /// The time until the claim expires, in milliseconds.
        claim_timeout_ms: u64,
    },
    /// A [`KeyQuery::Fence`] of a repeated attempt; older builds also send it for a first one.
    Fence {
        /// The key.
        key: KeyIdWire,
        /// A digest of the request's method and path.
        request_digest: u64,
    },
    /// See [`KeyQuery::Finish`].
    Finish {
        /// The key.
        key: KeyIdWire,
        /// The id of the claim.
        claim: u64,
        /// How the claim ended.
        end: ClaimEndWire,
    },
    /// See [`KeyQuery::Handover`].
    Handover {
        /// The transferred keys.
        keys: Vec<TransferredKeyWire>,
        /// Whether this is the last message of the handover.
        last: bool,
        /// Whether the sender's history is complete for the retry window.
        complete_in_window: bool,
        /// Whether the sender's history lacks only the time before its start.
        only_gap_is_before_start: bool,
        /// Whether the sender is about to stop.
        leaving: bool,
    },
    /// A [`KeyQuery::Handover`] of a stopping home whose history has a gap. Entry VMs of older
    /// builds reject it.
    StoppingHandover {
        /// The transferred keys.
        keys: Vec<TransferredKeyWire>,
        /// Whether this is the last message of the handover.
        last: bool,
        /// Whether the sender's history is complete for the retry window.
        complete_in_window: bool,
        /// Whether the sender's history lacks only the time before its start.
        only_gap_is_before_start: bool,
        /// The time since the end of the newest gap in the sender's history, in milliseconds.
        since_gap_ms: u64,
    },
    /// A [`KeyQuery::Fence`] of a first attempt. Entry VMs of older builds reject it.
    FirstFence {
        /// The key.
        key: KeyIdWire,
        /// A digest of the request's method and path.
        request_digest: u64,
    },
}

/// See [`KeyAnswer`].
#[derive(Debug, Encode, Decode)]
pub enum KeyAnswerWire {
    /// See [`KeyAnswer::Granted`].
    Granted,
    /// See [`KeyAnswer::Fenced`].
    Fenced,
    /// See [`KeyAnswer::Running`].
    Running,
    /// See [`KeyAnswer::Answered`].
    Answered(StoredAnswerWire),
    /// See [`KeyAnswer::Unknown`].
    Unknown,
    /// See [`KeyAnswer::Mismatch`].
    Mismatch,
    /// See [`KeyAnswer::Full`].
    Full,
    /// See [`KeyAnswer::NotHome`].
    NotHome,
    /// See [`KeyAnswer::Settling`].
    Settling,
    /// See [`KeyAnswer::Acknowledged`].
    Acknowledged,
    /// See [`KeyAnswer::Conditional`].
    Conditional,
    /// See [`KeyAnswer::AlreadyFenced`].
    AlreadyFenced,
}

impl From<KeyId> for KeyIdWire {
    fn from(it: KeyId) -> KeyIdWire {
        KeyIdWire { service: it.service.to_string(), key: it.key.into() }
    }
}

impl TryFrom<KeyIdWire> for KeyId {
    type Error = WireError;

    fn try_from(it: KeyIdWire) -> Result<KeyId, WireError> {
        let service = Name::new(&it.service)
            .map_err(|e| WireError::Field { field: "service", reason: e.to_string() })?;
        let visible = it.key.bytes().all(|b| b.is_ascii_graphic());
        if it.key.is_empty() || it.key.len() > MAX_KEY_LEN || !visible {
            let reason = "a key must have 1 to 64 visible ASCII characters".to_owned();
            return Err(WireError::Field { field: "key", reason });
        }
        Ok(KeyId { service, key: it.key.into() })
    }
}

impl From<StoredAnswer> for StoredAnswerWire {
    fn from(it: StoredAnswer) -> StoredAnswerWire {
        let headers = it.headers.into_iter().map(|(name, value)| (name.into(), value.into()));
        StoredAnswerWire {
            status: it.status,
            headers: headers.collect(),
            body: it.body.map(<[u8]>::into_vec),
        }
    }
}

impl From<StoredAnswerWire> for StoredAnswer {
    fn from(it: StoredAnswerWire) -> StoredAnswer {
        let headers = it.headers.into_iter().map(|(name, value)| (name.into(), value.into()));
        StoredAnswer {
            status: it.status,
            headers: headers.collect(),
            body: it.body.map(Vec::into_boxed_slice),
        }
    }
}

impl From<ClaimEnd> for ClaimEndWire {
    fn from(it: ClaimEnd) -> ClaimEndWire {
        match it {
            ClaimEnd::Answered(answer) => ClaimEndWire::Answered(answer.into()),
            ClaimEnd::NotRun => ClaimEndWire::NotRun,
            ClaimEnd::Unknown => ClaimEndWire::Unknown,
        }
    }
}

impl From<ClaimEndWire> for ClaimEnd {
    fn from(it: ClaimEndWire) -> ClaimEnd {
        match it {
            ClaimEndWire::Answered(answer) => ClaimEnd::Answered(answer.into()),
            ClaimEndWire::NotRun => ClaimEnd::NotRun,
            ClaimEndWire::Unknown => ClaimEnd::Unknown,
        }
    }
}

impl From<ClaimKind> for ClaimKindWire {
    fn from(it: ClaimKind) -> ClaimKindWire {
        match it {
            ClaimKind::First => ClaimKindWire::First,
            ClaimKind::Conditional => ClaimKindWire::Conditional,
            ClaimKind::Repeated => ClaimKindWire::Repeated,
            ClaimKind::Unspecified => ClaimKindWire::Unspecified,
        }
    }
}

impl From<ClaimKindWire> for ClaimKind {
    fn from(it: ClaimKindWire) -> ClaimKind {
        match it {
            ClaimKindWire::First => ClaimKind::First,
            ClaimKindWire::Conditional => ClaimKind::Conditional,
            ClaimKindWire::Repeated => ClaimKind::Repeated,
            ClaimKindWire::Unspecified => ClaimKind::Unspecified,
        }
    }
}

impl From<KeyState> for KeyStateWire {
    fn from(it: KeyState) -> KeyStateWire {
        match it {
            KeyState::Running { claim, kind } => KeyStateWire::Claimed(claim.0, kind.into()),
            KeyState::Answered(answer) => KeyStateWire::Answered(answer.into()),
            KeyState::Unknown => KeyStateWire::Unknown,
            KeyState::Fenced => KeyStateWire::Fenced,
        }
    }
}

impl From<KeyStateWire> for KeyState {
    fn from(it: KeyStateWire) -> KeyState {
        match it {
            KeyStateWire::Running(claim) => {
                KeyState::Running { claim: ClaimId(claim), kind: ClaimKind::Unspecified }
            }
            KeyStateWire::Claimed(claim, kind) => {
                KeyState::Running { claim: ClaimId(claim), kind: kind.into() }
            }
            KeyStateWire::Answered(answer) => KeyState::Answered(answer.into()),
            KeyStateWire::Unknown => KeyState::Unknown,
            KeyStateWire::Fenced => KeyState::Fenced,
        }
    }
}

impl From<TransferredKey> for TransferredKeyWire {
    fn from(it: TransferredKey) -> TransferredKeyWire {
        TransferredKeyWire {
            key: it.key.into(),
            request_digest: it.request_digest,
            state: it.state.into(),
            remaining_retention_ms: millis(it.remaining_retention),
        }
    }
}

impl TryFrom<TransferredKeyWire> for TransferredKey {
    type Error = WireError;

    fn try_from(it: TransferredKeyWire) -> Result<TransferredKey, WireError> {
        Ok(TransferredKey {
            key: it.key.try_into()?,
            request_digest: it.request_digest,
            state: it.state.into(),
            remaining_retention: Duration::from_millis(it.remaining_retention_ms),
        })
    }
}

impl From<KeyQuery> for KeyQueryWire {
    fn from(query: KeyQuery) -> KeyQueryWire {
        match query {
            KeyQuery::Claim { key, request_digest, claim, repeated, claim_timeout } => {
                KeyQueryWire::Claim {
                    key: key.into(),
                    request_digest,
                    claim: claim.0,
                    repeated,
                    claim_timeout_ms: millis(claim_timeout),
                }
            }
            KeyQuery::Fence { key, request_digest, repeated: true } => {
                KeyQueryWire::Fence { key: key.into(), request_digest }
            }
            KeyQuery::Fence { key, request_digest, repeated: false } => {
                KeyQueryWire::FirstFence { key: key.into(), request_digest }
            }
            KeyQuery::Finish { key, claim, end } => {
                KeyQueryWire::Finish { key: key.into(), claim: claim.0, end: end.into() }
            }
            KeyQuery::Handover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving: true,
                time_since_gap: Some(since_gap),
            } => KeyQueryWire::StoppingHandover {
                keys: keys.into_iter().map(TransferredKeyWire::from).collect(),
                last,
                complete_in_window,
                only_gap_is_before_start,
                since_gap_ms: millis(since_gap),
            },
            KeyQuery::Handover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
                time_since_gap: _,
            } => KeyQueryWire::Handover {
                keys: keys.into_iter().map(TransferredKeyWire::from).collect(),
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
            },
        }
    }
}

impl TryFrom<KeyQueryWire> for KeyQuery {
    type Error = WireError;

    fn try_from(query: KeyQueryWire) -> Result<KeyQuery, WireError> {
        Ok(match query {
            KeyQueryWire::Claim { key, request_digest, claim, repeated, claim_timeout_ms } => {
                KeyQuery::Claim {
                    key: key.try_into()?,
                    request_digest,
                    claim: ClaimId(claim),
                    repeated,
                    claim_timeout: Duration::from_millis(claim_timeout_ms),
                }
            }
            KeyQueryWire::Fence { key, request_digest } => {
                KeyQuery::Fence { key: key.try_into()?, request_digest, repeated: true }
            }
            KeyQueryWire::FirstFence { key, request_digest } => {
                KeyQuery::Fence { key: key.try_into()?, request_digest, repeated: false }
            }
            KeyQueryWire::Finish { key, claim, end } => {
                KeyQuery::Finish { key: key.try_into()?, claim: ClaimId(claim), end: end.into() }
            }
            KeyQueryWire::Handover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
            } => KeyQuery::Handover {
                keys: keys.into_iter().map(TransferredKey::try_from).collect::<Result<_, _>>()?,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving,
                time_since_gap: None,
            },
            KeyQueryWire::StoppingHandover {
                keys,
                last,
                complete_in_window,
                only_gap_is_before_start,
                since_gap_ms,
            } => KeyQuery::Handover {
                keys: keys.into_iter().map(TransferredKey::try_from).collect::<Result<_, _>>()?,
                last,
                complete_in_window,
                only_gap_is_before_start,
                leaving: true,
                time_since_gap: Some(Duration::from_millis(since_gap_ms)),
            },
        })
    }
}

impl From<KeyAnswer> for KeyAnswerWire {
    fn from(answer: KeyAnswer) -> KeyAnswerWire {
        match answer {
            KeyAnswer::Granted => KeyAnswerWire::Granted,
            KeyAnswer::Fenced => KeyAnswerWire::Fenced,
            KeyAnswer::Running => KeyAnswerWire::Running,
            KeyAnswer::Answered(answer) => KeyAnswerWire::Answered(answer.into()),
            KeyAnswer::Unknown => KeyAnswerWire::Unknown,
            KeyAnswer::Mismatch => KeyAnswerWire::Mismatch,
            KeyAnswer::Full => KeyAnswerWire::Full,
            KeyAnswer::NotHome => KeyAnswerWire::NotHome,
            KeyAnswer::Settling => KeyAnswerWire::Settling,
            KeyAnswer::Acknowledged => KeyAnswerWire::Acknowledged,
            KeyAnswer::Conditional => KeyAnswerWire::Conditional,
            KeyAnswer::AlreadyFenced => KeyAnswerWire::AlreadyFenced,
        }
    }
}

impl From<KeyAnswerWire> for KeyAnswer {
    fn from(answer: KeyAnswerWire) -> KeyAnswer {
        match answer {
            KeyAnswerWire::Granted => KeyAnswer::Granted,
            KeyAnswerWire::Fenced => KeyAnswer::Fenced,
            KeyAnswerWire::Running => KeyAnswer::Running,
            KeyAnswerWire::Answered(answer) => KeyAnswer::Answered(answer.into()),
            KeyAnswerWire::Unknown => KeyAnswer::Unknown,
            KeyAnswerWire::Mismatch => KeyAnswer::Mismatch,
            KeyAnswerWire::Full => KeyAnswer::Full,
            KeyAnswerWire::NotHome => KeyAnswer::NotHome,
            KeyAnswerWire::Settling => KeyAnswer::Settling,
            KeyAnswerWire::Acknowledged => KeyAnswer::Acknowledged,
            KeyAnswerWire::Conditional => KeyAnswer::Conditional,
            KeyAnswerWire::AlreadyFenced => KeyAnswer::AlreadyFenced,
        }
    }
}

fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}
