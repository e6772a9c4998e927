//! Answers that the entry VM gives itself.

use std::time::Duration;

use daisy_routing::{KeyDenial, RejectReason, Rejection};
use daisy_wire::headers;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};

use crate::proxy::{body::AnswerBody, forward::TryError, head::HeadError};

/// What is known of a request that got no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It did not run: proven.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran in an earlier attempt, and its answer is not to be had any more.
    Answered,
}

impl Outcome {
    fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "outcome-unknown",
            Outcome::Answered => ANSWERED,
        }
    }
}

/// When to come again about a key whose home cannot say yet.
const KEY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The outcome of an answer that a backend server gave.
pub(super) const ANSWERED: &str = "answered";

/// An answer of the entry VM's own: a status, an outcome and a reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Failure {
    /// The status.
    pub(super) status: StatusCode,
    /// What is known.
    pub(super) outcome: Outcome,
    /// One word of `docs/PROTOCOL.md`, with the header's name where a header is at fault.
    pub(super) reason: String,
    /// When to come again, where that helps.
    pub(super) retry_after: Option<Duration>,
}

impl Failure {
    /// A failure that tells no time to come again.
    pub(super) fn new(status: StatusCode, outcome: Outcome, reason: &str) -> Failure {
        Failure { status, outcome, reason: reason.to_owned(), retry_after: None }
    }

    /// A refusal for now, that says when to come again.
    pub(super) fn retryable(outcome: Outcome, reason: &str, retry_after: Duration) -> Failure {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Failure { retry_after: Some(retry_after), ..Failure::new(status, outcome, reason) }
    }

    /// Why a keyed request does not run in this attempt.
    pub(super) fn from_key_denial(denial: KeyDenial, not_run: bool) -> Failure {
        let outcome = if not_run { Outcome::NotRun } else { Outcome::Unknown };
        let (status, reason) = match denial {
            KeyDenial::Unknown => (StatusCode::CONFLICT, "key-unknown"),
            KeyDenial::Running => (StatusCode::CONFLICT, "key-in-progress"),
            KeyDenial::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, "key-reused"),
            KeyDenial::Full => (StatusCode::SERVICE_UNAVAILABLE, "keys-full"),
            KeyDenial::Settling => (StatusCode::SERVICE_UNAVAILABLE, "key-home-settling"),
            KeyDenial::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "key-home-unreachable"),
        };
        let is_permanent = matches!(denial, KeyDenial::Unknown | KeyDenial::Mismatch);
        let retry_after = (!is_permanent).then_some(KEY_RETRY_DELAY);
        Failure { retry_after, ..Failure::new(status, outcome, reason) }
    }

    /// The same failure of a repeated attempt, of which it proves nothing: an earlier one may have
    /// run.
    pub(super) fn for_repeated_attempt(self) -> Failure {
        Failure { outcome: Outcome::Unknown, ..self }
    }

    /// The answer as it goes to the caller.
    pub(super) fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::fixed(format!("{}\n", self.reason)));
        *response.status_mut() = self.status;
        let map = response.headers_mut();
        map.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Ok(reason) = HeaderValue::from_str(&self.reason) {
            map.insert(headers::REASON, reason);
        }
        if let Some(wait) = self.retry_after {
            let millis = wait.as_millis().max(1) as u64;
            map.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
            map.insert(headers::RETRY_AFTER_MS, HeaderValue::from(millis));
        }
        response
    }
}

impl From<Rejection> for Failure {
    fn from(rejection: Rejection) -> Failure {
        let Rejection { reason, retry_after } = rejection;
        match reason {
            RejectReason::UnknownService => {
                Failure::new(StatusCode::NOT_FOUND, Outcome::NotRun, "unknown-service")
            }
            RejectReason::NoBackend => {
                Failure::retryable(Outcome::NotRun, "no-backend", retry_after)
            }
            RejectReason::Deadline => Failure::retryable(Outcome::NotRun, "deadline", retry_after),
            RejectReason::Overload => Failure::retryable(Outcome::NotRun, "overload", retry_after),
            RejectReason::Draining => Failure::retryable(Outcome::NotRun, "draining", retry_after),
        }
    }
}

impl From<HeadError> for Failure {
    fn from(err: HeadError) -> Failure {
        let status = match err {
            HeadError::Method => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        };
        Failure::new(status, Outcome::NotRun, &err.to_string())
    }
}

impl From<TryError> for Failure {
    fn from(err: TryError) -> Failure {
        let status = match err {
            TryError::Deadline => StatusCode::GATEWAY_TIMEOUT,
            TryError::NotSent | TryError::NoConnection | TryError::Refused => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            _ => StatusCode::BAD_GATEWAY,
        };
        let outcome = if err.proves_not_run() { Outcome::NotRun } else { Outcome::Unknown };
        Failure::new(status, outcome, err.as_str())
    }
}
