//! A caller that retries only as far as the protocol's guarantees allow.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_history::{CallOutcome, EventKind};
use daisy_wire::headers;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use super::{Options, balancer::Balancer, report::CallResult};
use crate::{
    Recorder, answer,
    client::{Answer, CallError, Client, request},
};

/// Makes calls and retries them.
#[derive(Debug)]
pub(super) struct Caller {
    options: Options,
    client: Client,
    balancer: Balancer,
    recorder: Recorder,
}

/// A call in progress.
#[derive(Debug)]
struct Call {
    number: u64,
    key: Option<String>,
    body: Bytes,
    due_at: Instant,
}

/// The result of one attempt of a call.
#[derive(Debug)]
struct AttemptResult {
    outcome: CallOutcome,
    status: Option<u16>,
    request: Option<String>,
    has_own_answer: bool,
    retry_after: Option<Duration>,
}

/// Delay before a retry if the answer does not name one, and while no entry VM is ready.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How much longer a caller waits than the deadline that it sends to the entry VM: an answer that was
/// sent in time still has to be transmitted (3 ms at the users' sites).
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

impl Caller {
    pub(super) fn new(
        options: Options,
        client: Client,
        balancer: Balancer,
        recorder: Recorder,
    ) -> Caller {
        Caller { options, client, balancer, recorder }
    }

    pub(super) fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the idempotency key of the call with this index, from 0, if it is chosen to be non-idempotent.
    pub(super) fn choose_key(&self, rng: &mut fastrand::Rng, index: u64) -> Option<String> {
        let keyed = rng.u32(0..1000) < self.options.keyed_per_mille;
        let call = self.options.first_call + index;
        keyed.then(|| format!("{}-{call}-{:08x}", self.options.name, rng.u32(..)))
    }

    /// Makes the call with this index, from 0, which is due at `due_at`, with all its attempts.
    pub(super) async fn call(
        &self,
        index: u64,
        key: Option<String>,
        due_at: Instant,
    ) -> CallResult {
        let number = self.options.first_call + index;
        let body = answer::request_body(number, self.options.body_bytes);
        let call = Call { number, key, body, due_at };
        let mut summary = CallSummary::default();
        let mut last_entry = None;
        for attempt in 1..=self.options.attempts.max(1) {
            let Some(entry) = self.next_entry(&call, last_entry).await else { break };
            last_entry = Some(entry);
            // Attempts that are known not to have run do not count in the attempt header
            // (docs/PROTOCOL.md).
            let header_attempt = if summary.unknown { attempt } else { 1 };
            let ended = self.attempt(&call, attempt, header_attempt, entry).await;
            summary.add(&ended);
            let should_retry =
                ended.outcome != CallOutcome::Answered && self.may_retry(&call, &summary);
            if !should_retry {
                break;
            }
            sleep(ended.retry_after.unwrap_or(RETRY_DELAY)).await;
            if self.time_left(&call).is_zero() {
                break;
            }
        }
        CallResult {
            outcome: summary.outcome(),
            has_own_answer: summary.has_own_answer,
            latency: call.due_at.elapsed(),
            attempts: summary.attempts,
        }
    }

