//! The HTTP server for callers.

mod body;
mod connections;

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use daisy_platform::DEADLINE_HEADER;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use self::body::BodyError;
pub(crate) use self::{
    body::{RequestMemory, TakenMemory},
    connections::{Connection, Connections},
};
use crate::{
    metrics::Metrics,
    submit::{Answer, Submissions},
};

/// How long the head of a request may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest time in which a body must arrive, whatever its caller and its queue allow.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// The limit on the bytes of a head until the configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// The shortest limit on the bytes of a head that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;
/// How long a request may take if neither its caller nor its queue sets a limit.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The most bytes of the rest of a request body that are read once the answer is known.
const MAX_SKIPPED_BYTES: usize = 4 << 20;
/// The longest time for which that rest is read.
const SKIP_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers until `stop` is true, then finishes the requests that have arrived.
pub(crate) async fn serve(
    listener: TcpListener,
    submissions: Submissions,
    connections: Connections,
    metrics: Metrics,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            _ = stop.wait_for(|it| *it) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = tokio::select! {
                    it = connections.open() => it,
                    _ = stop.wait_for(|it| *it) => break,
                };
                let watcher = graceful.watcher();
                let submissions = submissions.clone();
                let metrics = metrics.clone();
                tokio::spawn(async move {
                    serve_connection(stream, connection, submissions, metrics, watcher).await;
                });
            }
            Err(e) => {
                // The usual cause is that no file descriptor is free; open connections end soon.
                log::warn!("event=accept_failed cause=\"{e}\"");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve_connection(
    stream: TcpStream,
    connection: Connection,
    submissions: Submissions,
    metrics: Metrics,
    watcher: hyper_util::server::graceful::Watcher,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_refused cause=\"{e}\"");
    }
    let head_bytes = submissions.shared.lock().queues.as_ref().map(|it| it.head_bytes);
    let head_bytes = head_bytes.unwrap_or(DEFAULT_HEAD_BYTES).max(MIN_HEAD_BYTES);
    let connection = Arc::new(connection);
    let (served, request_metrics) = (connection.clone(), metrics.clone());
    let service = service_fn(move |req| {
        let (submissions, metrics) = (submissions.clone(), request_metrics.clone());
        let connection = served.clone();
        async move { Ok::<_, Infallible>(respond(req, &connection, submissions, metrics).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        outcome = watcher.watch(serving) => {
            if let Err(e) = outcome {
                log::debug!("event=caller_lost cause=\"{e}\"");
            }
        }
        () = connection.closed() => metrics.count_closed_connection(),
    }
}

async fn respond(
    req: Request<Incoming>,
    connection: &Connection,
    submissions: Submissions,
    metrics: Metrics,
) -> Response<Full<Bytes>> {
    let began = Instant::now();
    let (parts, mut body) = req.into_parts();
    let answer = answer(&parts, &mut body, connection, &submissions, began).await;
    let is_body_consumed = skip_rest(body).await;
    connection.begin_wait();
    metrics.count_request(&parts.method, answer.status, began.elapsed());
    let mut res = Response::new(Full::new(Bytes::from(answer.body)));
    *res.status_mut() = answer.status;
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = answer.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after.as_secs()));
    }
    if !is_body_consumed || submissions.shared.lock().is_stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

async fn answer(
    parts: &Parts,
    body: &mut Incoming,
    connection: &Connection,
    submissions: &Submissions,
    began: Instant,
) -> Answer {
    let Some(queues) = submissions.shared.lock().queues.clone() else {
        return Answer::retry_later("the configuration has not been read yet");
    };
    let path = parts.uri.path();
    let Some(queue) = queues.route(host(&parts.headers, parts.uri.host()), path) else {
        return Answer::error(StatusCode::NOT_FOUND, "no queue has this host and path");
    };
    let deadline = began + request_timeout(&parts.headers, queue.timeout_ms);
    let body_deadline = deadline.min(began + BODY_TIMEOUT);
    let read = submissions.memory.read(body, queues.body_bytes, body_deadline).await;
    let is_closing = !connection.end_wait();
    let (body, taken) = match read {
        Ok(_) if is_closing => return Answer::retry_later("the connection is being closed"),
        Ok(it) => it,
        Err(e) => return refuse_body(&e),
    };
    let rest = &path[queue.path_prefix.len()..];
    submissions.answer(&parts.method, queue, rest, &body, taken, deadline).await
}

fn refuse_body(e: &BodyError) -> Answer {
    let cause = e.to_string();
    match e {
        BodyError::TooLong => Answer::error(StatusCode::PAYLOAD_TOO_LARGE, &cause),
        BodyError::NoMemory | BodyError::Timeout => {
            log::debug!("event=body_refused cause=\"{cause}\"");
            Answer::retry_later(&cause)
        }
        BodyError::Broken(_) => Answer::error(StatusCode::BAD_REQUEST, &cause),
    }
}

/// Reads and discards the rest of a request body; returns whether its end was reached within the
/// limits of bytes and time.
///
/// The server closes a connection if a part of a request is left unread. A caller that is still
/// sending that part, or sends its next request, would get a broken connection instead of an
/// answer.
async fn skip_rest(mut body: Incoming) -> bool {
    let read = async {
        let mut remaining = MAX_SKIPPED_BYTES;
        while let Some(frame) = body.frame().await {
            let bytes = frame.ok()?.data_ref().map_or(0, Bytes::len);
            remaining = remaining.checked_sub(bytes)?;
        }
        Some(())
    };
    matches!(tokio::time::timeout(SKIP_TIMEOUT, read).await, Ok(Some(())))
}

/// Returns the host that a request names, without its port.
fn host<'a>(headers: &'a HeaderMap, from_uri: Option<&'a str>) -> &'a str {
    let from_header = headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = from_header.or(from_uri).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Returns how long the caller waits for its answer: the shorter of the limits in its header and in
/// its queue's configuration.
fn request_timeout(headers: &HeaderMap, timeout_ms: u64) -> Duration {
    let from_caller =
        headers.get(DEADLINE_HEADER).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    let from_queue = (timeout_ms > 0).then_some(timeout_ms);
    let shortest = from_caller.into_iter().chain(from_queue).min();
    shortest.map_or(DEFAULT_REQUEST_TIMEOUT, Duration::from_millis)
}

/// Opens a listening socket at `address`.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    TcpListener::bind(address).await.with_context(|| format!("listening on {address}"))
}
