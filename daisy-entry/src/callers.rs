//! Routes that the callers' port answers itself: health, readiness and metrics.

use std::sync::Arc;

use http::StatusCode;
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use viz::{IntoResponse, Request, Response, Result, Router, types::State};

use crate::metrics;

/// The state from which the answers are generated.
#[derive(Debug)]
pub(crate) struct Health {
    pub ready: watch::Receiver<bool>,
    pub registry: Registry,
}

/// Returns the routes `/healthz`, `/readyz` and `/metrics`.
pub(crate) fn router(health: Arc<Health>) -> Router {
    Router::new()
        .get("/healthz", get_health)
        .get("/readyz", get_ready)
        .get("/metrics", get_metrics)
        .with(State::new(health))
}

async fn get_health(_: Request) -> Result<Response> {
    Ok("ok\n".into_response())
}

async fn get_ready(req: Request) -> Result<Response> {
    let ready = req.extensions().get::<Arc<Health>>().is_some_and(|it| *it.ready.borrow());
    Ok(match ready {
        true => "ready\n".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    })
}

async fn get_metrics(req: Request) -> Result<Response> {
    let health = req.extensions().get::<Arc<Health>>();
    let text = health.map(|it| metrics::render(&it.registry)).unwrap_or_default();
    let mut response = text.into_response();
    let format = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let format = http::HeaderValue::from_static(format);
    response.headers_mut().insert(http::header::CONTENT_TYPE, format);
    Ok(response)
}