    async fn next_entry(&self, call: &Call, last: Option<SocketAddr>) -> Option<SocketAddr> {
        loop {
            if let Some(entry) = self.balancer.next(last) {
                return Some(entry);
            }
            if self.time_left(call).is_zero() {
                return None;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether attempts and time are left for a retry.
    ///
    /// Any call may be retried: a call with a key is retried with the same key, and a call without one
    /// is idempotent. A call with a key must never be retried with another key.
    fn may_retry(&self, call: &Call, summary: &CallSummary) -> bool {
        summary.attempts < self.options.attempts && !self.time_left(call).is_zero()
    }

    fn time_left(&self, call: &Call) -> Duration {
        self.options.deadline.saturating_sub(call.due_at.elapsed())
    }

    async fn attempt(
        &self,
        call: &Call,
        attempt: u32,
        header_attempt: u32,
        entry: SocketAddr,
    ) -> AttemptResult {
        self.recorder.record(EventKind::CallSent {
            call: call.number,
            attempt,
            key: call.key.clone(),
            entry: entry.to_string(),
        });
        let req = self.request(call, header_attempt, entry);
        let answered = self.client.send(req, self.time_left(call) + RESPONSE_GRACE).await;
        let ended = match answered {
            Ok(answer) => self.evaluate(call, &answer),
            Err(error) => failed_attempt(&error),
        };
        self.recorder.record(EventKind::CallEnded {
            call: call.number,
            attempt,
            outcome: ended.outcome,
            status: ended.status,
            request: ended.request.clone(),
            own: ended.has_own_answer,
        });
        ended
    }

    fn request(&self, call: &Call, attempt: u32, entry: SocketAddr) -> Request<Full<Bytes>> {
        let mut path = format!("/?size={}", self.options.answer_bytes);
        if let Some(ms) = self.options.service_ms {
            path += &format!("&ms={ms}");
        }
        if let Some((chunks, gap_ms)) = self.options.stream {
            path += &format!("&chunks={chunks}&gap_ms={gap_ms}");
        }
        let mut req = request(Method::POST, entry, &path, call.body.clone());
        let time_left_ms = self.time_left(call).as_millis().to_string();
        insert_header(&mut req, headers::SERVICE, &self.options.service);
        insert_header(&mut req, headers::DEADLINE_MS, &time_left_ms);
        if let Some(key) = &call.key {
            insert_header(&mut req, headers::IDEMPOTENCY_KEY, key);
            insert_header(&mut req, headers::ATTEMPT, &attempt.to_string());
        }
        if let Some(priority) = &self.options.priority {
            insert_header(&mut req, headers::PRIORITY, priority);
        }
        req
    }

    fn evaluate(&self, call: &Call, answer: &Answer) -> AttemptResult {
        let text = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
        let outcome_header = text(headers::OUTCOME);
        let outcome = match outcome_header {
            Some("not-run") => CallOutcome::NotRun,
            Some("outcome-unknown") => CallOutcome::Unknown,
            _ if answer.status == StatusCode::OK => CallOutcome::Answered,
            _ => CallOutcome::Unknown,
        };
        let seconds = text(header::RETRY_AFTER.as_str()).and_then(|it| it.parse().ok());
        AttemptResult {
            outcome,
            status: Some(answer.status.as_u16()),
            request: text(headers::REQUEST_ID).map(str::to_owned),
            has_own_answer: outcome == CallOutcome::Answered
                && answer.body == answer::expected_answer(&call.body, self.options.answer_bytes),
            retry_after: seconds.map(Duration::from_secs),
        }
    }
}

/// The combined result of the attempts of a call so far.
#[derive(Debug, Default)]
struct CallSummary {
    attempts: u32,
    answered: bool,
    has_own_answer: bool,
    unknown: bool,
}

impl CallSummary {
    fn add(&mut self, ended: &AttemptResult) {
        self.attempts += 1;
        self.answered |= ended.outcome == CallOutcome::Answered;
        self.has_own_answer |= ended.has_own_answer;
        self.unknown |= matches!(ended.outcome, CallOutcome::Unknown | CallOutcome::Broken);
    }

    fn outcome(&self) -> CallOutcome {
        match (self.answered, self.unknown, self.attempts) {
            (true, ..) => CallOutcome::Answered,
            (_, true, _) => CallOutcome::Unknown,
            (_, _, 0) => CallOutcome::Unreachable,
            _ => CallOutcome::NotRun,
        }
    }
}

fn failed_attempt(error: &CallError) -> AttemptResult {
    log::debug!("event=attempt-failed error={error}");
    let outcome = match error {
        CallError::Unreachable(_) => CallOutcome::Unreachable,
        CallError::Broken(_) | CallError::TimedOut(_) => CallOutcome::Broken,
    };
    AttemptResult { outcome, status: None, request: None, has_own_answer: false, retry_after: None }
}

fn insert_header(req: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        req.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
