//! A plain HTTP client for callers, tests and the fault switches.

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

/// Calls stand-ins and entry VMs; clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why no whole answer came.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be made: nothing was sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection broke after something may have been sent.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The time ran out.
    #[error("no whole answer within {0:?}")]
    TimedOut(Duration),
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl Client {
    /// A client without connections.
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

    /// Sends `req` and waits for the whole answer.
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

    /// `GET` of a path.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        self.send(request(Method::GET, address, path, Bytes::new()), time_limit).await
    }

    /// `POST` of a body to a path.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        self.send(request(Method::POST, address, path, body.into()), time_limit).await
    }

    /// Replaces the fault switches of a stand-in.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Faults) -> anyhow::Result<()> {
        let body = serde_json::to_vec(faults)?;
        let answer = self.post(address, "/standin/faults", body, CONNECT_TIMEOUT).await?;
        let refused = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(answer.status.is_success(), "{address} refused the faults: {refused}");
        Ok(())
    }

    /// The history of a stand-in so far.
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

/// A request to `address`.
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
