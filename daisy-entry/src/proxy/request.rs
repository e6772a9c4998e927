//! The life of one caller's request.

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use daisy_model::Instant;
use daisy_routing::{Call, Grant, Target};
use daisy_wire::headers;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::proxy::{
    answer::{Failure, Outcome},
    body::AnswerBody,
    core::{Core, Offered},
    forward::Sending,
    head::Head,
    tries::{self, Job, Payload},
};

/// Bodies up to this many bytes are read whole before a slot is taken, so that a slow sender
/// holds no slot and the request can be sent again.
const BUFFERED_BODY: u64 = 64 << 10;

/// Answers `req`; every path through here ends in exactly one answer.
pub(super) async fn answer(
    core: &Arc<Core>,
    req: Request<Incoming>,
    address: IpAddr,
) -> Response<AnswerBody> {
    let id = core.draw();
    let mut response = match run(core, req, address, id).await {
        Ok(response) => response,
        Err(failure) => failure.into_response(),
    };
    if let Ok(value) = HeaderValue::from_str(&format!("{id:016x}")) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}

async fn run(
    core: &Arc<Core>,
    req: Request<Incoming>,
    address: IpAddr,
    id: u64,
) -> Result<Response<AnswerBody>, Failure> {
    let arrived = core.clock.now();
    let (parts, body) = req.into_parts();
    let head = Head::read(&parts, address)?;
    let deadline = arrived + head.patience;
    let bytes = body.size_hint().lower();
    let payload = read_body(core, body, deadline).await?;
    let call = Call {
        service: head.service,
        urgency: head.urgency,
        caller: head.caller,
        deadline,
        idempotent: head.idempotent,
        bytes,
    };
    let target = find_target(core, &call).await?;
    let sending = Sending::new(parts, id, deadline);
    tries::run(core, Job { call, sending, payload }, target).await
}

async fn find_target(core: &Core, call: &Call) -> Result<Target, Failure> {
    match core.offer(call) {
        Offered::Send(target) => Ok(target),
        Offered::Refuse(refusal) => Err(refusal.into()),
        Offered::Wait(waiting) => match waiting.decided().await {
            Some(Grant::Send(target)) => Ok(target),
            Some(Grant::Refuse(_, refusal)) => Err(refusal.into()),
            None => Err(Failure::later(Outcome::NotRun, "draining", core.retry_after(call))),
        },
    }
}

/// Reads a short body whole, and leaves a long one to be passed on as it comes.
async fn read_body(core: &Core, body: Incoming, deadline: Instant) -> Result<Payload, Failure> {
    let limit = core.options.limits.body_bytes;
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(Failure::new(StatusCode::PAYLOAD_TOO_LARGE, Outcome::NotRun, "body-too-large"));
    }
    if hint.exact().is_none_or(|length| length > BUFFERED_BODY) {
        return Ok(Payload::Streamed { inner: body, limit });
    }
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let at = core.clock.timer_at(deadline);
    match tokio::time::timeout_at(at, body.collect()).await {
        Ok(Ok(whole)) => Ok(Payload::Buffered(whole.to_bytes())),
        Ok(Err(_)) => {
            Err(Failure::new(StatusCode::BAD_REQUEST, Outcome::NotRun, "request-cut-off"))
        }
        Err(_) => Err(Failure::new(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, "slow-request")),
    }
}
