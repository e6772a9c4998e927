//! The next step of a keyed request, decided from the answers of the homes of its key.

use crate::{KeyAnswer, StoredAnswer};

/// The next step of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStep {
    /// The request may run.
    Run,
    /// The homes of the key in the other data centres must be queried first.
    QueryOtherDcs,
    /// The request has run before; return this stored answer.
    Replay(StoredAnswer),
    /// Another attempt is running, or a home is not available yet: query again after a short delay.
    Wait(KeyDenial),
    /// The request must not run.
    Deny(KeyDenial),
}

/// Why a keyed request does not run in this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDenial {
    /// It is not known whether an earlier attempt ran.
    Unknown,
    /// An earlier attempt is still running.
    Running,
    /// The key was already used for a different request.
    Mismatch,
    /// The home has reached its limit of stored keys.
    Full,
    /// The entry VM became the home only recently and does not grant claims yet.
    Settling,
    /// The home did not answer.
    Unreachable,
    /// The history of the home is incomplete, and another data centre that would have to confirm a
    /// first attempt cannot, or there is none.
    Unconfirmed,
}

impl KeyDenial {
    /// Returns whether the caller's request is proven not to have run.
    ///
    /// Prevents a caller from sending a request under a new key although it has already run: a
    /// repeated attempt that is denied proves nothing, because an earlier attempt may have run.
    pub fn proves_not_run(self, repeated: bool) -> bool {
        let not_run = matches!(
            self,
            KeyDenial::Mismatch
                | KeyDenial::Full
                | KeyDenial::Settling
                | KeyDenial::Unreachable
                | KeyDenial::Unconfirmed
        );
        not_run && !repeated
    }
}

/// Returns the next step after the answer of the home in the local data centre; `None` means that
/// it did not answer.
pub fn next_step_after_home(answer: Option<KeyAnswer>, repeated: bool) -> KeyStep {
    match answer {
        Some(KeyAnswer::Granted) if repeated => KeyStep::QueryOtherDcs,
        Some(KeyAnswer::Conditional) => KeyStep::QueryOtherDcs,
        Some(KeyAnswer::Granted) => KeyStep::Run,
        Some(KeyAnswer::Answered(answer)) => KeyStep::Replay(answer),
        Some(KeyAnswer::Running) => KeyStep::Wait(KeyDenial::Running),
        Some(KeyAnswer::Mismatch) => KeyStep::Deny(KeyDenial::Mismatch),
        Some(KeyAnswer::Full) => KeyStep::Deny(KeyDenial::Full),
        Some(KeyAnswer::Settling | KeyAnswer::NotHome) => KeyStep::Wait(KeyDenial::Settling),
        Some(
            KeyAnswer::Unknown
            | KeyAnswer::Fenced
            | KeyAnswer::AlreadyFenced
            | KeyAnswer::Acknowledged,
        ) => KeyStep::Deny(KeyDenial::Unknown),
        None => KeyStep::Wait(KeyDenial::Unreachable),
    }
}

/// Returns the next step after the answers of the homes in the other data centres, one answer for
/// each data centre.
///
/// Prevents a request from running in two data centres: it runs only if every other data centre has
/// confirmed that the request has not run there and never will. A data centre that does not answer
/// may have run it.
///
/// A first attempt gets here only if the history of its local home is incomplete. For it, a fence
/// that existed before ([`KeyAnswer::AlreadyFenced`]) is not a confirmation: a repeated attempt may
/// have set the fence and then run in this data centre. Without any other data centre, nothing
/// confirms a first attempt, and it does not run. As no answer contradicts that it is the first,
/// its caller is told that it has not run.
pub fn next_step_after_other_dcs(answers: Vec<Option<KeyAnswer>>, repeated: bool) -> KeyStep {
    if answers.is_empty() && !repeated {
        return KeyStep::Deny(KeyDenial::Unconfirmed);
    }
    let mut step = KeyStep::Run;
    for answer in answers {
        let next = match answer {
            Some(KeyAnswer::Fenced) => KeyStep::Run,
            Some(KeyAnswer::AlreadyFenced) if repeated => KeyStep::Run,
            Some(KeyAnswer::Answered(answer)) => return KeyStep::Replay(answer),
            Some(KeyAnswer::Running) => KeyStep::Wait(KeyDenial::Running),
            Some(KeyAnswer::Mismatch) => KeyStep::Deny(KeyDenial::Mismatch),
            None | Some(KeyAnswer::NotHome | KeyAnswer::Settling | KeyAnswer::Full)
                if !repeated =>
            {
                KeyStep::Deny(KeyDenial::Unconfirmed)
            }
            _ => KeyStep::Deny(KeyDenial::Unknown),
        };
        // An answer that says something of the key goes before one that says nothing.
        let is_stronger = match next {
            KeyStep::Run => false,
            KeyStep::Deny(KeyDenial::Unconfirmed) => step == KeyStep::Run,
            KeyStep::Deny(_) => true,
            _ => matches!(step, KeyStep::Run | KeyStep::Deny(KeyDenial::Unconfirmed)),
        };
        if is_stronger {
            step = next;
        }
    }
    step
}
