//! A small HTTP/1.1 server whose handlers can close a connection without an answer.
//!
//! The stand-ins use hyper directly: a router that converts each error into a response could not
//! lose an answer.

use std::{error::Error, future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use daisy_wire::headers;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::{
    fault::{FaultSwitches, RequestDecision},
    recorder::Recorder,
    repeat::{RepeatIo, RepeatSwitch},
};

/// The error that ends a body early.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("connection closed on purpose")]
pub(crate) struct Abort;

/// A response, or an order to close the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, Abort>;

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Maximum number of open connections; further ones are closed immediately.
    const MAX_CONNECTIONS: usize = 4096;

    /// Handles one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = HandlerResult> + Send;
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `listen` and passes the requests to `handler`.
    pub(crate) async fn bind(
        listen: SocketAddr,
        handler: Arc<impl Handler>,
    ) -> anyhow::Result<Server> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, stopped, handler));
        Ok(Server { address, stop, task })
    }

    /// Returns the address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub(crate) async fn stop(self) {
        self.stop.send_replace(true);
        let _ = self.task.await;
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
    handler: Arc<H>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                while connections.try_join_next().is_some() {}
                match accepted {
                    Ok((stream, _)) if connections.len() < H::MAX_CONNECTIONS => {
                        connections.spawn(serve(stream, handler.clone()));
                    }
                    Ok(_) => log::warn!("event=connection-refused cause=too-many"),
                    Err(error) => log::warn!("event=accept-failed error={error:?}"),
                }
            }
            _ = stopped.changed() => break,
        }
    }
    connections.shutdown().await;
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let repeat = RepeatSwitch::default();
    let io = RepeatIo::new(stream, repeat.clone());
    let service = service_fn(move |mut req: Request<Incoming>| {
        let handler = handler.clone();
        req.extensions_mut().insert(repeat.clone());
        async move { handler.handle(req).await }
    });
    let served =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(io), service);
    if let Err(error) = served.await {
        log::debug!("event=connection-ended error={error:?}");
    }
}

/// Returns the name of the calling process, or an empty string.
pub(crate) fn caller_name(req: &Request<Incoming>) -> &str {
    header_of(req, headers::FROM).unwrap_or("")
}

/// Returns a header as text, if it is present.
pub(crate) fn header_of<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Returns a query parameter, if it is present and can be parsed.
pub(crate) fn query<B, T: std::str::FromStr>(req: &Request<B>, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Reads the whole body, of at most `limit` bytes.
///
/// # Errors
///
/// If the body is too long or incomplete; the error is what the handler returns.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, HandlerResult> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Ok(text(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("the body is longer than {limit} bytes"),
        ))),
        Err(_) => Err(Err(Abort)),
    }
}

/// Returns a response with one line of text.
pub(crate) fn text(status: StatusCode, line: &str) -> Response<Body> {
    answer(status, "text/plain", format!("{line}\n").into())
}

/// Returns a response with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with `body`, of the content type `kind`.
pub(crate) fn answer(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// Handles the paths that all stand-ins have, and returns any other request as the error.
pub(crate) async fn handle_common_paths(
    req: Request<Incoming>,
    switches: &FaultSwitches,
    recorder: &Recorder,
) -> Result<HandlerResult, Request<Incoming>> {
    match (req.method().clone(), req.uri().path()) {
        (Method::GET, "/standin/history") => Ok(Ok(history(recorder))),
        (Method::GET, "/standin/faults") => Ok(Ok(json(StatusCode::OK, &switches.get()))),
        (Method::POST, "/standin/faults") => Ok(set_faults(req, switches).await),
        _ => Err(req),
    }
}

/// Applies the fault switches to a request before it is carried out.
///
/// # Errors
///
/// If the request must not be carried out; the error is what the handler returns.
pub(crate) async fn apply_faults(
    req: &Request<Incoming>,
    switches: &FaultSwitches,
) -> Result<(), HandlerResult> {
    match switches.decide(caller_name(req)).await {
        RequestDecision::Handle => Ok(()),
        RequestDecision::Unavailable => Err(Ok(text(StatusCode::SERVICE_UNAVAILABLE, "down"))),
        RequestDecision::Close => Err(Err(Abort)),
    }
}

const FAULTS_LIMIT: usize = 64 << 10;

async fn set_faults(req: Request<Incoming>, switches: &FaultSwitches) -> HandlerResult {
    let body = match read_body(req.into_body(), FAULTS_LIMIT).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    match switches.set_json(&body) {
        Ok(()) => {
            log::info!("event=faults-set faults={}", String::from_utf8_lossy(&body));
            Ok(json(StatusCode::OK, &switches.get()))
        }
        Err(error) => Ok(text(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Returns a response with all events so far as JSON lines.
pub(crate) fn history(recorder: &Recorder) -> Response<Body> {
    let mut lines = Vec::new();
    match recorder.history().write(&mut lines) {
        Ok(()) => answer(StatusCode::OK, "application/jsonl", lines.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
