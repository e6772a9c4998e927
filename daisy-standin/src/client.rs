//! A simple HTTP client for callers, tests and setting fault switches.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_history::History;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::timeout;

use crate::Faults;

/// An HTTP client for stand-ins and entry VMs; clones share a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why no complete answer was received.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be established, so nothing was sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection broke, and the request may have been sent.
    #[error("connection broke: {0}")]
    Broken(String),
    /// No complete answer arrived within this time.
    #[error("no complete answer within {0:?}")]
    TimedOut(Duration),
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl Client {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool }
    }

    /// Sends `req` and waits up to `time_limit` for the complete answer.
    ///
    /// # Errors
    ///
    /// If no complete answer arrived in time.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        let exchange = async {
            let response = self.pool.request(req).await.map_err(|error| {
                let text = format!("{error:?}");
                if error.is_connect() {
                    CallError::Unreachable(text)
                } else {
                    CallError::Broken(text)
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| CallError::Broken(e.to_string()))?;
            Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
        };
        timeout(time_limit, exchange).await.unwrap_or(Err(CallError::TimedOut(time_limit)))
    }

    /// Sends a `GET` request for `path`.
    ///
    /// # Errors
    ///
    /// If no complete answer arrived in time.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        self.send(request(Method::GET, address, path, Bytes::new()), time_limit).await
    }

    /// Sends a `POST` request with `body` to `path`.
    ///
    /// # Errors
    ///
    /// If no complete answer arrived in time.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        self.send(request(Method::POST, address, path, body.into()), time_limit).await
    }

    /// Replaces all fault switches of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer or refuses the switches.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Faults) -> anyhow::Result<()> {
        let body = serde_json::to_vec(faults)?;
        let answer = self.post(address, "/standin/faults", body, CONNECT_TIMEOUT).await?;
        let refused = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(answer.status.is_success(), "{address} refused the faults: {refused}");
        Ok(())
    }

    /// Returns the events that the stand-in at `address` has recorded so far.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer or its answer is not a history.
    pub async fn history(&self, address: SocketAddr) -> anyhow::Result<History> {
        let answer = self.get(address, "/standin/history", CONNECT_TIMEOUT).await?;
        Ok(History::parse(std::str::from_utf8(&answer.body)?)?)
    }
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

/// Returns a request to `address` for a path and query.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    if let Ok(uri) = format!("http://{address}{path}").parse() {
        *req.uri_mut() = uri;
    }
    req
}
