//! One careful caller: retries what the protocol's promises allow.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_history::{CallOutcome, EventKind};
use daisy_wire::headers;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{Instant, sleep};

use super::{Options, balancer::Balancer, report::Done};
use crate::{
    Recorder, answer,
    client::{Answer, CallError, Client, request},
};

/// Sends calls with their retries.
#[derive(Debug)]
pub(super) struct Caller {
    options: Options,
    client: Client,
    balancer: Balancer,
    recorder: Recorder,
}

/// A call on its way.
#[derive(Debug)]
struct Call {
    number: u64,
    key: Option<String>,
    body: Bytes,
    due: Instant,
}

/// How one attempt ended.
#[derive(Debug)]
struct Attempt {
    outcome: CallOutcome,
    status: Option<u16>,
    request: Option<String>,
    own: bool,
    retry_after: Option<Duration>,
}

const PAUSE: Duration = Duration::from_millis(50);
/// A caller waits this much longer than the deadline that it tells the entry VM: an answer
/// made in time still has to travel (3 ms at the users').
const GRACE: Duration = Duration::from_millis(250);

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

    /// The key of the `number`th call, if it is to be non-idempotent.
    pub(super) fn draw_key(&self, rng: &mut fastrand::Rng, number: u64) -> Option<String> {
        let keyed = rng.u32(0..1000) < self.options.keyed_per_mille;
        let call = self.options.first_call + number;
        keyed.then(|| format!("{}-{call}-{:08x}", self.options.name, rng.u32(..)))
    }

    /// Makes the `number`th call, due at `due`, to its end.
    pub(super) async fn call(&self, number: u64, key: Option<String>, due: Instant) -> Done {
        let number = self.options.first_call + number;
        let body = answer::request_body(number, self.options.body_bytes);
        let call = Call { number, key, body, due };
        let mut sum = Sum::default();
        let mut last_entry = None;
        for attempt in 1..=self.options.attempts.max(1) {
            let Some(entry) = self.next_entry(&call, last_entry).await else { break };
            last_entry = Some(entry);
            // Attempts that are known not to have run do not count (docs/PROTOCOL.md).
            let said = if sum.unknown { attempt } else { 1 };
            let ended = self.attempt(&call, attempt, said, entry).await;
            sum.add(&ended);
            let may_go_on = ended.outcome != CallOutcome::Answered && self.may_retry(&call, &sum);
            if !may_go_on {
                break;
            }
            sleep(ended.retry_after.unwrap_or(PAUSE)).await;
            if self.left(&call).is_zero() {
                break;
            }
        }
        Done {
            outcome: sum.outcome(),
            own: sum.own,
            latency: call.due.elapsed(),
            attempts: sum.attempts,
        }
    }

    async fn next_entry(&self, call: &Call, last: Option<SocketAddr>) -> Option<SocketAddr> {
        loop {
            if let Some(entry) = self.balancer.next(last) {
                return Some(entry);
            }
            if self.left(call).is_zero() {
                return None;
            }
            sleep(PAUSE).await;
        }
    }

    /// A keyed call may be repeated under its key; one without a key is idempotent.
    /// What must not happen is a repetition of a keyed call under another key.
    fn may_retry(&self, call: &Call, sum: &Sum) -> bool {
        sum.attempts < self.options.attempts && !self.left(call).is_zero()
    }

    fn left(&self, call: &Call) -> Duration {
        self.options.deadline.saturating_sub(call.due.elapsed())
    }

    async fn attempt(&self, call: &Call, attempt: u32, said: u32, entry: SocketAddr) -> Attempt {
        self.recorder.record(EventKind::CallSent {
            call: call.number,
            attempt,
            key: call.key.clone(),
            entry: entry.to_string(),
        });
        let req = self.request(call, said, entry);
        let answered = self.client.send(req, self.left(call) + GRACE).await;
        let ended = match answered {
            Ok(answer) => self.judge(call, &answer),
            Err(error) => failed(&error),
        };
        self.recorder.record(EventKind::CallEnded {
            call: call.number,
            attempt,
            outcome: ended.outcome,
            status: ended.status,
            request: ended.request.clone(),
            own: ended.own,
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
        let left_ms = self.left(call).as_millis().to_string();
        put(&mut req, headers::SERVICE, &self.options.service);
        put(&mut req, headers::DEADLINE_MS, &left_ms);
        if let Some(key) = &call.key {
            put(&mut req, headers::IDEMPOTENCY_KEY, key);
            put(&mut req, headers::ATTEMPT, &attempt.to_string());
        }
        if let Some(priority) = &self.options.priority {
            put(&mut req, headers::PRIORITY, priority);
        }
        req
    }

    fn judge(&self, call: &Call, answer: &Answer) -> Attempt {
        let text = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
        let said = text(headers::OUTCOME);
        let outcome = match said {
            Some("not-run") => CallOutcome::NotRun,
            Some("outcome-unknown") => CallOutcome::Unknown,
            _ if answer.status == StatusCode::OK => CallOutcome::Answered,
            _ => CallOutcome::Unknown,
        };
        let seconds = text(header::RETRY_AFTER.as_str()).and_then(|it| it.parse().ok());
        Attempt {
            outcome,
            status: Some(answer.status.as_u16()),
            request: text(headers::REQUEST_ID).map(str::to_owned),
            own: outcome == CallOutcome::Answered
                && answer.body == answer::compose(&call.body, self.options.answer_bytes),
            retry_after: seconds.map(Duration::from_secs),
        }
    }
}

/// What the attempts of a call come to.
#[derive(Debug, Default)]
struct Sum {
    attempts: u32,
    answered: bool,
    own: bool,
    unknown: bool,
}

impl Sum {
    fn add(&mut self, ended: &Attempt) {
        self.attempts += 1;
        self.answered |= ended.outcome == CallOutcome::Answered;
        self.own |= ended.own;
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

fn failed(error: &CallError) -> Attempt {
    log::debug!("event=attempt-failed error={error}");
    let outcome = match error {
        CallError::Unreachable(_) => CallOutcome::Unreachable,
        CallError::Broken(_) | CallError::TimedOut(_) => CallOutcome::Broken,
    };
    Attempt { outcome, status: None, request: None, own: false, retry_after: None }
}

fn put(req: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        req.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
