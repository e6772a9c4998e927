//! Accepts callers' connections.

use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use daisy_routing::{KeyAnswer, KeyQuery};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};
use viz::{Responder, Tree};

use crate::{
    boundary::PeerKeys,
    proxy::{body::AnswerBody, request::Requests},
};

/// Pause after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The answer to a connection beyond the limit, before it is closed.
const CONNECTION_LIMIT_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ndaisy-outcome: not-run\r\n\
    daisy-reason: connections\r\nretry-after: 1\r\ndaisy-retry-after-ms: 1000\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DrainStage {
    /// Callers are served.
    Serving,
    /// Callers are served while the balancer removes this entry VM; connections close after their
    /// answer.
    Leaving,
    /// The listener and idle connections are closed.
    Closed,
}

/// Serves callers until the stage is [`DrainStage::Closed`] and every connection has ended.
pub(super) async fn serve<K: PeerKeys<KeyQuery, KeyAnswer>>(
    requests: Requests<K>,
    listener: TcpListener,
    own_routes: Arc<Tree>,
    mut stage: watch::Receiver<DrainStage>,
) {
    let limit = requests.core.options.limits.connections as usize;
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut stage) => break,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("event=accept_failed error={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            let _ = stream.try_write(CONNECTION_LIMIT_ANSWER);
            continue;
        };
        let conn = serve_connection(
            requests.clone(),
            stream,
            address.ip(),
            Arc::clone(&own_routes),
            stage.clone(),
        );
        tokio::spawn(async move {
            conn.await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits are available only when every connection has ended.
    let _ = permits.acquire_many(limit as u32).await;
}

async fn closed(stage: &mut watch::Receiver<DrainStage>) {
    // An error means that the proxy was dropped, which closes as well.
    let _ = stage.wait_for(|stage| *stage == DrainStage::Closed).await;
}

async fn serve_connection<K: PeerKeys<KeyQuery, KeyAnswer>>(
    requests: Requests<K>,
    stream: TcpStream,
    address: IpAddr,
    own_routes: Arc<Tree>,
    mut stage: watch::Receiver<DrainStage>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("event=caller_connection address={address} error={err:?}");
    }
    let limits = &requests.core.options.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_header_size(limits.header_bytes as usize)
        .half_close(false);
    let service = service_fn(|req| respond(&requests, &own_routes, req, address));
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = closed(&mut stage) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=caller_connection address={address} error={err:?}");
    }
}

async fn respond<K: PeerKeys<KeyQuery, KeyAnswer>>(
    requests: &Requests<K>,
    own_routes: &Arc<Tree>,
    req: Request<Incoming>,
    address: IpAddr,
) -> Result<Response<AnswerBody>, Infallible> {
    let names_service = req.headers().contains_key(daisy_wire::headers::SERVICE);
    let mut response =
        if !names_service && own_routes.find(req.method(), req.uri().path()).is_some() {
            let responder = Responder::new(Arc::clone(own_routes), Some(address));
            hyper::service::Service::call(&responder, req).await?.map(AnswerBody::Own)
        } else {
            requests.answer(req, address).await
        };
    if requests.core.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
