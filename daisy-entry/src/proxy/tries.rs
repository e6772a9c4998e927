//! The tries of one request: the first, retries and hedges.

use std::{pin::pin, sync::Arc};

use bytes::Bytes;
use daisy_model::VmId;
use daisy_routing::{Call, Target};
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::proxy::{
    answer::Failure,
    body::{AnswerBody, RequestBody},
    core::Core,
    forward::{ForwardedRequest, TryError, try_once},
};

/// A request's body before its tries.
#[derive(Debug)]
pub(super) enum Payload {
    /// Read completely; every try sends it.
    Buffered(Bytes),
    /// Streamed as it arrives; for one try only.
    Streamed {
        /// The caller's body.
        inner: Incoming,
        /// The maximum size of the body, in bytes.
        limit: u64,
    },
}

/// A request with all that its tries need.
#[derive(Debug)]
pub(super) struct ProxiedRequest {
    /// The request as the router sees it.
    pub(super) call: Call,
    /// The head as it is sent to backend servers.
    pub(super) forwarded: ForwardedRequest,
    /// Its body.
    pub(super) payload: Payload,
}

/// Tries `proxied` at `target`, and at other backend servers as long as that is safe and the router
/// allows it.
pub(super) async fn run(
    core: &Arc<Core>,
    proxied: ProxiedRequest,
    target: Target,
) -> Result<Response<AnswerBody>, Failure> {
    let ProxiedRequest { call, forwarded, payload } = proxied;
    let bytes = match payload {
        Payload::Buffered(bytes) => bytes,
        Payload::Streamed { inner, limit } => {
            let body = RequestBody::Streamed { inner, left: limit, limit };
            let tried = try_once(core, target, &forwarded, body).await;
            return tried.map_err(|err| failure(core, &call, err));
        }
    };
    let mut tried = Vec::new();
    let mut target = target;
    let mut combined_error: Option<TryError> = None;
    loop {
        tried.push(target.vm);
        let err = match try_hedged(core, &call, &forwarded, &bytes, target, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(err) => combined_error.map_or(err, |combined_error| combined_error.combine(err)),
        };
        combined_error = Some(err);
        // Guards against a request that runs twice: a request that may have run is tried again only
        // if it is idempotent.
        let safe = call.idempotent || err.proves_not_run();
        let next = if safe { core.retry(&call, &tried) } else { None };
        target = next.ok_or_else(|| failure(core, &call, err))?;
        log::debug!("event=retry id={} reason={} vm={}", forwarded.id, err.as_str(), target.vm);
    }
}

/// Makes a first try, and a concurrent second try if the first takes longer than most. The slower
/// try is dropped, which closes its connection.
async fn try_hedged(
    core: &Arc<Core>,
    call: &Call,
    forwarded: &ForwardedRequest,
    bytes: &Bytes,
    target: Target,
    tried: &mut Vec<VmId>,
) -> Result<Response<AnswerBody>, TryError> {
    let send = |target| try_once(core, target, forwarded, buffered(bytes));
    let Some(hedge_delay) = core.hedge_after(call) else { return send(target).await };
    let mut first = pin!(send(target));
    tokio::select! {
        tried = first.as_mut() => return tried,
        () = tokio::time::sleep(hedge_delay) => {}
    }
    let Some(second) = core.hedge(call, tried) else { return first.await };
    tried.push(second.vm);
    log::debug!("event=hedge id={} vm={}", forwarded.id, second.vm);
    let mut second = pin!(send(second));
    tokio::select! {
        tried = first.as_mut() => match tried {
            Ok(response) => Ok(response),
            Err(err) => second.await.map_err(|other| err.combine(other)),
        },
        tried = second.as_mut() => match tried {
            Ok(response) => Ok(response),
            Err(err) => first.await.map_err(|other| err.combine(other)),
        },
    }
}

fn buffered(bytes: &Bytes) -> RequestBody {
    RequestBody::Buffered(Full::new(bytes.clone()))
}

fn failure(core: &Core, call: &Call, err: TryError) -> Failure {
    let failure = Failure::from(err);
    if err.proves_not_run() {
        Failure { retry_after: Some(core.retry_after(call)), ..failure }
    } else {
        failure
    }
}
