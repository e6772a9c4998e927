//! The client and its answers.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Unused connections to one address that are kept.
///
/// A burst of calls to a worker opens a connection for each of them. Kept all, they are ten for each
/// worker, and a process that owns three shards runs out of descriptors: half of its workers then
/// seem silent to it, and their tasks end with their leases.
const IDLE_MAX: usize = 5;

/// How long sent bytes may stay unacknowledged before a connection counts as dead.
///
/// A partition sends no reset: without this bound, a pooled connection across it would be taken
/// for good until the kernel gave up after many minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// The answer's status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection came about: the request cannot have had an effect.
    #[error("not connected: {0}")]
    Connect(String),
    /// The connection broke, or the answer was too long.
    #[error("no whole answer: {0}")]
    Broken(String),
    /// The answer took too long.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
}

impl HttpError {
    /// Whether the request may have reached the other side.
    pub fn sent(&self) -> bool {
        !matches!(self, HttpError::Connect(_))
    }
}

/// A client with a pool of connections, for calls that carry small bodies.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    header: Option<(HeaderName, HeaderValue)>,
}

impl Http {
    /// A client whose requests carry `header`, if one is given.
    pub fn new(header: Option<(HeaderName, HeaderValue)>) -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_MAX)
            // A request that may have had an effect is repeated only by whoever knows that
            // it is idempotent.
            .retry_canceled_requests(false)
            .build(connector);
        Http { client, header }
    }

    /// A request to `target`, such as `/v1/log`, at `address`.
    pub fn request(&self, method: Method, address: SocketAddr, target: &str) -> request::Builder {
        let uri = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query(target)
            .build()
            .unwrap_or_default();
        let req = Request::builder().method(method).uri(uri);
        match &self.header {
            Some((name, value)) => req.header(name, value),
            None => req,
        }
    }

    /// Sends `req` and reads its answer of at most `limit` bytes within `timeout`.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Reply, HttpError> {
        within(timeout, self.exchange(req, limit)).await
    }

    /// Sends `req`, whose answer of at most `limit` bytes may come slowly: it has to begin within
    /// `timeout`, and each of its parts to come within `gap` after the one before.
    ///
    /// Given up by the whole time that it takes, a large answer over a link that is busy is begun anew
    /// again and again, by all who wait for it, and keeps the link busy.
    ///
    /// # Errors
    ///
    /// If no whole answer came.
    pub async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        gap: Duration,
        limit: usize,
    ) -> Result<Reply, HttpError> {
        let res = within(timeout, self.begin(req)).await?;
        let status = res.status();
        let mut rest = Limited::new(res.into_body(), limit);
        let mut body = BytesMut::new();
        while let Some(frame) = within(gap, async { Ok(rest.frame().await) }).await? {
            let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        Ok(Reply { status, body: body.freeze() })
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, limit: usize) -> Result<Reply, HttpError> {
        let res = self.begin(req).await?;
        let status = res.status();
        let body = Limited::new(res.into_body(), limit).collect().await;
        let body = body.map_err(|e| HttpError::Broken(e.to_string()))?.to_bytes();
        Ok(Reply { status, body })
    }

    /// Sends `req`, up to the beginning of its answer.
    async fn begin(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => HttpError::Connect(e.to_string()),
            false => HttpError::Broken(e.to_string()),
        })
    }
}

/// The outcome of `call`, if it comes within `timeout`.
async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(HttpError::Timeout(timeout)),
    }
}
