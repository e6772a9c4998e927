//! The operators' port: statements and status over HTTP.
//!
//! `docs/PROTOCOL.md` describes the requests and their answers.

mod answer;
mod query;
mod statements;
mod token;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper_util::{
    rt::{TokioExecutor, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use viz::{
    Body, IntoResponse, Request, Response, Result, Router, Server,
    types::{State, StateError},
};

pub(crate) use self::{answer::Reply, token::Tokens};
use crate::{clock::Clock, control::Input, metrics::Metrics, peers::Links};

/// The maximum size of a body of statements, in bytes.
const BODY_LIMIT: usize = 64 << 10;

/// How long a request's head may take to arrive; a client that sends it byte by byte occupies a
/// connection no longer than this.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// State from which the operators' port answers.
#[derive(Debug)]
pub(crate) struct OperatorContext {
    pub tokens: Tokens,
    pub clock: Clock,
    pub control: mpsc::Sender<Input>,
    pub links: Links,
    pub metrics: Metrics,
}

/// Serves operators on `listener` until the task is aborted.
pub(crate) async fn serve(context: Arc<OperatorContext>, listener: TcpListener) {
    let router = Router::new()
        .post("/v1/statements", post_statements)
        .get("/v1/status", get_status)
        .with(State::new(context));
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    if let Err(e) = Server::with_builder(listener, router, builder).await {
        log::error!("event=operators_port_failed cause=\"{e}\"");
    }
}

async fn post_statements(req: Request) -> Result<Response> {
    let context = operator_context(&req)?;
    let Some(who) = context.tokens.try_find(req.headers()).cloned() else {
        log::warn!("event=statement_refused cause=token");
        return Ok(Reply::failed(StatusCode::UNAUTHORIZED, "operator token missing or unknown")
            .into_response());
    };
    let body = Limited::new(req.into_body(), BODY_LIMIT).collect().await;
    let text = body.ok().and_then(|body| String::from_utf8(body.to_bytes().into()).ok());
    let Some(text) = text else {
        log::warn!("event=statement_refused who={who} cause=body");
        let cause = format!("the body is not UTF-8 text of at most {BODY_LIMIT} bytes");
        return Ok(Reply::failed(StatusCode::PAYLOAD_TOO_LARGE, &cause).into_response());
    };
    let reply = statements::run(&context, who, &text).await;
    context.metrics.statement(reply.status.is_success());
    Ok(reply.into_response())
}

async fn get_status(req: Request) -> Result<Response> {
    let context = operator_context(&req)?;
    let (reply, status) = oneshot::channel();
    let sent = context.control.send(Input::Status { reply }).await;
    match (sent, status.await) {
        (Ok(()), Ok(status)) => Ok(json(StatusCode::OK, &status)),
        _ => Ok(Reply::failed(StatusCode::SERVICE_UNAVAILABLE, "stopping").into_response()),
    }
}

fn operator_context(req: &Request) -> Result<Arc<OperatorContext>> {
    let context = req.extensions().get::<Arc<OperatorContext>>().cloned();
    context.ok_or_else(|| StateError::new::<Arc<OperatorContext>>().into())
}

/// Returns a JSON response.
pub(crate) fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::Full(body.into()));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
