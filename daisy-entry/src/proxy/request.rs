//! The life of one caller's request.

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use daisy_model::Instant;
use daisy_routing::{Call, Grant, Reason, Refusal, Target};
use daisy_wire::headers;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};

use crate::proxy::{
    answer::{Failure, Outcome},
    body::{AnswerBody, Outgoing},
    core::{Core, Offered},
    forward::{Sending, try_once},
    head::Head,
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
    let body = read_body(core, body, deadline).await?;
    let call = Call {
        service: head.service.clone(),
        urgency: head.urgency,
        caller: head.caller,
        deadline,
        idempotent: head.idempotent,
        bytes: body.size_hint().lower(),
    };
    let sending = Sending::new(parts, id, deadline);
    let target = find_target(core, &call).await?;
    try_once(core, target, &sending, body).await.map_err(Failure::from)
}

async fn find_target(core: &Core, call: &Call) -> Result<Target, Failure> {
    match core.offer(call) {
        Offered::Send(target) => Ok(target),
        Offered::Refuse(refusal) => Err(refusal.into()),
        Offered::Wait(waiting) => match waiting.decided().await {
            Some(Grant::Send(target)) => Ok(target),
            Some(Grant::Refuse(_, refusal)) => Err(refusal.into()),
            None => {
                let retry_after = std::time::Duration::from_secs(1);
                Err(Refusal { reason: Reason::Draining, retry_after }.into())
            }
        },
    }
}

/// Reads a short body whole, and leaves a long one to be passed on as it comes.
async fn read_body(core: &Core, body: Incoming, deadline: Instant) -> Result<Outgoing, Failure> {
    let limit = core.options.limits.body_bytes;
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(too_large());
    }
    if hint.exact().is_none_or(|length| length > BUFFERED_BODY) {
        return Ok(Outgoing::Streamed { inner: body, left: limit, limit });
    }
    if body.is_end_stream() {
        return Ok(Outgoing::Buffered(Full::new(Bytes::new())));
    }
    let at = core.clock.timer_at(deadline);
    let read = Limited::new(body, BUFFERED_BODY as usize).collect();
    match tokio::time::timeout_at(at, read).await {
        Ok(Ok(whole)) => Ok(Outgoing::Buffered(Full::new(whole.to_bytes()))),
        Ok(Err(_)) => {
            Err(Failure::new(StatusCode::BAD_REQUEST, Outcome::NotRun, "request-cut-off"))
        }
        Err(_) => Err(Failure::new(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, "slow-request")),
    }
}

fn too_large() -> Failure {
    Failure::new(StatusCode::PAYLOAD_TOO_LARGE, Outcome::NotRun, "body-too-large")
}
