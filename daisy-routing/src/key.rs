//! The messages of the key protocol between entry VMs, as plain data.
//!
//! `docs/PROTOCOL.md` has the protocol; [`KeyTable`](crate::KeyTable) is a home's part of it.

use std::time::Duration;

use daisy_model::Name;

/// The key of a non-idempotent request within its service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId {
    /// The service.
    pub service: Name,
    /// The caller's key: 1 to 64 visible ASCII characters.
    pub key: Box<str>,
}

/// Names one entry VM's wish to run a keyed request; drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId(pub u64);

/// An answer that is kept for repeated attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers in their order.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body; `None` when it was too large to keep.
    pub body: Option<Box<[u8]>>,
}

/// How a granted claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request ran, and this is its answer.
    Answered(StoredAnswer),
    /// The request was proven not to have run.
    NotRun,
    /// Nobody knows whether it ran.
    Unknown,
}

/// What a claim rests on; decides what is left when it ends without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimKind {
    /// A first attempt's, by the word of its home alone: nothing is left.
    First,
    /// A first attempt's that needs the other data centres' word: nothing is left, as its home did not
    /// vouch for its past and must not seem to have.
    Conditional,
    /// A repeated attempt's: the key is fenced, as it may have been before.
    Repeated,
    /// One of the three, granted by an earlier home that did not say which: unknown, which is safe
    /// for each.
    Unspecified,
}

/// What a home knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// A claim was granted and has not ended.
    Running {
        /// The claim.
        claim: ClaimId,
        /// What it rests on.
        kind: ClaimKind,
    },
    /// The request ran, and this is its answer.
    Answered(StoredAnswer),
    /// Nobody knows whether it ran.
    Unknown,
    /// It has not run under this home, and a first attempt that comes late must not.
    Fenced,
}

/// A key on its way to its new home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferredKey {
    /// The key.
    pub key: KeyId,
    /// A digest of the request's method and path.
    pub request_digest: u64,
    /// What the old home knows.
    pub state: KeyState,
    /// How long it is still kept.
    pub remaining_retention: Duration,
}

/// A question or order of one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyQuery {
    /// To the key's home in the own data centre: may the request run?
    Claim {
        /// The key.
        key: KeyId,
        /// A digest of the request's method and path, so that a key is not used for another.
        request_digest: u64,
        /// Names the wish; a lost answer is asked for again under the same name, and a wish after
        /// [`KeyQuery::Finish`] has another: the finish may arrive after it.
        claim: ClaimId,
        /// Whether the caller says that it sent the request before.
        repeated: bool,
        /// How long the claim may run at most.
        claim_timeout: Duration,
    },
    /// To the key's home in another data centre: do you know it? If not, never run its first
    /// attempt.
    Fence {
        /// The key.
        key: KeyId,
        /// A digest of the request's method and path.
        request_digest: u64,
    },
    /// To the home that granted a claim: how it ended.
    Finish {
        /// The key.
        key: KeyId,
        /// The claim.
        claim: ClaimId,
        /// How it ended.
        end: ClaimEnd,
    },
    /// To a new home: what the old one knows of the keys that are now the new one's.
    Handover {
        /// The keys.
        keys: Vec<TransferredKey>,
        /// Whether nothing follows.
        last: bool,
        /// Whether the old home knew all that happened to these keys in the retry window.
        complete_in_window: bool,
        /// Whether the old home missed nothing but the time before its own start.
        only_gap_is_before_start: bool,
        /// Whether the old home stops.
        leaving: bool,
    },
}

/// What a home says to a [`KeyQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAnswer {
    /// The claim may run, as far as this data centre goes.
    Granted,
    /// Not known here, and now fenced.
    Fenced,
    /// Not run here, and fenced before: some repeated attempt has asked.
    AlreadyFenced,
    /// Another claim runs.
    Running,
    /// It ran, and this is its answer.
    Answered(StoredAnswer),
    /// Whether it ran is not known, or an attempt elsewhere may run it.
    Unknown,
    /// The key was used before for another request.
    Mismatch,
    /// The home remembers as many keys as it may; nothing was noted.
    Full,
    /// The entry VM asked is not the key's home; nothing was noted.
    NotHome,
    /// The entry VM asked has just become the home and does not grant yet; nothing was noted.
    Settling,
    /// The order was carried out.
    Acknowledged,
    /// The claim may run if the other data centres' homes do not know the key either: this one
    /// does not vouch for its past.
    Conditional,
}
