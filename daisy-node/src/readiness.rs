//! The port for the load balancer's readiness checks and for the metrics.

use std::convert::Infallible;

use bytes::Bytes;
use daisy_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::{metrics::Metrics, shared::Shared};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers readiness checks of the load balancer and requests for the metrics.
pub(crate) async fn serve(listener: TcpListener, shared: Shared, metrics: Metrics) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("event=accept_failed cause=\"{e}\"");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let shared = shared.clone();
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let res = respond(&req, &shared, &metrics);
                async move { Ok::<_, Infallible>(res) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = serving.await {
                log::debug!("event=asker_lost cause=\"{e}\"");
            }
        });
    }
}

fn respond(req: &Request<Incoming>, shared: &Shared, metrics: &Metrics) -> Response<Full<Bytes>> {
    let (status, body) = match req.uri().path() {
        READINESS_PATH if is_ready(shared) => (StatusCode::OK, String::new()),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        METRICS_PATH => (StatusCode::OK, metrics.to_text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res
}

/// Returns whether the VM can serve callers: it has a configuration and a layout, has read the
/// states recently, the log answers it, and it is not stopping.
fn is_ready(shared: &Shared) -> bool {
    let node = shared.lock();
    let has_layout = node.directory.layout().is_some();
    !node.is_stopping
        && node.queues.is_some()
        && has_layout
        && node.is_up_to_date()
        && node.reaches_log()
}
