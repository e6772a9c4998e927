//! One try of a request on one backend server.

use std::sync::Arc;

use daisy_model::Instant;
use daisy_routing::{Target, TryOutcome, TryReport};
use daisy_wire::headers;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, Version,
    header::{self, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    request::Parts,
};
use hyper::{
    body::{Body, Incoming},
    client::conn::TrySendError,
};

use crate::proxy::{
    answer::ANSWERED,
    body::{AnswerBody, RequestBody, Streamed},
    core::Core,
    guard::{AnswerGuard, TryGuard},
    pool::{PoolError, PooledConnection},
};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// `keep-alive`, which is hop-by-hop as well although RFC 9110 mentions it only in passing.
const KEEP_ALIVE: &str = "keep-alive";

/// A request as it is sent to backend servers, the same for every try.
#[derive(Debug)]
pub(super) struct ForwardedRequest {
    /// Method, path and headers, without hop-by-hop headers.
    pub(super) parts: Parts,
    /// The request ID, the same in every try.
    pub(super) id: String,
    /// When its answer must be complete.
    pub(super) deadline: Instant,
}

/// Why a try failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TryError {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: all connections that this entry VM may open are in use.
    NoConnection,
    /// The backend server rejected the request and states that it did not run.
    Refused,
    /// The request was sent, and the connection broke before the answer's head arrived.
    Broken,
    /// The answer carries the ID of another request.
    WrongId,
    /// The end of the answer cannot be distinguished from a broken connection.
    Unframed,
    /// The answer's head did not arrive by the deadline.
    Deadline,
}

impl TryError {
    /// Returns whether the request provably did not run in this try.
    pub(super) fn proves_not_run(self) -> bool {
        matches!(self, TryError::NotSent | TryError::NoConnection | TryError::Refused)
    }

    /// Combines the errors of two failed tries.
    ///
    /// Guards against `not-run` for a request whose first try may have run and whose second could
    /// not be sent: the proof must hold for every try.
    pub(super) fn combine(self, other: TryError) -> TryError {
        if self.proves_not_run() { other } else { self }
    }

    /// Returns the reason listed in `docs/PROTOCOL.md`.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            TryError::NotSent => "connect",
            TryError::NoConnection => "no-connection",
            TryError::Refused => "backend-refused",
            TryError::Broken => "connection-lost",
            TryError::WrongId => "wrong-request-id",
            TryError::Unframed => "unframed-answer",
            TryError::Deadline => "deadline",
        }
    }
}

impl ForwardedRequest {
    /// Creates the request from the caller's head, without hop-by-hop headers.
    pub(super) fn new(mut parts: Parts, id: u64, deadline: Instant) -> ForwardedRequest {
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(header::EXPECT);
        parts.headers.remove(CONTENT_LENGTH);
        parts.version = Version::HTTP_11;
        parts.uri = path_only(&parts.uri);
        parts.extensions = http::Extensions::new();
        let id = format!("{id:016x}");
        if let Ok(value) = HeaderValue::from_str(&id) {
            parts.headers.insert(headers::REQUEST_ID, value);
        }
        ForwardedRequest { parts, id, deadline }
    }

    fn request(&self, body: RequestBody, target: &Target, now: Instant) -> Request<RequestBody> {
        let mut parts = self.parts.clone();
        let left = self.deadline.since(now).as_millis() as u64;
        parts.headers.insert(headers::DEADLINE_MS, HeaderValue::from(left));
        if !parts.headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&target.address.to_string())
        {
            parts.headers.insert(HOST, host);
        }
        Request::from_parts(parts, body)
    }
}

