//! A small HTTP/1.1 server whose handlers can break a connection off.
//!
//! The stand-ins stay on hyper itself: a router that turns each error into an answer could
//! not lose one.

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

/// Why a body breaks off.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("connection broken off on purpose")]
pub(crate) struct Abort;

/// An answer, or the end of the connection.
pub(crate) type HandlerResult = Result<Response<Body>, Abort>;

/// What stands behind a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Connections open at one time; more are closed at once.
    const MAX_CONNECTIONS: usize = 4096;

    /// Answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = HandlerResult> + Send;
}

/// A server that runs until it is stopped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `listen` and serves.
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

    /// Where it listens.
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

/// The name of the calling process.
pub(crate) fn caller_name(req: &Request<Incoming>) -> &str {
    header_of(req, headers::FROM).unwrap_or("")
}

/// A header as text.
pub(crate) fn header_of<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// A parameter of the query.
pub(crate) fn query<B, T: std::str::FromStr>(req: &Request<B>, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// The whole body, or the answer that says why there is none.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, HandlerResult> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Ok(text(StatusCode::PAYLOAD_TOO_LARGE, &format!("more than {limit} bytes"))))
        }
        Err(_) => Err(Err(Abort)),
    }
}

/// An answer of one line of text.
pub(crate) fn text(status: StatusCode, line: &str) -> Response<Body> {
    answer(status, "text/plain", format!("{line}\n").into())
}

/// An answer in JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// An answer of `body`.
pub(crate) fn answer(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// Answers the paths that all stand-ins have; gives the request back if it is none of them.
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

/// Lets a request through to its effect, or answers as the switches say.
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

/// All events so far as JSON lines.
pub(crate) fn history(recorder: &Recorder) -> Response<Body> {
    let mut lines = Vec::new();
    match recorder.history().write(&mut lines) {
        Ok(()) => answer(StatusCode::OK, "application/jsonl", lines.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
