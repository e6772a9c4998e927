//! What an entry VM does with a keyed request, from what the homes say.

use crate::{KeyAnswer, StoredAnswer};

/// What comes next for a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStep {
    /// It may run.
    Run,
    /// The homes of the other data centres have to be asked.
    QueryOtherDcs,
    /// It ran, and this is its answer.
    Replay(StoredAnswer),
    /// Another attempt runs, or a home is not there yet: ask again a little later.
    Wait(KeyDenial),
    /// It must not run.
    Stop(KeyDenial),
}

/// Why a keyed request does not run in this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDenial {
    /// Whether an earlier attempt ran is not known.
    Unknown,
    /// An earlier attempt runs.
    Running,
    /// The key was used for another request.
    Mismatch,
    /// The home remembers as many keys as it may.
    Full,
    /// The home has just become it and does not grant yet.
    Settling,
    /// The home did not answer.
    Unreachable,
}

impl KeyDenial {
    /// Whether it is proven that the caller's request has not run.
    ///
    /// Guards against an order under a new key for one that ran: of a repeated attempt nothing is
    /// proven by what this attempt came to, as an earlier one may have run.
    pub fn proves_not_run(self, repeated: bool) -> bool {
        let not_run = matches!(
            self,
            KeyDenial::Mismatch | KeyDenial::Full | KeyDenial::Settling | KeyDenial::Unreachable
        );
        not_run && !repeated
    }
}

/// What comes after the word of the home in the own data centre; `None` for no answer.
pub fn next_step_after_home(answer: Option<KeyAnswer>, repeated: bool) -> KeyStep {
    match answer {
        Some(KeyAnswer::Granted) if repeated => KeyStep::QueryOtherDcs,
        Some(KeyAnswer::Conditional) => KeyStep::QueryOtherDcs,
        Some(KeyAnswer::Granted) => KeyStep::Run,
        Some(KeyAnswer::Answered(answer)) => KeyStep::Replay(answer),
        Some(KeyAnswer::Running) => KeyStep::Wait(KeyDenial::Running),
        Some(KeyAnswer::Mismatch) => KeyStep::Stop(KeyDenial::Mismatch),
        Some(KeyAnswer::Full) => KeyStep::Stop(KeyDenial::Full),
        Some(KeyAnswer::Settling | KeyAnswer::NotHome) => KeyStep::Wait(KeyDenial::Settling),
        Some(
            KeyAnswer::Unknown
            | KeyAnswer::Fenced
            | KeyAnswer::AlreadyFenced
            | KeyAnswer::Acknowledged,
        ) => KeyStep::Stop(KeyDenial::Unknown),
        None => KeyStep::Wait(KeyDenial::Unreachable),
    }
}

/// What comes after the words of the other data centres' homes, one for each data centre.
///
/// Guards against a request that runs in two data centres: it runs only when every other one has
/// said that it has not run there and never will. One that does not answer may have run it.
///
/// Of a first attempt whose own home does not vouch, a fence that stood there before is no such
/// word: a repeated attempt may have set it and then run in this data centre. Nor is it one if
/// there is no other data centre.
pub fn next_step_after_other_dcs(answers: Vec<Option<KeyAnswer>>, repeated: bool) -> KeyStep {
    if answers.is_empty() && !repeated {
        return KeyStep::Stop(KeyDenial::Unknown);
    }
    let mut step = KeyStep::Run;
    for answer in answers {
        let next = match answer {
            Some(KeyAnswer::Fenced) => KeyStep::Run,
            Some(KeyAnswer::AlreadyFenced) if repeated => KeyStep::Run,
            Some(KeyAnswer::Answered(answer)) => return KeyStep::Replay(answer),
            Some(KeyAnswer::Running) => KeyStep::Wait(KeyDenial::Running),
            Some(KeyAnswer::Mismatch) => KeyStep::Stop(KeyDenial::Mismatch),
            _ => KeyStep::Stop(KeyDenial::Unknown),
        };
        if step == KeyStep::Run || matches!(next, KeyStep::Stop(_)) {
            step = if next == KeyStep::Run { step } else { next };
        }
    }
    step
}