/// Sends a request to `target` and waits for the answer's head.
pub(super) async fn try_once(
    core: &Arc<Core>,
    target: Target,
    forwarded: &ForwardedRequest,
    body: RequestBody,
) -> Result<Response<AnswerBody>, TryError> {
    let mut guard = TryGuard::new(Arc::clone(core), target.try_id);
    let sent = send(core, &target, forwarded, body);
    let at = core.clock.timer_at(forwarded.deadline);
    let result = tokio::time::timeout_at(at, sent).await.unwrap_or(Err(TryError::Deadline));
    let (connection, response) = match result {
        Ok(answered) => answered,
        Err(err) => {
            let outcome = match err {
                TryError::NotSent => TryOutcome::NotSent,
                TryError::NoConnection => TryOutcome::Refused,
                _ => TryOutcome::Broken,
            };
            guard.end(TryReport::without_answer(outcome));
            return Err(err);
        }
    };
    let report = read_report(response.headers());
    if let Err(err) = validate_answer(&response, &forwarded.id) {
        let outcome =
            if err == TryError::Refused { TryOutcome::Refused } else { TryOutcome::Broken };
        guard.end(TryReport { outcome, ..report });
        return Err(err);
    }
    Ok(forward_answer(response, AnswerGuard::new(guard, connection, report, forwarded.deadline)))
}

async fn send(
    core: &Core,
    target: &Target,
    forwarded: &ForwardedRequest,
    body: RequestBody,
) -> Result<(PooledConnection, Response<Incoming>), TryError> {
    let result = core.pool.acquire(target.address, target.connections).await;
    let mut connection = result.map_err(|err| {
        log::debug!("event=no_connection vm={} error={err:?}", target.vm);
        match err {
            PoolError::Full { .. } => TryError::NoConnection,
            PoolError::Connect(_) | PoolError::Handshake(_) => TryError::NotSent,
        }
    })?;
    let now = core.clock.now();
    // Guards against a frozen entry VM that wakes and sends a request whose caller has given up: by
    // then a repeated attempt may have run elsewhere. Timers fire too late for this, as futures
    // that are ready are polled first.
    if now >= forwarded.deadline {
        return Err(TryError::NotSent);
    }
    let req = forwarded.request(body, target, now);
    match connection.tx.try_send_request(req).await {
        Ok(response) => Ok((connection, response)),
        Err(err) => Err(classify_send_error(err, target)),
    }
}

/// Converts a send error: only a request that hyper returns was certainly not written.
fn classify_send_error(mut err: TrySendError<Request<RequestBody>>, target: &Target) -> TryError {
    let unwritten = err.take_message().is_some();
    log::debug!("event=try_failed vm={} unwritten={unwritten} error={:?}", target.vm, err.error());
    if unwritten { TryError::NotSent } else { TryError::Broken }
}

fn read_report(map: &HeaderMap) -> TryReport {
    let text = |name| map.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    TryReport {
        outcome: TryOutcome::Answered,
        in_flight: text(headers::IN_FLIGHT).and_then(|text| text.parse().ok()),
        leaving: text(headers::LEAVING) == Some("1"),
        bytes: 0,
    }
}

/// Rejects an answer that is not certainly the complete answer to this request.
fn validate_answer(response: &Response<Incoming>, id: &str) -> Result<(), TryError> {
    let map = response.headers();
    // Guards against a late or duplicate answer on a reused connection, which a caller would get as
    // the answer to its own request: such an answer has another ID, or none.
    if map.get(headers::REQUEST_ID).is_none_or(|value| value.as_bytes() != id.as_bytes()) {
        return Err(TryError::WrongId);
    }
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && map.get(headers::OUTCOME).is_some_and(|value| value == "not-run");
    if refused {
        return Err(TryError::Refused);
    }
    // Guards against a truncated answer that looks successful: without a length or chunks, a body
    // ends where the connection does, and a broken connection looks like the end.
    let framed = response.body().is_end_stream()
        || map.contains_key(CONTENT_LENGTH)
        || map.contains_key(TRANSFER_ENCODING);
    if framed { Ok(()) } else { Err(TryError::Unframed) }
}

fn forward_answer(response: Response<Incoming>, mut guard: AnswerGuard) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(headers::IN_FLIGHT);
    parts.headers.remove(headers::LEAVING);
    parts.headers.insert(headers::OUTCOME, HeaderValue::from_static(ANSWERED));
    if body.is_end_stream() {
        guard.complete();
    }
    Response::from_parts(parts, AnswerBody::Streamed(Streamed::new(body, guard)))
}

fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
    map.remove(KEEP_ALIVE);
}

fn path_only(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}
