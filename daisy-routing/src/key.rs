//! Messages of the key protocol between entry VMs, as plain data.
//!
//! The protocol is described in `docs/PROTOCOL.md`; [`KeyTable`](crate::KeyTable) implements the
//! home's side of it.

use std::time::Duration;

use daisy_model::Name;

/// The key of a non-idempotent request, unique within its service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId {
    /// The service.
    pub service: Name,
    /// The key that the caller chose: 1 to 64 visible ASCII characters.
    pub key: Box<str>,
}

/// Identifies one claim of an entry VM to run a keyed request; drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId(pub u64);

/// An answer that is stored for repeated attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers in their original order.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body; `None` if it was too large to store.
    pub body: Option<Box<[u8]>>,
}

/// How a granted claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request ran and returned this answer.
    Answered(StoredAnswer),
    /// The request is proven not to have run.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// On which confirmations a claim is granted; determines the state of the key if the claim ends
/// without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimKind {
    /// A first attempt that needs only the grant of its home. If it does not run, the key is
    /// removed.
    First,
    /// A first attempt that also needs the confirmation of the other data centres. If it does not
    /// run, the key is removed. A fence must not remain: the history of the home is incomplete, and
    /// a fence would wrongly suggest that the home has confirmed that the request did not run.
    Conditional,
    /// A repeated attempt. If it does not run, the key becomes fenced, whether or not it was fenced
    /// before the claim.
    Repeated,
    /// One of the three kinds above, granted by an earlier home that did not say which. If it does
    /// not run, the state becomes unknown, which is safe for all three.
    Unspecified,
}

/// The state of a key at its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// A claim was granted and has not ended yet.
    Running {
        /// The claim.
        claim: ClaimId,
        /// The kind of the claim.
        kind: ClaimKind,
    },
    /// The request ran and returned this answer.
    Answered(StoredAnswer),
    /// It is not known whether the request ran.
    Unknown,
    /// The request has not run under this home, and a delayed first attempt must not run any more.
    Fenced,
}

/// A key that is transferred to its new home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferredKey {
    /// The key.
    pub key: KeyId,
    /// A digest of the request's method and path.
    pub request_digest: u64,
    /// The state of the key at the old home.
    pub state: KeyState,
    /// How much longer the key is stored.
    pub remaining_retention: Duration,
}

/// A query or command that one entry VM sends to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyQuery {
    /// Sent to the home of the key in the local data centre: requests the claim to run the request.
    Claim {
        /// The key.
        key: KeyId,
        /// A digest of the request's method and path, so that a key is not reused for another
        /// request.
        request_digest: u64,
        /// Identifies the claim. If the answer is lost, the query is repeated with the same id. A
        /// claim that is made after a [`KeyQuery::Finish`] has a new id, because the finish message
        /// may arrive after the claim.
        claim: ClaimId,
        /// Whether the caller declares that it has sent the request before.
        repeated: bool,
        /// How long the claim may run before its outcome is treated as unknown.
        claim_timeout: Duration,
    },
    /// Sent to the home of the key in another data centre: asks whether it knows the key. If it
    /// does not, it must never run a first attempt of it.
    Fence {
        /// The key.
        key: KeyId,
        /// A digest of the request's method and path.
        request_digest: u64,
        /// Whether the caller declares that it has sent the request before.
        repeated: bool,
    },
    /// Sent to the home that granted a claim: reports how the claim ended.
    Finish {
        /// The key.
        key: KeyId,
        /// The claim.
        claim: ClaimId,
        /// How the claim ended.
        end: ClaimEnd,
    },
    /// Sent to a new home: the states of the keys that now belong to it.
    Handover {
        /// The transferred keys.
        keys: Vec<TransferredKey>,
        /// Whether this is the last message of the handover.
        last: bool,
        /// Whether the old home knows everything that happened to these keys in the retry window.
        complete_in_window: bool,
        /// Whether the only gap in the history of the old home is the time before its own start.
        only_gap_is_before_start: bool,
        /// Whether the old home is stopping.
        leaving: bool,
        /// How long ago the newest gap in the history of a stopping home ended; `None` if it has no
        /// gap, or if the new home is to date the gap at the handover.
        time_since_gap: Option<Duration>,
    },
}

/// The answer of a home to a [`KeyQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAnswer {
    /// The claim may run as far as this data centre is concerned.
    Granted,
    /// The key was not known here and is now fenced.
    Fenced,
    /// The request has not run here, and the key was fenced before by some repeated attempt.
    AlreadyFenced,
    /// Another claim of the key is running.
    Running,
    /// The request ran and returned this answer.
    Answered(StoredAnswer),
    /// It is not known whether the request ran, or an attempt in another data centre may run it.
    Unknown,
    /// The key was already used for a different request.
    Mismatch,
    /// The home has reached its limit of stored keys; nothing was stored.
    Full,
    /// The queried entry VM is not the home of the key; nothing was stored.
    NotHome,
    /// The queried entry VM became the home only recently and does not grant claims yet; nothing
    /// was stored.
    Settling,
    /// The command was carried out.
    Acknowledged,
    /// The claim may run if the homes in the other data centres do not know the key either: the
    /// history of this home is incomplete.
    Conditional,
}
