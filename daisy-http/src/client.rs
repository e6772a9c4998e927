//! The client, its responses and its errors.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of idle connections to one address in the pool.
///
/// A burst of calls to a worker opens a connection for each call. If all of them stayed open, there
/// would be ten for each worker, and a process that owns three shards would run out of file
/// descriptors: half of its workers would then seem unreachable, and their tasks would end when their
/// leases expire.
const MAX_IDLE_CONNECTIONS: usize = 5;

/// How long sent bytes may stay unacknowledged before a connection is treated as dead.
///
/// A network partition sends no reset. Without this limit, a pooled connection across the partition
/// would be considered usable until the kernel gives up after many minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// The status of the response.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// Why no complete response was received.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be established, so the request cannot have had an effect.
    #[error("connection failed: {0}")]
    Connect(String),
    /// The connection broke, or the response was longer than the limit.
    #[error("incomplete answer: {0}")]
    Broken(String),
    /// The response did not arrive within this time.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
}

impl HttpError {
    /// Returns whether the request may have reached the server.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, HttpError::Connect(_))
    }
}

/// An HTTP client with a connection pool, for requests with small bodies.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    header: Option<(HeaderName, HeaderValue)>,
}

impl Http {
    /// Creates a client that adds `header`, if given, to each request.
    pub fn new(header: Option<(HeaderName, HeaderValue)>) -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            // The client must not retry a request that may have had an effect: only the caller
            // knows whether it is idempotent.
            .retry_canceled_requests(false)
            .build(connector);
        Http { client, header }
    }

    /// Returns a builder of a request for the path and query `target`, such as `/v1/log`, to
    /// `address`.
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

    /// Sends `req` and reads the response, of at most `limit` bytes, within `timeout`.
    ///
    /// # Errors
    ///
    /// If no complete response arrived in time.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Reply, HttpError> {
        with_timeout(timeout, self.exchange(req, limit)).await
    }

    /// Sends `req` and reads a response of at most `limit` bytes that may arrive slowly: its head must
    /// arrive within `timeout`, and each part of its body within `gap` after the one before.
    ///
    /// With a limit on the total time, a large response over a busy link would be aborted and requested
    /// again and again by all clients that wait for it, which keeps the link busy.
    ///
    /// # Errors
    ///
    /// If no complete response arrived.
    pub async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        gap: Duration,
        limit: usize,
    ) -> Result<Reply, HttpError> {
        let res = with_timeout(timeout, self.send(req)).await?;
        let status = res.status();
        let mut remaining_body = Limited::new(res.into_body(), limit);
        let mut body = BytesMut::new();
        while let Some(frame) =
            with_timeout(gap, async { Ok(remaining_body.frame().await) }).await?
        {
            let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        Ok(Reply { status, body: body.freeze() })
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, limit: usize) -> Result<Reply, HttpError> {
        let res = self.send(req).await?;
        let status = res.status();
        let body = Limited::new(res.into_body(), limit).collect().await;
        let body = body.map_err(|e| HttpError::Broken(e.to_string()))?.to_bytes();
        Ok(Reply { status, body })
    }

    /// Sends `req` and waits for the head of the response.
    async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => HttpError::Connect(e.to_string()),
            false => HttpError::Broken(e.to_string()),
        })
    }
}

/// Returns the result of `call`, or an error if it takes longer than `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(HttpError::Timeout(timeout)),
    }
}
