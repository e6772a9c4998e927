//! Handles a caller's request from its head to its answer.

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use daisy_model::Instant;
use daisy_routing::{Call, ClaimEnd, KeyAnswer, KeyId, KeyQuery, QueueDecision, Target, digest};
use daisy_wire::headers;
use http::{HeaderValue, Request, Response, StatusCode, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{
    boundary::PeerKeys,
    proxy::{
        answer::{Failure, RequestOutcome},
        body::AnswerBody,
        core::{AdmissionResult, Core},
        forward::ForwardedRequest,
        head::{self, Head, Key},
        keyed::{ClaimResult, KeyedRequest},
        stored,
        tries::{self, Payload, ProxiedRequest},
    },
};

/// Bodies of up to this many bytes are read completely before a slot is taken, so that a slow
/// sender occupies no slot and the request can be sent again.
const MAX_BUFFERED_BODY: u64 = 64 << 10;

/// Answers requests; clones share their state.
#[derive(Debug, Clone)]
pub(super) struct Requests<K> {
    pub(super) core: Arc<Core>,
    pub(super) peers: K,
}

impl<K: PeerKeys<KeyQuery, KeyAnswer>> Requests<K> {
    /// Answers `req`; every path ends in exactly one answer.
    pub(super) async fn answer(
        &self,
        req: Request<Incoming>,
        address: IpAddr,
    ) -> Response<AnswerBody> {
        let id = self.core.random_id();
        let arrived = self.core.clock.now();
        let service = req.headers().get(headers::SERVICE).cloned();
        let (parts, body) = req.into_parts();
        let repeats = head::may_repeat(&parts);
        let mut response = match self.run(parts, body, address, id).await {
            Ok(response) => response,
            Err(failure) => {
                let failure = match failure {
                    RequestFailure::Early(failure) if repeats => failure.for_repeated_attempt(),
                    RequestFailure::Early(failure) | RequestFailure::Final(failure) => failure,
                };
                failure.log(id, self.core.clock.now().since(arrived));
                failure.into_response()
            }
        };
        if let Ok(value) = HeaderValue::from_str(&format!("{id:016x}")) {
            response.headers_mut().insert(headers::REQUEST_ID, value);
        }
        let took = self.core.clock.now().since(arrived);
        self.core.metrics.answered(service.as_ref(), &response, took);
        response
    }

    async fn run(
        &self,
        parts: Parts,
        body: Incoming,
        address: IpAddr,
        id: u64,
    ) -> Result<Response<AnswerBody>, RequestFailure> {
        let core = &self.core;
        let arrived = core.clock.now();
        let head = Head::read(&parts, address).map_err(|err| RequestFailure::Early(err.into()))?;
        let deadline = arrived + head.time_to_deadline;
        let bytes = body.size_hint().lower();
        let payload = read_body(core, body, deadline).await.map_err(RequestFailure::Early)?;
        let call = Call {
            service: head.service,
            urgency: head.urgency,
            caller: head.caller,
            deadline,
            idempotent: head.idempotent,
            bytes,
        };
        let request_digest = request_digest(&parts);
        let proxied =
            ProxiedRequest { call, forwarded: ForwardedRequest::new(parts, id, deadline), payload };
        match head.key {
            None => run_request(core, proxied).await.map_err(RequestFailure::Final),
            Some(key) => self
                .run_keyed(proxied, id, key, request_digest)
                .await
                .map_err(RequestFailure::Final),
        }
    }

    /// Runs a keyed request to its end even if its caller has disconnected, so that a repeated
    /// attempt finds its answer.
    async fn run_keyed(
        &self,
        proxied: ProxiedRequest,
        request: u64,
        key: Key,
        request_digest: u64,
    ) -> Result<Response<AnswerBody>, Failure> {
        let id = KeyId { service: proxied.call.service.clone(), key: key.key.clone() };
        let deadline = proxied.call.deadline;
        let Requests { core, peers } = self.clone();
        let keyed = KeyedRequest { core, peers, request, id, request_digest, key, deadline };
        let permit = self.core.keyed_permits.clone().acquire_owned().await;
        let task = tokio::spawn(async move {
            let answer = run_claimed(keyed, proxied).await;
            drop(permit);
            answer
        });
        task.await.unwrap_or_else(|_| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Err(Failure::new(status, RequestOutcome::Unknown, "internal"))
        })
    }
}

/// A failure, and whether it occurred before earlier attempts were checked.
#[derive(Debug)]
enum RequestFailure {
    Early(Failure),
    Final(Failure),
}

async fn run_claimed<K: PeerKeys<KeyQuery, KeyAnswer>>(
    keyed: KeyedRequest<K>,
    proxied: ProxiedRequest,
) -> Result<Response<AnswerBody>, Failure> {
    let claim = match keyed.claim().await? {
        ClaimResult::Run(claim) => claim,
        ClaimResult::Replay(answer) => return stored::replay(answer),
    };
    let result = match run_request(&keyed.core, proxied).await {
        Ok(response) => stored::store_answer(response).await.map_err(|err| {
            log::debug!("event=answer_cut_off error={err:?}");
            Failure::new(StatusCode::BAD_GATEWAY, RequestOutcome::Unknown, "answer-cut-off")
        }),
        Err(failure) => Err(failure),
    };
    match result {
        Ok((response, stored)) => {
            keyed.finish(claim, ClaimEnd::Answered(stored)).await;
            Ok(response)
        }
        Err(failure) => {
            let not_run = failure.outcome == RequestOutcome::NotRun;
            let end = if not_run { ClaimEnd::NotRun } else { ClaimEnd::Unknown };
            keyed.finish(claim, end).await;
            Err(failure)
        }
    }
}

async fn run_request(
    core: &Arc<Core>,
    proxied: ProxiedRequest,
) -> Result<Response<AnswerBody>, Failure> {
    let target = find_target(core, &proxied.call).await?;
    tries::run(core, proxied, target).await
}

/// Returns a digest of the request that a key belongs to: using the key for another request is an
/// error.
fn request_digest(parts: &Parts) -> u64 {
    digest(format!("{} {}", parts.method, parts.uri).as_bytes())
}

async fn find_target(core: &Core, call: &Call) -> Result<Target, Failure> {
    match core.admit(call) {
        AdmissionResult::Send(target) => Ok(target),
        AdmissionResult::Reject(rejection) => Err(rejection.into()),
        AdmissionResult::Wait(waiting) => match waiting.decision().await {
            Some(QueueDecision::Send(target)) => Ok(target),
            Some(QueueDecision::Reject(_, rejection)) => Err(rejection.into()),
            None => {
                Err(Failure::retryable(RequestOutcome::NotRun, "draining", core.retry_after(call)))
            }
        },
    }
}

/// Reads a short body completely, and leaves a long one to be streamed.
async fn read_body(core: &Core, body: Incoming, deadline: Instant) -> Result<Payload, Failure> {
    let limit = core.options.limits.body_bytes;
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(Failure::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            RequestOutcome::NotRun,
            "body-too-large",
        ));
    }
    if hint.exact().is_none_or(|length| length > MAX_BUFFERED_BODY) {
        return Ok(Payload::Streamed { inner: body, limit });
    }
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let at = core.clock.timer_at(deadline);
    match tokio::time::timeout_at(at, body.collect()).await {
        Ok(Ok(whole)) => Ok(Payload::Buffered(whole.to_bytes())),
        Ok(Err(_)) => {
            Err(Failure::new(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, "request-cut-off"))
        }
        Err(_) => {
            Err(Failure::new(StatusCode::REQUEST_TIMEOUT, RequestOutcome::NotRun, "slow-request"))
        }
    }
}
